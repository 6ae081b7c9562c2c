//! An in-memory object store with versions, conditional writes, long-poll watches and faults.

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

/// Changes that the store keeps for watches before it compacts them.
const HISTORY_LEN: usize = 4096;

/// Seed of the faults that occur with a probability.
const FAULT_SEED: u64 = 1;

/// Faults of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreFaults {
    /// Refuses every call, running watches included.
    pub away: bool,
    /// Leaves every call without an answer until the fault is lifted; writes are not taken.
    pub is_silent: bool,
    /// Part of the writes whose answer is lost after they took effect.
    pub lose_answers: f64,
    /// Time that each call takes.
    pub delay: Duration,
    /// Gives watch batches out of order and with a stale change among them.
    pub reorder_watches: bool,
    /// Time after which a watch sees a change.
    pub watch_lag: Duration,
}

/// Calls by kind since the start; a waiting watch counts as one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCalls {
    /// Reads of one object.
    pub gets: u64,
    /// Lists.
    pub lists: u64,
    /// Conditional writes, conflicts included.
    pub puts: u64,
    /// Deletes, conflicts included.
    pub deletes: u64,
    /// Watches.
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
    /// Version that the write gave.
    pub version: ObjectVersion,
    /// New value; absent for a delete.
    pub value: Option<String>,
}

/// The fake store; clones share one state.
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
    /// Returns an empty store without faults.
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

    /// Replaces the faults; waiting calls notice it at once.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the faults.
    pub fn faults(&self) -> StoreFaults {
        self.lock().faults.clone()
    }

    /// Returns the writes that took effect, in version order.
    pub fn writes(&self) -> Vec<StoreWrite> {
        self.lock().log.clone()
    }

    /// Returns the writes after a version, in version order.
    pub fn writes_after(&self, version: ObjectVersion) -> Vec<StoreWrite> {
        let state = self.lock();
        let first = state.log.partition_point(|write| write.version <= version);
        state.log[first..].to_vec()
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> StoreCalls {
        self.lock().calls
    }

    /// Forgets the history, so that every older watch has to list again.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted_to = state.revision;
    }

    /// Reads an object without a call being counted and whatever the faults.
    pub fn peek(&self, key: &str) -> Option<VersionedObject> {
        self.lock().objects.get(key).cloned()
    }

    /// Reads the objects below a prefix without a call being counted and whatever the faults.
    pub fn peek_all(&self, prefix: &str) -> Vec<VersionedObject> {
        self.lock().below(prefix)
    }

    /// Writes an object unconditionally and whatever the faults.
    pub fn seed(&self, key: &str, value: &str) -> ObjectVersion {
        let at = self.clock.now();
        let version = self.lock().write(at, key, Some(value.to_string()));
        self.changes.send_modify(|count| *count += 1);
        version
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as the faults say before a call is taken.
    async fn admit(&self, count: impl FnOnce(&mut StoreCalls)) -> Result<(), PlatformError> {
        count(&mut self.lock().calls);
        let mut changes = self.changes.subscribe();
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        loop {
            let faults = self.lock().faults.clone();
            if faults.away {
                return Err(away());
            }
            if !faults.is_silent {
                return Ok(());
            }
            // The sender lives as long as this store.
            let _ = changes.changed().await;
        }
    }

    /// Answers a write that took effect, or loses the answer.
    fn answer(&self, outcome: PutOutcome) -> Result<PutOutcome, PlatformError> {
        self.changes.send_modify(|count| *count += 1);
        let mut state = self.lock();
        let chance = state.faults.lose_answers;
        if state.rng.random_bool(chance.clamp(0.0, 1.0)) {
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
        if let Some(kept) = self.log.len().checked_sub(HISTORY_LEN) {
            self.compacted_to = self.compacted_to.max(kept as u64);
        }
        version
    }

    fn below(&self, prefix: &str) -> Vec<VersionedObject> {
        self.objects
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Returns the changes after a revision that are old enough for watches to see.
    fn changes(&self, prefix: &str, after: u64, now: Duration) -> (u64, Vec<ObjectChange>) {
        let first = self.log.partition_point(|write| write.version <= after);
        let is_seen = |write: &&StoreWrite| write.at + self.faults.watch_lag <= now;
        let seen: Vec<&StoreWrite> = self.log[first..].iter().take_while(is_seen).collect();
        let revision = seen.last().map_or(after, |write| write.version);
        let below = seen.into_iter().filter(|write| write.key.starts_with(prefix));
        (revision, below.map(to_change).collect())
    }

    /// Puts a batch out of order and repeats an older change of one of its objects.
    fn disorder(&mut self, changes: &mut Vec<ObjectChange>) {
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

fn away() -> PlatformError {
    PlatformError::NotApplied { reason: "the store is away".to_string() }
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
        Ok(ObjectList { revision: state.revision, objects: state.below(prefix) })
    }

    async fn put(&self, put: &PutObject) -> Result<PutOutcome, PlatformError> {
        self.admit(|calls| calls.puts += 1).await?;
        if put.value.len() > MAX_OBJECT_BYTES {
            let reason = format!("{} bytes are more than {MAX_OBJECT_BYTES}", put.value.len());
            return Err(PlatformError::NotApplied { reason });
        }
        let outcome = self.apply(&put.key, put.if_version, Some(put.value.clone()));
        self.answer(outcome)
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
        self.answer(outcome)
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
                if state.faults.away {
                    return Err(away());
                }
                if after < state.compacted_to {
                    let revision = state.revision;
                    return Ok(WatchBatch { revision, changes: vec![], compacted: true });
                }
                let (revision, mut batch) = state.changes(prefix, after, now);
                if !state.faults.is_silent && (!batch.is_empty() || now >= until) {
                    if state.faults.reorder_watches {
                        state.disorder(&mut batch);
                    }
                    return Ok(WatchBatch { revision, changes: batch, compacted: false });
                }
                state.faults.watch_lag
            };
            let left = until.saturating_sub(now).max(Duration::from_millis(1));
            let pause = if lag.is_zero() { left } else { left.min(lag) };
            // Either the time or a change ends the wait.
            let _ = tokio::time::timeout(pause, changes.changed()).await;
        }
    }
}
