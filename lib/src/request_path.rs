//! Shared components of a node's request processing, and the task that keeps the routes and the
//! facts exchanged between nodes up to date.

use crate::admission::Admission;
use crate::circuit_breaker::MAX_EJECTED_PERCENT;
use crate::cx::Cx;
use crate::engine::Engine;
use crate::engine::UpstreamError;
use crate::entries::NodeLoad;
use crate::facts::FactKind;
use crate::fleet_key::FleetKey;
use crate::generated::config::Customer;
use crate::generated::config::ServiceKind;
use crate::generated::events::Event;
use crate::generated::requests::ErrorCode;
use crate::generated::requests::LeavingFact;
use crate::generated::requests::UsageFact;
use crate::generation::Generation;
use crate::ids::AttemptId;
use crate::ids::InstanceId;
use crate::ledger::Ledger;
use crate::plain_service::PlainService;
use crate::replica::Replica;
use crate::request::Request;
use crate::request::RequestError;
use crate::request::first_u64;
use crate::request_limits::RequestLimits;
use crate::request_outcome::record_error;
use crate::retry_budget::RetryBudget;
use crate::route_table::RouteTable;
use crate::silent_upstreams::SilentUpstreams;
use crate::store_client::StoreClient;
use crate::suspects::Suspects;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Interval at which facts are published and those of other nodes are applied.
const FACT_PERIOD: Duration = Duration::from_millis(250);
/// Maximum number of concurrent requests of a node.
const MAX_RUNNING: usize = 16_384;
/// The published number of running requests is rounded down to a multiple of this, so that it is
/// not published again at every change.
const LOAD_STEP: u32 = 64;
/// Time for which an upstream that reported that it is leaving is kept out of the routes.
const LEAVING_TTL: Duration = Duration::from_secs(120);
/// Longest time allowed for streams to be handed back to their callers, and for a cancellation.
const MOVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay sent to a caller when the node is shutting down or at its request limit.
const REJECTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Cloneable handle to the request path of a node.
#[derive(Clone)]
pub struct RequestPath {
    inner: Arc<Inner>,
}

struct Inner {
    cx: Cx,
    engine: Arc<dyn Engine>,
    plain: Arc<dyn PlainService>,
    routes: RouteTable,
    admission: Admission,
    suspects: Suspects,
    silent_upstreams: SilentUpstreams,
    retry_budget: RetryBudget,
    ledger: Ledger,
    attempts: AtomicU64,
    /// Upstreams that reported that they are leaving, with the expiry time of the entry.
    leaving: Mutex<BTreeMap<InstanceId, Instant>>,
    running: AtomicUsize,
    moved: AtomicU64,
    is_stopping: AtomicBool,
    is_draining: AtomicBool,
    /// Cancelled when the requests that still run must end as soon as they have nothing to relay.
    moving: CancellationToken,
    /// Cancelled when they must end even if what has arrived is not relayed.
    ending: CancellationToken,
    refresh_needed: Notify,
}

