//! Crashes of replicas under requests, by the fingerprint of the request or of a part that requests share.
//! What is said of requests below holds for such parts too.
//!
//! A request that crashes each replica on which it runs comes again, at any node, as long as one node
//! does not know of the crashes. So the histories of the nodes have to agree, whatever a node missed:
//! crashes are only added, a cleared crash stays cleared, and histories merge in any order and any
//! number of times. Digests tell whether two histories differ.
//!
//! Many callers may send the same harmless request, and some of its runs are on replicas that another
//! request crashes. Since a request that crashes each replica never completes, the crashes of a request
//! that completed not long before or afterwards are cleared.
//!
//! A crash also counts against each request that merely ran beside the one that caused it. So crashes are
//! no reason to refuse a request if another one that ran at them has more: see `CrashHistory::refusal`.

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
/// Time after its last crash for which a request with more crashes is kept. One that must not run again
/// may then run once more, and is refused again if that run crashes its replica.
pub const SHARED_RETENTION: Duration = Duration::from_secs(3600);
/// Maximum number of requests that are kept.
const MAX_REQUESTS: usize = 1024;
/// Maximum number of crashes that are kept of one request. A request that many callers send is cleared of
/// every crash at which it was running.
const MAX_CRASHES_KEPT: usize = 8;
/// Minimum time for which a completed run is remembered; the maximum is twice as long.
const COMPLETION_MEMORY: Duration = Duration::from_secs(60);
/// Time after a completed run in which no crash counts.
const COMPLETION_EXCUSE: Duration = Duration::from_secs(2);
/// Number of later crashes that do not count either, until the completed run is forgotten. A request or a
/// part that begins to crash replicas has completed not long before.
const EXCUSED_CRASHES: u8 = 3;
/// Interval at which old crashes are looked for.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of completed requests that are remembered for each such period.
const MAX_COMPLETED: usize = 16_384;
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
    /// Time since the last of these crashes, in milliseconds.
    pub age_ms: u64,
}

/// Whether a crash counts against the request that was running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CrashStatus {
    Counted,
    Cleared,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    status: CrashStatus,
    /// Number of the change of the history by which it got this status.
    change: u64,
}

#[derive(Debug, Clone)]
struct Entry {
    crashes: BTreeMap<u64, Crash>,
    last_crash: Instant,
}

impl Entry {
    /// Returns the ids of the crashes with a status.
    fn with_status(&self, wanted: CrashStatus) -> impl Iterator<Item = u64> {
        self.crashes.iter().filter(move |(_, crash)| crash.status == wanted).map(|(id, _)| *id)
    }

    fn counted(&self) -> usize {
        self.with_status(CrashStatus::Counted).count()
    }

    fn counts(&self, id: &u64) -> bool {
        self.crashes.get(id).is_some_and(|crash| crash.status == CrashStatus::Counted)
    }

    /// Returns whether a crash counts or was dropped as one of too many. The ones with the highest ids are.
    fn may_count(&self, id: &u64) -> bool {
        let last = self.with_status(CrashStatus::Counted).last();
        self.counts(id) || self.counted() == MAX_CRASHES_KEPT && last.is_some_and(|last| last < *id)
    }

    fn clear(&mut self, change: u64) {
        let counted = self.crashes.values_mut().filter(|c| c.status == CrashStatus::Counted);
        counted.for_each(|crash| *crash = Crash { status: CrashStatus::Cleared, change });
    }

    /// Drops the crashes beyond the maximum: the ones cleared first, whose clearing the other nodes have
    /// learned of, then the counted ones with the highest ids, which is the same choice on all nodes.
    fn truncate(&mut self) {
        while self.crashes.len() > MAX_CRASHES_KEPT {
            let cleared = self.crashes.iter().filter(|(_, c)| c.status == CrashStatus::Cleared);
            let dropped = cleared.min_by_key(|(_, crash)| crash.change).map(|(id, _)| *id);
            match dropped {
                Some(id) => self.crashes.remove(&id),
                None => self.crashes.pop_last().map(|(_, crash)| crash),
            };
        }
    }

