//! Crashes of replicas under requests, by the fingerprint of the request.
//!
//! A request that crashes each replica on which it runs comes again, at any node, as long as one node
//! does not know of the crashes. So the histories of the nodes have to agree, whatever a node missed:
//! crashes are only added, a cleared crash stays cleared, and histories merge in any order and any
//! number of times. Digests tell whether two histories differ.

use guavaladder_proc_macros::common_derives;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Number of crashes at which a request must not run again.
pub const MAX_CRASHES: usize = 3;
/// Number of crashes from which nodes keep their histories of a request equal. Most requests that were
/// running during one crash have nothing to do with it and never come again.
const SHARED_CRASHES: usize = 2;
/// Time for which a request with fewer crashes than that is kept.
const SINGLE_RETENTION: Duration = Duration::from_secs(120);
/// Time for which a request with more crashes is kept after it was last seen.
pub const SHARED_RETENTION: Duration = Duration::from_secs(3600);
/// Maximum number of requests that are kept.
const MAX_REQUESTS: usize = 1024;
/// Maximum number of requests in a message or a digest.
const MAX_SHARED: usize = 128;

/// Crashes under one request, as nodes exchange them.
#[common_derives(Eq)]
pub struct CrashedRequest {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Ids of the crashes that count against the request.
    pub crashes: Vec<u64>,
    /// Ids of the crashes that the request is cleared of.
    pub cleared: Vec<u64>,
    /// Time since the request was last seen, in milliseconds.
    pub age_ms: u64,
}

/// Whether a crash counts against the request that was running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CrashStatus {
    Counted,
    Cleared,
}

#[derive(Debug, Clone)]
struct Entry {
    crashes: BTreeMap<u64, CrashStatus>,
    last_seen: Instant,
}

impl Entry {
    fn counted(&self) -> usize {
        self.crashes.values().filter(|status| **status == CrashStatus::Counted).count()
    }

    fn is_shared(&self) -> bool {
        self.crashes.len() >= SHARED_CRASHES
    }

    fn is_expired(&self, now: Instant) -> bool {
        let retention = if self.is_shared() { SHARED_RETENTION } else { SINGLE_RETENTION };
        now.saturating_duration_since(self.last_seen) > retention
    }

    /// Order in which requests are kept: by crashes, then by the time at which they were last seen.
    fn rank(&self) -> (usize, Instant) {
        (self.counted(), self.last_seen)
    }
}

/// Crashes by request. Holds at most 1,024 requests and drops those with the fewest crashes first.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    requests: HashMap<u64, Entry>,
}

