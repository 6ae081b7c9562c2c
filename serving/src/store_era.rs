//! Era of the platform's store, which rises each time the store returns from an older copy of its objects.
//!
//! The store then gives out revisions again, so a revision, the condition of a write and the position of a
//! watch mean nothing in another era than their own. The highest era that the store has named is the current
//! one, and answers of earlier eras change nothing.

use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of times that the store has returned from an older copy, as the store counts; 0 for a store that
/// names none.
pub type Era = u64;

/// Largest era that is accepted. Up to it, the epochs of groups stay below 2^53, which every parser of JSON
/// reads exactly.
pub const MAX_ERA: Era = 8000;

/// Revision of the store. One of a later era is larger than all of the earlier eras.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision {
    /// Era in which the store gave it out.
    pub era: Era,
    /// Number of the revision; 0 stands for none.
    pub number: u64,
}

impl From<u64> for Revision {
    /// Returns a revision of a store that names no era.
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

/// How the era that an answer names relates to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// It is the current era, or the first one that is known.
    None,
    /// The store has returned from an older copy since this era.
    Risen(Era),
    /// The answer was made before the store returned from an older copy.
    Earlier,
}

/// Handle to the era that this node knows.
#[derive(Debug, Clone)]
pub struct StoreEra {
    known: Arc<watch::Sender<KnownEra>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct KnownEra {
    era: Era,
    /// When the store first named it to this node; `None` while the store has named none.
    since: Option<Instant>,
    has_risen: bool,
}

impl StoreEra {
    /// Creates the state of a node that no store has named an era to.
    pub fn new() -> Self {
        Self { known: Arc::new(watch::channel(KnownEra::default()).0) }
    }

    /// Returns the current era; 0 while the store has named none.
    pub fn current(&self) -> Era {
        self.known.borrow().era
    }

    /// Returns the current era, or `None` while the store has named none.
    pub fn named(&self) -> Option<Era> {
        let known = *self.known.borrow();
        known.since.map(|_| known.era)
    }

    /// Returns when the store first named the current era to this node.
    pub fn since(&self) -> Option<Instant> {
        self.known.borrow().since
    }

    /// Returns when this node noticed that the store had returned from an older copy, if it did.
    pub fn risen_at(&self) -> Option<Instant> {
        let known = *self.known.borrow();
        known.since.filter(|_| known.has_risen)
    }

    /// Records the era that an answer names.
    pub fn observe(&self, named: Era, now: Instant) -> EraChange {
        let mut change = EraChange::None;
        self.known.send_if_modified(|known| {
            let is_first = known.since.is_none();
            if !is_first && named == known.era {
                return false;
            }
            if !is_first && named < known.era {
                change = EraChange::Earlier;
                return false;
            }
            if !is_first {
                change = EraChange::Risen(known.era);
            }
            *known = KnownEra { era: named, since: Some(now), has_risen: !is_first };
            true
        });
        change
    }

    /// Waits until the current era is another one than `era`.
    pub async fn changed_from(&self, era: Era) {
        // Fails only once the sender is dropped, which this handle keeps.
        let _ = self.known.subscribe().wait_for(|known| known.era != era).await;
    }
}

impl Default for StoreEra {
    fn default() -> Self {
        Self::new()
    }
}
