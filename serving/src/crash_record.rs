//! Record of the requests that were running on replicas when those crashed, by request fingerprint and
//! across all nodes.
//!
//! A request that crashes every replica on which it runs is retried with the same method, path, key and
//! body. A request that was running during three different crashes is refused. A harmless request
//! hardly ever reaches that count, since a crash affects only a few of many requests.

use guavaladder_lib::generated::serving_peer::CrashMark;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Number of crashes at which a request is refused, as the platform's rules specify.
pub const CRASH_REFUSAL_THRESHOLD: usize = 3;
/// Time for which a mark is kept.
const MARK_LIFETIME: Duration = Duration::from_secs(120);
/// Time for which a local mark is sent to the other nodes.
const MARK_BROADCAST_TIME: Duration = Duration::from_secs(2);
/// Maximum number of marks that are kept.
const MAX_MARKS: usize = 4096;

/// Returns a fingerprint as it appears in events.
pub fn format_fingerprint(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

/// Crash marks recorded by this node or received from other nodes.
#[derive(Debug, Default)]
pub struct CrashRecord {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    crashes: HashMap<u64, HashSet<u64>>,
    marks: VecDeque<(Instant, CrashMark)>,
    local_marks: VecDeque<(Instant, CrashMark)>,
}

impl CrashRecord {
    /// Returns an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request of this node was running on a replica that crashed, and returns the
    /// number of crashes known for the request.
    pub fn record_crash(&self, mark: CrashMark, now: Instant) -> usize {
        let mut inner = self.lock();
        inner.local_marks.push_back((now, mark));
        inner.add(mark, now);
        inner.crashes.get(&mark.fingerprint).map_or(0, HashSet::len)
    }

    /// Merges the marks received from another node. Returns the fingerprints that reached the
    /// refusal threshold by them.
    pub fn merge(&self, marks: &[CrashMark], now: Instant) -> Vec<u64> {
        let mut inner = self.lock();
        let mut refused = vec![];
        for mark in marks {
            let is_new = inner.add(*mark, now);
            let crashes = inner.crashes.get(&mark.fingerprint).map_or(0, HashSet::len);
            if is_new && crashes == CRASH_REFUSAL_THRESHOLD {
                refused.push(mark.fingerprint);
            }
        }
        refused
    }

    /// Returns the number of crashed replicas on which a request was running.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        self.lock().crashes.get(&fingerprint).map_or(0, HashSet::len)
    }

    /// Returns this node's recent marks, to be sent to the other nodes.
    pub fn recent_marks(&self, now: Instant) -> Vec<CrashMark> {
        let mut inner = self.lock();
        inner.local_marks.retain(|(at, _)| now - *at < MARK_BROADCAST_TIME);
        inner.local_marks.iter().map(|(_, mark)| *mark).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Adds a mark and removes those that are too old or too many; returns whether it is new.
    fn add(&mut self, mark: CrashMark, now: Instant) -> bool {
        let is_new = self.crashes.entry(mark.fingerprint).or_default().insert(mark.replica);
        if is_new {
            self.marks.push_back((now, mark));
        }
        let is_expired = |(at, _): &(Instant, CrashMark)| now - *at > MARK_LIFETIME;
        while self.marks.len() > MAX_MARKS || self.marks.front().is_some_and(is_expired) {
            let Some((_, expired)) = self.marks.pop_front() else { break };
            let Some(crashes) = self.crashes.get_mut(&expired.fingerprint) else { continue };
            crashes.remove(&expired.replica);
            if crashes.is_empty() {
                self.crashes.remove(&expired.fingerprint);
            }
        }
        is_new
    }
}
