//! Requests that ran at replicas while those crashed, by fingerprint and over all nodes.
//!
//! A request that crashes each replica that runs it comes again with the same method, path, key and
//! body. One that ran at three different crashes is refused; by chance that does not happen, since
//! a replica's crash takes a few of many requests.

use guavaladder_lib::generated::serving_peer::CrashMark;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Crashes that convict a request, as the platform's rules count them.
pub const CONVICTING_CRASHES: usize = 3;
/// Time for which a mark is remembered.
const MARK_LIFETIME: Duration = Duration::from_secs(120);
/// Time for which a mark is told to the other nodes.
const TOLD_FOR: Duration = Duration::from_secs(2);
/// Marks that are remembered, at most.
const MAX_MARKS: usize = 4096;

/// The crash marks that a node knows.
#[derive(Debug, Default)]
pub struct CrashRecord {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    crashes: HashMap<u64, HashSet<u64>>,
    marks: VecDeque<(Instant, CrashMark)>,
    own: VecDeque<(Instant, CrashMark)>,
}

impl CrashRecord {
    /// Returns an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in that a request of this node ran at a replica that crashed.
    pub fn crashed(&self, mark: CrashMark, now: Instant) {
        let mut inner = self.lock();
        inner.own.push_back((now, mark));
        inner.add(mark, now);
    }

    /// Takes in what another node told.
    pub fn merge(&self, marks: &[CrashMark], now: Instant) {
        let mut inner = self.lock();
        for mark in marks {
            inner.add(*mark, now);
        }
    }

    /// Returns the crashes at which a request ran.
    pub fn crashes(&self, fingerprint: u64) -> usize {
        self.lock().crashes.get(&fingerprint).map_or(0, HashSet::len)
    }

    /// Returns this node's marks that are to be told.
    pub fn news(&self, now: Instant) -> Vec<CrashMark> {
        let mut inner = self.lock();
        inner.own.retain(|(at, _)| now - *at < TOLD_FOR);
        inner.own.iter().map(|(_, mark)| *mark).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn add(&mut self, mark: CrashMark, now: Instant) {
        let is_new = self.crashes.entry(mark.fingerprint).or_default().insert(mark.replica);
        if is_new {
            self.marks.push_back((now, mark));
        }
        let is_old = |(at, _): &(Instant, CrashMark)| now - *at > MARK_LIFETIME;
        while self.marks.len() > MAX_MARKS || self.marks.front().is_some_and(is_old) {
            let Some((_, old)) = self.marks.pop_front() else { return };
            let Some(crashes) = self.crashes.get_mut(&old.fingerprint) else { continue };
            crashes.remove(&old.replica);
            if crashes.is_empty() {
                self.crashes.remove(&old.fingerprint);
            }
        }
    }
}
