//! Detection of requests that crash replicas. Nodes exchange the fingerprints of the requests that
//! were running when a replica crashed.
//!
//! A request that completes is cleared of the crashes known at that time. One that was running at
//! `crash_limit` crashes is convicted unless another request was running at all of them. In that
//! case it is isolated from other suspects, and its third crash convicts it regardless of other
//! requests.

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

/// Number of crashes that convict a request regardless of other requests.
const MAX_CRASHES: usize = 3;
/// Maximum number of suspects, and of cleared requests, that a node keeps and publishes.
const MAX_SUSPECTS: usize = 128;

/// Ids of crashes, as returned by `Replica::crash_id`.
type Crashes = BTreeSet<u64>;

/// Assessment of whether a request crashes replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was running at no crash that counts against it.
    Clear,
    /// It was running at fewer crashes than the limit.
    Suspect,
    /// It reached the limit, but another request was running at all of the same crashes.
    Isolate,
    /// It is considered the cause of the crashes and must not run again.
    Convicted,
}

/// Cloneable handle to the suspects that a node knows of.
#[derive(Debug, Clone)]
pub struct Suspects {
    cx: Cx,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    own: Observations,
    known: BTreeMap<u64, Crashes>,
}

/// Crashes and completed requests that this node observed.
#[derive(Debug, Default)]
struct Observations {
    suspects: VecDeque<(u64, Crashes)>,
    cleared: VecDeque<(u64, Crashes)>,
}

impl Suspects {
    /// Creates the state of a node that has observed no crash.
    pub fn new(cx: Cx) -> Self {
        Self { cx, inner: Arc::default() }
    }

    /// Records that a request was running when a replica crashed; returns its number of known
    /// crashes.
    pub fn record_crash(&self, fingerprint: u64, replica: u64) -> usize {
        let mut inner = self.lock();
        add_crashes(&mut inner.own.suspects, fingerprint, [replica]);
        self.publish(&mut inner);
        inner.known.get(&fingerprint).map_or(0, BTreeSet::len)
    }

    /// Records that a request completed, which clears it of the known crashes.
    pub fn clear(&self, fingerprint: u64) {
        let mut inner = self.lock();
        let Some(crashes) = inner.known.get(&fingerprint).cloned() else { return };
        add_crashes(&mut inner.own.cleared, fingerprint, crashes);
        self.publish(&mut inner);
    }

    /// Returns the current assessment of a request.
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

    /// Applies the observations that the other nodes published.
    pub fn refresh(&self) {
        let mut inner = self.lock();
        inner.known = self.combine(&inner.own);
    }

    /// Publishes this node's observations and combines them with those of the other nodes.
    fn publish(&self, inner: &mut Inner) {
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

    fn combine(&self, own: &Observations) -> BTreeMap<u64, Crashes> {
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

/// Adds crashes to the entry of a fingerprint and moves it to the back; a full queue drops its
/// front.
fn add_crashes(
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
