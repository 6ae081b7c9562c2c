//! What this node knows of the load and the health of each replica: its own requests, those of the
//! other nodes as they last told, signs of life, failures, and whether it was found to be down.

use crate::replica_set::Replica;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Weight of the newest value in the moving averages.
const NEWEST_WEIGHT: f64 = 0.2;
/// Time for which a replica that was found to be down gets no requests unless its key changes: longer
/// than the entry of an instance that vanished stays registered, which is three heartbeats.
const DOWN_PERIOD: Duration = Duration::from_secs(6);
/// Age from which on the other nodes' numbers count no more.
const MAX_REMOTE_AGE: Duration = Duration::from_secs(3);
/// Failures in a row that eject a replica.
const EJECT_FAILURES: u32 = 3;
/// First ejection; doubled for each further one in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(1000);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Load and health of one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaState {
    /// Requests of this node that run or wait there.
    pub own: u32,
    /// Requests of the other nodes there.
    pub remote: u32,
    /// Requests of this node that wait for their first event.
    pub unanswered: u32,
    /// Last sign of life, or the start of the oldest request if there is none since.
    pub last_sign: Option<Instant>,
    /// Smoothed time between two events, as a factor on the expected one; above 1 it is slow.
    pub slowness: f64,
    /// Whether it was found to be down.
    pub is_down: bool,
    /// Whether its failures ejected it.
    pub is_ejected: bool,
    /// Smoothed part of its requests that failed.
    pub failure_rate: f64,
}

impl ReplicaState {
    /// Returns the state of a replica of which nothing is known.
    pub fn unknown() -> Self {
        Self {
            own: 0,
            remote: 0,
            unanswered: 0,
            last_sign: None,
            slowness: 1.0,
            is_down: false,
            is_ejected: false,
            failure_rate: 0.0,
        }
    }

    /// Returns the requests of all nodes there.
    pub fn requests(&self) -> u32 {
        self.own + self.remote
    }
}

#[derive(Debug)]
struct Entry {
    own: u32,
    unanswered: u32,
    last_sign: Option<Instant>,
    slowness: f64,
    failure_rate: f64,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    down: watch::Sender<Option<Instant>>,
    missing_member: String,
}

impl Entry {
    fn new() -> Self {
        Self {
            own: 0,
            unanswered: 0,
            last_sign: None,
            slowness: 1.0,
            failure_rate: 0.0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            down: watch::channel(None).0,
            missing_member: String::new(),
        }
    }

    fn is_down(&self, now: Instant) -> bool {
        self.down.borrow().is_some_and(|until| until > now)
    }
}

/// Shared table of the replicas' loads, by the hash of their keys.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: HashMap<u64, Entry>,
    /// What each other node told, with the time.
    remote: HashMap<String, (Instant, HashMap<u64, u32>)>,
    remote_sums: HashMap<u64, u32>,
}

/// A request's place at a replica, given back when dropped.
#[derive(Debug)]
pub struct Place {
    table: LoadTable,
    hash: u64,
    is_answered: bool,
}

