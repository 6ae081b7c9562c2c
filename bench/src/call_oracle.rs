//! Compares the outcomes that callers received with the executions on the upstreams.

use crate::call_record::CallRecord;
use crate::call_record::CallRequest;
use crate::call_record::Outcome;
use crate::call_record::Refusal;
use guavaladder_testutils::execution_oracle::Execution;
use guavaladder_testutils::token_text::ModelOutput;
use guavaladder_testutils::token_text::plain_response;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Guarantee of the caller API that the record of a call violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallViolationKind {
    /// A response is complete and belongs to the request that the caller sent.
    WholeAnswer,
    /// A request that was reported as not run has not been executed.
    NotRunWasNotRun,
    /// A non-idempotent request is executed at most once, and has been executed if its response is
    /// complete.
    AtMostOnce,
    /// Each call ends with a definite outcome.
    ClearOutcome,
}

/// One violation of a guarantee.
#[derive(Debug, Clone, PartialEq)]
pub struct CallViolation {
    /// When the call ended, on the clock's `now` scale.
    pub at: Duration,
    /// Violated guarantee.
    pub kind: CallViolationKind,
    /// Details of the call.
    pub detail: String,
}

impl fmt::Display for CallViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {:?}: {}", self.at.as_secs_f64(), self.kind, self.detail)
    }
}

/// Model that a service served at some time during the run.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedModel {
    /// Name of the model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Adapter.
    pub adapter: Option<String>,
}

/// Checks call records against the models of the services and the log of executions.
#[derive(Debug, Default)]
pub struct CallOracle {
    models: BTreeMap<String, Vec<ServedModel>>,
    /// Number of executions by idempotency key.
    run_counts: HashMap<String, usize>,
    /// Starts of executions by input, in the form that the execution log uses.
    starts: HashMap<String, Vec<ExecutionStart>>,
}

#[derive(Debug, Clone, Copy)]
struct ExecutionStart {
    at: Duration,
    offset: usize,
}

impl CallOracle {
    /// Creates an oracle from a log of executions.
    pub fn new(executions: &[Execution]) -> Self {
        let mut oracle = Self::default();
        for execution in executions {
            if let Some(key) = &execution.idempotency_key {
                *oracle.run_counts.entry(key.clone()).or_default() += 1;
            }
            let start = ExecutionStart { at: execution.at, offset: execution.offset as usize };
            oracle.starts.entry(execution.input.clone()).or_default().push(start);
        }
        oracle
    }

    /// Adds a model that a service served.
    pub fn with_model(mut self, service: &str, model: &str, version: &str) -> Self {
        let served =
            ServedModel { model: model.to_string(), version: version.to_string(), adapter: None };
        self.models.entry(service.to_string()).or_default().push(served);
        self
    }

    /// Returns all violations by these calls.
    pub fn check(&self, records: &[CallRecord]) -> Vec<CallViolation> {
        records.iter().flat_map(|record| self.check_one(record)).collect()
    }

    fn check_one(&self, record: &CallRecord) -> Vec<CallViolation> {
        let mut found = vec![];
        let mut report = |kind, detail: String| {
            let detail = format!("{}: {detail}", describe(&record.request));
            found.push(CallViolation { at: record.ended, kind, detail });
        };
        match &record.outcome {
            Outcome::Complete(text) => {
                if !self.expected(&record.request).contains(text) {
                    report(
                        CallViolationKind::WholeAnswer,
                        format!("the response was {:.120}", text),
                    );
                }
            }
            Outcome::Malformed(reason) => report(CallViolationKind::WholeAnswer, reason.clone()),
            Outcome::Interrupted(reason) => report(CallViolationKind::ClearOutcome, reason.clone()),
            Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
        for refusal in &record.refusals {
            if self.has_run(&record.request, refusal) {
                let detail =
                    format!("received not_run ({}) at {:?}", refusal.code, refusal.received);
                report(CallViolationKind::NotRunWasNotRun, detail);
            }
        }
        if let Some(key) = &record.key {
            let count = self.run_counts.get(key).copied().unwrap_or_default();
            let is_complete = matches!(record.outcome, Outcome::Complete(_));
            if count > 1 || (is_complete && count == 0) {
                report(
                    CallViolationKind::AtMostOnce,
                    format!("key {key} was executed {count} times"),
                );
            }
        }
        found
    }

    /// Tells whether a request that was reported as not run has been executed.
    ///
    /// With an idempotency key, an execution after the response counts too, because a refused key
    /// may not be executed any more. Without a key, only executions between the request and its
    /// response count.
    fn has_run(&self, request: &CallRequest, refusal: &Refusal) -> bool {
        if let Some(key) = &refusal.key {
            return self.run_counts.contains_key(key);
        }
        let starts = self.starts.get(&input(request)).map_or(&[][..], Vec::as_slice);
        let is_within =
            |start: &&ExecutionStart| start.at >= refusal.sent && start.at <= refusal.received;
        starts.iter().filter(is_within).any(|start| start.offset >= refusal.emitted)
    }

    fn expected(&self, request: &CallRequest) -> Vec<String> {
        match request {
            CallRequest::Generate { service, prompt, max_tokens } => {
                let models = self.models.get(service).map_or(&[][..], Vec::as_slice);
                let response = |served: &ServedModel| {
                    let adapter = served.adapter.as_deref();
                    ModelOutput::new(&served.model, &served.version, adapter, prompt, *max_tokens)
                        .text()
                };
                models.iter().map(response).collect()
            }
            CallRequest::Plain { service, path, body } => vec![plain_response(service, path, body)],
        }
    }
}

fn describe(request: &CallRequest) -> String {
    match request {
        CallRequest::Generate { service, prompt, .. } => format!("generate {service} {prompt:.60}"),
        CallRequest::Plain { service, path, body } => format!("call {service}/{path} {body:.60}"),
    }
}

/// Returns the input of a request in the form that the execution log uses.
fn input(request: &CallRequest) -> String {
    match request {
        CallRequest::Generate { prompt, .. } => prompt.clone(),
        CallRequest::Plain { path, body, .. } => format!("{path} {body}"),
    }
}
