//! Health history that a domain owner keeps of its instances: the last response, recent losses and
//! the health derived from them, with hysteresis against flapping.

use crate::generated::engine::EngineStatus;
use crate::generated::engine::MemberState;
use crate::ids::InstanceId;
use crate::planner_types::MemberHealth;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Time without a response after which a member counts as silent and its group does not rely on it.
const SILENT_AFTER: Duration = Duration::from_secs(3);
/// Time without a response after which a member counts as lost and is replaced.
const LOST_AFTER: Duration = Duration::from_secs(6);
/// Number of losses within [`FLAPPING_WINDOW`] from which on a member counts as flapping.
const FLAPPING_LOSSES: usize = 3;
/// Window in which losses are counted; a flapping member gets no assignment until they are older.
const FLAPPING_WINDOW: Duration = Duration::from_secs(15 * 60);
/// Factor by which a straggler's load time exceeds that of the first member that finished loading.
const STRAGGLER_FACTOR: f64 = 3.0;
/// Load time below which no member counts as a straggler.
const MIN_STRAGGLER_TIME: Duration = Duration::from_secs(20);

/// Health history of the instances of one domain.
#[derive(Debug, Clone, Default)]
pub struct MemberHistory {
    members: BTreeMap<InstanceId, InstanceRecord>,
}

#[derive(Debug, Clone, Default)]
struct InstanceRecord {
    report: Option<EngineStatus>,
    last_response_at: Duration,
    losses: VecDeque<Duration>,
    is_lost: bool,
    announced_leaving: bool,
    lacks_weights: bool,
    loading_since: Option<Duration>,
    loaded_in: Option<Duration>,
}

impl MemberHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes the instances that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.members.retain(|id, _| is_listed(id));
    }

    /// Records a report; `is_serving` states whether the instance's recorded group accepts requests.
    pub fn record_report(
        &mut self,
        id: &str,
        report: EngineStatus,
        is_serving: bool,
        now: Duration,
    ) {
        let record = self.record(id, now);
        let was_assigned = record.report.as_ref().and_then(|r| r.assignment.as_ref()).is_some();
        let is_idle = report.state == MemberState::Idle;
        if is_idle {
            record.lacks_weights = false;
            record.announced_leaving = false;
        }
        if was_assigned && is_idle && is_serving {
            record.losses.push_back(now);
        }
        if report.state == MemberState::Draining && is_serving {
            record.announced_leaving = true;
        }
        record.track_load(&report, now);
        record.is_lost = false;
        record.last_response_at = now;
        record.report = Some(report);
    }

    /// Records that an instance did not respond.
    pub fn record_missed_poll(&mut self, id: &str, now: Duration) {
        let record = self.record(id, now);
        let is_lost = now.saturating_sub(record.last_response_at) >= LOST_AFTER;
        if is_lost && !record.is_lost {
            record.losses.push_back(now);
            record.is_lost = true;
        }
    }

    /// Records that an instance refused to join a group with the weights that it reports.
    pub fn record_regroup_refusal(&mut self, id: &str) {
        if let Some(record) = self.members.get_mut(id) {
            record.lacks_weights = true;
        }
    }

    /// Returns the health of an instance.
    pub fn health(&self, id: &str, now: Duration) -> MemberHealth {
        let Some(record) = self.members.get(id) else { return MemberHealth::Unknown };
        let silent_for = now.saturating_sub(record.last_response_at);
        let recent = record.losses.iter().filter(|at| now.saturating_sub(**at) < FLAPPING_WINDOW);
        if record.is_lost || silent_for >= LOST_AFTER {
            return MemberHealth::Lost;
        }
        if silent_for >= SILENT_AFTER {
            return MemberHealth::Silent;
        }
        if record.report.is_none() {
            return MemberHealth::Unknown;
        }
        match recent.count() >= FLAPPING_LOSSES {
            true => MemberHealth::Flapping,
            false => MemberHealth::Responding,
        }
    }

    /// Returns the last report of an instance.
    pub fn report(&self, id: &str) -> Option<&EngineStatus> {
        self.members.get(id).and_then(|record| record.report.as_ref())
    }

    /// Returns whether an instance announced that it is leaving.
    pub fn has_announced_leaving(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|record| record.announced_leaving)
    }

    /// Returns whether an instance refused to join a group with the weights that it reports.
    pub fn lacks_weights(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|record| record.lacks_weights)
    }

    /// Returns the members that have been loading much longer than the group's fastest member took.
    pub fn stragglers(&self, members: &[InstanceId], now: Duration) -> Vec<InstanceId> {
        let records = || members.iter().filter_map(|id| Some((id, self.members.get(id)?)));
        let Some(first) = records().filter_map(|(_, record)| record.loaded_in).min() else {
            return vec![];
        };
        let max_load_time = first.mul_f64(STRAGGLER_FACTOR).max(MIN_STRAGGLER_TIME);
        let is_slow = |record: &InstanceRecord| {
            record.loading_since.is_some_and(|since| now.saturating_sub(since) > max_load_time)
        };
        records().filter(|(_, record)| is_slow(record)).map(|(id, _)| id.clone()).collect()
    }

    fn record(&mut self, id: &str, now: Duration) -> &mut InstanceRecord {
        self.members.entry(id.to_string()).or_insert_with(|| InstanceRecord {
            last_response_at: now,
            ..InstanceRecord::default()
        })
    }
}

impl InstanceRecord {
    fn track_load(&mut self, report: &EngineStatus, now: Duration) {
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
