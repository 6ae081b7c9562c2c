//! Fake engines and plain services on in-memory instances that are addressed by `ip:port`.

use crate::engine_options::EngineOptions;
use crate::world_oracle::Execution;
use crate::world_oracle::Oracle;
use crate::world_oracle::Violation;
use crate::world_state::Instance;
use crate::world_state::WorldState;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::generated::engine::EngineStatus;
use guavaladder_lib::generated::platform::InstanceInfo;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Weight loads that the weight store takes at once, unless set otherwise.
const LOAD_CONCURRENCY: usize = 32;

/// Time after which the instance list shows a change, unless set otherwise.
const LIST_LAG: Duration = Duration::from_secs(1);

/// Seed of the faults that occur with a probability.
const FAULT_SEED: u64 = 2;

/// The fake world; clones share one state.
///
/// It implements the engine, plain service and instance list edges. It runs on tokio's time, so
/// tests may pause it.
#[derive(Debug, Clone)]
pub struct EngineWorld {
    pub(crate) clock: Clock,
    pub(crate) state: Arc<Mutex<WorldState>>,
    pub(crate) weight_store: Arc<Semaphore>,
}

impl EngineWorld {
    /// Returns a world without instances.
    pub fn new(clock: Clock) -> Self {
        let state = WorldState {
            instances: BTreeMap::new(),
            streams: HashMap::new(),
            next_stream: 1,
            list_log: vec![],
            list_lag: LIST_LAG,
            is_list_away: false,
            oracle: Oracle::default(),
            rng: StdRng::seed_from_u64(FAULT_SEED),
        };
        let weight_store = Arc::new(Semaphore::new(LOAD_CONCURRENCY));
        Self { clock, state: Arc::new(Mutex::new(state)), weight_store }
    }

    /// Sets the number of weight loads that run at once.
    pub fn with_load_concurrency(mut self, loads: usize) -> Self {
        self.weight_store = Arc::new(Semaphore::new(loads));
        self
    }

    /// Sets the time after which the instance list shows a change.
    pub fn with_list_lag(self, lag: Duration) -> Self {
        self.lock().list_lag = lag;
        self
    }

    /// Adds an instance; its engine is idle.
    pub fn add_instance(&self, info: InstanceInfo, options: EngineOptions) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.instances.insert(info.address.clone(), Instance::new(info, options));
        state.note_list(now);
    }

    /// Lists an entry instance, which has no engine.
    pub fn add_entry(&self, info: InstanceInfo) {
        self.add_instance(info, EngineOptions::default());
    }

    /// Returns the instances that were added, dead ones included.
    pub fn all_instances(&self) -> Vec<InstanceInfo> {
        self.lock().instances.values().map(|known| known.info.clone()).collect()
    }

    /// Returns the report of an instance whatever the faults.
    pub fn peek_status(&self, address: &str) -> Option<EngineStatus> {
        self.lock().status(address, self.clock.now())
    }

    /// Tells whether the instance runs.
    pub fn is_alive(&self, address: &str) -> bool {
        self.lock().instances.get(address).is_some_and(|known| known.is_alive)
    }

    /// Returns the number of groups of a service whose members are all alive, ready and joined.
    pub fn whole_groups(&self, service: &str) -> usize {
        let state = self.lock();
        let assignments = state.instances.values().filter_map(|known| known.assignment.as_ref());
        let firsts = assignments.filter(|a| a.shard == 0 && a.service == service);
        firsts.filter(|a| state.is_whole(a)).count()
    }

    /// Returns the time of the world's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the starts of requests so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().oracle.executions.clone()
    }

    /// Returns how often a non-idempotent request ran.
    pub fn runs_of(&self, idempotency_key: &str) -> usize {
        self.lock().oracle.runs_of(idempotency_key)
    }

    /// Returns the promises that executions broke so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.lock().oracle.violations.clone()
    }

    /// Returns the number of streams that run or wait on an instance.
    pub fn open_streams(&self, address: &str) -> usize {
        let (running, queued) = self.lock().load_of(address);
        (running + queued) as usize
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, WorldState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
