//! Client of the platform's object store. Calls are queued by priority and retried with backoff; a
//! write whose response was lost is resolved by reading the object back.

pub use crate::call_queue::CallClass;
use crate::call_queue::CallQueue;
use crate::cx::Cx;
use crate::generated::events::Event;
use crate::generated::platform::ObjectList;
use crate::generated::platform::PutObject;
use crate::generated::platform::PutOutcome;
use crate::generated::platform::VersionedObject;
use crate::generated::platform::WatchBatch;
use crate::ids::ObjectVersion;
use crate::metric_names;
use crate::platform::ObjectStore;
use crate::platform::PlatformError;
pub use crate::store_error::StoreError;
use crate::store_outage::Admission;
use crate::store_outage::OutageDetector;
use crate::store_outage::Transition;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a call, in addition to a watch's own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of attempts of a call.
const MAX_ATTEMPTS: u32 = 4;
/// Delay before the second attempt; doubled for each further one.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handle to the store client of a node.
#[derive(Clone)]
pub struct StoreClient {
    cx: Cx,
    store: Arc<dyn ObjectStore>,
    queue: CallQueue,
    outage: OutageDetector,
}

/// Result of reading back the object of a write whose outcome is unclear.
enum ReadBack {
    /// The object holds the written value.
    Written(ObjectVersion),
    /// The object still has the version that the write named.
    Unchanged,
    /// The object has this other version.
    Superseded(ObjectVersion),
}

impl StoreClient {
    /// Returns a client with an empty call queue.
    pub fn new(cx: Cx, store: Arc<dyn ObjectStore>) -> Self {
        let seed = blake3::hash(cx.node().as_bytes());
        let seed = seed.as_bytes().iter().take(8).fold(0, |n, byte| n << 8 | u64::from(*byte));
        let outage = OutageDetector::new(cx.clock.clone(), seed);
        Self { queue: CallQueue::new(cx.clone()), cx, store, outage }
    }

    /// Tells whether the store is considered available.
    pub fn is_available(&self) -> bool {
        self.outage.is_available()
    }

    /// Reads one object; `None` when it does not exist.
    pub async fn get(
        &self,
        class: CallClass,
        key: &str,
    ) -> Result<Option<VersionedObject>, StoreError> {
        let mut attempt = 0;
        loop {
            self.acquire_slot(class).await?;
            let result = self.call_with_timeout(CALL_TIMEOUT, self.store.get(key)).await;
            match result {
                Ok(object) => return Ok(object),
                Err(e) => self.delay_or_fail(&mut attempt, e, StoreError::NotApplied).await?,
            }
        }
    }

    /// Lists the objects below a prefix.
    pub async fn list(&self, class: CallClass, prefix: &str) -> Result<ObjectList, StoreError> {
        let mut attempt = 0;
        loop {
            self.acquire_slot(class).await?;
            let result = self.call_with_timeout(CALL_TIMEOUT, self.store.list(prefix)).await;
            match result {
                Ok(list) => return Ok(list),
                Err(e) => self.delay_or_fail(&mut attempt, e, StoreError::NotApplied).await?,
            }
        }
    }

    /// Waits up to `wait` for changes below a prefix after a revision.
    ///
    /// A batch marked `compacted` has no changes; [`crate::object_watch::ObjectWatch`] then lists
    /// the objects again.
    pub async fn watch(
        &self,
        class: CallClass,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let mut attempt = 0;
        loop {
            self.acquire_slot(class).await?;
            let call = self.store.watch(prefix, after, wait);
            match self.call_with_timeout(wait + CALL_TIMEOUT, call).await {
                Ok(batch) => return Ok(batch),
                Err(e) => self.delay_or_fail(&mut attempt, e, StoreError::NotApplied).await?,
            }
        }
    }

    /// Writes an object if it has the version that the write names.
    ///
    /// A stored value that equals the new one counts as written, since each value contains the id
    /// of its write. `Conflict` gives the current version; a write that took effect and was then
    /// replaced by another is also reported as a conflict.
    pub async fn put(&self, class: CallClass, put: PutObject) -> Result<PutOutcome, StoreError> {
        let mut attempt = 0;
        let mut is_unclear = false;
        loop {
            if let Err(e) = self.acquire_slot(class).await {
                return Err(unclear_unless(!is_unclear, e));
            }
            let result = self.call_with_timeout(CALL_TIMEOUT, self.store.put(&put)).await;
            let error = match result {
                Ok(PutOutcome::Written(version)) => return Ok(PutOutcome::Written(version)),
                Ok(PutOutcome::Conflict(_)) => PlatformError::ResponseLost {
                    reason: "the conflict may be with an earlier write of this value".to_string(),
                },
                Err(e) => e,
            };
            is_unclear |= !matches!(error, PlatformError::NotApplied { .. });
            if is_unclear {
                match self.read_back(class, &put).await {
                    Ok(ReadBack::Written(version)) => return Ok(PutOutcome::Written(version)),
                    Ok(ReadBack::Superseded(version)) => return Ok(PutOutcome::Conflict(version)),
                    Ok(ReadBack::Unchanged) | Err(_) => {}
                }
            }
            let fail = if is_unclear { StoreError::Unclear } else { StoreError::NotApplied };
            self.delay_or_fail(&mut attempt, error, fail).await?;
        }
    }

