//! What the holder of the lease makes of members of groups whose entries were removed.
//!
//! Load patterns answered here:
//! - Instances are cut off from the store and not from the nodes. Their entries lapse within one
//!   heartbeat of each other, while their groups go on serving. Dissolving these would empty the
//!   service at once, so they stay while every such member answers for its place.
//! - A single instance leaves without having announced it: its entry is removed, and it works for some
//!   seconds more. Its group finishes its requests first.

use crate::instance::Instance;
use crate::instance::InstanceId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Period in which a member is asked whether it is in its place.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the removal in which other entries that lapse for the same reason follow; a member that
/// leaves works for two seconds at least, by the platform's settings, of which most is left.
const CLASSIFICATION_DELAY: Duration = Duration::from_millis(600);
/// Members from which on entries count as lapsed by a cut: so many leave together only when it was
/// announced.
const MIN_PARTITIONED_MEMBERS: usize = 3;

/// What the removal of an entry means for a member that answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpiryCause {
    /// It is too early to tell.
    Undetermined,
    /// It leaves.
    Leaving,
    /// It is cut off from the store.
    Partitioned,
}

/// The members whose entries were removed.
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
    /// Returns an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the members whose entries are missing, with the time of removal; returns the indices
    /// of those that are to be asked now.
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

    /// Takes in whether a member answered that it is in its place; one that did not is gone.
    pub fn record_check(&mut self, id: &str, is_still_member: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.has_left |= !is_still_member;
        }
    }

    /// Returns what the removal of a member's entry means; `None` for one that is gone.
    pub fn cause(&self, id: &str) -> Option<ExpiryCause> {
        let member = self.members.get(id)?;
        (!member.has_left).then_some(member.cause)
    }
}
