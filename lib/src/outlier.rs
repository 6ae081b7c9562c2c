//! The circuit of one upstream: repeated failures eject it for a while, then one request tries it.

use std::time::Duration;
use tokio::time::Instant;

/// Failures in a row that eject an upstream.
const FAILURE_LIMIT: u32 = 3;
/// First ejection; doubled for each further one in a row.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Part of a service's replicas that may be ejected at once, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// State of an upstream's circuit.
#[derive(Debug, Clone, Copy, Default)]
pub struct Circuit {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
    is_trying: bool,
}

impl Circuit {
    /// Returns a closed circuit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether requests may be sent now.
    pub fn takes_work(&self, now: Instant) -> bool {
        match self.until {
            None => true,
            Some(until) => now >= until && !self.is_trying,
        }
    }

    /// Tells whether the upstream is ejected or being tried again.
    pub fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Counts a request that is sent; after an ejection it is the trial.
    pub fn start(&mut self) {
        self.is_trying = self.until.is_some();
    }

    /// Takes in a success; returns true when it ends an ejection.
    pub fn succeed(&mut self) -> bool {
        let was_ejected = self.until.is_some();
        *self = Self::new();
        was_ejected
    }

    /// Takes in a request that ended without telling anything about the upstream.
    pub fn abstain(&mut self) {
        self.is_trying = false;
    }

    /// Takes in a failure and returns the length of the ejection that it causes, if any.
    pub fn fail(&mut self, now: Instant, may_eject: bool) -> Option<Duration> {
        self.failures += 1;
        let is_trial = std::mem::take(&mut self.is_trying);
        if !is_trial && (self.failures < FAILURE_LIMIT || self.until.is_some() || !may_eject) {
            return None;
        }
        let period = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        let period = period.min(MAX_EJECTION);
        self.ejections += 1;
        self.until = Some(now + period);
        Some(period)
    }

    /// Returns the number of failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
