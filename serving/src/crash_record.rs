//! Record of the requests that were running on replicas when those crashed, by the fingerprints of the
//! requests and of the parts of their prompts, and across all nodes.
//!
//! A request that crashes every replica on which it runs is retried with the same method, path, customer
//! and body, and a part of a prompt that does so comes in requests that have nothing else in common. A
//! request is refused if it, or one of its parts, was running during three different crashes that nothing
//! else explains. Harmless requests hardly ever reach that count, since a crash affects only a few of many
//! requests; parts that many of them share are cleared by those that complete.

use crate::crash_keys::CrashKeys;
use crate::crash_keys::CrashSubject;
use guavaladder_lib::crash_history::CrashHistory;
use guavaladder_lib::crash_history::CrashedRequest;
use guavaladder_lib::crash_history::MAX_CRASHES;
use guavaladder_lib::generated::serving_peer::CrashMark;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Number of crashes at which a request is refused, as the platform's rules specify.
pub const CRASH_REFUSAL_THRESHOLD: usize = MAX_CRASHES;
/// Time for which a local mark is sent to the other nodes in heartbeats. Nodes that miss it learn of a
/// repeated crash by `crash_sync`.
const MARK_BROADCAST_TIME: Duration = Duration::from_secs(2);
/// Maximum number of marks in a heartbeat.
const MAX_BROADCAST_MARKS: usize = 256;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRefusal {
    /// Whether the whole request crashes replicas, or which of its parts.
    pub subject: CrashSubject,
    /// Fingerprint of that request or part.
    pub fingerprint: u64,
    /// Number of crashes that count against it.
    pub crashes: usize,
}

