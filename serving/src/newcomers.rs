//! Which instances are registered for the first time, and whether most of the list is known by now.
//!
//! Load pattern: a fleet starts and its instances register at intervals over some seconds, while any
//! plan made meanwhile takes the first for all. Later new instances come one by one, for minutes, while
//! others are replaced; these must not keep the rest from being planned.

use crate::instance::InstanceId;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an instance counts as new: they register at intervals of about a second.
const NEW_INSTANCE_PERIOD: Duration = Duration::from_millis(1500);
/// Part of the known instances, as a divisor, that may be new in a list that counts as complete.
const NEW_FRACTION_DIVISOR: usize = 4;

/// The instances that were ever registered.
#[derive(Debug, Default)]
pub struct RegistrationTracker {
    known: HashSet<InstanceId>,
    recent: VecDeque<Instant>,
}

impl RegistrationTracker {
    /// Returns a list without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the registered instances.
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

    /// Tells whether most of the instances have been known for a while.
    pub fn is_stable(&self) -> bool {
        self.recent.len() * NEW_FRACTION_DIVISOR <= self.known.len()
    }
}
