//! State of this node's lease on the groups: its term, and until when orders may be sent under it.
//!
//! The clock includes time in which the host was suspended, so a node that was suspended sees that its
//! lease has expired. A lease is void once the store has returned from an older copy: another node may have
//! acquired it since. The terms of an era lie above all of the earlier eras, whatever the store has lost, so
//! that no term, fencing token or epoch is used twice.

use crate::store_era::Era;
use crate::store_era::Revision;
use crate::store_era::StoreEra;
use guavaladder_lib::clock::Clock;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Size of the range of epochs that is reserved for each term.
const EPOCHS_PER_TERM: u64 = 1_000_000;
/// Size of the range of terms that is reserved for each era of the store.
const TERMS_PER_ERA: u64 = 1 << 20;

/// Returns the term that follows `last`, the highest one known, in an era.
pub fn next_term(last: u64, era: Era) -> u64 {
    last.max(era.saturating_mul(TERMS_PER_ERA)).saturating_add(1)
}

/// Returns the era in which a term began.
pub fn era_of_term(term: u64) -> Era {
    term / TERMS_PER_ERA
}

/// Returns the term in which an epoch was allocated.
pub fn term_of_epoch(epoch: u64) -> u64 {
    epoch / EPOCHS_PER_TERM
}

/// Shared handle to the state of the lease.
#[derive(Debug, Clone)]
pub struct LeaseState {
    clock: Clock,
    era: StoreEra,
    held: Arc<Mutex<Option<HeldLease>>>,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    term: u64,
    revision: Revision,
    renewed: Duration,
    until: Duration,
    next_epoch: u64,
}

impl LeaseState {
    /// Creates the state of a node that does not hold the lease.
    pub fn new(clock: Clock, era: StoreEra) -> Self {
        Self { clock, era, held: Arc::default() }
    }

    /// Records that the lease is held in a term until a time on the clock.
    ///
    /// `revision` is the revision of the lease's object, and `renewed` the time at which it was written.
    pub fn set_held(&self, term: u64, revision: Revision, renewed: Duration, until: Duration) {
        let mut held = self.lock();
        let next_epoch = match *held {
            Some(held) if held.term == term => held.next_epoch,
            _ => term.saturating_mul(EPOCHS_PER_TERM).saturating_add(1),
        };
        *held = Some(HeldLease { term, revision, renewed, until, next_epoch });
    }

    /// Records that the lease is no longer held.
    pub fn release(&self) {
        *self.lock() = None;
    }

    /// Returns the term while orders may be sent.
    pub fn term(&self) -> Option<u64> {
        let held = (*self.lock())?;
        let is_current = held.revision.era == self.era.current();
        (is_current && self.clock.now() < held.until).then_some(held.term)
    }

    /// Returns the revision of the lease's object and the time since it was written, while orders may
    /// be sent.
    pub fn renewal(&self) -> Option<(u64, Duration)> {
        self.term()?;
        let held = (*self.lock())?;
        Some((held.revision.number, self.clock.now().saturating_sub(held.renewed)))
    }

    /// Allocates an epoch, larger than all earlier ones of this and previous terms, while orders may be
    /// sent.
    pub fn next_epoch(&self) -> Option<u64> {
        self.term()?;
        let mut held = self.lock();
        let held = held.as_mut()?;
        held.next_epoch += 1;
        Some(held.next_epoch - 1)
    }

    fn lock(&self) -> MutexGuard<'_, Option<HeldLease>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
