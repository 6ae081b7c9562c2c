//! Retry budget: limits retries to a fraction of the requests, so that they cannot amplify an
//! overload.

use std::sync::Mutex;
use std::sync::PoisonError;

/// Initial balance, which lets nodes with few requests retry.
const RESERVE: f64 = 10.0;

/// Balance to which each request adds a fraction of a retry, and from which each retry takes one.
#[derive(Debug)]
pub struct RetryBudget {
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget with the initial balance.
    pub fn new() -> Self {
        Self { balance: Mutex::new(RESERVE) }
    }

    /// Adds `ratio` retries for a request, up to the maximum balance.
    pub fn deposit(&self, ratio: f64) {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        *balance = (*balance + ratio).min(RESERVE * 10.0);
    }

    /// Takes one retry; returns false if the budget is exhausted.
    pub fn withdraw(&self) -> bool {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        let is_available = *balance >= 1.0;
        if is_available {
            *balance -= 1.0;
        }
        is_available
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
