//! Adaptive concurrency limit of one replica, by additive increase and multiplicative decrease
//! (AIMD) on the time to first token.

use std::time::Duration;

/// Factor applied to the limit when the first token misses its objective.
const DECREASE: f64 = 0.9;
/// Lower bound of the limit, so that a slow replica still gets requests.
const MIN_LIMIT: f64 = 1.0;

/// Limit on the number of concurrent requests at a replica.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit {
    /// Number of requests; `None` before the first observation.
    limit: Option<f64>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a replica without observations, which equals its capacity.
    pub fn new() -> Self {
        Self { limit: None }
    }

    /// Adjusts the limit after a request by its time to first token and the objective for it.
    pub fn observe(&mut self, first_token: Duration, objective: Duration, capacity: u32) {
        let capacity = f64::from(capacity);
        let limit = self.limit.unwrap_or(capacity);
        let changed = match first_token > objective {
            true => limit * DECREASE,
            false => limit + 1.0 / limit.max(1.0),
        };
        self.limit = Some(changed.clamp(MIN_LIMIT, capacity.max(MIN_LIMIT)));
    }

    /// Returns the limit for a replica with this capacity.
    pub fn get(&self, capacity: u32) -> u32 {
        let limit = self.limit.map_or(capacity, |limit| limit.round() as u32);
        limit.clamp(1, capacity.max(1))
    }
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self::new()
    }
}
