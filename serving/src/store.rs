//! The client of the platform's object store.
//!
//! Each call is made once; callers that want to try again do so after `pause`, which grows with the
//! failures in a row. An answer that was lost is told as `Unknown`, never as a failure of the call.

use crate::connection;
use crate::connection::CallError;
use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::dialect::ObjectKind;
use crate::dialect::ObjectRead;
use crate::dialect::StoredObject;
use crate::dialect::WatchBatch;
use crate::network::Network;
use crate::rate_limited_log::RateLimitedLog;
use crate::serving_metrics::ServingMetrics;
use bytes::Bytes;
use guavaladder_lib::generated::events::Event;
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
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Longest wait for a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time beyond a watch's own wait after which its connection counts as silent.
const WATCH_SLACK: Duration = Duration::from_millis(700);
/// Largest answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Idle connections that are kept.
const MAX_IDLE: usize = 2;
/// Longest time for which an idle connection is used again.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// First pause after a failed call; doubled for each further one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Pages that a list is read in, at most.
const MAX_PAGES: usize = 200;
/// Failures in a row after which the store counts as away.
const AWAY_AFTER: u32 = 2;

/// Errors of a call to the store.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The store did nothing.
    #[error("the store did nothing: {0}")]
    NotDone(String),
    /// The call may have been carried out, or may be later.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
    /// The object has another revision.
    #[error("the object has another revision")]
    Conflict(Option<Box<StoredObject>>),
    /// The history that a watch asked for is gone.
    #[error("the history is gone")]
    HistoryGone,
    /// The answer cannot be decoded.
    #[error("the answer cannot be decoded: {0}")]
    Undecodable(#[from] crate::dialect::DecodeError),
}

/// What is known of the store's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreHealth {
    /// Since when calls fail; `None` while they succeed.
    pub away_since: Option<Instant>,
    /// When the store answered again after it was away.
    pub regained_at: Option<Instant>,
    failures: u32,
    /// When the last failed call ended.
    last_failed: Option<Instant>,
    has_unanswered: bool,
}

/// What a useful answer says after failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Return {
    /// For how long the store counted as away, if it did.
    away_for: Option<Duration>,
    /// Whether calls had no answer meanwhile.
    was_silent: bool,
}

impl StoreHealth {
    fn fail(&mut self, is_unanswered: bool, now: Instant) -> bool {
        self.failures += 1;
        self.last_failed = Some(now);
        self.has_unanswered |= is_unanswered;
        let is_lost = self.failures == AWAY_AFTER;
        if is_lost {
            self.away_since = Some(now);
        }
        is_lost
    }

    /// Takes in a useful answer. That of a call which began before the last failed one ended, as a
    /// watch may, does not say that the store is back.
    fn succeed(&mut self, began: Instant, now: Instant) -> Option<Return> {
        if self.failures == 0 || self.last_failed.is_some_and(|failed| began < failed) {
            return None;
        }
        let away_for = self.away_since.take().map(|since| now - since);
        if away_for.is_some() {
            self.regained_at = Some(now);
        }
        self.failures = 0;
        Some(Return { away_for, was_silent: std::mem::take(&mut self.has_unanswered) })
    }
}

/// Handle to the store.
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
    /// Number of times that the store answered again after a call had no answer.
    returns: watch::Sender<u64>,
}

impl Store {
    /// Returns a client of the store at an address.
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
            returns: watch::channel(0).0,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns the state of the store as its calls show it.
    pub fn health(&self) -> StoreHealth {
        *self.lock_health()
    }

    /// Returns how long to wait before a call that failed is made again.
    pub fn pause(&self) -> Duration {
        let failures = self.lock_health().failures.clamp(1, 8);
        let pause = (FIRST_PAUSE * 2u32.pow(failures - 1)).min(MAX_PAUSE);
        pause.mul_f64(rand::random_range(0.75..1.25))
    }

