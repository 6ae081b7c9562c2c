//! An in-memory object store with versions, conditional writes, long-poll watches and fault injection.

use async_trait::async_trait;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::generated::platform::ObjectChange;
use guavaladder_lib::generated::platform::ObjectList;
use guavaladder_lib::generated::platform::PutObject;
use guavaladder_lib::generated::platform::PutOutcome;
use guavaladder_lib::generated::platform::VersionedObject;
use guavaladder_lib::generated::platform::WatchBatch;
use guavaladder_lib::ids::ObjectVersion;
use guavaladder_lib::platform::MAX_OBJECT_BYTES;
use guavaladder_lib::platform::ObjectStore;
use guavaladder_lib::platform::PlatformError;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;

/// Number of recent changes that watches can read; older ones are compacted.
const HISTORY_LEN: usize = 4096;

/// Seed of the random number generator that decides on probabilistic faults.
const FAULT_SEED: u64 = 1;

/// Faults of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreFaults {
    /// Fails every call, including running watches.
    pub is_unavailable: bool,
    /// Leaves all calls without response until the fault is cleared; writes are not applied meanwhile.
    pub is_unresponsive: bool,
    /// Fraction of the writes whose response is lost after they took effect.
    pub lose_responses: f64,
    /// Duration of each call.
    pub delay: Duration,
    /// Shuffles watch batches and adds an outdated change of one of their objects.
    pub reorder_watches: bool,
    /// Delay before a watch returns a change.
    pub watch_lag: Duration,
}

/// Number of calls by kind; a long poll counts as one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCalls {
    /// Reads of a single object.
    pub gets: u64,
    /// List calls.
    pub lists: u64,
    /// Conditional writes, including conflicts.
    pub puts: u64,
    /// Conditional deletes, including conflicts.
    pub deletes: u64,
    /// Watch calls.
    pub watches: u64,
}

impl StoreCalls {
    /// Returns the number of calls that the platform counts as writes.
    pub fn writes(&self) -> u64 {
        self.puts + self.deletes
    }

    /// Returns the number of calls that the platform counts as reads.
    pub fn reads(&self) -> u64 {
        self.gets + self.lists + self.watches
    }
}

/// A write that took effect.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreWrite {
    /// Time on the clock's `now` scale.
    pub at: Duration,
    /// Key of the object.
    pub key: String,
    /// Version that the write assigned.
    pub version: ObjectVersion,
    /// New value; `None` for a delete.
    pub value: Option<String>,
}

/// Handle to the fake store; clones share one state.
#[derive(Debug, Clone)]
pub struct FakeStore {
    clock: Clock,
    state: Arc<Mutex<StoreState>>,
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Debug)]
struct StoreState {
    revision: u64,
    compacted_to: u64,
    objects: BTreeMap<String, VersionedObject>,
    log: Vec<StoreWrite>,
    faults: StoreFaults,
    calls: StoreCalls,
    rng: StdRng,
}

impl FakeStore {
    /// Creates an empty store without faults.
    pub fn new(clock: Clock) -> Self {
        let (changes, _) = watch::channel(0);
        let state = StoreState {
            revision: 0,
            compacted_to: 0,
            objects: BTreeMap::new(),
            log: vec![],
            faults: StoreFaults::default(),
            calls: StoreCalls::default(),
            rng: StdRng::seed_from_u64(FAULT_SEED),
        };
        Self { clock, state: Arc::new(Mutex::new(state)), changes: Arc::new(changes) }
    }

    /// Replaces the faults, which also applies to waiting calls.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the current faults.
    pub fn faults(&self) -> StoreFaults {
        self.lock().faults.clone()
    }

    /// Returns the writes that took effect, in version order.
    pub fn writes(&self) -> Vec<StoreWrite> {
        self.lock().log.clone()
    }

    /// Returns the writes with a later version, in version order.
    pub fn writes_after(&self, version: ObjectVersion) -> Vec<StoreWrite> {
        let state = self.lock();
        let first = state.log.partition_point(|write| write.version <= version);
        state.log[first..].to_vec()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> StoreCalls {
        self.lock().calls
    }

    /// Compacts all changes so far, so that watches from an older revision have to list again.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_to = state.revision;
    }

    /// Reads an object, bypassing faults and call counts.
    pub fn peek(&self, key: &str) -> Option<VersionedObject> {
        self.lock().objects.get(key).cloned()
    }

    /// Reads the objects with a key prefix, bypassing faults and call counts.
    pub fn peek_all(&self, prefix: &str) -> Vec<VersionedObject> {
        self.lock().with_prefix(prefix)
    }

