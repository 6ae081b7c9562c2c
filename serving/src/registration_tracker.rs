//! Tracks first registrations of instances, to tell whether the instance list is nearly complete.
//!
//! Scenario: when a fleet starts, its instances register at intervals over some seconds, and a plan
//! made during that time would treat the first ones as the whole fleet. Later, new instances register
//! one by one over minutes as others are replaced; these must not block planning for the rest.

use crate::instance::InstanceId;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an instance counts as new. Instances register at intervals of about a second.
const NEW_INSTANCE_PERIOD: Duration = Duration::from_millis(1500);
/// Divisor of the number of known instances that yields how many may be new in a stable fleet.
const NEW_FRACTION_DIVISOR: usize = 4;

/// Records all instances that were ever registered, and when the new ones were first seen.
#[derive(Debug, Default)]
pub struct RegistrationTracker {
    known: HashSet<InstanceId>,
    recent: VecDeque<Instant>,
}

impl RegistrationTracker {
    /// Creates a tracker without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the instances that are registered at a time.
    pub fn record<'a>(&mut self, registered: impl Iterator<Item = &'a InstanceId>, now: Instant) {
        for id in registered {
            if !self.known.contains(id) {
                self.known.insert(id.clone());
                self.recent.push_back(now);
            }
        }
        while self.recent.front().is_some_and(|at| now - *at >= NEW_INSTANCE_PERIOD) {
            self.recent.pop_front();
        }
    }

    /// Returns whether only a small part of the instances is new.
    pub fn is_stable(&self) -> bool {
        self.recent.len() * NEW_FRACTION_DIVISOR <= self.known.len()
    }
}
