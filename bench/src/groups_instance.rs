//! A simulated engine instance: what orders and failures do to it.

use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::EngineLoad;
use guavaladder_lib::generated::engine::EngineStatus;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::platform::InstanceInfo;
use std::time::Duration;

/// One simulated instance.
#[derive(Debug, Clone)]
pub struct SimInstance {
    /// Listed information.
    pub info: InstanceInfo,
    /// Whether it runs.
    pub is_up: bool,
    /// Time at which it is back; a longer outage replaces a shorter one.
    pub back_at: Duration,
    /// State of its shard.
    pub state: MemberState,
    /// What it holds.
    pub held: Option<Assignment>,
    /// When its load or join ends.
    pub busy_until: Duration,
}

impl SimInstance {
    /// Returns an idle instance.
    pub fn new(info: InstanceInfo) -> Self {
        let state = MemberState::Idle;
        let (back_at, busy_until) = (Duration::ZERO, Duration::ZERO);
        Self { info, is_up: true, back_at, state, held: None, busy_until }
    }

    /// Tells whether the instance would accept an order.
    pub fn takes(&self, action: &OrderAction) -> bool {
        let holds = |group: &String| self.held.as_ref().is_some_and(|held| held.group == *group);
        self.is_up
            && match action {
                OrderAction::Join(_) => self.state == MemberState::Idle,
                OrderAction::Drain(group) => self.state == MemberState::Ready && holds(group),
                OrderAction::Release(group) => holds(group),
                OrderAction::Regroup(_) | OrderAction::Reload(_) => self.held.is_some(),
            }
    }

    /// Takes an assignment that it will have joined at a time.
    pub fn assign(&mut self, wanted: &Assignment, busy_until: Duration) {
        self.held = Some(wanted.clone());
        self.state = MemberState::Loading;
        self.busy_until = busy_until;
    }

    /// Forgets everything.
    pub fn reset(&mut self) {
        self.held = None;
        self.state = MemberState::Idle;
    }

    /// Ends a load that is due.
    pub fn settle(&mut self, now: Duration) {
        if self.state == MemberState::Loading && self.busy_until <= now {
            self.state = MemberState::Ready;
        }
    }

    /// Returns its own report.
    pub fn report(&self) -> EngineStatus {
        EngineStatus {
            instance: self.info.instance.clone(),
            state: self.state,
            assignment: self.held.clone(),
            highest_epoch: 0,
            load: EngineLoad { running: 0, queued: 0, capacity: 1, age: Duration::ZERO },
        }
    }
}
