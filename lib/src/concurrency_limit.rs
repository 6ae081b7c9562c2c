//! Adaptive bound on the requests of one replica, by additive increase and multiplicative decrease
//! on the time to the first token.

use std::time::Duration;

/// Factor by which a late first token lowers the limit.
const DECREASE: f64 = 0.9;
/// Smallest limit, so that a replica is never given up for slowness alone.
const MIN_LIMIT: f64 = 1.0;

/// Limit on the number of requests that run at a replica.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit {
    /// Part of the replica's capacity that is used, within 0 to 1.
    limit: Option<f64>,
}

impl ConcurrencyLimit {
    /// Returns the limit of a replica of which nothing is known: its whole capacity.
    pub fn new() -> Self {
        Self { limit: None }
    }

    /// Takes in the time to the first token of a request, against its objective.
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