    fn is_shared(&self) -> bool {
        self.crashes.len() >= SHARED_CRASHES
    }

    fn is_expired(&self, now: Instant) -> bool {
        let retention = if self.is_shared() { SHARED_RETENTION } else { SINGLE_RETENTION };
        now.saturating_duration_since(self.last_crash) > retention
    }

    /// Order in which requests are kept: by crashes, then by the time of the last one.
    fn rank(&self) -> (usize, Instant) {
        (self.counted(), self.last_crash)
    }
}

/// Crashes by request. Holds at most 1,024 requests and drops those with the fewest crashes first.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    requests: HashMap<u64, Entry>,
    completed: CompletedRequests,
    /// Number of changes so far.
    changes: u64,
    /// When old crashes were last looked for.
    last_expiry: Option<Instant>,
}

/// Last completed runs of requests in the current and in the previous period.
#[derive(Debug, Clone, Default)]
struct CompletedRequests {
    current: HashMap<u64, Completion>,
    previous: HashMap<u64, Completion>,
    period_start: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Completion {
    at: Instant,
    /// Number of later crashes that do not count.
    excused: u8,
}

impl Completion {
    /// Returns whether a crash does not count.
    fn excuses(&mut self, crashed_at: Instant) -> bool {
        if crashed_at < self.at + COMPLETION_EXCUSE {
            return true;
        }
        let is_excused = self.excused > 0;
        self.excused = self.excused.saturating_sub(1);
        is_excused
    }
}

impl CompletedRequests {
    fn add(&mut self, fingerprint: u64, now: Instant) {
        self.advance(now);
        if self.current.len() < MAX_COMPLETED || self.current.contains_key(&fingerprint) {
            self.current.insert(fingerprint, Completion { at: now, excused: EXCUSED_CRASHES });
        }
    }

    fn get_mut(&mut self, fingerprint: u64, now: Instant) -> Option<&mut Completion> {
        self.advance(now);
        self.current.get_mut(&fingerprint).or_else(|| self.previous.get_mut(&fingerprint))
    }

    /// Starts a new period if the current one has ended.
    fn advance(&mut self, now: Instant) {
        let period_start = *self.period_start.get_or_insert(now);
        let age = now.saturating_duration_since(period_start);
        if age < COMPLETION_MEMORY {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= 2 * COMPLETION_MEMORY {
            self.previous.clear();
        }
        self.period_start = Some(now);
    }
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

    /// Records that a run of a request completed, which clears it of the known crashes. Returns whether
    /// any of them counted.
    pub fn record_completion(&mut self, fingerprint: u64, now: Instant) -> bool {
        self.completed.add(fingerprint, now);
        let Some(entry) = self.requests.get_mut(&fingerprint) else { return false };
        let had_crashes = entry.counted() > 0;
        self.changes += 1;
        entry.clear(self.changes);
        had_crashes
    }

    /// Returns whether a run of a request completed so short a time ago that no crash counts against it.
    pub fn has_just_completed(&self, fingerprint: u64, now: Instant) -> bool {
        let CompletedRequests { current, previous, .. } = &self.completed;
        let completion = current.get(&fingerprint).or_else(|| previous.get(&fingerprint));
        completion.is_some_and(|completion| now < completion.at + COMPLETION_EXCUSE)
    }

    /// Returns the number of crashes that count against a request.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        self.requests.get(&fingerprint).map_or(0, Entry::counted)
    }

    /// Returns the crashes that count against each request, without the requests that have none.
    pub fn counted(&self) -> BTreeMap<u64, BTreeSet<u64>> {
        let counted =
            |entry: &Entry| -> BTreeSet<u64> { entry.with_status(CrashStatus::Counted).collect() };
        let requests = self.requests.iter().map(|(f, entry)| (*f, counted(entry)));
        requests.filter(|(_, crashes)| !crashes.is_empty()).collect()
    }

