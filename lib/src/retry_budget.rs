//! Budget of retries: a part of the requests, so that retries cannot multiply an overload.

use std::sync::Mutex;
use std::sync::PoisonError;

/// Retries that are always at hand, for nodes with few requests.
const RESERVE: f64 = 10.0;

/// Budget from which each retry is taken and to which each request adds a part.
#[derive(Debug)]
pub struct RetryBudget {
    left: Mutex<f64>,
}

impl RetryBudget {
    /// Returns a budget that holds its reserve.
    pub fn new() -> Self {
        Self { left: Mutex::new(RESERVE) }
    }

    /// Adds a request's part.
    pub fn deposit(&self, ratio: f64) {
        let mut left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        *left = (*left + ratio).min(RESERVE * 10.0);
    }

    /// Takes one retry and tells whether there was one.
    pub fn withdraw(&self) -> bool {
        let mut left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        let has_left = *left >= 1.0;
        if has_left {
            *left -= 1.0;
        }
        has_left
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
