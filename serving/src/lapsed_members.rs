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
const ASK_PERIOD: Duration = Duration::from_millis(400);
/// Time after the removal in which other entries that lapse for the same reason follow; a member that
/// leaves works for two seconds at least, by the platform's settings, of which most is left.
const COMPANY_WAIT: Duration = Duration::from_millis(600);
/// Members from which on entries count as lapsed by a cut: so many leave together only when it was
/// announced.
const CUT_MEMBERS: usize = 3;

/// What the removal of an entry means for a member that answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lapse {
    /// It is too early to tell.
    Recent,
    /// It leaves.
    Leaving,
    /// It is cut off from the store.
    CutOff,
}

/// The members whose entries were removed.
#[derive(Debug, Default)]
pub struct LapsedMembers {
    members: HashMap<InstanceId, LapsedMember>,
}

#[derive(Debug)]
struct LapsedMember {
    since: Instant,
    lapse: Lapse,
    asked: Option<Instant>,
    has_left: bool,
}

impl LapsedMembers {
    /// Returns an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the members whose entries are missing, with the time of removal; returns the indices
    /// of those that are to be asked now.
    pub fn review(&mut self, lapsed: &[(Instant, Instance)], now: Instant) -> Vec<usize> {
        self.members.retain(|id, _| lapsed.iter().any(|(_, instance)| instance.id == *id));
        let mut due = vec![];
        for (index, (since, instance)) in lapsed.iter().enumerate() {
            let new =
                LapsedMember { since: *since, lapse: Lapse::Recent, asked: None, has_left: false };
            let member = self.members.entry(instance.id.clone()).or_insert(new);
            let is_due = member.asked.is_none_or(|asked| now - asked >= ASK_PERIOD);
            if !member.has_left && is_due {
                member.asked = Some(now);
                due.push(index);
            }
        }
        let present = self.members.values().filter(|member| !member.has_left).count();
        for member in self.members.values_mut() {
            if member.lapse == Lapse::Recent && now - member.since >= COMPANY_WAIT {
                let is_cut = present >= CUT_MEMBERS;
                member.lapse = if is_cut { Lapse::CutOff } else { Lapse::Leaving };
            }
        }
        due
    }

    /// Takes in whether a member answered that it is in its place; one that did not is gone.
    pub fn answered(&mut self, id: &str, is_in_place: bool) {
        if let Some(member) = self.members.get_mut(id) {
            member.has_left |= !is_in_place;
        }
    }

    /// Returns what the removal of a member's entry means; `None` for one that is gone.
    pub fn lapse(&self, id: &str) -> Option<Lapse> {
        let member = self.members.get(id)?;
        (!member.has_left).then_some(member.lapse)
    }
}
