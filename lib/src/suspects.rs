//! Detection of requests that crash replicas. Nodes exchange the fingerprints of the requests that
//! were running when a replica crashed.
//!
//! A request that completes is cleared of the crashes known at that time. One that was running at
//! `crash_limit` crashes is convicted unless another request was running at all of them. In that
//! case it is isolated from other suspects, and its third crash convicts it regardless of other
//! requests.
//!
//! Requests that are not alike may share a prefix that crashes replicas. Crashes are recorded for the prefix
//! too, and it is convicted once three of them are not explained by another suspect.

use crate::crash_history::CrashHistory;
use crate::crash_history::CrashedRequest;
use crate::crash_history::MAX_CRASHES;
use crate::cx::Cx;
use crate::facts::FactKind;
use crate::generated::requests::Suspect;
use crate::generated::requests::SuspectFact;
use crate::gossip_build::MAX_FACT_BYTES;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::time::Instant;

/// Maximum number of requests of which a node publishes the crashes; their encoded size is bounded too.
const MAX_PUBLISHED: usize = 128;

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
    history: CrashHistory,
    /// Fingerprints of the requests of which this node publishes the crashes: those that it observed, and
    /// those whose observers are gone.
    published: BTreeSet<u64>,
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
        let crashes = inner.history.record_crash(fingerprint, replica, Instant::now());
        inner.published.insert(fingerprint);
        self.publish(&mut inner);
        crashes
    }

    /// Records that a request completed, which clears it of the known crashes.
    pub fn clear(&self, fingerprint: u64) {
        let mut inner = self.lock();
        if inner.history.record_completion(fingerprint, Instant::now()) {
            inner.published.insert(fingerprint);
            self.publish(&mut inner);
        }
    }

    /// Returns whether a request is convicted because of its prefix, with the number of crashes that count
    /// against the prefix.
    pub fn convicted_prefix(&self, fingerprint: u64, prefix: u64) -> Option<usize> {
        let refusal = self.lock().history.refusal(&[prefix, fingerprint]);
        refusal.filter(|(key, _)| *key == prefix).map(|(_, crashes)| crashes)
    }

    /// Returns the current assessment of a request.
    pub fn verdict(&self, fingerprint: u64, crash_limit: u32) -> Verdict {
        self.verdict_beside_prefix(fingerprint, None, crash_limit)
    }

    /// Like `verdict`, for a request whose prefix has crashes of its own: it was running at all of the same
    /// ones, which does not make the request less of a suspect.
    pub fn verdict_beside_prefix(
        &self,
        fingerprint: u64,
        prefix: Option<u64>,
        crash_limit: u32,
    ) -> Verdict {
        let inner = self.lock();
        if inner.history.crash_count(fingerprint) == 0 {
            return Verdict::Clear;
        }
        let counted = inner.history.counted();
        let Some(crashes) = counted.get(&fingerprint) else { return Verdict::Clear };
        let limit = (crash_limit as usize).clamp(1, MAX_CRASHES);
        let is_shared = || {
            let is_own = |other: u64| other == fingerprint || Some(other) == prefix;
            let mut others = counted.iter().filter(|(other, _)| !is_own(**other));
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
        self.lock().history.crash_count(fingerprint)
    }

    /// Applies the observations that the other nodes published, and publishes repeated crashes of which
    /// no other node does, since the nodes that observed them are gone.
    pub fn refresh(&self) {
        let now = Instant::now();
        let current = self.current_facts();
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.history.expire(now);
        // A merge renews the time for which a request is kept, but a fact does not tell its age.
        for request in current.values() {
            if !inner.history.knows(request) {
                inner.history.merge(request, now);
            }
        }
        let is_known = |fingerprint: &u64| inner.history.get(*fingerprint, now).is_some();
        let mut is_changed = !inner.published.iter().all(is_known);
        for request in inner.history.shared(now) {
            let is_published = match current.get(&request.fingerprint) {
                Some(published) => covers(published, &request),
                None => request.crashes.is_empty(),
            };
            if !is_published && self.may_take_over() {
                is_changed |= inner.published.insert(request.fingerprint);
            }
        }
        if is_changed {
            self.publish(inner);
        }
    }

    /// Returns whether this node takes over a request in this round. One of all nodes does on average,
    /// and the others then see that it is published.
    fn may_take_over(&self) -> bool {
        rand::random_range(0..self.cx.members.get().len().max(1)) == 0
    }

    /// Returns the crashes in the facts of all nodes, this one included, by request. A fact of an earlier
    /// run of a node is left out: it is gone once the node publishes another one.
    fn current_facts(&self) -> BTreeMap<u64, CrashedRequest> {
        let members = self.cx.members.get();
        let mut current: BTreeMap<u64, CrashedRequest> = BTreeMap::new();
        for fact in self.cx.facts.all(FactKind::SuspectRequests) {
            let member = members.get(&fact.node);
            if member.is_some_and(|member| member.incarnation != fact.incarnation) {
                continue;
            }
            let fact = match postcard::from_bytes::<SuspectFact>(&fact.value) {
                Ok(fact) => fact,
                Err(e) => {
                    log::debug!("failed to decode the suspects of {}: {e}", fact.node);
                    continue;
                }
            };
            for Suspect { fingerprint, crashes } in fact.suspects {
                entry(&mut current, fingerprint).crashes.extend(crashes);
            }
            for Suspect { fingerprint, crashes } in fact.cleared {
                entry(&mut current, fingerprint).cleared.extend(crashes);
            }
        }
        current
    }

    /// Publishes the requests with the most crashes, as many as fit in a fact.
    fn publish(&self, inner: &mut Inner) {
        let now = Instant::now();
        let Inner { history, published } = inner;
        published.retain(|fingerprint| history.get(*fingerprint, now).is_some());
        let mut requests = history.most_crashing(usize::MAX, now);
        requests.retain(|request| published.contains(&request.fingerprint));
        requests.truncate(MAX_PUBLISHED);
        let value = loop {
            match postcard::to_stdvec(&suspect_fact(&requests)) {
                Ok(value) if value.len() <= MAX_FACT_BYTES => break value,
                Ok(_) => requests.truncate(requests.len() - 1),
                Err(e) => return log::debug!("failed to encode the suspects: {e}"),
            }
        };
        let cx = &self.cx;
        cx.facts.publish(cx.node(), cx.incarnation, FactKind::SuspectRequests, value);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn entry(requests: &mut BTreeMap<u64, CrashedRequest>, fingerprint: u64) -> &mut CrashedRequest {
    requests.entry(fingerprint).or_insert_with(|| CrashedRequest {
        fingerprint,
        crashes: vec![],
        cleared: vec![],
        age_ms: 0,
    })
}

/// Returns whether `published` has all crashes that count in `request`, and counts none that is cleared
/// there.
fn covers(published: &CrashedRequest, request: &CrashedRequest) -> bool {
    let is_cleared = |crash: &u64| published.cleared.contains(crash);
    let is_known = |crash: &u64| published.crashes.contains(crash) || is_cleared(crash);
    let is_outdated = |crash: &u64| published.crashes.contains(crash) && !is_cleared(crash);
    request.crashes.iter().all(is_known) && !request.cleared.iter().any(is_outdated)
}

fn suspect_fact(requests: &[CrashedRequest]) -> SuspectFact {
    let list = |crashes: fn(&CrashedRequest) -> &Vec<u64>| {
        let suspect = |request: &CrashedRequest| Suspect {
            fingerprint: request.fingerprint,
            crashes: crashes(request).clone(),
        };
        let suspects = requests.iter().map(suspect);
        suspects.filter(|suspect| !suspect.crashes.is_empty()).collect()
    };
    SuspectFact {
        suspects: list(|request| &request.crashes),
        cleared: list(|request| &request.cleared),
    }
}
