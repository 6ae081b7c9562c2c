//! Records of the requests that a caller sent and of their outcomes, as input of the call oracle.

use std::time::Duration;

/// Request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallRequest {
    /// Generation request to an engine service.
    Generate {
        /// Name of the service.
        service: String,
        /// Prompt, unique to the call.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// Call of a plain service.
    Plain {
        /// Name of the service.
        service: String,
        /// Path of the call, relative to the service.
        path: String,
        /// Body, unique to the call.
        body: String,
    },
}

/// Final outcome of a call as the caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The complete response, with its text.
    Complete(String),
    /// The response with this code says that the request was not run.
    NotRun(String),
    /// The response with this code says that the request may have run.
    Unknown(String),
    /// No final response was received, for this reason.
    Interrupted(String),
    /// The response violates the caller API in this way.
    Malformed(String),
}

/// Response that told a caller that its request was not run.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// When the request was sent, on the clock's `now` scale.
    pub sent: Duration,
    /// When the response was received.
    pub received: Duration,
    /// Error code of the response.
    pub code: String,
    /// Idempotency key of the request.
    pub key: Option<String>,
    /// Number of tokens that the caller had received when it sent the request.
    pub emitted: usize,
}

/// One call with its outcome, its refusals and its latencies.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// Request of the call.
    pub request: CallRequest,
    /// Idempotency key of the last attempt of a non-idempotent call.
    pub key: Option<String>,
    /// When the call began, on the clock's `now` scale.
    pub began: Duration,
    /// When the call ended.
    pub ended: Duration,
    /// Final outcome.
    pub outcome: Outcome,
    /// All `not_run` responses to the caller, including the last one.
    pub refusals: Vec<Refusal>,
    /// Time from sending an attempt until the first token of the stream.
    pub first_token: Option<Duration>,
    /// Longest time that the caller waited for the next token event of a stream.
    pub longest_gap: Duration,
    /// Number of times that the caller sent the request again after a failed attempt.
    pub resumes: u32,
    /// Number of streams that ended with `moved`.
    pub moves: u32,
}