/// Returns a fingerprint as it appears in events and in the store.
pub fn format_fingerprint(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

/// Crashes recorded by this node or learned from other nodes and from the store.
#[derive(Debug, Default)]
pub struct CrashRecord {
    inner: Mutex<Inner>,
    refusal_added: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    history: CrashHistory,
    local_marks: VecDeque<(Instant, CrashMark)>,
    /// Fingerprints of refused requests and parts of which this node saw a crash itself.
    witnessed: HashSet<u64>,
}

impl Inner {
    /// Adds a mark to those that are sent, and drops the oldest one with the fewest crashes beyond the
    /// maximum number.
    fn add_local_mark(&mut self, mark: CrashMark, now: Instant) {
        if self.local_marks.iter().any(|(_, known)| *known == mark) {
            return;
        }
        self.local_marks.push_back((now, mark));
        if self.local_marks.len() > MAX_BROADCAST_MARKS {
            let crashes = |(_, (_, mark)): &(usize, &(Instant, CrashMark))| {
                self.history.crash_count(mark.fingerprint)
            };
            let dropped = self.local_marks.iter().enumerate().min_by_key(crashes);
            let dropped = dropped.map_or(0, |(index, _)| index);
            self.local_marks.remove(dropped);
        }
    }
}

impl CrashRecord {
    /// Returns an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request of this node, or a part of it, was running on a replica that crashed, and
    /// returns the number of crashes known for it.
    pub fn record_crash(&self, mark: CrashMark, now: Instant) -> usize {
        let mut inner = self.lock();
        let crashes = inner.history.record_crash(mark.fingerprint, mark.replica, now);
        if !inner.history.has_just_completed(mark.fingerprint, now) {
            inner.add_local_mark(mark, now);
        }
        if crashes >= CRASH_REFUSAL_THRESHOLD {
            inner.witnessed.insert(mark.fingerprint);
            self.refusal_added.notify_one();
        }
        crashes
    }

    /// Merges the marks received from another node. Returns the fingerprints that are refused from now
    /// on.
    pub fn merge(&self, marks: &[CrashMark], now: Instant) -> Vec<u64> {
        let request = |mark: &CrashMark| CrashedRequest {
            fingerprint: mark.fingerprint,
            crashes: vec![mark.replica],
            cleared: vec![],
            age_ms: 0,
        };
        self.merge_requests(&marks.iter().map(request).collect::<Vec<_>>(), now)
    }

    /// Merges the requests of another node's record or of the store. Returns the fingerprints that are
    /// refused from now on.
    pub fn merge_requests(&self, requests: &[CrashedRequest], now: Instant) -> Vec<u64> {
        let mut inner = self.lock();
        let mut refused = vec![];
        for request in requests {
            let is_refused =
                |history: &CrashHistory| history.is_suspected_cause(request.fingerprint);
            // Heartbeats repeat their marks, and most of them are known.
            let is_known = inner.history.knows(request);
            let was_refused = is_known || is_refused(&inner.history);
            inner.history.merge(request, now);
            if !was_refused && is_refused(&inner.history) {
                refused.push(request.fingerprint);
            }
        }
        refused
    }

    /// Returns the number of crashed replicas on which a request was running.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        self.lock().history.crash_count(fingerprint)
    }

    /// Returns what has the most crashes of a request and its parts, with their number, if any has one.
    pub fn most_suspect(&self, keys: &CrashKeys) -> Option<CrashRefusal> {
        let inner = self.lock();
        let suspects = keys.all().map(|(fingerprint, subject)| {
            let crashes = inner.history.crash_count(fingerprint);
            CrashRefusal { subject, fingerprint, crashes }
        });
        suspects.filter(|suspect| suspect.crashes > 0).max_by_key(|suspect| suspect.crashes)
    }

    /// Returns why a request has to be refused, if it has to.
    pub fn refusal(&self, keys: &CrashKeys) -> Option<CrashRefusal> {
        let fingerprints: Vec<u64> = keys.all().map(|(fingerprint, _)| fingerprint).collect();
        let (refused, crashes) = self.lock().history.refusal(&fingerprints)?;
        let (fingerprint, subject) = keys.all().find(|(fingerprint, _)| *fingerprint == refused)?;
        Some(CrashRefusal { subject, fingerprint, crashes })
    }

    /// Returns whether a fingerprint is refused, in any request that holds it.
    pub fn is_refused(&self, fingerprint: u64) -> bool {
        self.lock().history.is_suspected_cause(fingerprint)
    }

    /// Returns whether a run of a request or a part completed so short a time ago that no crash counts
    /// against it.
    pub fn has_just_completed(&self, fingerprint: u64, now: Instant) -> bool {
        self.lock().history.has_just_completed(fingerprint, now)
    }

    /// Records that a run of a request completed, which clears it and its parts of the known crashes.
    pub fn record_completion(&self, keys: &CrashKeys, now: Instant) {
        let mut inner = self.lock();
        for (fingerprint, _) in keys.all() {
            inner.history.record_completion(fingerprint, now);
        }
    }

    /// Drops what is older than it is kept.
    pub fn expire(&self, now: Instant) {
        let mut inner = self.lock();
        inner.history.expire(now);
        let Inner { history, witnessed, .. } = &mut *inner;
        witnessed.retain(|fingerprint| history.crash_count(*fingerprint) > 0);
    }

    /// Returns this node's recent marks, to be sent to the other nodes.
    pub fn recent_marks(&self, now: Instant) -> Vec<CrashMark> {
        let mut inner = self.lock();
        inner.local_marks.retain(|(at, _)| now - *at < MARK_BROADCAST_TIME);
        inner.local_marks.iter().map(|(_, mark)| *mark).collect()
    }

    /// Returns the digest of the requests with repeated crashes; 0 if there are none.
    pub fn digest(&self, now: Instant) -> u64 {
        self.lock().history.digest(now)
    }

    /// Returns the requests with repeated crashes.
    pub fn repeated(&self, now: Instant) -> Vec<CrashedRequest> {
        self.lock().history.shared(now)
    }

    /// Returns those of another node's requests of which it counts crashes that are cleared here.
    pub fn corrections(&self, requests: &[CrashedRequest], now: Instant) -> Vec<CrashedRequest> {
        self.lock().history.corrections(requests, now)
    }

    /// Returns the refused requests and parts, each with whether this node saw one of the crashes itself.
    pub fn refused(&self, now: Instant) -> Vec<(CrashedRequest, bool)> {
        let inner = self.lock();
        let mut repeated = inner.history.shared(now);
        repeated.retain(|request| inner.history.is_suspected_cause(request.fingerprint));
        let with_witness = |request: CrashedRequest| {
            let is_witness = inner.witnessed.contains(&request.fingerprint);
            (request, is_witness)
        };
        repeated.into_iter().map(with_witness).collect()
    }

    /// Waits until this node has recorded a crash by which a request is refused.
    pub async fn refusal_added(&self) {
        self.refusal_added.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