/// Counts a request as running until it is dropped.
pub struct RequestGuard {
    path: RequestPath,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.path.inner.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl RequestPath {
    /// Creates the request path and spawns the task that keeps routes and facts up to date.
    pub fn start(
        cx: Cx,
        store: StoreClient,
        engine: Arc<dyn Engine>,
        plain: Arc<dyn PlainService>,
        shutdown: CancellationToken,
    ) -> Self {
        let routes = RouteTable::new(cx.clone());
        let seed = format!("{} {}", cx.node(), cx.incarnation);
        // The upper half distinguishes the attempt ids of different nodes and incarnations.
        let first_attempt = first_u64(&blake3::hash(seed.as_bytes())) & !0xffff_ffff;
        let key = FleetKey::read(Path::new(&cx.settings.fleet_key_file)).ok();
        let inner = Inner {
            ledger: Ledger::new(cx.clone(), store, key),
            engine,
            plain,
            admission: Admission::new(cx.clone(), routes.clone()),
            routes,
            suspects: Suspects::new(cx.clone()),
            silent_upstreams: SilentUpstreams::new(),
            retry_budget: RetryBudget::new(),
            attempts: AtomicU64::new(first_attempt),
            leaving: Mutex::default(),
            running: AtomicUsize::new(0),
            moved: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            moving: CancellationToken::new(),
            ending: CancellationToken::new(),
            refresh_needed: Notify::new(),
            cx,
        };
        let path = Self { inner: Arc::new(inner) };
        tokio::spawn(refresh_until_shutdown(path.clone(), shutdown));
        path
    }

    /// Counts a request as running, or rejects it during shutdown or at the request limit.
    pub fn begin_request(&self) -> Result<RequestGuard, RequestError> {
        if self.inner.is_draining.load(Ordering::Acquire) {
            return Err(refused_by_shutdown());
        }
        let running = self.inner.running.fetch_add(1, Ordering::AcqRel);
        let guard = RequestGuard { path: self.clone() };
        if running >= MAX_RUNNING {
            let message = "this node has reached its limit of concurrent requests";
            let error = RequestError::not_run(ErrorCode::Overloaded, message);
            return Err(error.with_retry_after(REJECTED_RETRY_AFTER));
        }
        Ok(guard)
    }

    /// Admits a generation request; `emitted` are the tokens that the caller has already received.
    pub async fn generate(
        &self,
        req: Arc<Request>,
        limits: RequestLimits,
        emitted: Vec<String>,
    ) -> Result<Generation, RequestError> {
        let running = self.begin_request().inspect_err(|e| record_error(self.cx(), &req, 0, e))?;
        self.inner.retry_budget.deposit(limits.retry_ratio);
        let mut answer = Generation::new(self.clone(), req, limits, emitted, running);
        answer.admit().await?;
        Ok(answer)
    }

    /// Begins a shutdown: requests are still accepted until `drain` is called.
    pub fn begin_stop(&self) {
        self.inner.is_stopping.store(true, Ordering::Release);
    }

    /// Returns whether a shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.inner.is_stopping.load(Ordering::Acquire)
    }

    /// Drains the node: rejects new requests, waits up to `bound` for running ones to finish, then
    /// hands the remaining streams back to their callers within `move_bound`, answers the other requests
    /// with an error, and returns the number of these streams.
    pub async fn drain(&self, bound: Duration, move_bound: Duration) -> u64 {
        self.inner.is_draining.store(true, Ordering::Release);
        let before = self.running();
        let moved_before = self.moved();
        self.wait_until_idle(bound).await;
        self.inner.moving.cancel();
        let move_bound = MOVE_TIMEOUT.min(move_bound);
        self.wait_until_idle(move_bound / 2).await;
        self.inner.ending.cancel();
        self.wait_until_idle(move_bound / 2).await;
        let moved = self.moved() - moved_before;
        self.cx().record(Event::StreamsMoved {
            node: self.cx().node().to_string(),
            finished: (before as u64).saturating_sub(moved),
            moved,
        });
        moved
    }

    async fn wait_until_idle(&self, bound: Duration) {
        const POLL: Duration = Duration::from_millis(20);
        let until = Instant::now() + bound;
        while self.running() > 0 && Instant::now() < until {
            tokio::time::sleep(POLL.min(until.saturating_duration_since(Instant::now()))).await;
        }
    }

    /// Returns the context of the node.
    pub fn cx(&self) -> &Cx {
        &self.inner.cx
    }

    /// Returns the client for engines.
    pub fn engine(&self) -> &Arc<dyn Engine> {
        &self.inner.engine
    }

    /// Returns the client for plain services.
    pub fn plain(&self) -> &Arc<dyn PlainService> {
        &self.inner.plain
    }

    /// Returns the route table.
    pub fn routes(&self) -> &RouteTable {
        &self.inner.routes
    }

    /// Returns the admission control.
    pub fn admission(&self) -> &Admission {
        &self.inner.admission
    }

    /// Returns the requests suspected of crashing replicas.
    pub fn suspects(&self) -> &Suspects {
        &self.inner.suspects
    }

    /// Returns the requests that were running at upstreams that do not respond.
    pub fn silent_upstreams(&self) -> &SilentUpstreams {
        &self.inner.silent_upstreams
    }

    /// Returns the retry budget.
    pub fn retry_budget(&self) -> &RetryBudget {
        &self.inner.retry_budget
    }

