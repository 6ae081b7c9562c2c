//! Classifies group members whose registry entries were removed, for the lease holder.
//!
//! Scenarios handled here:
//! - Instances are partitioned from the store but not from the nodes. Their entries expire within one
//!   heartbeat of each other, while their groups continue to serve. Dissolving these groups would take
//!   down the whole service at once, so they are kept while each such member confirms its membership.
//! - A single instance leaves without announcing it: its entry is removed, but it continues to work for
//!   some seconds. Its group finishes its requests before it is dissolved.

use crate::instance::Instance;
use crate::instance::InstanceId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between two checks whether a member is still in its group.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after the removal of an entry before its cause is determined, so that other entries that
/// expire for the same reason are counted. By the platform's settings a leaving member works for at
/// least two seconds, so most of that time is left.
const CLASSIFICATION_DELAY: Duration = Duration::from_millis(600);
/// Number of expired members from which on a partition from the store is assumed: that many instances
/// leave at the same time only when they have announced it.
const MIN_PARTITIONED_MEMBERS: usize = 3;

/// Why the entry of a member that still responds was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpiryCause {
    /// The cause is not determined yet.
    Undetermined,
    /// The instance is leaving.
    Leaving,
    /// The instance is partitioned from the store.
    Partitioned,
}

/// Tracks the members whose entries were removed.
#[derive(Debug, Default)]
pub struct ExpiredMembers {
    members: HashMap<InstanceId, ExpiredMember>,
}

#[derive(Debug)]
struct ExpiredMember {
    since: Instant,
    cause: ExpiryCause,
    last_checked: Option<Instant>,
    has_left: bool,
}

impl ExpiredMembers {
    /// Creates a tracker without members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the members whose entries are missing, given with the time of removal. Returns the
    /// indices of those for which a check is due.
    pub fn update(&mut self, expired: &[(Instant, Instance)], now: Instant) -> Vec<usize> {
        self.members.retain(|id, _| expired.iter().any(|(_, instance)| instance.id == *id));
        let mut due = vec![];
        for (index, (since, instance)) in expired.iter().enumerate() {
            let new = ExpiredMember {
                since: *since,
                cause: ExpiryCause::Undetermined,
                last_checked: None,
                has_left: false,
            };
            let member = self.members.entry(instance.id.clone()).or_insert(new);
            let is_due =
                member.last_checked.is_none_or(|last_checked| now - last_checked >= CHECK_INTERVAL);
            if !member.has_left && is_due {
                member.last_checked = Some(now);
                due.push(index);
            }
        }
        let present = self.members.values().filter(|member| !member.has_left).count();
        for member in self.members.values_mut() {
            if member.cause == ExpiryCause::Undetermined
                && now - member.since >= CLASSIFICATION_DELAY
            {
                let is_partition = present >= MIN_PARTITIONED_MEMBERS;
                member.cause =
                    if is_partition { ExpiryCause::Partitioned } else { ExpiryCause::Leaving };
            }
        }
        due
    }

    /// Records the result of a check. A member that did not confirm its membership counts as gone.
    pub fn record_check(&mut self, id: &str, is_still_member: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.has_left |= !is_still_member;
        }
    }

    /// Returns why a member's entry was removed, or `None` for a member that is registered or gone.
    pub fn cause(&self, id: &str) -> Option<ExpiryCause> {
        let member = self.members.get(id)?;
        (!member.has_left).then_some(member.cause)
    }
}