impl LoadTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that is sent to a replica.
    pub fn enter(&self, replica: &Replica) -> Place {
        let mut inner = self.lock();
        let entry = inner.entries.entry(replica.hash).or_insert_with(Entry::new);
        if entry.own == 0 {
            entry.last_sign = Some(Instant::now());
        }
        entry.own += 1;
        entry.unanswered += 1;
        Place { table: self.clone(), hash: replica.hash, is_answered: false }
    }

    /// Returns the state of a replica.
    pub fn state(&self, replica: &Replica, now: Instant) -> ReplicaState {
        let inner = self.lock();
        let remote = inner.remote_sums.get(&replica.hash).copied().unwrap_or(0);
        let Some(entry) = inner.entries.get(&replica.hash) else {
            return ReplicaState { remote, ..ReplicaState::unknown() };
        };
        ReplicaState {
            own: entry.own,
            remote,
            unanswered: entry.unanswered,
            last_sign: entry.last_sign,
            slowness: entry.slowness,
            is_down: entry.is_down(now),
            is_ejected: entry.ejected_until.is_some_and(|until| until > now),
            failure_rate: entry.failure_rate,
        }
    }

    /// Takes in a sign of life of a replica.
    pub fn sign(&self, hash: u64, now: Instant) {
        if let Some(entry) = self.lock().entries.get_mut(&hash) {
            entry.last_sign = Some(now);
        }
    }

    /// Takes in the time between two events against the expected one.
    pub fn observe_pause(&self, hash: u64, pause: Duration, expected: Duration, now: Instant) {
        let Some(expected) = Some(expected.as_secs_f64()).filter(|expected| *expected > 0.0) else {
            return self.sign(hash, now);
        };
        if let Some(entry) = self.lock().entries.get_mut(&hash) {
            entry.last_sign = Some(now);
            let factor = pause.as_secs_f64() / expected;
            entry.slowness += NEWEST_WEIGHT * (factor - entry.slowness);
        }
    }

    /// Takes in a success.
    pub fn succeed(&self, hash: u64) {
        if let Some(entry) = self.lock().entries.get_mut(&hash) {
            entry.failures = 0;
            entry.ejections = 0;
            entry.ejected_until = None;
            entry.failure_rate -= NEWEST_WEIGHT * entry.failure_rate;
        }
    }

    /// Takes in a failure; returns the length of the ejection that it causes.
    pub fn fail(&self, hash: u64, now: Instant) -> Option<Duration> {
        let mut inner = self.lock();
        let entry = inner.entries.get_mut(&hash)?;
        entry.failures += 1;
        entry.failure_rate += NEWEST_WEIGHT * (1.0 - entry.failure_rate);
        let is_ejected = entry.ejected_until.is_some_and(|until| until > now);
        if entry.failures < EJECT_FAILURES || is_ejected {
            return None;
        }
        let period = (FIRST_EJECTION * 2u32.pow(entry.ejections.min(4))).min(MAX_EJECTION);
        entry.ejections += 1;
        entry.ejected_until = Some(now + period);
        Some(period)
    }

    /// Marks a replica as down, for want of a member; tells whether it was not marked before.
    pub fn mark_down(&self, hash: u64, member: &str, now: Instant) -> bool {
        let mut inner = self.lock();
        let entry = inner.entries.entry(hash).or_insert_with(Entry::new);
        let was_down = entry.is_down(now);
        if !was_down {
            entry.down.send_replace(Some(now + DOWN_PERIOD));
            entry.missing_member = member.to_string();
        }
        !was_down
    }

    /// Returns the replicas that are marked as down with the members that were missing.
    pub fn down_members(&self, now: Instant) -> HashMap<u64, String> {
        let inner = self.lock();
        let down = inner.entries.iter().filter(|(_, entry)| entry.is_down(now));
        down.map(|(hash, entry)| (*hash, entry.missing_member.clone())).collect()
    }

    /// Returns a receiver that tells when a replica is marked as down.
    pub fn watch_down(&self, hash: u64) -> watch::Receiver<Option<Instant>> {
        let mut inner = self.lock();
        inner.entries.entry(hash).or_insert_with(Entry::new).down.subscribe()
    }

    /// Returns this node's requests at each replica.
    pub fn own_loads(&self) -> Vec<(u64, u32)> {
        let inner = self.lock();
        let busy = inner.entries.iter().filter(|(_, entry)| entry.own > 0);
        busy.map(|(hash, entry)| (*hash, entry.own)).collect()
    }

    /// Takes in another node's requests at each replica.
    pub fn set_remote(&self, node: &str, loads: HashMap<u64, u32>, now: Instant) {
        let mut inner = self.lock();
        inner.remote.insert(node.to_string(), (now, loads));
        inner.remote.retain(|_, (at, _)| now - *at < MAX_REMOTE_AGE);
        let mut sums: HashMap<u64, u32> = HashMap::new();
        for (_, loads) in inner.remote.values() {
            for (hash, running) in loads {
                *sums.entry(*hash).or_default() += running;
            }
        }
        inner.remote_sums = sums;
    }

    /// Forgets idle replicas that are no longer in the set.
    pub fn retain(&self, is_known: impl Fn(u64) -> bool) {
        let now = Instant::now();
        self.lock()
            .entries
            .retain(|hash, entry| entry.own > 0 || entry.is_down(now) || is_known(*hash));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place {
    /// Takes in that the answer has begun.
    pub fn answered(&mut self) {
        if std::mem::replace(&mut self.is_answered, true) {
            return;
        }
        if let Some(entry) = self.table.lock().entries.get_mut(&self.hash) {
            entry.unanswered = entry.unanswered.saturating_sub(1);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.answered();
        if let Some(entry) = self.table.lock().entries.get_mut(&self.hash) {
            entry.own = entry.own.saturating_sub(1);
        }
    }
}
