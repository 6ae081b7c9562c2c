//! The fleet-wide schedule of weight loads.
//!
//! Every owner ranks the same waiting groups from the records that all of them see, and starts only
//! its own among the first that fit the bound. No counter is kept in the store; while views differ
//! the bound may be exceeded for as long as they lag.

use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::ids::GroupId;
use std::collections::BTreeSet;

/// Part of the bound that standbys may use, so that they never hold up a group.
const STANDBY_SHARE: f64 = 0.25;

/// Returns the waiting groups whose members may load now, those with the fewest loads first.
pub fn granted<'a>(
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
        // A group larger than the bound would otherwise wait for ever.
        if !fits && in_flight > 0 {
            break;
        }
        in_flight += group.loads;
        granted.insert(group.group.clone());
    }
    granted
}

/// Tells whether the domain at `index` of `domains` may load one standby in this slot of time.
pub fn is_standby_turn(
    groups_loading: u32,
    concurrency: u32,
    index: usize,
    domains: usize,
    slot: u64,
) -> bool {
    let room = concurrency.saturating_sub(groups_loading);
    let turns = ((f64::from(room) * STANDBY_SHARE).floor() as usize).max(1);
    if room == 0 {
        return false;
    }
    let rounds = domains.div_ceil(turns).max(1);
    (index + slot as usize).is_multiple_of(rounds)
}
