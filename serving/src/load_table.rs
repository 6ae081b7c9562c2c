//! Load and health of each replica as known to this node: its own requests, the last reported requests
//! of the other nodes, the last activity, failures, and whether the replica was marked as down.

use crate::instance::ReportedLoad;
use crate::load_estimate::LoadEstimate;
use crate::load_estimate::OwnView;
use crate::load_estimate::Pressure;
use crate::load_estimate::RemoteLoads;
use crate::replica_health::MIN_SILENCE;
use crate::replica_set::Replica;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Weight of a new sample in the exponential moving averages.
const NEWEST_WEIGHT: f64 = 0.2;
/// Weight of a request's time in the moving average of its model.
const REQUEST_TIME_WEIGHT: f64 = 0.05;
/// Time for which a replica that was marked as down receives no requests, unless its key changes. It has
/// to be longer than the entry of a failed instance stays registered, which is three heartbeats.
const DOWN_PERIOD: Duration = Duration::from_secs(6);
/// Consecutive failures after which a replica is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; doubled for each consecutive one.
const FIRST_EJECTION: Duration = Duration::from_millis(1000);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Load and health of one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaState {
    /// This node's running and queued requests at the replica.
    pub own: u32,
    /// Requests of the other nodes at the replica.
    pub remote: u32,
    /// This node's requests that still wait for their first event.
    pub unanswered: u32,
    /// Last activity; the start of a request at a replica without requests of this node counts as activity.
    pub last_activity: Option<Instant>,
    /// When the last event of a stream of this node arrived.
    pub last_event: Option<Instant>,
    /// Moving average of the interval between events relative to the expected one; above 1 means slow.
    pub slowness: f64,
    /// Whether it is marked as down.
    pub is_down: bool,
    /// Whether it is ejected because of failures.
    pub is_ejected: bool,
    /// Moving average of the fraction of failed requests.
    pub failure_rate: f64,
    /// Estimated load of all nodes; only for services that are scheduled by measurements.
    pub estimate: Option<LoadEstimate>,
}

impl ReplicaState {
    /// Returns the state of a replica without any observations.
    pub fn unknown() -> Self {
        Self {
            own: 0,
            remote: 0,
            unanswered: 0,
            last_activity: None,
            last_event: None,
            slowness: 1.0,
            is_down: false,
            is_ejected: false,
            failure_rate: 0.0,
            estimate: None,
        }
    }

    /// Returns the number of requests of all nodes at the replica.
    pub fn requests(&self) -> u32 {
        self.own + self.remote
    }
}

#[derive(Debug)]
struct Entry {
    own: u32,
    unanswered: u32,
    last_activity: Option<Instant>,
    last_event: Option<Instant>,
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
            last_activity: None,
            last_event: None,
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

/// Shared table of the load and health of replicas, by the hash of their keys.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    entries: HashMap<u64, Entry>,
    remote: RemoteLoads,
    /// Moving average of the time in seconds of this node's requests, by model.
    request_times: HashMap<String, f64>,
    /// Arrivals at this node, by model.
    pressures: HashMap<String, Pressure>,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            remote: RemoteLoads::new(Instant::now()),
            request_times: HashMap::new(),
            pressures: HashMap::new(),
        }
    }
}

impl Inner {
    fn own_view(&self, replica: &Replica) -> OwnView {
        let entry = self.entries.get(&replica.hash);
        let time = replica.model.as_ref().and_then(|model| self.request_times.get(model));
        let slowness = entry.map_or(1.0, |entry| entry.slowness.max(1.0));
        OwnView {
            hash: replica.hash,
            run: replica.run,
            slots: replica.slots,
            own: entry.map_or(0, |entry| entry.own),
            pressure: match &replica.model {
                Some(model) => self.pressures.get(model).map_or(1.0, Pressure::ratio),
                None => 1.0,
            },
            request_time: time.map(|seconds| Duration::from_secs_f64(seconds * slowness)),
        }
    }
}

/// Why a replica is marked as down, and since when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DownMember {
    /// Member that is missing; empty if it is not known.
    pub member: String,
    /// Time since the mark.
    pub down_for: Duration,
}

/// Counts a request at a replica until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    table: LoadTable,
    hash: u64,
    is_answered: bool,
    model: Option<String>,
    started_at: Instant,
}

