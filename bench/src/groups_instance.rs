//! Simulated engine instance and its reaction to orders and failures.

use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::EngineLoad;
use guavaladder_lib::generated::engine::EngineStatus;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::platform::InstanceInfo;
use std::time::Duration;

/// State of one simulated engine instance.
#[derive(Debug, Clone)]
pub struct SimInstance {
    /// Entry of the instance list.
    pub info: InstanceInfo,
    /// Whether the instance is running.
    pub is_up: bool,
    /// Time at which the last outage ends; overlapping outages end with the longest.
    pub recovers_at: Duration,
    /// State of its shard.
    pub state: MemberState,
    /// Assignment to a group or as a standby, if any.
    pub assignment: Option<Assignment>,
    /// Time at which the running load or join completes.
    pub busy_until: Duration,
}

impl SimInstance {
    /// Returns a running instance without an assignment.
    pub fn new(info: InstanceInfo) -> Self {
        let state = MemberState::Idle;
        let (recovers_at, busy_until) = (Duration::ZERO, Duration::ZERO);
        Self { info, is_up: true, recovers_at, state, assignment: None, busy_until }
    }

    /// Returns whether the instance accepts an order in its present state.
    pub fn accepts(&self, action: &OrderAction) -> bool {
        let is_assigned = |group: &String| {
            self.assignment.as_ref().is_some_and(|assignment| assignment.group == *group)
        };
        self.is_up
            && match action {
                OrderAction::Join(_) => self.state == MemberState::Idle,
                OrderAction::Drain(group) => self.state == MemberState::Ready && is_assigned(group),
                OrderAction::Release(group) => is_assigned(group),
                OrderAction::Regroup(_) | OrderAction::Reload(_) => self.assignment.is_some(),
            }
    }

    /// Starts loading an assignment; the load completes at `busy_until`.
    pub fn assign(&mut self, wanted: &Assignment, busy_until: Duration) {
        self.assignment = Some(wanted.clone());
        self.state = MemberState::Loading;
        self.busy_until = busy_until;
    }

    /// Drops the assignment and returns to the idle state.
    pub fn reset(&mut self) {
        self.assignment = None;
        self.state = MemberState::Idle;
    }

    /// Marks the instance as ready if its load has completed.
    pub fn finish_load(&mut self, now: Duration) {
        if self.state == MemberState::Loading && self.busy_until <= now {
            self.state = MemberState::Ready;
        }
    }

    /// Returns the status report that the instance sends when polled.
    pub fn report(&self) -> EngineStatus {
        EngineStatus {
            instance: self.info.instance.clone(),
            state: self.state,
            assignment: self.assignment.clone(),
            highest_epoch: 0,
            load: EngineLoad { running: 0, queued: 0, capacity: 1, age: Duration::ZERO },
        }
    }
}
