//! A request inside a node, and the error of a request that ends without a complete response.

use crate::generated::engine::Priority;
use crate::generated::requests::ErrorBody;
use crate::generated::requests::ErrorCode;
use crate::generated::requests::Outcome;
use crate::ids::CustomerId;
use crate::ids::RequestId;
use crate::ids::ServiceId;
use crate::prefix_hash::PREFIX_BYTES;
use bytes::Bytes;
use std::time::Duration;
use tokio::time::Instant;

/// Stands for the path of a request where its prefix is hashed; no path has a space.
const PREFIX_PATH: &str = "prompt prefix";

/// Whether a request without a complete response may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// It was certainly not executed, so it is safe to send it again.
    NotRun,
    /// It may have been executed.
    MaybeRun,
}

impl RunStatus {
    /// Returns the outcome that is reported to the caller.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotRun => Outcome::NotRun,
            Self::MaybeRun => Outcome::Unknown,
        }
    }
}

/// Reason why a request got no complete response.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct RequestError {
    /// Stable error code.
    pub code: ErrorCode,
    /// Whether the request may have been executed.
    pub ran: RunStatus,
    /// Human-readable message.
    pub message: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Id of the request, if it was assigned one.
    pub request: Option<RequestId>,
    /// Whether the ledger confirms that no copy of a request with a key was or will be executed.
    pub is_confirmed: bool,
}

impl RequestError {
    /// Creates the error of a request that was not executed.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            code,
            ran: RunStatus::NotRun,
            message,
            retry_after: None,
            request: None,
            is_confirmed: false,
        }
    }

    /// Creates the error of a request that may have been executed.
    pub fn unknown(code: ErrorCode, message: impl Into<String>) -> Self {
        Self { ran: RunStatus::MaybeRun, ..Self::not_run(code, message) }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Marks the error as confirmed by the ledger.
    pub fn confirmed_by_ledger(self) -> Self {
        Self { is_confirmed: true, ..self }
    }

    /// Returns the error to report to the caller of a request with a key.
    ///
    /// This copy was not executed, but unless the ledger confirms the opposite, a copy that the
    /// caller sent earlier may have been. `is_first_send` means that the caller sent none.
    pub fn for_keyed_request(self, is_first_send: bool) -> Self {
        match self.is_confirmed || is_first_send {
            true => self,
            false => Self { ran: RunStatus::MaybeRun, ..self },
        }
    }

    /// Sets the id of the request.
    pub fn with_request(self, request: &str) -> Self {
        Self { request: Some(request.to_string()), ..self }
    }

    /// Returns the body of the error response.
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

/// A request that a node received from a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Customer that sent it.
    pub customer: CustomerId,
    /// Service that the request is for.
    pub service_id: ServiceId,
    /// Prompt, or the body of a call to a plain service.
    pub prompt: String,
    /// Path of a call to a plain service.
    pub path: String,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Priority in admission control.
    pub priority: Priority,
    /// Adapter that the replica must have loaded.
    pub adapter: Option<String>,
    /// Idempotency key of a request that runs at most once.
    pub key: Option<String>,
    /// Whether the caller states that it has not sent the request before.
    pub is_first_send: bool,
    /// Time by which the request must be complete.
    pub deadline: Instant,
    /// Hash of the content, the same for each resend.
    pub fingerprint: u64,
    /// Hash of the prompt's prefix, for cache-aware routing.
    pub prefix: u64,
    /// Body as it was received, which holds its reservation in an account of bytes.
    pub received: Bytes,
}

impl Request {
    /// Returns the key under which crashes are recorded for the prefix of the prompt; `None` if the prefix
    /// is the whole prompt.
    pub fn prefix_key(&self) -> Option<u64> {
        let prefix = format!("{:016x}", self.prefix);
        let key = || fingerprint(&self.service_id, self.adapter.as_deref(), PREFIX_PATH, &prefix);
        (self.prompt.len() > PREFIX_BYTES).then(key)
    }
}

/// Hashes the content of a request.
pub fn fingerprint(service: &str, adapter: Option<&str>, path: &str, prompt: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [service, adapter.unwrap_or_default(), path, prompt] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    first_u64(&hasher.finalize())
}

/// Returns the first eight bytes of a hash as a big-endian number.
pub fn first_u64(hash: &blake3::Hash) -> u64 {
    hash.as_bytes().iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte))
}

/// Combines two numbers into a uniformly distributed hash with the finalizer of SplitMix64.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut n = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
