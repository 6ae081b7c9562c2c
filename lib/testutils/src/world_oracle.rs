//! What ran where in the fake world, and what of it broke a promise.

use guavaladder_lib::ids::Address;
use guavaladder_lib::ids::AttemptId;
use guavaladder_lib::ids::Epoch;
use guavaladder_lib::ids::GroupId;
use guavaladder_lib::ids::InstanceId;
use guavaladder_lib::ids::RequestId;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Time after which a leaving upstream must get no new work.
pub const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// One start of a request on an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Execution {
    /// Time on the clock's `now` scale.
    pub at: Duration,
    /// Instance that ran it.
    pub instance: InstanceId,
    /// Address of the instance.
    pub address: Address,
    /// Id of the request.
    pub request: RequestId,
    /// Id of the attempt; 0 for a plain call.
    pub attempt: AttemptId,
    /// Group that ran it; empty for a plain call.
    pub group: GroupId,
    /// Epoch that the request carried.
    pub epoch: Epoch,
    /// Index of the first token wanted.
    pub offset: u32,
    /// Key of a non-idempotent request.
    pub idempotency_key: Option<String>,
    /// Whether the whole group was alive, ready and of one assignment.
    pub is_whole: bool,
    /// Time since the instance or another member of its group was told to leave.
    pub leaving_for: Option<Duration>,
    /// Path and body of a plain call, or the prompt.
    pub input: String,
}

/// Promise that an execution broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BrokenPromise {
    /// A partially assembled group served a request.
    PartialGroup,
    /// A non-idempotent request ran more than once.
    RanTwice,
    /// A leaving upstream got new work after the bound.
    WorkAfterLeaving,
    /// A stream was resumed with tokens that are not the answer's.
    WrongResume,
}

/// One broken promise.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Time on the clock's `now` scale.
    pub at: Duration,
    /// The promise.
    pub promise: BrokenPromise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {:?}: {}", self.at.as_secs_f64(), self.promise, self.detail)
    }
}

/// Log of executions and the violations among them.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) executions: Vec<Execution>,
    pub(crate) violations: Vec<Violation>,
    keyed: HashMap<String, usize>,
}

impl Oracle {
    /// Notes a start of a request.
    pub(crate) fn note(&mut self, execution: Execution) {
        if !execution.is_whole {
            let detail = format!("group {} at {}", execution.group, execution.instance);
            self.report(&execution, BrokenPromise::PartialGroup, detail);
        }
        if let Some(late) = execution.leaving_for.filter(|late| *late > LEAVING_BOUND) {
            let detail = format!("{} was leaving for {late:?}", execution.instance);
            self.report(&execution, BrokenPromise::WorkAfterLeaving, detail);
        }
        if let Some(key) = execution.idempotency_key.clone() {
            let count = self.keyed.entry(key.clone()).or_default();
            *count += 1;
            if *count > 1 {
                let detail = format!("key {key} ran {count} times, last at {}", execution.instance);
                self.report(&execution, BrokenPromise::RanTwice, detail);
            }
        }
        self.executions.push(execution);
    }

    /// Notes a violation that an execution caused.
    pub(crate) fn report(&mut self, execution: &Execution, promise: BrokenPromise, detail: String) {
        let detail = format!("request {}: {detail}", execution.request);
        self.violations.push(Violation { at: execution.at, promise, detail });
    }

    /// Returns how often a non-idempotent key ran.
    pub(crate) fn runs_of(&self, key: &str) -> usize {
        self.keyed.get(key).copied().unwrap_or_default()
    }
}
