//! Test oracle: records the executions on fake instances and detects violations.

use guavaladder_lib::ids::Address;
use guavaladder_lib::ids::AttemptId;
use guavaladder_lib::ids::Epoch;
use guavaladder_lib::ids::GroupId;
use guavaladder_lib::ids::InstanceId;
use guavaladder_lib::ids::RequestId;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Time after which a leaving upstream must not receive new requests.
pub const LEAVING_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Start of a request on an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Execution {
    /// Time on the clock's `now` scale.
    pub at: Duration,
    /// Instance that executed it.
    pub instance: InstanceId,
    /// Address of the instance.
    pub address: Address,
    /// ID of the request.
    pub request: RequestId,
    /// ID of the attempt; 0 for a plain call.
    pub attempt: AttemptId,
    /// Group that executed it; empty for a plain call.
    pub group: GroupId,
    /// Epoch in the request.
    pub epoch: Epoch,
    /// Index of the first requested token.
    pub offset: u32,
    /// Idempotency key; `None` for an idempotent request.
    pub idempotency_key: Option<String>,
    /// Whether the group was complete: all members alive, ready and in the same assignment.
    pub is_complete: bool,
    /// Time since the first member of the group, or the plain instance, was announced as leaving.
    pub leaving_for: Option<Duration>,
    /// Prompt, or path and body of a plain call.
    pub input: String,
}

/// Kind of a violation by an execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ViolationKind {
    /// An incomplete group executed a request.
    PartialGroup,
    /// A non-idempotent request was executed more than once.
    RanTwice,
    /// A leaving upstream received a new request after [`LEAVING_GRACE_PERIOD`].
    WorkAfterLeaving,
    /// A stream was resumed after tokens that are not of the expected output.
    WrongResume,
}

/// A detected violation.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Time on the clock's `now` scale.
    pub at: Duration,
    /// Kind of the violation.
    pub kind: ViolationKind,
    /// Description of the request and the instance or group involved.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {:?}: {}", self.at.as_secs_f64(), self.kind, self.detail)
    }
}

/// All executions and the violations found in them.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) executions: Vec<Execution>,
    pub(crate) violations: Vec<Violation>,
    keyed: HashMap<String, usize>,
}

impl Oracle {
    /// Records an execution and checks it.
    pub(crate) fn record(&mut self, execution: Execution) {
        if !execution.is_complete {
            let detail = format!("group {} at {}", execution.group, execution.instance);
            self.record_violation(&execution, ViolationKind::PartialGroup, detail);
        }
        if let Some(late) = execution.leaving_for.filter(|late| *late > LEAVING_GRACE_PERIOD) {
            let detail = format!("{} was leaving for {late:?}", execution.instance);
            self.record_violation(&execution, ViolationKind::WorkAfterLeaving, detail);
        }
        if let Some(key) = execution.idempotency_key.clone() {
            let count = self.keyed.entry(key.clone()).or_default();
            *count += 1;
            if *count > 1 {
                let detail = format!("key {key} ran {count} times, last at {}", execution.instance);
                self.record_violation(&execution, ViolationKind::RanTwice, detail);
            }
        }
        self.executions.push(execution);
    }

    /// Records a violation by an execution.
    pub(crate) fn record_violation(
        &mut self,
        execution: &Execution,
        kind: ViolationKind,
        detail: String,
    ) {
        let detail = format!("request {}: {detail}", execution.request);
        self.violations.push(Violation { at: execution.at, kind, detail });
    }

    /// Returns the number of executions with an idempotency key.
    pub(crate) fn execution_count(&self, key: &str) -> usize {
        self.keyed.get(key).copied().unwrap_or_default()
    }
}