    /// Merges the crashes that another node knows of under a request; returns whether any of them, or
    /// that it is cleared, was unknown here.
    pub fn merge(&mut self, request: &CrashedRequest, now: Instant) -> bool {
        let crashed_at = now.checked_sub(Duration::from_millis(request.age_ms)).unwrap_or(now);
        let entry = self
            .requests
            .entry(request.fingerprint)
            .or_insert_with(|| Entry { crashes: BTreeMap::new(), last_crash: crashed_at });
        entry.last_crash = entry.last_crash.max(crashed_at);
        self.changes += 1;
        let change = self.changes;
        let mut is_changed = false;
        let mut completion = self.completed.get_mut(request.fingerprint, now);
        let counted = request.crashes.iter().map(|crash| (*crash, CrashStatus::Counted));
        let cleared = request.cleared.iter().map(|crash| (*crash, CrashStatus::Cleared));
        for (crash, status) in counted.chain(cleared) {
            if entry.crashes.get(&crash).is_some_and(|known| known.status >= status) {
                continue;
            }
            is_changed = true;
            let is_excused =
                completion.as_mut().is_some_and(|completion| completion.excuses(crashed_at));
            let status = if is_excused { CrashStatus::Cleared } else { status };
            entry.crashes.insert(crash, Crash { status, change });
        }
        entry.truncate();
        if self.last_expiry.is_none_or(|last| now >= last + EXPIRY_PERIOD) {
            self.expire(now);
        }
        self.drop_beyond_maximum();
        is_changed
    }

    /// Returns the key of a request for which the request must not run, with the number of crashes that
    /// count against it.
    ///
    /// A key has to have three crashes that nothing else explains. Those at which another suspect ran are
    /// explained by it if it has more crashes, or all of the same ones, and is no key of this request. The
    /// cause has the most crashes as soon as it has run without what ran beside it.
    pub fn refusal(&self, keys: &[u64]) -> Option<(u64, usize)> {
        let must_not_run = |key: &&u64| {
            let is_other = |other: u64| !keys.contains(&other);
            self.unexplained(**key, &is_other, true) >= MAX_CRASHES
        };
        let refused = keys.iter().filter(must_not_run).map(|key| (*key, self.crash_count(*key)));
        // The first of those with the most crashes.
        refused.rev().max_by_key(|(_, crashes)| *crashes)
    }

    /// Returns whether three crashes of a request are not explained by one that has more.
    pub fn is_suspected_cause(&self, fingerprint: u64) -> bool {
        self.unexplained(fingerprint, &|_| true, false) >= MAX_CRASHES
    }

    /// Returns the number of crashes under `key` at which no suspect ran that has more of them, or with
    /// `or_equal` the same ones; 0 if it is no suspect.
    fn unexplained(&self, key: u64, is_other: &dyn Fn(u64) -> bool, or_equal: bool) -> usize {
        let Some(entry) = self.requests.get(&key) else { return 0 };
        let crashes: Vec<u64> = entry.with_status(CrashStatus::Counted).collect();
        if crashes.len() < MAX_CRASHES {
            return 0;
        }
        let explains = |other: &&Entry| {
            let counted = other.counted();
            counted > crashes.len()
                || or_equal
                    && counted == crashes.len()
                    && crashes.iter().all(|crash| other.counts(crash))
        };
        let others = self.requests.iter().filter(|(other, _)| **other != key && is_other(**other));
        let explaining: Vec<&Entry> = others.map(|(_, entry)| entry).filter(explains).collect();
        let is_explained = |id: &u64| explaining.iter().any(|other| other.may_count(id));
        crashes.iter().filter(|id| !is_explained(id)).count()
    }

