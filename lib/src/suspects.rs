//! Requests that were running when replicas crashed, shared among the nodes by fingerprint.
//!
//! A request that ran to its end is cleared of the crashes known by then. One that was running at
//! `crash_limit` crashes is convicted when no other request shares all of them; while another one
//! does, it runs beside no other suspect, and the third crash convicts it in any case.

use crate::cx::Cx;
use crate::facts::FactKind;
use crate::generated::requests::Suspect;
use crate::generated::requests::SuspectFact;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Crashes that convict a request whatever ran beside it.
const MAX_CRASHES: usize = 3;
/// Suspects that a node remembers, and shares.
const MAX_SUSPECTS: usize = 128;

/// Hashes of the crashed replicas' identities.
type Crashes = BTreeSet<u64>;

/// What is known against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Clear,
    /// It was running at a crash.
    Suspect,
    /// It was running at as many crashes as convict, but others shared them all.
    Isolate,
    /// Replicas crash because of it.
    Convicted,
}

/// Handle to the suspects.
#[derive(Debug, Clone)]
pub struct Suspects {
    cx: Cx,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    own: Record,
    known: BTreeMap<u64, Crashes>,
}

/// What one node has seen.
#[derive(Debug, Default)]
struct Record {
    suspects: VecDeque<(u64, Crashes)>,
    cleared: VecDeque<(u64, Crashes)>,
}

impl Suspects {
    /// Returns the suspects of a node that has seen no crash.
    pub fn new(cx: Cx) -> Self {
        Self { cx, inner: Arc::default() }
    }

    /// Takes in that a request was running when a replica crashed; returns its known crashes.
    pub fn crashed(&self, fingerprint: u64, replica: u64) -> usize {
        let mut inner = self.lock();
        add(&mut inner.own.suspects, fingerprint, [replica]);
        self.share(&mut inner);
        inner.known.get(&fingerprint).map_or(0, BTreeSet::len)
    }

    /// Takes in that a request ran to its end.
    pub fn clear(&self, fingerprint: u64) {
        let mut inner = self.lock();
        let Some(crashes) = inner.known.get(&fingerprint).cloned() else { return };
        add(&mut inner.own.cleared, fingerprint, crashes);
        self.share(&mut inner);
    }

    /// Returns what is known against a request.
    pub fn verdict(&self, fingerprint: u64, crash_limit: u32) -> Verdict {
        let inner = self.lock();
        let Some(crashes) = inner.known.get(&fingerprint) else { return Verdict::Clear };
        let limit = (crash_limit as usize).clamp(1, MAX_CRASHES);
        let is_shared = || {
            let mut others = inner.known.iter().filter(|(other, _)| **other != fingerprint);
            others.any(|(_, other)| other.is_superset(crashes))
        };
        match crashes.len() {
            0 => Verdict::Clear,
            MAX_CRASHES.. => Verdict::Convicted,
            n if n < limit => Verdict::Suspect,
            _ if is_shared() => Verdict::Isolate,
            _ => Verdict::Convicted,
        }
    }

    /// Returns the number of known crashes at which a request was running.
    pub fn crashes(&self, fingerprint: u64) -> usize {
        self.lock().known.get(&fingerprint).map_or(0, BTreeSet::len)
    }

    /// Takes in what the other nodes share.
    pub fn refresh(&self) {
        let mut inner = self.lock();
        inner.known = self.combine(&inner.own);
    }

    /// Publishes this node's record and combines it with those of the others.
    fn share(&self, inner: &mut Inner) {
        let list = |queue: &VecDeque<(u64, Crashes)>| {
            let suspect = |(fingerprint, crashes): &(u64, Crashes)| Suspect {
                fingerprint: *fingerprint,
                crashes: crashes.iter().copied().collect(),
            };
            queue.iter().map(suspect).collect()
        };
        let fact =
            SuspectFact { suspects: list(&inner.own.suspects), cleared: list(&inner.own.cleared) };
        if let Ok(value) = postcard::to_stdvec(&fact) {
            let cx = &self.cx;
            cx.facts.publish(cx.node(), cx.incarnation, FactKind::SuspectRequests, value);
        }
        inner.known = self.combine(&inner.own);
    }

    fn combine(&self, own: &Record) -> BTreeMap<u64, Crashes> {
        let mut known: BTreeMap<u64, Crashes> = BTreeMap::new();
        let mut cleared: Vec<(u64, Crashes)> = own.cleared.iter().cloned().collect();
        for (fingerprint, crashes) in &own.suspects {
            known.entry(*fingerprint).or_default().extend(crashes);
        }
        for fact in self.cx.facts.all(FactKind::SuspectRequests) {
            let Ok(fact) = postcard::from_bytes::<SuspectFact>(&fact.value) else { continue };
            for suspect in fact.suspects {
                known.entry(suspect.fingerprint).or_default().extend(suspect.crashes);
            }
            let pairs = fact.cleared.into_iter().map(|s| (s.fingerprint, s.crashes));
            cleared.extend(pairs.map(|(fp, crashes)| (fp, crashes.into_iter().collect())));
        }
        for (fingerprint, crashes) in cleared {
            if let Some(known) = known.get_mut(&fingerprint) {
                known.retain(|crash| !crashes.contains(crash));
            }
        }
        known.retain(|_, crashes| !crashes.is_empty());
        known
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds crashes to a fingerprint's, which becomes the newest; the oldest one is forgotten.
fn add(
    queue: &mut VecDeque<(u64, Crashes)>,
    fingerprint: u64,
    more: impl IntoIterator<Item = u64>,
) {
    let known = queue.iter().position(|(known, _)| *known == fingerprint);
    let mut crashes = known.and_then(|i| queue.remove(i)).map(|(_, c)| c).unwrap_or_default();
    crashes.extend(more);
    if queue.len() == MAX_SUSPECTS {
        queue.pop_front();
    }
    queue.push_back((fingerprint, crashes));
}
