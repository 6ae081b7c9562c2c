//! What a caller sent and was told, for the oracle.

use std::time::Duration;

/// What a caller asked for.
#[derive(Debug, Clone, PartialEq)]
pub enum Asked {
    /// A generation.
    Generate {
        /// Service.
        service: String,
        /// Prompt, unique to the call.
        prompt: String,
        /// Bound on tokens.
        max_tokens: u32,
    },
    /// A call of a plain service.
    Plain {
        /// Service.
        service: String,
        /// Path below the service.
        path: String,
        /// Body, unique to the call.
        body: String,
    },
}

/// What the caller was told in the end.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The whole answer.
    Whole(String),
    /// It was not run, says the answer with this code.
    NotRun(String),
    /// It may have run, says the answer with this code.
    Unknown(String),
    /// No final answer came.
    Cut(String),
    /// An answer that the callers' API does not allow.
    Malformed(String),
}

/// One time at which a caller was told that its request was not run.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// When the request was sent, on the clock's `now` scale.
    pub sent: Duration,
    /// When the answer came.
    pub told: Duration,
    /// Code of the answer.
    pub code: String,
    /// Key that the request carried.
    pub key: Option<String>,
    /// Tokens that the caller held when it sent the request.
    pub emitted: usize,
}

/// One call with everything that came of it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// What was asked.
    pub asked: Asked,
    /// Key of the last attempt of a non-idempotent call.
    pub key: Option<String>,
    /// When the call began, on the clock's `now` scale.
    pub began: Duration,
    /// When it ended.
    pub ended: Duration,
    /// The final outcome.
    pub outcome: Outcome,
    /// Each time that the caller was told `not_run`, the last included.
    pub refusals: Vec<Refusal>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Longest time between two events of the stream.
    pub longest_gap: Duration,
    /// Times at which the stream was resumed by the caller.
    pub resumes: u32,
    /// Streams that ended with `moved`.
    pub moves: u32,
}
