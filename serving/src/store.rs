//! Client of the platform's object store.
//!
//! The client does not retry. Callers that do first wait for `Store::retry_delay`, which grows with
//! the number of consecutive failures. A call without a response returns `Unknown` and never an error
//! that claims that the call had no effect.
//!
//! Each answer names the store's era. A call during which the era rises returns `Restored`, and so does one
//! whose condition or position is a revision of an earlier era.

use crate::connection;
use crate::connection::CallError;
use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::dialect::ObjectChange;
use crate::dialect::ObjectKind;
use crate::dialect::ObjectPage;
use crate::dialect::ObjectRead;
use crate::dialect::StoredObject;
use crate::network::Network;
use crate::rate_limited_log::RateLimitedLog;
use crate::serving_metrics::ServingMetrics;
use crate::store_era::Era;
use crate::store_era::EraChange;
use crate::store_era::Revision;
use crate::store_era::StoreEra;
use bytes::Bytes;
use guavaladder_lib::generated::events::Event;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

/// Timeout of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of the response to a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time beyond the wait of a watch after which the watch times out.
pub const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Maximum size of the body of a response.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum number of idle connections that are kept.
const MAX_IDLE: usize = 2;
/// Maximum idle time after which a connection is still reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Retry delay after a failed call, doubled for each further consecutive failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Maximum number of pages of a list.
const MAX_PAGES: usize = 200;
/// Number of times that a page of a list is read in a large fleet before the read of the list fails.
const MAX_PAGE_ATTEMPTS: u32 = 5;
/// Number of consecutive failures after which the store counts as unavailable.
const UNAVAILABLE_AFTER: u32 = 2;

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The call had no effect.
    #[error("the call had no effect: {0}")]
    NotApplied(String),
    /// The store may have applied the call, or may still do so.
    #[error("the outcome of the call is unknown: {0}")]
    Unknown(String),
    /// The object exists, or has another revision than the call requires. Holds the current object if
    /// the store returned it.
    #[error("the object exists or has another revision")]
    Conflict(Option<Box<StoredObject>>),
    /// The store no longer has the changes after the revision at which the watch starts.
    #[error("the store no longer has the changes that the watch asked for")]
    HistoryGone,
    /// The store has returned from an older copy since the revision that the call names, or during the call,
    /// whose outcome is void.
    #[error("the store has returned from an older copy")]
    Restored,
    /// The response cannot be decoded.
    #[error("cannot decode the response: {0}")]
    Undecodable(#[from] crate::dialect::DecodeError),
}

/// Availability of the store, as derived from the outcomes of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreHealth {
    /// When the store became unavailable; `None` while it is available.
    pub unavailable_since: Option<Instant>,
    /// When the store last became available again.
    pub recovered_at: Option<Instant>,
    /// Number of consecutive failures.
    failures: u32,
    /// When the last failed call ended.
    last_failed: Option<Instant>,
    /// Whether one of these failures was a call without a response.
    has_unanswered: bool,
}

/// First success after failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Recovery {
    /// How long the store was unavailable; `None` if the failures were too few.
    unavailable_for: Option<Duration>,
    /// Whether one of the failures was a call without a response.
    had_unanswered: bool,
}

impl StoreHealth {
    /// Records a failed call. Returns true if the store becomes unavailable by it.
    fn record_failure(&mut self, is_unanswered: bool, now: Instant) -> bool {
        self.failures += 1;
        self.last_failed = Some(now);
        self.has_unanswered |= is_unanswered;
        let is_newly_unavailable = self.failures == UNAVAILABLE_AFTER;
        if is_newly_unavailable {
            self.unavailable_since = Some(now);
        }
        is_newly_unavailable
    }

    /// Records a successful call. A call that began before the last failed one ended, as a watch may,
    /// does not show that the store has recovered.
    fn record_success(&mut self, began: Instant, now: Instant) -> Option<Recovery> {
        if self.failures == 0 || self.last_failed.is_some_and(|failed| began < failed) {
            return None;
        }
        let unavailable_for = self.unavailable_since.take().map(|since| now - since);
        if unavailable_for.is_some() {
            self.recovered_at = Some(now);
        }
        self.failures = 0;
        Some(Recovery { unavailable_for, had_unanswered: std::mem::take(&mut self.has_unanswered) })
    }
}

/// How the pages of a list are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PageRead {
    /// Whether a page that could not be read is read again.
    pub is_repeated: bool,
    /// Whether pages after the first may be some seconds old. Such reads do not count toward the rate of reads.
    pub may_be_stale: bool,
}

