//! Fleet-wide schedule that bounds the number of concurrent weight loads.
//!
//! Each domain owner computes the same ranking of waiting groups from the domain records, and
//! starts those of its own groups that fit the bound. No counter is kept in the store, so the bound
//! may be exceeded while the owners' views of the records differ.

use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::ids::GroupId;
use std::collections::BTreeSet;

/// Fraction of the unused bound that standbys may use, so that they never delay a group.
const STANDBY_SHARE: f64 = 0.25;

/// Returns the waiting groups whose members may load now; groups with the fewest loads rank first.
pub fn groups_to_load<'a>(
    groups: impl Iterator<Item = &'a GroupRecord>,
    concurrency: u32,
) -> BTreeSet<GroupId> {
    let mut in_flight = 0;
    let mut waiting = vec![];
    for group in groups {
        match group.state {
            GroupState::Loading => in_flight += group.loads,
            GroupState::Reserved => waiting.push(group),
            _ => {}
        }
    }
    waiting.sort_by_key(|group| (group.loads, group.group.clone()));
    let mut granted = BTreeSet::new();
    for group in waiting {
        let fits = in_flight + group.loads <= concurrency;
        // With no load in flight the first group may start even if it exceeds the bound; otherwise
        // it would wait forever.
        if !fits && in_flight > 0 {
            break;
        }
        in_flight += group.loads;
        granted.insert(group.group.clone());
    }
    granted
}

/// Returns whether the domain at `index` of `domains` may load one standby in this time slot.
pub fn may_load_standby(
    groups_loading: u32,
    concurrency: u32,
    index: usize,
    domains: usize,
    slot: u64,
) -> bool {
    let available_loads = concurrency.saturating_sub(groups_loading);
    let standby_loads = ((f64::from(available_loads) * STANDBY_SHARE).floor() as usize).max(1);
    if available_loads == 0 {
        return false;
    }
    let period = domains.div_ceil(standby_loads).max(1);
    (index + slot as usize).is_multiple_of(period)
}