    /// Returns the ledger of requests that run at most once.
    pub fn ledger(&self) -> &Ledger {
        &self.inner.ledger
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::Acquire)
    }

    /// Returns the number of streams that were handed back to their callers.
    pub fn moved(&self) -> u64 {
        self.inner.moved.load(Ordering::Acquire)
    }

    /// Returns whether the node rejects new requests because it is shutting down.
    pub fn is_draining(&self) -> bool {
        self.inner.is_draining.load(Ordering::Acquire)
    }

    /// Runs a step of a request; returns `None` if the request must end because the node is shutting
    /// down.
    pub async fn run_until_moving<T>(&self, step: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.inner.ending.cancelled() => None,
            outcome = step => Some(outcome),
            () = self.inner.moving.cancelled() => None,
        }
    }

    /// Counts a stream that was handed back to its caller.
    pub fn record_moved_stream(&self) {
        self.inner.moved.fetch_add(1, Ordering::AcqRel);
    }

    /// Allocates an attempt id.
    pub fn next_attempt(&self) -> AttemptId {
        self.inner.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the configured limits of a customer's requests to a service.
    pub fn limits(&self, customer: &str, req_service: &str) -> Result<RequestLimits, RequestError> {
        let record = self.cx().config.get().ok_or_else(no_config)?;
        let service = record.config.services.get(req_service).ok_or_else(no_service)?;
        let default = Customer { weight: 1, burst: 100, tokens: vec![] };
        let customer = record.config.customers.get(customer).unwrap_or(&default);
        Ok(RequestLimits::new(&record.config.defaults, service, customer))
    }

    /// Cancels an attempt in the background.
    pub fn cancel(&self, replica: &Replica, attempt: AttemptId) {
        let engine = self.inner.engine.clone();
        let address = replica.identity.address.clone();
        tokio::spawn(async move {
            // A failure is ignored: an unreachable replica has nothing to cancel.
            let _ = tokio::time::timeout(MOVE_TIMEOUT, engine.cancel(&address, attempt)).await;
        });
    }

    /// Exports the KV cache of a request from a replica that is leaving.
    pub async fn export_kv(&self, replica: &Replica, request: &str) -> Option<Vec<u8>> {
        const EXPORT_TIMEOUT: Duration = Duration::from_millis(300);
        let export_call = self.inner.engine.export_kv(&replica.identity.address, request);
        tokio::time::timeout(EXPORT_TIMEOUT, export_call).await.ok()?.ok()?
    }

    /// Records that a replica reported that it is leaving, and requests a refresh of the routes.
    pub fn mark_leaving(&self, replica: &Replica) {
        let until = Instant::now() + LEAVING_TTL;
        let mut leaving = self.inner.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        for instance in replica.identity.instances.iter().take(1) {
            leaving.insert(instance.clone(), until);
        }
        drop(leaving);
        self.inner.refresh_needed.notify_one();
    }

    /// Records that a request failed at a replica, which may eject it.
    pub fn record_failure(&self, replica: &Arc<Replica>) {
        self.cx().metrics.count(crate::metric_names::UPSTREAM_FAILURES, 1);
        let replicas = self.inner.routes.replicas(&replica.identity.service);
        let ejected = replicas.iter().filter(|other| other.is_ejected()).count();
        let may_eject = (ejected + 1) * 100 <= replicas.len() * MAX_EJECTED_PERCENT;
        if let Some((period, failures)) = replica.record_failure(Instant::now(), may_eject) {
            self.cx().record(Event::UpstreamEjected {
                group: replica.identity.group.clone(),
                service: replica.identity.service.clone(),
                failures: u64::from(failures),
                period,
                ejected: ejected as u64 + 1,
                replicas: replicas.len() as u64,
            });
        }
    }

    /// Records that a request to a replica failed or was refused. A replica that asked for time gets no requests
    /// for as long, which is no failure.
    pub fn record_error(&self, replica: &Arc<Replica>, error: &UpstreamError) {
        let UpstreamError::Deferred { retry_after, .. } = error else {
            return self.record_failure(replica);
        };
        replica.defer(*retry_after, Instant::now());
        self.cx().record(Event::UpstreamDeferred {
            group: replica.identity.group.clone(),
            service: replica.identity.service.clone(),
            time: *retry_after,
        });
    }

    /// Records that a replica completed a request, which ends its ejection.
    pub fn record_success(&self, replica: &Replica) {
        if replica.record_success() {
            self.cx().record(Event::UpstreamRestored {
                group: replica.identity.group.clone(),
                service: replica.identity.service.clone(),
            });
        }
    }

    /// Publishes this node's facts, applies those of the other nodes, and rebuilds the routes.
    pub fn refresh(&self) {
        let cx = self.cx();
        let now = Instant::now();
        let own_leaving: Vec<InstanceId> = {
            let mut leaving = self.inner.leaving.lock().unwrap_or_else(PoisonError::into_inner);
            leaving.retain(|_, until| *until > now);
            leaving.keys().cloned().collect()
        };
        let fact = LeavingFact { instances: own_leaving };
        publish(cx, FactKind::LeavingUpstreams, postcard::to_stdvec(&fact));
        let running = self.running() as u32 / LOAD_STEP * LOAD_STEP;
        let load = NodeLoad { running, capacity: MAX_RUNNING as u32 };
        publish(cx, FactKind::NodeLoad, Ok(load.encode()));
        let usage = UsageFact { running: self.inner.admission.running() };
        publish(cx, FactKind::CustomerUsage, postcard::to_stdvec(&usage));
        let mut leaving = BTreeSet::new();
        for fact in cx.facts.all(FactKind::LeavingUpstreams) {
            if let Ok(fact) = postcard::from_bytes::<LeavingFact>(&fact.value) {
                leaving.extend(fact.instances);
            }
        }
        let mut remote: BTreeMap<String, u32> = BTreeMap::new();
        let others = cx.facts.all(FactKind::CustomerUsage);
        for fact in others.iter().filter(|fact| fact.node != cx.node()) {
            let Ok(fact) = postcard::from_bytes::<UsageFact>(&fact.value) else { continue };
            for (key, count) in fact.running {
                *remote.entry(key).or_default() += count;
            }
        }
        self.inner.suspects.refresh();
        self.inner.admission.set_remote_running(&remote);
        self.inner.routes.rebuild(&leaving);
        self.inner.admission.refresh();
        self.inner.admission.dispatch_all();
    }

    /// Fails unless the service exists and is of this kind.
    pub fn check_kind(&self, service: &str, kind: ServiceKind) -> Result<(), RequestError> {
        let record = self.cx().config.get().ok_or_else(no_config)?;
        match record.config.services.get(service) {
            Some(service) if service.kind == kind => Ok(()),
            _ => Err(no_service()),
        }
    }
}

