//! Circuit breaker of one upstream: consecutive failures eject it for a while, then a single trial
//! request decides whether it is restored.

use std::time::Duration;
use tokio::time::Instant;

/// Consecutive failures after which an upstream is ejected.
const FAILURE_LIMIT: u32 = 3;
/// Duration of the first ejection; doubled for each consecutive one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Maximum percentage of a service's replicas that may be ejected at the same time.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// State of an upstream's circuit breaker.
#[derive(Debug, Clone, Copy, Default)]
pub struct CircuitBreaker {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    is_trial_running: bool,
}

impl CircuitBreaker {
    /// Creates a closed circuit breaker, which allows requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a request may be sent now.
    pub fn allows_requests(&self, now: Instant) -> bool {
        match self.ejected_until {
            None => true,
            Some(ejected_until) => now >= ejected_until && !self.is_trial_running,
        }
    }

    /// Returns whether the upstream is ejected or has not yet passed its trial.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request is sent; after an ejection it is the trial request.
    pub fn record_start(&mut self) {
        self.is_trial_running = self.ejected_until.is_some();
    }

    /// Records a success; returns true if it ends an ejection.
    pub fn record_success(&mut self) -> bool {
        let was_ejected = self.ejected_until.is_some();
        *self = Self::new();
        was_ejected
    }

    /// Records that a request ended, which by itself is neither a success nor a failure.
    pub fn record_inconclusive(&mut self) {
        self.is_trial_running = false;
    }

    /// Records a failure; returns the duration of the ejection that it causes, if any.
    pub fn record_failure(&mut self, now: Instant, may_eject: bool) -> Option<Duration> {
        self.failures += 1;
        let is_trial = std::mem::take(&mut self.is_trial_running);
        if !is_trial
            && (self.failures < FAILURE_LIMIT || self.ejected_until.is_some() || !may_eject)
        {
            return None;
        }
        let period = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        let period = period.min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + period);
        Some(period)
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
