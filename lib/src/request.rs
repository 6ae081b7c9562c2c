//! A request as it goes through a node, and the only ways in which it can end without an answer.

use crate::generated::engine::Priority;
use crate::generated::requests::ErrorBody;
use crate::generated::requests::ErrorCode;
use crate::generated::requests::Outcome;
use crate::ids::CustomerId;
use crate::ids::RequestId;
use crate::ids::ServiceId;
use std::time::Duration;
use tokio::time::Instant;

/// Whether a request that got no whole answer may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// It was certainly not run and may be sent again.
    Not,
    /// It may have run.
    Maybe,
}

impl Ran {
    /// Returns the outcome that the caller is told.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Not => Outcome::NotRun,
            Self::Maybe => Outcome::Unknown,
        }
    }
}

/// Why a request got no whole answer.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct RequestError {
    /// Stable code.
    pub code: ErrorCode,
    /// Whether it may have run.
    pub ran: Ran,
    /// Explanation for people.
    pub message: String,
    /// Time after which sending again may succeed.
    pub retry_after: Option<Duration>,
    /// Id of the request, where it got one.
    pub request: Option<RequestId>,
    /// Whether the ledger vouches that no copy of a request with a key was or will be run.
    pub is_settled: bool,
}

impl RequestError {
    /// Returns the error of a request that was not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { code, ran: Ran::Not, message, retry_after: None, request: None, is_settled: false }
    }

    /// Returns the error of a request that may have run.
    pub fn unknown(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { ran: Ran::Maybe, ..Self::not_run(code, message) }
    }

    /// Adds the time after which sending again may succeed.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Notes that the ledger vouches for the outcome.
    pub fn with_settled(self) -> Self {
        Self { is_settled: true, ..self }
    }

    /// Returns what the caller of a request with a key may be told.
    ///
    /// This copy was not run, but without the ledger's word a copy that the caller sent before may
    /// have been, unless the caller says that there was none.
    pub fn with_earlier_copies(self, is_first_send: bool) -> Self {
        match self.is_settled || is_first_send {
            true => self,
            false => Self { ran: Ran::Maybe, ..self },
        }
    }

    /// Adds the id of the request.
    pub fn with_request(self, request: &str) -> Self {
        Self { request: Some(request.to_string()), ..self }
    }

    /// Returns the form in which callers see the error.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            code: self.code,
            message: self.message.clone(),
            ran: self.ran.outcome(),
            request: self.request.clone(),
            retry_after: self.retry_after,
        }
    }
}

/// What a node knows of one request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id.
    pub id: RequestId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Service that is asked.
    pub service_id: ServiceId,
    /// Prompt, or body of a call to a plain service.
    pub prompt: String,
    /// Path below a plain service.
    pub path: String,
    /// Bound on generated tokens.
    pub max_tokens: u32,
    /// Priority.
    pub priority: Priority,
    /// Adapter.
    pub adapter: Option<String>,
    /// Key of a request that runs at most once.
    pub key: Option<String>,
    /// Whether the caller says that it did not send the request before.
    pub is_first_send: bool,
    /// Time by which it must have ended.
    pub deadline: Instant,
    /// Hash of the content, alike for each resend.
    pub fingerprint: u64,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
}

/// Returns the hash of a request's content.
pub fn fingerprint(service: &str, adapter: Option<&str>, path: &str, prompt: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [service, adapter.unwrap_or_default(), path, prompt] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    first_u64(&hasher.finalize())
}

/// Returns the first eight bytes of a hash as a number.
pub fn first_u64(hash: &blake3::Hash) -> u64 {
    hash.as_bytes().iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte))
}

/// Mixes two numbers into an evenly spread one, by the finaliser of SplitMix64.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut n = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