/// Returns the error of a node that has not received a configuration yet.
pub fn no_config() -> RequestError {
    let message = "this node has not received a configuration yet";
    let error = RequestError::not_run(ErrorCode::NoConfig, message);
    error.with_retry_after(Duration::from_secs(2))
}

/// Returns the error of a request that a node in shutdown has not sent to an upstream.
pub fn refused_by_shutdown() -> RequestError {
    let message = "this node is shutting down; use another one";
    let error = RequestError::not_run(ErrorCode::ShuttingDown, message);
    error.with_retry_after(REJECTED_RETRY_AFTER)
}

/// Returns the error of a request whose response was not complete when the node shut down.
pub fn ended_by_shutdown() -> RequestError {
    let message = "this node shut down before the response was complete";
    RequestError::unknown(ErrorCode::ShuttingDown, message)
}

/// Returns the error of a service that does not exist.
pub fn no_service() -> RequestError {
    RequestError::not_run(ErrorCode::NotFound, "the service does not exist")
}

fn publish(cx: &Cx, kind: FactKind, value: Result<Vec<u8>, postcard::Error>) {
    if let Ok(value) = value {
        cx.facts.publish(cx.node(), cx.incarnation, kind, value);
    }
}

async fn refresh_until_shutdown(path: RequestPath, shutdown: CancellationToken) {
    let mut view = path.cx().view.subscribe();
    let mut instances = path.cx().instances.subscribe();
    let mut ticks = path.cx().timers.subscribe(FACT_PERIOD, FACT_PERIOD).await;
    loop {
        path.refresh();
        tokio::select! {
            () = shutdown.cancelled() => return,
            changed = view.changed() => if changed.is_err() { return },
            changed = instances.changed() => if changed.is_err() { return },
            tick = ticks.next() => if tick.is_none() { return },
            () = path.inner.refresh_needed.notified() => {}
        }
    }
}