    /// Deletes an object if it has this version; an object that is gone counts as deleted.
    pub async fn delete(
        &self,
        class: CallClass,
        key: &str,
        if_version: ObjectVersion,
    ) -> Result<PutOutcome, StoreError> {
        let mut attempt = 0;
        let mut is_unclear = false;
        loop {
            if let Err(e) = self.acquire_slot(class).await {
                return Err(unclear_unless(!is_unclear, e));
            }
            let result =
                self.call_with_timeout(CALL_TIMEOUT, self.store.delete(key, if_version)).await;
            let error = match result {
                Ok(PutOutcome::Conflict(0)) if is_unclear => {
                    return Ok(PutOutcome::Written(if_version));
                }
                Ok(outcome) => return Ok(outcome),
                Err(e) => e,
            };
            is_unclear |= !matches!(error, PlatformError::NotApplied { .. });
            let fail = if is_unclear { StoreError::Unclear } else { StoreError::NotApplied };
            self.delay_or_fail(&mut attempt, error, fail).await?;
        }
    }

    /// Reads the object of a write whose outcome is unclear, in a single attempt.
    async fn read_back(&self, class: CallClass, put: &PutObject) -> Result<ReadBack, StoreError> {
        self.acquire_slot(class).await?;
        let object = self.call_with_timeout(CALL_TIMEOUT, self.store.get(&put.key)).await;
        let object = object.map_err(StoreError::NotApplied)?;
        let version = object.as_ref().map_or(0, |object| object.version);
        let is_written = object.is_some_and(|object| object.value == put.value);
        if is_written {
            return Ok(ReadBack::Written(version));
        }
        if version == put.if_version {
            return Ok(ReadBack::Unchanged);
        }
        Ok(ReadBack::Superseded(version))
    }

    async fn acquire_slot(&self, class: CallClass) -> Result<(), StoreError> {
        if self.outage.admit() == Admission::Refused {
            return Err(StoreError::Unavailable);
        }
        let slot = self.queue.acquire(class).await;
        if slot.is_err() {
            self.cx.metrics.count(metric_names::STORE_CALLS_SHED, 1);
        }
        Ok(slot?)
    }

    /// Makes one call with a timeout and reports its result to the outage detector.
    async fn call_with_timeout<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        self.cx.metrics.count(metric_names::STORE_CALLS, 1);
        let result = tokio::time::timeout(timeout, call).await.unwrap_or_else(|_| {
            let reason = format!("no response within {} ms", timeout.as_millis());
            Err(PlatformError::ResponseLost { reason })
        });
        let transition = match &result {
            Ok(_) => self.outage.record_success(),
            Err(_) => self.outage.record_failure(),
        };
        if let Err(e) = &result {
            self.cx.metrics.count(metric_names::STORE_CALL_FAILURES, 1);
            log::debug!("store call failed: {e}");
        }
        match transition {
            Some(Transition::Unavailable) => {
                let reason = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
                self.cx.record(Event::StoreAway { node: self.cx.node().to_string(), reason });
            }
            Some(Transition::Recovered(away_for)) => {
                self.cx.record(Event::StoreBack { node: self.cx.node().to_string(), away_for });
            }
            None => {}
        }
        result
    }

    async fn delay_or_fail(
        &self,
        attempt: &mut u32,
        error: PlatformError,
        fail: fn(PlatformError) -> StoreError,
    ) -> Result<(), StoreError> {
        *attempt += 1;
        if *attempt >= MAX_ATTEMPTS || !self.is_available() {
            return Err(fail(error));
        }
        let delay = self.outage.retry_delay(*attempt - 1, RETRY_DELAY);
        tokio::time::sleep(delay).await;
        Ok(())
    }
}

/// Returns the error as it is if no earlier attempt can have had an effect, else as `Unclear`.
fn unclear_unless(is_clear: bool, error: StoreError) -> StoreError {
    if is_clear {
        return error;
    }
    StoreError::Unclear(PlatformError::ResponseLost { reason: error.to_string() })
}
