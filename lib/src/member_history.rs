//! What an owner remembers of its instances: when each answered last, how often it was lost, and
//! the judgement that follows, with hysteresis against flapping.

use crate::generated::engine::EngineStatus;
use crate::generated::engine::MemberState;
use crate::ids::InstanceId;
use crate::planner_types::MemberHealth;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Time without an answer after which a group no longer counts on a member.
const SILENT_AFTER: Duration = Duration::from_secs(3);
/// Time without an answer after which a member's place is given away.
const LOST_AFTER: Duration = Duration::from_secs(6);
/// Losses within the window that make a member flapping.
const FLAPPING_LOSSES: usize = 3;
/// Window in which losses count, and time for which a flapping member gets no place.
const FLAPPING_WINDOW: Duration = Duration::from_secs(15 * 60);
/// Load time beyond which a member is slow, as a multiple of that of its group's first.
const STRAGGLER_FACTOR: f64 = 3.0;
/// Load time below which no member counts as slow.
const MIN_STRAGGLER_TIME: Duration = Duration::from_secs(20);

/// Memory of one domain's instances.
#[derive(Debug, Clone, Default)]
pub struct MemberHistory {
    members: BTreeMap<InstanceId, Known>,
}

#[derive(Debug, Clone, Default)]
struct Known {
    report: Option<EngineStatus>,
    answered_at: Duration,
    losses: VecDeque<Duration>,
    is_lost: bool,
    announced_leaving: bool,
    lacks_weights: bool,
    loading_since: Option<Duration>,
    loaded_in: Option<Duration>,
}

impl MemberHistory {
    /// Returns an empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets the instances that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.members.retain(|id, _| is_listed(id));
    }

    /// Takes note of a report; `is_serving` says whether its recorded group takes requests.
    pub fn answered(&mut self, id: &str, report: EngineStatus, is_serving: bool, now: Duration) {
        let known = self.known(id, now);
        let was_holding = known.report.as_ref().and_then(|r| r.assignment.as_ref()).is_some();
        let is_idle = report.state == MemberState::Idle;
        if is_idle {
            known.lacks_weights = false;
            known.announced_leaving = false;
        }
        if was_holding && is_idle && is_serving {
            known.losses.push_back(now);
        }
        if report.state == MemberState::Draining && is_serving {
            known.announced_leaving = true;
        }
        known.note_load(&report, now);
        known.is_lost = false;
        known.answered_at = now;
        known.report = Some(report);
    }

    /// Takes note that an instance did not answer.
    pub fn missed(&mut self, id: &str, now: Duration) {
        let known = self.known(id, now);
        let is_lost = now.saturating_sub(known.answered_at) >= LOST_AFTER;
        if is_lost && !known.is_lost {
            known.losses.push_back(now);
            known.is_lost = true;
        }
    }

    /// Takes note that an instance refused to join with the weights that it reports.
    pub fn refused_regroup(&mut self, id: &str) {
        if let Some(known) = self.members.get_mut(id) {
            known.lacks_weights = true;
        }
    }

    /// Returns the judgement of an instance.
    pub fn health(&self, id: &str, now: Duration) -> MemberHealth {
        let Some(known) = self.members.get(id) else { return MemberHealth::Unknown };
        let silent_for = now.saturating_sub(known.answered_at);
        let recent = known.losses.iter().filter(|at| now.saturating_sub(**at) < FLAPPING_WINDOW);
        if known.is_lost || silent_for >= LOST_AFTER {
            return MemberHealth::Lost;
        }
        if silent_for >= SILENT_AFTER {
            return MemberHealth::Silent;
        }
        if known.report.is_none() {
            return MemberHealth::Unknown;
        }
        match recent.count() >= FLAPPING_LOSSES {
            true => MemberHealth::Flapping,
            false => MemberHealth::Responding,
        }
    }

    /// Returns the last report of an instance.
    pub fn report(&self, id: &str) -> Option<&EngineStatus> {
        self.members.get(id).and_then(|known| known.report.as_ref())
    }

    /// Tells whether an instance announced that it leaves.
    pub fn has_announced_leaving(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|known| known.announced_leaving)
    }

    /// Tells whether an instance has refused to join with the weights that it reports.
    pub fn lacks_weights(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|known| known.lacks_weights)
    }

    /// Returns the members of a group that load far longer than its first member took.
    pub fn stragglers(&self, members: &[InstanceId], now: Duration) -> Vec<InstanceId> {
        let known = || members.iter().filter_map(|id| Some((id, self.members.get(id)?)));
        let Some(first) = known().filter_map(|(_, known)| known.loaded_in).min() else {
            return vec![];
        };
        let bound = first.mul_f64(STRAGGLER_FACTOR).max(MIN_STRAGGLER_TIME);
        let is_slow = |known: &Known| {
            known.loading_since.is_some_and(|since| now.saturating_sub(since) > bound)
        };
        known().filter(|(_, known)| is_slow(known)).map(|(id, _)| id.clone()).collect()
    }

    fn known(&mut self, id: &str, now: Duration) -> &mut Known {
        self.members
            .entry(id.to_string())
            .or_insert_with(|| Known { answered_at: now, ..Known::default() })
    }
}

impl Known {
    fn note_load(&mut self, report: &EngineStatus, now: Duration) {
        let before = self.report.as_ref();
        let is_same = before.and_then(|r| r.assignment.as_ref()) == report.assignment.as_ref();
        if report.state != MemberState::Loading {
            let since = self.loading_since.take();
            self.loaded_in = match (since, is_same) {
                (Some(since), true) => Some(now.saturating_sub(since)),
                (None, true) => self.loaded_in,
                (_, false) => None,
            };
            return;
        }
        if !is_same || self.loading_since.is_none() {
            self.loading_since = Some(now);
            self.loaded_in = None;
        }
    }
}
