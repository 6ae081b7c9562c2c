//! The bounds that the configuration sets for one request.

use crate::attempt::StreamTimeouts;
use crate::generated::config::Customer;
use crate::generated::config::Defaults;
use crate::generated::config::Service;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the bound on silence in which a replica must answer whether it lives.
const PROBE_PART: u32 = 3;

/// Bounds of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestTerms {
    /// Weight of the customer.
    pub weight: u32,
    /// Requests of the customer that may wait.
    pub burst: u32,
    /// Longest wait for a replica.
    pub queue_wait: Duration,
    /// Longest silence within a stream.
    pub silence: Duration,
    /// Objective for the first token.
    pub first_token: Duration,
    /// Objective between tokens.
    pub between_tokens: Duration,
    /// Longest time that the request may take.
    pub deadline: Duration,
    /// Crashes that convict a request.
    pub crash_limit: u32,
    /// Retries that a request adds to the budget.
    pub retry_ratio: f64,
}

impl RequestTerms {
    /// Returns the bounds for a customer's request to a service.
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

    /// Returns the longest wait for a replica's report after its stream was interrupted.
    pub fn probe_bound(&self) -> Duration {
        self.silence / PROBE_PART
    }

    /// Returns when a stream that gives nothing is looked at.
    pub fn stream_timeouts(&self) -> StreamTimeouts {
        StreamTimeouts {
            first_token: self.silence.max(self.first_token),
            between_tokens: self.silence,
            deadline: Instant::now() + self.deadline,
        }
    }
}
