//! Limits and objectives of one request, from the configuration.

use crate::attempt::StreamTimeouts;
use crate::generated::config::Customer;
use crate::generated::config::Defaults;
use crate::generated::config::Service;
use std::time::Duration;
use tokio::time::Instant;

/// A replica must answer a status probe within this fraction of the idle timeout.
const PROBE_TIMEOUT_DIVISOR: u32 = 3;

/// Silence of a stream that can't be resumed, as a multiple of the idle timeout: its replica may be paused
/// for longer than that, and nothing is gained by giving it up.
const UNRESUMABLE_SILENCE_FACTOR: u32 = 5;

/// Limits and objectives that apply to one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Weight of the customer in fair sharing.
    pub weight: u32,
    /// Maximum number of queued requests of the customer.
    pub burst: u32,
    /// Maximum time in the queue for a replica.
    pub queue_wait: Duration,
    /// Idle timeout of a stream.
    pub silence: Duration,
    /// Objective for the time to first token.
    pub first_token: Duration,
    /// Objective for the time between two tokens.
    pub between_tokens: Duration,
    /// Maximum duration of the request.
    pub deadline: Duration,
    /// Number of crashes after which a request is convicted of causing them.
    pub crash_limit: u32,
    /// Fraction of a retry that a request adds to the retry budget.
    pub retry_ratio: f64,
}

impl RequestLimits {
    /// Combines the defaults with the settings of the service and the customer.
    pub fn new(defaults: &Defaults, service: &Service, customer: &Customer) -> Self {
        Self {
            weight: customer.weight,
            burst: customer.burst,
            queue_wait: defaults.queue_wait,
            silence: defaults.silence,
            first_token: service.first_token.unwrap_or(defaults.first_token),
            between_tokens: service.between_tokens.unwrap_or(defaults.between_tokens),
            deadline: service.request_deadline.unwrap_or(defaults.request_deadline),
            crash_limit: defaults.crash_limit,
            retry_ratio: defaults.retry_ratio,
        }
    }

    /// Returns the timeout of the status probe after a stream was interrupted.
    pub fn probe_timeout(&self) -> Duration {
        self.silence / PROBE_TIMEOUT_DIVISOR
    }

    /// Returns the timeouts of an attempt's stream; the deadline counts from now.
    pub fn stream_timeouts(&self, is_resumable: bool) -> StreamTimeouts {
        let silence = match is_resumable {
            true => self.silence,
            false => self.silence * UNRESUMABLE_SILENCE_FACTOR,
        };
        StreamTimeouts {
            first_token: silence.max(self.first_token),
            between_tokens: silence,
            deadline: Instant::now() + self.deadline,
        }
    }
}