impl LoadTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request at a replica until the returned value is dropped.
    pub fn begin_request(&self, replica: &Replica) -> RequestGuard {
        let mut inner = self.lock();
        let entry = inner.entries.entry(replica.hash).or_insert_with(Entry::new);
        let started_at = Instant::now();
        if entry.own == 0 {
            entry.last_activity = Some(started_at);
        }
        entry.own += 1;
        entry.unanswered += 1;
        RequestGuard {
            table: self.clone(),
            hash: replica.hash,
            is_answered: false,
            model: replica.model.clone(),
            started_at,
        }
    }

    /// Returns the current load and health of a replica.
    pub fn state(&self, replica: &Replica, now: Instant) -> ReplicaState {
        let inner = self.lock();
        let remote = inner.remote.reported(replica.hash);
        let Some(entry) = inner.entries.get(&replica.hash) else {
            return ReplicaState { remote, ..ReplicaState::unknown() };
        };
        ReplicaState {
            own: entry.own,
            remote,
            unanswered: entry.unanswered,
            last_activity: entry.last_activity,
            last_event: entry.last_event,
            slowness: entry.slowness,
            is_down: entry.is_down(now),
            is_ejected: entry.ejected_until.is_some_and(|until| until > now),
            failure_rate: entry.failure_rate,
            estimate: None,
        }
    }

    /// Returns the current load and health of a replica of a service that is scheduled by measurements, with
    /// the estimate of its load.
    pub fn measured_state(&self, replica: &Replica, now: Instant) -> ReplicaState {
        let mut state = self.state(replica, now);
        let inner = self.lock();
        state.estimate = Some(inner.remote.estimate(&inner.own_view(replica), now));
        state
    }

    /// Records whether a request for a model was sent to a replica.
    pub fn record_choice(&self, model: &str, is_admitted: bool, now: Instant) {
        let mut inner = self.lock();
        match inner.pressures.get_mut(model) {
            Some(pressure) => pressure.record(is_admitted, now),
            None => {
                let mut pressure = Pressure::new(now);
                pressure.record(is_admitted, now);
                inner.pressures.insert(model.to_string(), pressure);
            }
        }
    }

    /// Records the load that a replica stated in the head of a response. Returns false if the statement is not
    /// plausible and changes nothing.
    pub fn record_stated_load(
        &self,
        replica: &Replica,
        stated: ReportedLoad,
        now: Instant,
    ) -> bool {
        let mut inner = self.lock();
        let view = inner.own_view(replica);
        inner.remote.record_statement(&view, stated, now)
    }

    /// Records activity of a replica.
    pub fn record_activity(&self, hash: u64, now: Instant) {
        if let Some(entry) = self.lock().entries.get_mut(&hash) {
            entry.last_activity = Some(now);
        }
    }

    /// Records the interval between two events of a stream, to be compared with the expected one. Returns
    /// whether the replica is marked as down and the event was sent after that.
    pub fn record_event_interval(
        &self,
        hash: u64,
        interval: Duration,
        expected: Duration,
        now: Instant,
    ) -> bool {
        let mut inner = self.lock();
        let Some(entry) = inner.entries.get_mut(&hash) else { return false };
        entry.last_activity = Some(now);
        entry.last_event = Some(now);
        if !expected.is_zero() {
            let factor = interval.as_secs_f64() / expected.as_secs_f64();
            entry.slowness += NEWEST_WEIGHT * (factor - entry.slowness);
        }
        let until = (*entry.down.borrow()).filter(|until| *until > now);
        until.is_some_and(|until| until - now + MIN_SILENCE <= DOWN_PERIOD)
    }

    /// Records a successful request, which also ends an ejection.
    pub fn record_success(&self, hash: u64) {
        if let Some(entry) = self.lock().entries.get_mut(&hash) {
            entry.failures = 0;
            entry.ejections = 0;
            entry.ejected_until = None;
            entry.failure_rate -= NEWEST_WEIGHT * entry.failure_rate;
        }
    }

    /// Records a failed request; returns the duration of the ejection if it causes one.
    pub fn record_failure(&self, hash: u64, now: Instant) -> Option<Duration> {
        let mut inner = self.lock();
        let entry = inner.entries.get_mut(&hash)?;
        entry.failures += 1;
        entry.failure_rate += NEWEST_WEIGHT * (1.0 - entry.failure_rate);
        let is_ejected = entry.ejected_until.is_some_and(|until| until > now);
        if entry.failures < FAILURES_TO_EJECT || is_ejected {
            return None;
        }
        let period = (FIRST_EJECTION * 2u32.pow(entry.ejections.min(4))).min(MAX_EJECTION);
        entry.ejections += 1;
        entry.ejected_until = Some(now + period);
        Some(period)
    }

    /// Marks a replica as down because `member` is missing; returns false if it was already marked.
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

    /// Removes the mark of a replica that is marked as down; returns for how long it was marked.
    pub fn clear_down(&self, hash: u64, now: Instant) -> Option<Duration> {
        let mut inner = self.lock();
        let entry = inner.entries.get_mut(&hash)?;
        let until = (*entry.down.borrow()).filter(|until| *until > now)?;
        entry.down.send_replace(None);
        Some(DOWN_PERIOD.saturating_sub(until - now))
    }

    /// Returns the replicas that are marked as down, by their hashes.
    pub fn down_members(&self, now: Instant) -> HashMap<u64, DownMember> {
        let inner = self.lock();
        let down = inner.entries.iter().filter_map(|(hash, entry)| {
            let until = (*entry.down.borrow()).filter(|until| *until > now)?;
            let down_for = DOWN_PERIOD.saturating_sub(until - now);
            Some((*hash, DownMember { member: entry.missing_member.clone(), down_for }))
        });
        down.collect()
    }

    /// Returns the number of requests of all nodes at a replica, as far as it is known.
    pub fn requests(&self, hash: u64) -> u32 {
        let inner = self.lock();
        let own = inner.entries.get(&hash).map_or(0, |entry| entry.own);
        own + inner.remote.reported(hash)
    }

    /// Returns a receiver that is notified when a replica is marked as down.
    pub fn watch_down(&self, hash: u64) -> watch::Receiver<Option<Instant>> {
        let mut inner = self.lock();
        inner.entries.entry(hash).or_insert_with(Entry::new).down.subscribe()
    }

    /// Returns the number of this node's requests at each replica that has any, and of which an event has
    /// arrived since `active_since`, if given.
    pub fn own_loads(&self, active_since: Option<Instant>) -> Vec<(u64, u32)> {
        let inner = self.lock();
        let is_active = |entry: &Entry| {
            active_since.is_none_or(|since| entry.last_event.is_some_and(|at| at >= since))
        };
        let busy = inner.entries.iter().filter(|(_, entry)| entry.own > 0 && is_active(entry));
        busy.map(|(hash, entry)| (*hash, entry.own)).collect()
    }

    /// Records the loads that another node reported, and drops reports that are too old.
    pub fn set_remote_loads(&self, node: &str, loads: HashMap<u64, u32>, now: Instant) {
        self.lock().remote.record_report(node, loads, now);
    }

    /// Removes replicas that are idle, not marked as down and for which `is_known` is false.
    pub fn retain(&self, is_known: impl Fn(u64) -> bool) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.entries.retain(|hash, entry| entry.own > 0 || entry.is_down(now) || is_known(*hash));
        inner.remote.retain(is_known);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RequestGuard {
    /// Records that the response has started.
    pub fn mark_answered(&mut self) {
        if std::mem::replace(&mut self.is_answered, true) {
            return;
        }
        if let Some(entry) = self.table.lock().entries.get_mut(&self.hash) {
            entry.unanswered = entry.unanswered.saturating_sub(1);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let was_answered = self.is_answered;
        self.mark_answered();
        let mut inner = self.table.lock();
        if let Some(entry) = inner.entries.get_mut(&self.hash) {
            entry.own = entry.own.saturating_sub(1);
        }
        // A request that failed before its response says nothing of the time that one takes.
        if let Some(model) = self.model.take().filter(|_| was_answered) {
            let seconds = self.started_at.elapsed().as_secs_f64();
            let mean = inner.request_times.entry(model).or_insert(seconds);
            *mean += REQUEST_TIME_WEIGHT * (seconds - *mean);
        }
    }
}
