//! One replica of a service as this node's routes know it.

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
use crate::outlier::Circuit;
use crate::replica_load::INITIAL_CAPACITY;
use crate::replica_load::PLAIN_CAPACITY;
use crate::replica_load::ReplicaLoad;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Part of a replica's limit that batch requests may fill, in percent.
const BATCH_PERCENT: u32 = 80;

/// Part of a replica's limit that customers above their share may fill, in percent; the rest is
/// there at once for those within it.
const ABOVE_SHARE_PERCENT: u32 = 88;

/// Whether a customer runs more than its share while others want places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// At most its share.
    Within,
    /// More than its share.
    Above,
}

/// Where a replica is and what it serves; a change makes a new route.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaIdentity {
    /// Group, or instance id of a plain upstream.
    pub group: GroupId,
    /// Epoch of the group's assignment; 0 for a plain upstream.
    pub epoch: Epoch,
    /// Counts changes of the member list.
    pub generation: u64,
    /// Service.
    pub service: ServiceId,
    /// Adapter that it has loaded.
    pub adapter: Option<String>,
    /// Address that takes its requests.
    pub address: Address,
    /// Members.
    pub instances: Vec<InstanceId>,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Region.
    pub region: RegionId,
}

/// A replica with what this node has seen of it.
#[derive(Debug)]
pub struct Replica {
    /// Identity.
    pub identity: ReplicaIdentity,
    /// Hash of the group's id.
    pub hash: u64,
    state: Mutex<ReplicaState>,
}

#[derive(Debug)]
struct ReplicaState {
    load: ReplicaLoad,
    limit: ConcurrencyLimit,
    circuit: Circuit,
    /// Set when the replica itself contradicted the route, or said that it is leaving.
    is_refuted: bool,
    suspects: u32,
}

impl Replica {
    /// Returns a replica of which nothing is known yet.
    pub fn new(identity: ReplicaIdentity) -> Self {
        let hash = crate::request::first_u64(&blake3::hash(identity.group.as_bytes()));
        let capacity = if identity.epoch == 0 { PLAIN_CAPACITY } else { INITIAL_CAPACITY };
        let state = ReplicaState {
            load: ReplicaLoad::new(capacity),
            limit: ConcurrencyLimit::new(),
            circuit: Circuit::new(),
            is_refuted: false,
            suspects: 0,
        };
        Self { identity, hash, state: Mutex::new(state) }
    }

    /// Returns the id of this replica's crash, alike on every node.
    pub fn crash_id(&self) -> u64 {
        let identity = &self.identity;
        crate::request::mix(self.hash, identity.epoch ^ identity.generation.rotate_left(32))
    }

    /// Returns the room for a request as a part of the limit: 0 or less when full.
    pub fn room(&self, priority: Priority, share: Share, nodes: u32) -> f64 {
        let state = self.lock();
        let limit = state.limit.get(state.load.capacity());
        let usable = match (priority, share) {
            (Priority::Batch, _) => (limit * BATCH_PERCENT / 100).max(1),
            (_, Share::Above) => (limit * ABOVE_SHARE_PERCENT / 100).max(1),
            (_, Share::Within) => limit,
        };
        (f64::from(usable) - f64::from(state.load.total(nodes))) / f64::from(limit)
    }

    /// Tells whether requests may be sent there at all now.
    pub fn takes_work(&self, now: Instant) -> bool {
        let state = self.lock();
        !state.is_refuted && state.circuit.takes_work(now)
    }

    /// Tells whether the circuit ejects it.
    pub fn is_ejected(&self) -> bool {
        self.lock().circuit.is_ejected()
    }

    /// Counts a request that is sent there.
    pub fn start(&self, now: Instant, is_suspect: bool) {
        let mut state = self.lock();
        state.load.start(now);
        state.circuit.start();
        state.suspects += u32::from(is_suspect);
    }

    /// Counts the end of a request, however it ended.
    pub fn end(&self, now: Instant, is_suspect: bool) {
        let mut state = self.lock();
        state.load.end(now);
        state.circuit.abstain();
        state.suspects = state.suspects.saturating_sub(u32::from(is_suspect));
    }

    /// Takes in a load report.
    pub fn report(&self, load: &EngineLoad, now: Instant) {
        self.lock().load.report(load, now);
    }

    /// Takes in the time to a first token.
    pub fn observe_first_token(&self, took: Duration, objective: Duration) {
        let mut state = self.lock();
        let capacity = state.load.capacity();
        state.limit.observe(took, objective, capacity);
    }

    /// Takes in a success; returns true when it ends an ejection.
    pub fn succeed(&self) -> bool {
        self.lock().circuit.succeed()
    }

    /// Takes in a failure; returns the length of the ejection that it causes and the failures.
    pub fn fail(&self, now: Instant, may_eject: bool) -> Option<(Duration, u32)> {
        let mut state = self.lock();
        let period = state.circuit.fail(now, may_eject)?;
        Some((period, state.circuit.failures()))
    }

    /// Drops the route because the replica contradicted it, until its record changes.
    pub fn refute(&self) {
        self.lock().is_refuted = true;
    }

    /// Returns the number of suspects of this node that run there.
    pub fn suspects(&self) -> u32 {
        self.lock().suspects
    }

    /// Returns the number of this node's requests there.
    pub fn own_running(&self) -> u32 {
        self.lock().load.own_running()
    }

    /// Returns the limit on its requests.
    pub fn limit(&self) -> u32 {
        let state = self.lock();
        state.limit.get(state.load.capacity())
    }

    fn lock(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
