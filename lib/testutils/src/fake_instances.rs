//! Fake instances, held in memory and addressed by `ip:port`, that run engines or plain services.

use crate::engine_options::EngineOptions;
use crate::execution_oracle::Execution;
use crate::execution_oracle::Oracle;
use crate::execution_oracle::Violation;
use crate::fake_state::FakeState;
use crate::fake_state::Instance;
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

/// Default number of weight loads that the weight store serves concurrently.
const LOAD_CONCURRENCY: usize = 32;

/// Default delay before the instance list shows a change.
const LIST_LAG: Duration = Duration::from_secs(1);

/// Seed of the random number generator that decides on probabilistic faults.
const FAULT_SEED: u64 = 2;

/// Handle to the fake instances; clones share one state.
///
/// Implements the `Engine`, `PlainService` and `InstanceList` traits. All delays use tokio's time, so
/// tests can pause it.
#[derive(Debug, Clone)]
pub struct FakeInstances {
    pub(crate) clock: Clock,
    pub(crate) state: Arc<Mutex<FakeState>>,
    pub(crate) weight_store: Arc<Semaphore>,
}

impl FakeInstances {
    /// Creates the handle with no instances.
    pub fn new(clock: Clock) -> Self {
        let state = FakeState {
            instances: BTreeMap::new(),
            streams: HashMap::new(),
            next_stream: 1,
            list_log: vec![],
            list_lag: LIST_LAG,
            is_list_unavailable: false,
            is_partitioned: false,
            oracle: Oracle::default(),
            rng: StdRng::seed_from_u64(FAULT_SEED),
        };
        let weight_store = Arc::new(Semaphore::new(LOAD_CONCURRENCY));
        Self { clock, state: Arc::new(Mutex::new(state)), weight_store }
    }

    /// Sets the number of weight loads that run concurrently.
    pub fn with_load_concurrency(mut self, loads: usize) -> Self {
        self.weight_store = Arc::new(Semaphore::new(loads));
        self
    }

    /// Sets the delay before the instance list shows a change.
    pub fn with_list_lag(self, lag: Duration) -> Self {
        self.lock().list_lag = lag;
        self
    }

    /// Adds an instance whose engine is idle.
    pub fn add_instance(&self, info: InstanceInfo, options: EngineOptions) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.instances.insert(info.address.clone(), Instance::new(info, options));
        state.record_list(now);
    }

    /// Adds an entry instance, which is only listed: it runs no engine.
    pub fn add_entry(&self, info: InstanceInfo) {
        self.add_instance(info, EngineOptions::default());
    }

    /// Returns all added instances, including dead ones.
    pub fn all_instances(&self) -> Vec<InstanceInfo> {
        self.lock().instances.values().map(|instance| instance.info.clone()).collect()
    }

    /// Returns the status of an instance regardless of injected faults.
    pub fn peek_status(&self, address: &str) -> Option<EngineStatus> {
        self.lock().status(address, self.clock.now())
    }

    /// Returns whether the instance is alive.
    pub fn is_alive(&self, address: &str) -> bool {
        self.lock().instances.get(address).is_some_and(|instance| instance.is_alive)
    }

    /// Returns the number of complete groups of a service: all members are alive, ready and joined.
    pub fn complete_groups(&self, service: &str) -> usize {
        let state = self.lock();
        let assignments =
            state.instances.values().filter_map(|instance| instance.assignment.as_ref());
        let firsts = assignments.filter(|a| a.shard == 0 && a.service == service);
        firsts.filter(|a| state.is_complete(a)).count()
    }

    /// Returns the current time of the clock that the instances use.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns all executions so far: one for each time an instance started a request.
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().oracle.executions.clone()
    }

    /// Returns how many times the non-idempotent request with this key was executed.
    pub fn execution_count(&self, idempotency_key: &str) -> usize {
        self.lock().oracle.execution_count(idempotency_key)
    }

    /// Returns the violations found in the executions so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.lock().oracle.violations.clone()
    }

    /// Returns the number of running and queued streams of an instance.
    pub fn open_streams(&self, address: &str) -> usize {
        let (running, queued) = self.lock().load_of(address);
        (running + queued) as usize
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