    /// Returns whether a merge of `request` would change nothing but the time for which it is kept.
    pub fn knows(&self, request: &CrashedRequest) -> bool {
        let Some(entry) = self.requests.get(&request.fingerprint) else { return false };
        let is_cleared = |crash: &u64| {
            entry.crashes.get(crash).is_some_and(|known| known.status == CrashStatus::Cleared)
        };
        request.crashes.iter().all(|crash| entry.crashes.contains_key(crash))
            && request.cleared.iter().all(is_cleared)
    }

    /// Drops the requests whose last crash is older than they are kept. A request that must not run again
    /// is first cleared of all crashes but two, so that it may run once.
    pub fn expire(&mut self, now: Instant) {
        self.last_expiry = Some(now);
        self.changes += 1;
        let cleared = Crash { status: CrashStatus::Cleared, change: self.changes };
        self.requests.retain(|_, entry| {
            if !entry.is_expired(now) {
                return true;
            }
            let is_refused = entry.counted() >= MAX_CRASHES;
            if is_refused {
                // The lowest ids are the same crashes on all nodes, so that their histories stay equal.
                let excess = entry.counted() - (MAX_CRASHES - 1);
                let lowest: Vec<u64> =
                    entry.with_status(CrashStatus::Counted).take(excess).collect();
                entry.crashes.extend(lowest.into_iter().map(|id| (id, cleared)));
                entry.last_crash = now;
            }
            is_refused
        });
    }

    /// Drops the requests with the fewest crashes beyond the maximum number.
    fn drop_beyond_maximum(&mut self) {
        while self.requests.len() > MAX_REQUESTS {
            let lowest = self.requests.iter().min_by_key(|(_, entry)| entry.rank());
            let Some(fingerprint) = lowest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.requests.remove(&fingerprint);
        }
    }

    /// Returns the crashes under a request, if any is known.
    pub fn get(&self, fingerprint: u64, now: Instant) -> Option<CrashedRequest> {
        let entry = self.requests.get(&fingerprint)?;
        Some(CrashedRequest {
            fingerprint,
            crashes: entry.with_status(CrashStatus::Counted).collect(),
            cleared: entry.with_status(CrashStatus::Cleared).collect(),
            age_ms: now.saturating_duration_since(entry.last_crash).as_millis() as u64,
        })
    }

    /// Returns up to `max` requests, those with the most crashes first.
    pub fn most_crashing(&self, max: usize, now: Instant) -> Vec<CrashedRequest> {
        let mut ranked: Vec<(&u64, &Entry)> = self.requests.iter().collect();
        ranked.sort_by_key(|(fingerprint, entry)| std::cmp::Reverse((entry.rank(), **fingerprint)));
        ranked.into_iter().take(max).filter_map(|(f, _)| self.get(*f, now)).collect()
    }

    /// Returns the requests of which all nodes have to count the same crashes, at most 128.
    pub fn shared(&self, now: Instant) -> Vec<CrashedRequest> {
        let mut shared = self.most_crashing(MAX_REQUESTS, now);
        shared.retain(|r| r.crashes.len() + r.cleared.len() >= SHARED_CRASHES);
        shared.truncate(MAX_SHARED);
        shared
    }

    /// Returns those of another node's requests of which it counts crashes that are cleared here, as they
    /// are known here.
    pub fn corrections(&self, requests: &[CrashedRequest], now: Instant) -> Vec<CrashedRequest> {
        let known = requests.iter().filter_map(|request| {
            let own = self.get(request.fingerprint, now)?;
            request.crashes.iter().any(|crash| own.cleared.contains(crash)).then_some(own)
        });
        known.collect()
    }

    /// Returns a digest of the counted crashes of the requests that have repeated ones, which is equal on
    /// nodes that count the same crashes; 0 if there are none.
    pub fn digest(&self, now: Instant) -> u64 {
        let mut digest = 0;
        for request in self.shared(now) {
            if request.crashes.len() >= SHARED_CRASHES {
                let hashes =
                    request.crashes.iter().map(|crash| mix(request.fingerprint ^ mix(*crash)));
                digest = hashes.fold(digest, |digest, hash| digest ^ hash);
            }
        }
        digest
    }
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