impl CrashHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a crash under a request and returns the number of crashes that count against it.
    pub fn record_crash(&mut self, fingerprint: u64, crash: u64, now: Instant) -> usize {
        self.merge(
            &CrashedRequest { fingerprint, crashes: vec![crash], cleared: vec![], age_ms: 0 },
            now,
        );
        self.crash_count(fingerprint)
    }

    /// Clears a request of its known crashes, since a run of it completed. Returns whether any of
    /// them counted.
    pub fn clear(&mut self, fingerprint: u64) -> bool {
        let Some(entry) = self.requests.get_mut(&fingerprint) else { return false };
        let had_crashes = entry.counted() > 0;
        entry.crashes.values_mut().for_each(|status| *status = CrashStatus::Cleared);
        had_crashes
    }

    /// Records that a request came again, which renews the time for which it is kept.
    pub fn touch(&mut self, fingerprint: u64, now: Instant) {
        if let Some(entry) = self.requests.get_mut(&fingerprint) {
            entry.last_seen = entry.last_seen.max(now);
        }
    }

    /// Returns the number of crashes that count against a request.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        self.requests.get(&fingerprint).map_or(0, Entry::counted)
    }

    /// Returns the crashes that count against each request, without the requests that have none.
    pub fn counted(&self) -> BTreeMap<u64, BTreeSet<u64>> {
        let counted = |entry: &Entry| -> BTreeSet<u64> {
            let counts = entry.crashes.iter().filter(|(_, s)| **s == CrashStatus::Counted);
            counts.map(|(crash, _)| *crash).collect()
        };
        let requests = self.requests.iter().map(|(f, entry)| (*f, counted(entry)));
        requests.filter(|(_, crashes)| !crashes.is_empty()).collect()
    }

    /// Merges the crashes that another node knows of under a request; returns whether any of them, or
    /// that it is cleared, was unknown here.
    pub fn merge(&mut self, request: &CrashedRequest, now: Instant) -> bool {
        let seen = now.checked_sub(Duration::from_millis(request.age_ms)).unwrap_or(now);
        let entry = self
            .requests
            .entry(request.fingerprint)
            .or_insert_with(|| Entry { crashes: BTreeMap::new(), last_seen: seen });
        entry.last_seen = entry.last_seen.max(seen);
        let mut is_changed = false;
        let counted = request.crashes.iter().map(|crash| (*crash, CrashStatus::Counted));
        let cleared = request.cleared.iter().map(|crash| (*crash, CrashStatus::Cleared));
        for (crash, status) in counted.chain(cleared) {
            let known = entry.crashes.get(&crash).copied();
            if known.is_none_or(|known| known < status) {
                entry.crashes.insert(crash, status);
                is_changed = true;
            }
        }
        self.expire(now);
        is_changed
    }

    /// Returns whether a merge of `request` would change nothing but the time for which it is kept.
    pub fn knows(&self, request: &CrashedRequest) -> bool {
        let Some(entry) = self.requests.get(&request.fingerprint) else { return false };
        let is_cleared = |crash: &u64| entry.crashes.get(crash) == Some(&CrashStatus::Cleared);
        request.crashes.iter().all(|crash| entry.crashes.contains_key(crash))
            && request.cleared.iter().all(is_cleared)
    }

    /// Drops the requests that were not seen for longer than they are kept, and those beyond the
    /// maximum number.
    pub fn expire(&mut self, now: Instant) {
        self.requests.retain(|_, entry| !entry.is_expired(now));
        while self.requests.len() > MAX_REQUESTS {
            let lowest = self.requests.iter().min_by_key(|(_, entry)| entry.rank());
            let Some(fingerprint) = lowest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.requests.remove(&fingerprint);
        }
    }

    /// Returns the crashes under a request, if any is known.
    pub fn get(&self, fingerprint: u64, now: Instant) -> Option<CrashedRequest> {
        let entry = self.requests.get(&fingerprint)?;
        let with = |wanted: CrashStatus| {
            let crashes = entry.crashes.iter().filter(|(_, status)| **status == wanted);
            crashes.map(|(crash, _)| *crash).collect()
        };
        Some(CrashedRequest {
            fingerprint,
            crashes: with(CrashStatus::Counted),
            cleared: with(CrashStatus::Cleared),
            age_ms: now.saturating_duration_since(entry.last_seen).as_millis() as u64,
        })
    }

    /// Returns up to `max` requests, those with the most crashes first.
    pub fn most_crashing(&self, max: usize, now: Instant) -> Vec<CrashedRequest> {
        let mut ranked: Vec<(&u64, &Entry)> = self.requests.iter().collect();
        ranked.sort_by_key(|(fingerprint, entry)| std::cmp::Reverse((entry.rank(), **fingerprint)));
        ranked.into_iter().take(max).filter_map(|(f, _)| self.get(*f, now)).collect()
    }

    /// Returns the requests of which all nodes keep the same history, at most 128.
    pub fn shared(&self, now: Instant) -> Vec<CrashedRequest> {
        let mut shared = self.most_crashing(MAX_REQUESTS, now);
        shared.retain(|r| r.crashes.len() + r.cleared.len() >= SHARED_CRASHES);
        shared.truncate(MAX_SHARED);
        shared
    }

    /// Returns a digest of the shared requests, which is equal on nodes that know the same crashes; 0
    /// if there are none.
    pub fn digest(&self, now: Instant) -> u64 {
        let shared = self.shared(now);
        let status = |r: &CrashedRequest, crash: u64, status: u64| {
            mix(r.fingerprint ^ mix(crash ^ mix(status)))
        };
        let of_request = |r: &CrashedRequest| {
            let counted = r.crashes.iter().map(|crash| status(r, *crash, 1));
            let cleared = r.cleared.iter().map(|crash| status(r, *crash, 2));
            counted.chain(cleared).fold(0, |sum, hash| sum ^ hash)
        };
        shared.iter().map(of_request).fold(0, |sum, hash| sum ^ hash)
    }
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
