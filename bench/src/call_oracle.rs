//! Compares what callers were told with what ran on the upstreams.

use crate::call_record::Asked;
use crate::call_record::CallRecord;
use crate::call_record::Outcome;
use crate::call_record::Refusal;
use guavaladder_testutils::execution_oracle::Execution;
use guavaladder_testutils::token_text::ModelOutput;
use guavaladder_testutils::token_text::plain_response;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// Promise that a call's record breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallPromise {
    /// The answer is the whole answer to the caller's own request.
    WholeAnswer,
    /// A request that was told as not run was not run.
    NotRunWasNotRun,
    /// A non-idempotent request ran at most once, and ran if it was answered.
    AtMostOnce,
    /// Each call ends with a clear outcome.
    ClearOutcome,
}

/// One broken promise.
#[derive(Debug, Clone, PartialEq)]
pub struct CallViolation {
    /// When the call ended, on the clock's `now` scale.
    pub at: Duration,
    /// The promise.
    pub promise: CallPromise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for CallViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {:?}: {}", self.at.as_secs_f64(), self.promise, self.detail)
    }
}

/// A model that a service ran at some time of the run.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedModel {
    /// Name of the model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Adapter.
    pub adapter: Option<String>,
}

/// What the oracle knows about the services and the executions.
#[derive(Debug, Default)]
pub struct CallOracle {
    models: BTreeMap<String, Vec<ServedModel>>,
    /// Starts by idempotency key.
    runs: HashMap<String, usize>,
    /// Times of starts by input, as the executions log it.
    starts: HashMap<String, Vec<Start>>,
}

#[derive(Debug, Clone, Copy)]
struct Start {
    at: Duration,
    offset: usize,
}

impl CallOracle {
    /// Returns an oracle over a log of executions.
    pub fn new(executions: &[Execution]) -> Self {
        let mut oracle = Self::default();
        for execution in executions {
            if let Some(key) = &execution.idempotency_key {
                *oracle.runs.entry(key.clone()).or_default() += 1;
            }
            let start = Start { at: execution.at, offset: execution.offset as usize };
            oracle.starts.entry(execution.input.clone()).or_default().push(start);
        }
        oracle
    }

    /// Names a model that a service ran.
    pub fn with_model(mut self, service: &str, model: &str, version: &str) -> Self {
        let served =
            ServedModel { model: model.to_string(), version: version.to_string(), adapter: None };
        self.models.entry(service.to_string()).or_default().push(served);
        self
    }

    /// Returns the promises that these calls broke.
    pub fn check(&self, records: &[CallRecord]) -> Vec<CallViolation> {
        records.iter().flat_map(|record| self.check_one(record)).collect()
    }

    fn check_one(&self, record: &CallRecord) -> Vec<CallViolation> {
        let mut found = vec![];
        let mut report = |promise, detail: String| {
            let detail = format!("{}: {detail}", name(&record.asked));
            found.push(CallViolation { at: record.ended, promise, detail });
        };
        match &record.outcome {
            Outcome::Whole(text) => {
                if !self.expected(&record.asked).contains(text) {
                    report(CallPromise::WholeAnswer, format!("the answer was {:.120}", text));
                }
            }
            Outcome::Malformed(reason) => report(CallPromise::WholeAnswer, reason.clone()),
            Outcome::Cut(reason) => report(CallPromise::ClearOutcome, reason.clone()),
            Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
        for refusal in &record.refusals {
            if self.ran_during(&record.asked, refusal) {
                let detail = format!("told not_run ({}) at {:?}", refusal.code, refusal.told);
                report(CallPromise::NotRunWasNotRun, detail);
            }
        }
        if let Some(key) = &record.key {
            let runs = self.runs.get(key).copied().unwrap_or_default();
            let is_answered = matches!(record.outcome, Outcome::Whole(_));
            if runs > 1 || (is_answered && runs == 0) {
                report(CallPromise::AtMostOnce, format!("key {key} ran {runs} times"));
            }
        }
        found
    }

    /// Tells whether a request that was told as not run did run; later than its answer counts for
    /// keyed ones, since their key is spent.
    fn ran_during(&self, asked: &Asked, refusal: &Refusal) -> bool {
        if let Some(key) = &refusal.key {
            return self.runs.contains_key(key);
        }
        let starts = self.starts.get(&input(asked)).map_or(&[][..], Vec::as_slice);
        let is_within = |start: &&Start| start.at >= refusal.sent && start.at <= refusal.told;
        starts.iter().filter(is_within).any(|start| start.offset >= refusal.emitted)
    }

    fn expected(&self, asked: &Asked) -> Vec<String> {
        match asked {
            Asked::Generate { service, prompt, max_tokens } => {
                let models = self.models.get(service).map_or(&[][..], Vec::as_slice);
                let answer = |served: &ServedModel| {
                    let adapter = served.adapter.as_deref();
                    ModelOutput::new(&served.model, &served.version, adapter, prompt, *max_tokens)
                        .text()
                };
                models.iter().map(answer).collect()
            }
            Asked::Plain { service, path, body } => vec![plain_response(service, path, body)],
        }
    }
}

fn name(asked: &Asked) -> String {
    match asked {
        Asked::Generate { service, prompt, .. } => format!("generate {service} {prompt:.60}"),
        Asked::Plain { service, path, body } => format!("call {service}/{path} {body:.60}"),
    }
}

/// Returns the input as the executions log it.
fn input(asked: &Asked) -> String {
    match asked {
        Asked::Generate { prompt, .. } => prompt.clone(),
        Asked::Plain { path, body, .. } => format!("{path} {body}"),
    }
}