    /// Writes an object unconditionally, bypassing faults and call counts.
    pub fn seed(&self, key: &str, value: &str) -> ObjectVersion {
        let at = self.clock.now();
        let version = self.lock().write(at, key, Some(value.to_string()));
        self.changes.send_modify(|count| *count += 1);
        version
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the faults that precede its execution.
    async fn admit(&self, count: impl FnOnce(&mut StoreCalls)) -> Result<(), PlatformError> {
        count(&mut self.lock().calls);
        let mut changes = self.changes.subscribe();
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        loop {
            let faults = self.lock().faults.clone();
            if faults.is_unavailable {
                return Err(unavailable());
            }
            if !faults.is_unresponsive {
                return Ok(());
            }
            // Cannot fail: the store owns the sender.
            let _ = changes.changed().await;
        }
    }

    /// Notifies watches of a write and returns its outcome, or an error if the response is to be lost.
    fn respond(&self, outcome: PutOutcome) -> Result<PutOutcome, PlatformError> {
        self.changes.send_modify(|count| *count += 1);
        let mut state = self.lock();
        let probability = state.faults.lose_responses;
        if state.rng.random_bool(probability.clamp(0.0, 1.0)) {
            return Err(PlatformError::ResponseLost { reason: "connection closed".to_string() });
        }
        Ok(outcome)
    }

    fn apply(&self, key: &str, if_version: ObjectVersion, value: Option<String>) -> PutOutcome {
        let at = self.clock.now();
        let mut state = self.lock();
        let version = state.objects.get(key).map_or(0, |object| object.version);
        if version != if_version {
            return PutOutcome::Conflict(version);
        }
        PutOutcome::Written(state.write(at, key, value))
    }
}

impl StoreState {
    fn write(&mut self, at: Duration, key: &str, value: Option<String>) -> ObjectVersion {
        self.revision += 1;
        let version = self.revision;
        match &value {
            Some(value) => {
                let object =
                    VersionedObject { key: key.to_string(), version, value: value.clone() };
                self.objects.insert(key.to_string(), object);
            }
            None => {
                self.objects.remove(key);
            }
        }
        self.log.push(StoreWrite { at, key: key.to_string(), version, value });
        if let Some(compacted) = self.log.len().checked_sub(HISTORY_LEN) {
            self.compacted_to = self.compacted_to.max(compacted as u64);
        }
        version
    }

    fn with_prefix(&self, prefix: &str) -> Vec<VersionedObject> {
        self.objects
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Returns the changes after a revision that `watch_lag` makes visible, and the revision reached.
    fn changes(&self, prefix: &str, after: u64, now: Duration) -> (u64, Vec<ObjectChange>) {
        let first = self.log.partition_point(|write| write.version <= after);
        let is_visible = |write: &&StoreWrite| write.at + self.faults.watch_lag <= now;
        let visible: Vec<&StoreWrite> = self.log[first..].iter().take_while(is_visible).collect();
        let revision = visible.last().map_or(after, |write| write.version);
        let matching = visible.into_iter().filter(|write| write.key.starts_with(prefix));
        (revision, matching.map(to_change).collect())
    }

    /// Shuffles a batch and appends an outdated change of one of its objects.
    fn shuffle(&mut self, changes: &mut Vec<ObjectChange>) {
        for i in (1..changes.len()).rev() {
            let j = self.rng.random_range(0..=i);
            changes.swap(i, j);
        }
        let Some(last) = changes.last().cloned() else { return };
        let is_older = |write: &&StoreWrite| write.key == last.key && write.version < last.version;
        let stale = self.log.iter().rev().find(is_older).map(to_change);
        changes.extend(stale);
    }
}

fn to_change(write: &StoreWrite) -> ObjectChange {
    ObjectChange { key: write.key.clone(), version: write.version, value: write.value.clone() }
}

fn unavailable() -> PlatformError {
    PlatformError::NotApplied { reason: "the store is unavailable".to_string() }
}

#[async_trait]
impl ObjectStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<VersionedObject>, PlatformError> {
        self.admit(|calls| calls.gets += 1).await?;
        Ok(self.peek(key))
    }

    async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        self.admit(|calls| calls.lists += 1).await?;
        let state = self.lock();
        Ok(ObjectList { revision: state.revision, objects: state.with_prefix(prefix) })
    }

    async fn put(&self, put: &PutObject) -> Result<PutOutcome, PlatformError> {
        self.admit(|calls| calls.puts += 1).await?;
        if put.value.len() > MAX_OBJECT_BYTES {
            let reason =
                format!("{} bytes exceed the limit of {MAX_OBJECT_BYTES}", put.value.len());
            return Err(PlatformError::NotApplied { reason });
        }
        let outcome = self.apply(&put.key, put.if_version, Some(put.value.clone()));
        self.respond(outcome)
    }

    async fn delete(
        &self,
        key: &str,
        if_version: ObjectVersion,
    ) -> Result<PutOutcome, PlatformError> {
        self.admit(|calls| calls.deletes += 1).await?;
        if if_version == 0 && self.peek(key).is_none() {
            return Ok(PutOutcome::Conflict(0));
        }
        let outcome = self.apply(key, if_version, None);
        self.respond(outcome)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, PlatformError> {
        self.admit(|calls| calls.watches += 1).await?;
        let until = self.clock.now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            let now = self.clock.now();
            let lag = {
                let mut state = self.lock();
                if state.faults.is_unavailable {
                    return Err(unavailable());
                }
                if after < state.compacted_to {
                    let revision = state.revision;
                    return Ok(WatchBatch { revision, changes: vec![], compacted: true });
                }
                let (revision, mut batch) = state.changes(prefix, after, now);
                if !state.faults.is_unresponsive && (!batch.is_empty() || now >= until) {
                    if state.faults.reorder_watches {
                        state.shuffle(&mut batch);
                    }
                    return Ok(WatchBatch { revision, changes: batch, compacted: false });
                }
                state.faults.watch_lag
            };
            let remaining = until.saturating_sub(now).max(Duration::from_millis(1));
            let timeout = if lag.is_zero() { remaining } else { remaining.min(lag) };
            // Check again after a timeout as well as after a change.
            let _ = tokio::time::timeout(timeout, changes.changed()).await;
        }
    }
}
