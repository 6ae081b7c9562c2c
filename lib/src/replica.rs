//! State of one replica in this node's route table.

use crate::circuit_breaker::CircuitBreaker;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::generated::engine::EngineLoad;
use crate::generated::engine::Priority;
use crate::ids::Address;
use crate::ids::DataCentreId;
use crate::ids::Epoch;
use crate::ids::GroupId;
use crate::ids::InstanceId;
use crate::ids::RegionId;
use crate::ids::ServiceId;
use crate::replica_load::INITIAL_CAPACITY;
use crate::replica_load::PLAIN_CAPACITY;
use crate::replica_load::ReplicaLoad;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Percentage of a replica's limit that batch requests may use.
const BATCH_PERCENT: u32 = 80;

/// Percentage of a replica's limit that customers above their share may use; the rest is
/// immediately available to customers within their share.
const ABOVE_SHARE_PERCENT: u32 = 88;

/// Longest time for which a replica gets no requests at its word; longer ones are cut to it, so that one whose
/// answer is wrong is not lost for good.
const MAX_DEFERRAL: Duration = Duration::from_secs(3600);

/// Whether a customer exceeds its fair share of a service's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// The customer uses at most its share.
    Within,
    /// The customer uses more than its share.
    Above,
}

/// Location and service of a replica; a replica with a changed identity starts with fresh state.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaIdentity {
    /// Group id, or the instance id of a plain upstream.
    pub group: GroupId,
    /// Epoch of the group's assignment; 0 for a plain upstream.
    pub epoch: Epoch,
    /// Number that increases with each change of the member list.
    pub generation: u64,
    /// Service that the replica serves.
    pub service: ServiceId,
    /// Adapter that the replica has loaded.
    pub adapter: Option<String>,
    /// Address to which requests are sent.
    pub address: Address,
    /// Instances that are members of the replica.
    pub instances: Vec<InstanceId>,
    /// Data centre of the replica.
    pub data_centre: DataCentreId,
    /// Region of the replica.
    pub region: RegionId,
}

/// A replica with the load and failures that this node has observed.
#[derive(Debug)]
pub struct Replica {
    /// Location and service of the replica.
    pub identity: ReplicaIdentity,
    /// Hash of the group id, for rendezvous hashing.
    pub hash: u64,
    state: Mutex<ReplicaState>,
}

#[derive(Debug)]
struct ReplicaState {
    load: ReplicaLoad,
    limit: ConcurrencyLimit,
    circuit: CircuitBreaker,
    /// Set when the replica itself contradicted the route, or reported that it is leaving.
    is_stale: bool,
    /// Time until which the replica wants no requests of this node.
    deferred_until: Option<Instant>,
    suspects: u32,
}

impl Replica {
    /// Creates a replica without observations.
    pub fn new(identity: ReplicaIdentity) -> Self {
        let hash = crate::request::first_u64(&blake3::hash(identity.group.as_bytes()));
        let capacity = if identity.epoch == 0 { PLAIN_CAPACITY } else { INITIAL_CAPACITY };
        let state = ReplicaState {
            load: ReplicaLoad::new(capacity),
            limit: ConcurrencyLimit::new(),
            circuit: CircuitBreaker::new(),
            is_stale: false,
            deferred_until: None,
            suspects: 0,
        };
        Self { identity, hash, state: Mutex::new(state) }
    }

    /// Returns an id for a crash of this replica that is the same on every node.
    pub fn crash_id(&self) -> u64 {
        let identity = &self.identity;
        crate::request::mix(self.hash, identity.epoch ^ identity.generation.rotate_left(32))
    }

    /// Returns the headroom for a request as a fraction of the limit; 0 or less if full.
    pub fn headroom(&self, priority: Priority, share: Share, nodes: u32) -> f64 {
        let state = self.lock();
        let limit = state.limit.get(state.load.capacity());
        let usable = match (priority, share) {
            (Priority::Batch, _) => (limit * BATCH_PERCENT / 100).max(1),
            (_, Share::Above) => (limit * ABOVE_SHARE_PERCENT / 100).max(1),
            (_, Share::Within) => limit,
        };
        (f64::from(usable) - f64::from(state.load.total(nodes))) / f64::from(limit)
    }

    /// Returns whether the route is valid, and the replica and the circuit breaker allow a request now.
    pub fn accepts_requests(&self, now: Instant) -> bool {
        let state = self.lock();
        let is_deferred = state.deferred_until.is_some_and(|until| until > now);
        !state.is_stale && !is_deferred && state.circuit.allows_requests(now)
    }

    /// Records that the replica wants no requests of this node for `time`, without an end of what it asked for
    /// before.
    pub fn defer(&self, time: Duration, now: Instant) {
        let mut state = self.lock();
        state.deferred_until = state.deferred_until.max(Some(now + time.min(MAX_DEFERRAL)));
    }

    /// Returns the time for which the replica wants no requests of this node; `None` if it does now.
    pub fn deferred_for(&self, now: Instant) -> Option<Duration> {
        let until = self.lock().deferred_until?;
        Some(until.saturating_duration_since(now)).filter(|time| !time.is_zero())
    }

    /// Returns whether the circuit breaker has ejected the replica.
    pub fn is_ejected(&self) -> bool {
        self.lock().circuit.is_ejected()
    }

    /// Records that a request is sent to the replica.
    pub fn record_start(&self, now: Instant, is_suspect: bool) {
        let mut state = self.lock();
        state.load.record_start(now);
        state.circuit.record_start();
        state.suspects += u32::from(is_suspect);
    }

    /// Records that a request ended, with any result.
    pub fn record_end(&self, now: Instant, is_suspect: bool) {
        let mut state = self.lock();
        state.load.record_end(now);
        state.circuit.record_inconclusive();
        state.suspects = state.suspects.saturating_sub(u32::from(is_suspect));
    }

    /// Applies a load report of the replica.
    pub fn record_load(&self, load: &EngineLoad, now: Instant) {
        self.lock().load.record_report(load, now);
    }

    /// Adjusts the concurrency limit by a request's time to first token.
    pub fn observe_first_token(&self, took: Duration, objective: Duration) {
        let mut state = self.lock();
        let capacity = state.load.capacity();
        state.limit.observe(took, objective, capacity);
    }

    /// Records a success; returns true if it ends an ejection.
    pub fn record_success(&self) -> bool {
        self.lock().circuit.record_success()
    }

    /// Records a failure; if it causes an ejection, returns its duration and the consecutive
    /// failures.
    pub fn record_failure(&self, now: Instant, may_eject: bool) -> Option<(Duration, u32)> {
        let mut state = self.lock();
        let period = state.circuit.record_failure(now, may_eject)?;
        Some((period, state.circuit.failures()))
    }

    /// Stops routing to the replica until its identity in the route table changes, because the
    /// replica contradicted its route or is leaving.
    pub fn mark_stale(&self) {
        self.lock().is_stale = true;
    }

    /// Returns the number of this node's suspect requests that run at the replica.
    pub fn suspects(&self) -> u32 {
        self.lock().suspects
    }

    /// Returns the number of this node's requests that run at the replica.
    pub fn own_running(&self) -> u32 {
        self.lock().load.own_running()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        let state = self.lock();
        state.limit.get(state.load.capacity())
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