    /// Reads an object; `None` when there is none.
    pub async fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<StoredObject>, StoreError> {
        let path = self.inner.dialect.read_path(kind, &ObjectRead::Get { name });
        let answer = self.call("get", kind, Method::GET, path, vec![], CALL_TIMEOUT).await?;
        match answer.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(self.inner.dialect.decode_object(answer.body())?)),
            status => Err(StoreError::NotDone(format!("status {status}"))),
        }
    }

    /// Reads all objects of a kind and the revision at which the first page was read.
    pub async fn list(&self, kind: ObjectKind) -> Result<(Vec<StoredObject>, u64), StoreError> {
        let mut objects = vec![];
        let mut revision = None;
        for _ in 0..MAX_PAGES {
            let after = objects.last().map(|object: &StoredObject| object.name.clone());
            let read = ObjectRead::List { after: after.as_deref(), may_be_stale: false };
            let path = self.inner.dialect.read_path(kind, &read);
            let answer = self.call("list", kind, Method::GET, path, vec![], CALL_TIMEOUT).await?;
            if answer.status() != StatusCode::OK {
                return Err(StoreError::NotDone(format!("status {}", answer.status())));
            }
            let page = self.inner.dialect.decode_page(answer.body())?;
            let is_empty = page.objects.is_empty();
            objects.extend(page.objects);
            let revision = *revision.get_or_insert(page.revision);
            if !page.has_more || is_empty {
                return Ok((objects, revision));
            }
        }
        Err(StoreError::NotDone(format!("the list has more than {MAX_PAGES} pages")))
    }

    /// Waits for changes after a revision; the batch is empty when there were none.
    ///
    /// The outcome is unknown when the store, having left another call unanswered, answers again
    /// meanwhile: it may have lost this call as well, which would be seen only after its whole wait.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let path = self.inner.dialect.read_path(kind, &ObjectRead::Watch { after, wait });
        let bound = wait + WATCH_SLACK;
        let mut returns = self.inner.returns.subscribe();
        let answer = tokio::select! {
            answer = self.call("watch", kind, Method::GET, path, vec![], bound) => answer?,
            _ = returns.changed() => {
                let reason = "the store answers again after it left calls unanswered";
                return Err(StoreError::Unknown(reason.to_string()));
            }
        };
        match answer.status() {
            StatusCode::OK => Ok(self.inner.dialect.decode_watch(answer.body())?),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            status => Err(StoreError::NotDone(format!("status {status}"))),
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

    /// Replaces an object if it has the revision that `object` names; 0 is no condition.
    pub async fn replace(
        &self,
        kind: ObjectKind,
        object: &StoredObject,
    ) -> Result<StoredObject, StoreError> {
        let path = self.inner.dialect.object_path(kind, Some(&object.name));
        self.write("replace", kind, Method::PUT, path, object).await
    }

    /// Removes an object if it has this revision; one that is gone counts as removed.
    pub async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        revision: u64,
    ) -> Result<(), StoreError> {
        let path = self.inner.dialect.delete_path(kind, name, revision);
        let answer = self.call("delete", kind, Method::DELETE, path, vec![], CALL_TIMEOUT).await?;
        match answer.status() {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(()),
            StatusCode::CONFLICT => Err(StoreError::Conflict(None)),
            status => Err(StoreError::NotDone(format!("status {status}"))),
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
        let answer = self.call(what, kind, method, path, body, CALL_TIMEOUT).await?;
        match answer.status() {
            status if status.is_success() => Ok(self.inner.dialect.decode_object(answer.body())?),
            StatusCode::CONFLICT => {
                let current = self.inner.dialect.decode_object(answer.body()).ok();
                Err(StoreError::Conflict(current.map(Box::new)))
            }
            status => Err(StoreError::NotDone(format!("status {status}"))),
        }
    }

    async fn call(
        &self,
        what: &'static str,
        kind: ObjectKind,
        method: Method,
        path: String,
        body: Vec<u8>,
        bound: Duration,
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
            .map_err(|e| StoreError::NotDone(format!("the call cannot be worded: {e}")))?;
        self.inner.metrics.store_call(what, kind);
        let began = Instant::now();
        let result = self.call_on_connection(req, bound, is_read).await;
        self.note(what, began, &result);
        let status = result.as_ref().map_or(0, |answer| answer.status().as_u16());
        log::debug!("store call {what} of {kind:?}: status {status} after {:?}", began.elapsed());
        let answer = result.map_err(|e| match e {
            CallError::NotSent(e) => StoreError::NotDone(e.to_string()),
            CallError::NoResponse(e) => StoreError::Unknown(e),
        })?;
        match answer.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::NotDone(format!("status {}", answer.status())))
            }
            _ => Ok(answer),
        }
    }

    /// Uses an idle connection for reads only: a write on a connection that broke is unclear.
    async fn call_on_connection(
        &self,
        req: Request<Full<Bytes>>,
        bound: Duration,
        is_read: bool,
    ) -> Result<Response<Bytes>, CallError> {
        let idle = is_read.then(|| self.take_idle()).flatten();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                Connection::open(&self.inner.network, self.inner.address, CONNECT_TIMEOUT).await?
            }
        };
        let answer = connection::call(&mut connection, req, bound, MAX_ANSWER_BYTES).await?;
        let closes = answer.headers().get(header::CONNECTION).is_some_and(|v| v == "close");
        if !closes && connection.ready().await {
            let mut idle = self.lock_idle();
            if idle.len() < MAX_IDLE {
                idle.push(connection);
            }
        }
        Ok(answer)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock_idle();
        idle.retain(|c| c.is_ready() && c.last_used.elapsed() < MAX_IDLE_TIME);
        idle.pop()
    }

    /// Takes in whether a call was answered usefully, for the store's state.
    fn note(
        &self,
        what: &'static str,
        began: Instant,
        result: &Result<Response<Bytes>, CallError>,
    ) {
        let now = Instant::now();
        let reason = match result {
            Ok(answer) if answer.status().is_server_error() => answer.status().to_string(),
            Ok(answer) if answer.status() == StatusCode::TOO_MANY_REQUESTS => {
                answer.status().to_string()
            }
            Ok(_) => {
                let returned = self.lock_health().succeed(began, now);
                if returned.is_some_and(|returned| returned.was_silent) {
                    self.inner.returns.send_modify(|returns| *returns += 1);
                }
                if let Some(away_for) = returned.and_then(|returned| returned.away_for) {
                    let dependency = "store".to_string();
                    self.inner.log.record(Event::DependencyRegained { dependency, away_for });
                }
                return;
            }
            Err(e) => e.to_string(),
        };
        self.inner.metrics.store_failure(what);
        let is_unanswered = matches!(result, Err(CallError::NoResponse(_)));
        let is_lost = self.lock_health().fail(is_unanswered, now);
        if is_lost {
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