/// Handle to the client of the store.
#[derive(Debug, Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    dialect: Arc<dyn Dialect>,
    network: Network,
    address: SocketAddr,
    log: RateLimitedLog,
    metrics: ServingMetrics,
    idle: Mutex<Vec<Connection>>,
    health: Mutex<StoreHealth>,
    era: StoreEra,
    /// Highest revision that an answer held.
    last_revision: Mutex<Revision>,
    /// Whether an answer without a readable era is in the log.
    is_era_missing_logged: AtomicBool,
    /// Number of recoveries after a call without a response.
    recoveries: watch::Sender<u64>,
}

impl Store {
    /// Creates a client of the store at an address.
    pub fn new(
        dialect: Arc<dyn Dialect>,
        network: Network,
        address: SocketAddr,
        log: RateLimitedLog,
        metrics: ServingMetrics,
    ) -> Self {
        let inner = Inner {
            dialect,
            network,
            address,
            log,
            metrics,
            idle: Mutex::default(),
            health: Mutex::default(),
            era: StoreEra::new(),
            last_revision: Mutex::default(),
            is_era_missing_logged: AtomicBool::new(false),
            recoveries: watch::channel(0).0,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns the availability of the store.
    pub fn health(&self) -> StoreHealth {
        *self.lock_health()
    }

    /// Returns the era of the store.
    pub fn era(&self) -> &StoreEra {
        &self.inner.era
    }

    /// Returns how long to wait before a failed call is retried, with random jitter.
    pub fn retry_delay(&self) -> Duration {
        let failures = self.lock_health().failures.clamp(1, 8);
        let delay = (MIN_RETRY_DELAY * 2u32.pow(failures - 1)).min(MAX_RETRY_DELAY);
        delay.mul_f64(rand::random_range(0.75..1.25))
    }

    /// Reads an object; returns `None` if it does not exist.
    pub async fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<StoredObject>, StoreError> {
        let path = self.inner.dialect.read_path(kind, &ObjectRead::Get { name });
        let response = self.call("get", kind, Method::GET, path, vec![], CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => {
                Ok(Some(self.with_era(self.inner.dialect.decode_object(response.body())?)))
            }
            status => Err(StoreError::NotApplied(format!("status {status}"))),
        }
    }

    /// Reads all objects of a kind. Returns them with the revision at which the first page was read.
    pub async fn list(
        &self,
        kind: ObjectKind,
    ) -> Result<(Vec<StoredObject>, Revision), StoreError> {
        self.list_pages(kind, PageRead::default).await
    }

    /// Reads all objects of a kind, each page as `page_read` returns. Returns them with the lowest revision at
    /// which a page was read.
    pub async fn list_pages(
        &self,
        kind: ObjectKind,
        page_read: impl Fn() -> PageRead,
    ) -> Result<(Vec<StoredObject>, Revision), StoreError> {
        let mut objects: Vec<StoredObject> = vec![];
        let mut revision: Option<Revision> = None;
        for _ in 0..MAX_PAGES {
            let after = objects.last().map(|object| object.name.clone());
            let page = self.read_page(kind, after.as_deref(), &page_read).await?;
            let is_empty = page.objects.is_empty();
            objects.extend(page.objects.into_iter().map(|object| self.with_era(object)));
            let read_at = self.revision(page.revision);
            let lowest = revision.map_or(read_at, |revision| revision.min(read_at));
            if revision.is_some_and(|revision| revision.era != read_at.era) {
                return Err(StoreError::Restored);
            }
            revision = Some(lowest);
            if !page.has_more || is_empty {
                return Ok((objects, lowest));
            }
        }
        Err(StoreError::NotApplied(format!(
            "the list has more than the maximum of {MAX_PAGES} pages"
        )))
    }

    /// Reads a page of a list. In a large fleet, a failed read of it is repeated, since the pages before would have
    /// to be read again as well.
    async fn read_page(
        &self,
        kind: ObjectKind,
        after: Option<&str>,
        page_read: &impl Fn() -> PageRead,
    ) -> Result<ObjectPage, StoreError> {
        let mut attempts = 1;
        loop {
            let PageRead { is_repeated, may_be_stale } = page_read();
            let allow_stale = may_be_stale && after.is_some();
            let path = self.inner.dialect.read_path(kind, &ObjectRead::List { after, allow_stale });
            let called = self.call("list", kind, Method::GET, path, vec![], CALL_TIMEOUT).await;
            let error = match called {
                Ok(response) if response.status() == StatusCode::OK => {
                    return Ok(self.inner.dialect.decode_page(response.body())?);
                }
                Ok(response) => StoreError::NotApplied(format!("status {}", response.status())),
                Err(e) => e,
            };
            if !is_repeated || attempts >= MAX_PAGE_ATTEMPTS || error == StoreError::Restored {
                return Err(error);
            }
            attempts += 1;
            sleep(self.retry_delay()).await;
        }
    }

    /// Waits for changes after a revision. Returns them with the revision from which the next watch
    /// continues; there are none if nothing changed within `wait`.
    ///
    /// Returns `Unknown` as soon as the store responds again after another call got no response: it
    /// may have lost this watch as well, which would otherwise show only when the watch times out.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        after: Revision,
        wait: Duration,
    ) -> Result<(Vec<ObjectChange>, Revision), StoreError> {
        self.check_revision(after)?;
        let read = ObjectRead::Watch { after: after.number, wait };
        let path = self.inner.dialect.read_path(kind, &read);
        let timeout = wait + WATCH_SLACK;
        let mut recoveries = self.inner.recoveries.subscribe();
        let response = tokio::select! {
            response = self.call("watch", kind, Method::GET, path, vec![], timeout) => response?,
            _ = recoveries.changed() => {
                self.check_revision(after)?;
                let reason = "the store recovered after it left calls unanswered";
                return Err(StoreError::Unknown(reason.to_string()));
            }
        };
        match response.status() {
            StatusCode::OK => {
                let batch = self.inner.dialect.decode_watch(response.body())?;
                let with_era = |change| match change {
                    ObjectChange::Put(object) => ObjectChange::Put(self.with_era(object)),
                    ObjectChange::Removed(name) => ObjectChange::Removed(name),
                };
                let changes = batch.changes.into_iter().map(with_era).collect();
                Ok((changes, self.revision(batch.revision)))
            }
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => Err(StoreError::NotApplied(format!("status {status}"))),
        }
    }

    /// Creates an object that does not exist yet.
    pub async fn create(
        &self,
        kind: ObjectKind,
        object: &StoredObject,
    ) -> Result<StoredObject, StoreError> {
        let path = self.inner.dialect.object_path(kind, None);
        self.write("create", kind, Method::POST, path, object).await
    }

    /// Replaces an object if it has the revision given in `object`; a revision of 0 replaces any.
    pub async fn replace(
        &self,
        kind: ObjectKind,
        object: &StoredObject,
    ) -> Result<StoredObject, StoreError> {
        self.check_revision(object.revision)?;
        let path = self.inner.dialect.object_path(kind, Some(&object.name));
        self.write("replace", kind, Method::PUT, path, object).await
    }

    /// Deletes an object if it has this revision; succeeds if it does not exist.
    pub async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: Revision,
    ) -> Result<(), StoreError> {
        self.check_revision(revision)?;
        let path = self.inner.dialect.delete_path(kind, name, revision.number);
        let response =
            self.call("delete", kind, Method::DELETE, path, vec![], CALL_TIMEOUT).await?;
        match response.status() {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(()),
            StatusCode::CONFLICT => Err(StoreError::Conflict(None)),
            status => Err(StoreError::NotApplied(format!("status {status}"))),
        }
    }

    async fn write(
        &self,
        what: &'static str,
        kind: ObjectKind,
        method: Method,
        path: String,
        object: &StoredObject,
    ) -> Result<StoredObject, StoreError> {
        let body = self.inner.dialect.encode_object(object);
        let response = self.call(what, kind, method, path, body, CALL_TIMEOUT).await?;
        match response.status() {
            status if status.is_success() => {
                Ok(self.with_era(self.inner.dialect.decode_object(response.body())?))
            }
            StatusCode::CONFLICT => {
                let current = self.inner.dialect.decode_object(response.body()).ok();
                Err(StoreError::Conflict(current.map(|current| Box::new(self.with_era(current)))))
            }
            status => Err(StoreError::NotApplied(format!("status {status}"))),
        }
    }

    async fn call(
        &self,
        what: &'static str,
        kind: ObjectKind,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let has_body = !body.is_empty();
        let is_read = method == Method::GET;
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.inner.address.to_string());
        if has_body {
            req = req.header(header::CONTENT_TYPE, "application/json");
        }
        let req = req
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| StoreError::NotApplied(format!("cannot build the request: {e}")))?;
        self.inner.metrics.store_call(what, kind);
        let (began, began_in) = (Instant::now(), self.inner.era.named());
        let result = self.call_on_connection(req, timeout, is_read).await;
        self.record_result(what, began, &result);
        let status = result.as_ref().map_or(0, |response| response.status().as_u16());
        log::debug!("store call {what} of {kind:?}: status {status} after {:?}", began.elapsed());
        let response = result.map_err(|e| match e {
            CallError::NotSent(e) => StoreError::NotApplied(e.to_string()),
            CallError::NoResponse(e) => StoreError::Unknown(e),
        })?;
        self.check_era(began_in, response.headers())?;
        match response.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::NotApplied(format!("status {}", response.status())))
            }
            _ => Ok(response),
        }
    }

    /// Learns the era that an answer names. Fails if the store returned from an older copy during the call.
    fn check_era(&self, began_in: Option<Era>, headers: &HeaderMap) -> Result<(), StoreError> {
        match self.inner.dialect.decode_store_era(headers) {
            Ok(Some(named)) => match self.inner.era.observe(named, Instant::now()) {
                EraChange::None => {}
                EraChange::Risen(before) => self.record_return(before, named),
                EraChange::Earlier => return Err(StoreError::Restored),
            },
            Ok(None) => self.log_missing_era("it names none".to_string()),
            Err(e) => self.log_missing_era(e.to_string()),
        }
        match began_in {
            Some(era) if era != self.inner.era.current() => Err(StoreError::Restored),
            _ => Ok(()),
        }
    }

    /// Records that the store returned from an older copy. What it lacks is written again as after an outage.
    fn record_return(&self, before: Era, era: Era) {
        log::info!("the store returned from an older copy: era {before}, now {era}");
        self.inner.metrics.store_returned();
        self.lock_health().recovered_at = Some(Instant::now());
        self.inner.recoveries.send_modify(|recoveries| *recoveries += 1);
    }

    fn log_missing_era(&self, reason: String) {
        if !self.inner.is_era_missing_logged.swap(true, Ordering::Relaxed) {
            self.inner.log.record(Event::StoreEraMissing { reason });
        }
    }

    /// Fails if a revision is of an earlier era.
    fn check_revision(&self, revision: Revision) -> Result<(), StoreError> {
        let is_current = revision.number == 0 || revision.era == self.inner.era.current();
        if is_current { Ok(()) } else { Err(StoreError::Restored) }
    }

    /// Returns a revision of the current era, which an answer held. Logs the first one after the store
    /// returned from an older copy.
    fn revision(&self, number: u64) -> Revision {
        let revision = Revision { era: self.inner.era.current(), number };
        let before = {
            let mut last = self.inner.last_revision.lock().unwrap_or_else(PoisonError::into_inner);
            let before = *last;
            *last = revision.max(before);
            before
        };
        if revision.era > before.era && before.number > 0 {
            self.inner.log.record(Event::StoreRestored {
                before: before.era,
                era: revision.era,
                last_revision: before.number,
                revision: number,
            });
        }
        revision
    }

    fn with_era(&self, mut object: StoredObject) -> StoredObject {
        object.revision = self.revision(object.revision.number);
        object
    }

    /// Sends a request on an idle connection if it is a read, otherwise on a new one: if an idle
    /// connection turns out to be broken, the outcome of a write on it is unknown.
    async fn call_on_connection(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        is_read: bool,
    ) -> Result<Response<Bytes>, CallError> {
        let idle = is_read.then(|| self.take_idle()).flatten();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                Connection::open(&self.inner.network, self.inner.address, CONNECT_TIMEOUT).await?
            }
        };
        let response = connection::call(&mut connection, req, timeout, MAX_RESPONSE_BYTES).await?;
        let closes = response.headers().get(header::CONNECTION).is_some_and(|v| v == "close");
        if !closes && connection.ready().await {
            let mut idle = self.lock_idle();
            if idle.len() < MAX_IDLE {
                idle.push(connection);
            }
        }
        Ok(response)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock_idle();
        idle.retain(|c| c.is_ready() && c.last_used.elapsed() < MAX_IDLE_TIME);
        idle.pop()
    }

    /// Updates the availability of the store with the result of a call, and logs a change of it.
    fn record_result(
        &self,
        what: &'static str,
        began: Instant,
        result: &Result<Response<Bytes>, CallError>,
    ) {
        let now = Instant::now();
        let reason = match result {
            Ok(response) if response.status().is_server_error() => response.status().to_string(),
            Ok(response) if response.status() == StatusCode::TOO_MANY_REQUESTS => {
                response.status().to_string()
            }
            Ok(_) => {
                let recovery = self.lock_health().record_success(began, now);
                if recovery.is_some_and(|recovery| recovery.had_unanswered) {
                    self.inner.recoveries.send_modify(|recoveries| *recoveries += 1);
                }
                if let Some(away_for) = recovery.and_then(|recovery| recovery.unavailable_for) {
                    let dependency = "store".to_string();
                    self.inner.log.record(Event::DependencyRegained { dependency, away_for });
                }
                return;
            }
            Err(e) => e.to_string(),
        };
        self.inner.metrics.store_failure(what);
        let is_unanswered = matches!(result, Err(CallError::NoResponse(_)));
        let is_newly_unavailable = self.lock_health().record_failure(is_unanswered, now);
        if is_newly_unavailable {
            let dependency = "store".to_string();
            let reason = format!("{what}: {reason}");
            self.inner.log.record(Event::DependencyLost { dependency, reason });
        }
    }

    fn lock_health(&self) -> MutexGuard<'_, StoreHealth> {
        self.inner.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.inner.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
