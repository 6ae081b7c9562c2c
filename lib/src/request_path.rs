//! The way of requests through a node: the parts that every request uses, and the task that keeps
//! routes and shared facts up to date.

use crate::admission::Admission;
use crate::cx::Cx;
use crate::engine::Engine;
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
use crate::generation::is_group_ready;
use crate::ids::AttemptId;
use crate::ids::InstanceId;
use crate::ledger::Ledger;
use crate::outlier::MAX_EJECTED_PERCENT;
use crate::plain_service::PlainService;
use crate::replica::Replica;
use crate::request::Request;
use crate::request::RequestError;
use crate::request::first_u64;
use crate::request_outcome::record_error;
use crate::request_terms::RequestTerms;
use crate::retry_budget::RetryBudget;
use crate::route_table::RouteTable;
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

/// Period in which shared facts are taken in and published.
const FACT_PERIOD: Duration = Duration::from_millis(250);
/// Requests that a node runs at once.
const MAX_RUNNING: usize = 16_384;
/// Step in which the number of running requests is shared, so that it does not change all the time.
const LOAD_STEP: u32 = 64;
/// Time for which an upstream that said it is leaving is remembered.
const LEAVING_MEMORY: Duration = Duration::from_secs(120);
/// Time in which streams notice that they are to be handed back.
const MOVE_BOUND: Duration = Duration::from_secs(2);
/// Time after which a caller that comes to a node in shutdown may try this node again.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handle to the request path of a node.
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
    retries: RetryBudget,
    ledger: Ledger,
    attempts: AtomicU64,
    /// Upstreams that said that they are leaving, with the time until which that is remembered.
    leaving: Mutex<BTreeMap<InstanceId, Instant>>,
    running: AtomicUsize,
    moved: AtomicU64,
    is_draining: AtomicBool,
    is_moving: AtomicBool,
    changed: Notify,
}

/// Counts a request as running until it is dropped.
pub struct Running {
    path: RequestPath,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.path.inner.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl RequestPath {
    /// Starts the task that keeps routes and facts up to date.
    pub fn start(
        cx: Cx,
        store: StoreClient,
        engine: Arc<dyn Engine>,
        plain: Arc<dyn PlainService>,
        shutdown: CancellationToken,
    ) -> Self {
        let routes = RouteTable::new(cx.clone());
        let seed = format!("{} {}", cx.node(), cx.incarnation);
        // The upper half tells the attempts of different nodes and incarnations apart.
        let first_attempt = first_u64(&blake3::hash(seed.as_bytes())) & !0xffff_ffff;
        let key = FleetKey::read(Path::new(&cx.settings.fleet_key_file)).ok();
        let inner = Inner {
            ledger: Ledger::new(cx.clone(), store, key),
            engine,
            plain,
            admission: Admission::new(cx.clone(), routes.clone()),
            routes,
            suspects: Suspects::new(cx.clone()),
            retries: RetryBudget::new(),
            attempts: AtomicU64::new(first_attempt),
            leaving: Mutex::default(),
            running: AtomicUsize::new(0),
            moved: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_moving: AtomicBool::new(false),
            changed: Notify::new(),
            cx,
        };
        let path = Self { inner: Arc::new(inner) };
        tokio::spawn(keep_up_to_date(path.clone(), shutdown));
        path
    }

    /// Counts a request as running, or refuses it.
    pub fn enter(&self) -> Result<Running, RequestError> {
        if self.inner.is_draining.load(Ordering::Acquire) {
            let message = "this node is shutting down; use another one";
            let error = RequestError::not_run(ErrorCode::ShuttingDown, message);
            return Err(error.with_retry_after(SHUTDOWN_RETRY_AFTER));
        }
        let running = self.inner.running.fetch_add(1, Ordering::AcqRel);
        let guard = Running { path: self.clone() };
        if running >= MAX_RUNNING {
            let message = "this node runs as many requests as it can";
            let error = RequestError::not_run(ErrorCode::Overloaded, message);
            return Err(error.with_retry_after(SHUTDOWN_RETRY_AFTER));
        }
        Ok(guard)
    }

    /// Returns the answer to a generation request; `emitted` are tokens that the caller has.
    pub async fn generate(
        &self,
        req: Arc<Request>,
        terms: RequestTerms,
        emitted: Vec<String>,
    ) -> Result<Generation, RequestError> {
        let running = self.enter().inspect_err(|e| record_error(self.cx(), &req, 0, e))?;
        self.inner.retries.deposit(terms.retry_ratio);
        let mut answer = Generation::new(self.clone(), req, terms, emitted, running);
        answer.admit().await?;
        Ok(answer)
    }

    /// Takes no new requests, lets the running ones finish up to `bound`, hands the streams that
    /// are left back to their callers, and returns their number.
    pub async fn drain(&self, bound: Duration) -> u64 {
        self.inner.is_draining.store(true, Ordering::Release);
        let before = self.running();
        let moved_before = self.moved();
        self.wait_until_idle(bound).await;
        self.inner.is_moving.store(true, Ordering::Release);
        self.wait_until_idle(MOVE_BOUND).await;
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

    /// Returns the context.
    pub fn cx(&self) -> &Cx {
        &self.inner.cx
    }

    /// Returns the engine edge.
    pub fn engine(&self) -> &Arc<dyn Engine> {
        &self.inner.engine
    }

    /// Returns the edge to plain services.
    pub fn plain(&self) -> &Arc<dyn PlainService> {
        &self.inner.plain
    }

    /// Returns the routes.
    pub fn routes(&self) -> &RouteTable {
        &self.inner.routes
    }

    /// Returns admission.
    pub fn admission(&self) -> &Admission {
        &self.inner.admission
    }

    /// Returns the suspects.
    pub fn suspects(&self) -> &Suspects {
        &self.inner.suspects
    }

    /// Returns the retry budget.
    pub fn retries(&self) -> &RetryBudget {
        &self.inner.retries
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> &Ledger {
        &self.inner.ledger
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::Acquire)
    }

    /// Returns the number of streams that were handed back.
    pub fn moved(&self) -> u64 {
        self.inner.moved.load(Ordering::Acquire)
    }

    /// Tells whether the node takes no new requests.
    pub fn is_draining(&self) -> bool {
        self.inner.is_draining.load(Ordering::Acquire)
    }

    /// Tells whether streams are handed back to their callers.
    pub fn is_moving(&self) -> bool {
        self.inner.is_moving.load(Ordering::Relaxed)
    }

    /// Counts a stream that was handed back.
    pub fn note_moved(&self) {
        self.inner.moved.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns a new attempt id.
    pub fn next_attempt(&self) -> AttemptId {
        self.inner.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the bounds of a customer's requests to a service.
    pub fn terms(&self, customer: &str, req_service: &str) -> Result<RequestTerms, RequestError> {
        let record = self.cx().config.get().ok_or_else(no_config)?;
        let service = record.config.services.get(req_service).ok_or_else(no_service)?;
        let default = Customer { weight: 1, burst: 100, tokens: vec![] };
        let customer = record.config.customers.get(customer).unwrap_or(&default);
        Ok(RequestTerms::new(&record.config.defaults, service, customer))
    }

    /// Cancels an attempt in the background.
    pub fn cancel(&self, replica: &Replica, attempt: AttemptId) {
        let engine = self.inner.engine.clone();
        let address = replica.identity.address.clone();
        tokio::spawn(async move {
            // A replica that cannot be reached has nothing to cancel.
            let _ = tokio::time::timeout(MOVE_BOUND, engine.cancel(&address, attempt)).await;
        });
    }

    /// Asks a replica on a new connection whether it serves the group that the route names.
    pub async fn lives(&self, replica: &Replica, bound: Duration) -> bool {
        let asking = self.inner.engine.status(&replica.identity.address);
        match tokio::time::timeout(bound, asking).await {
            Ok(Ok(status)) => {
                replica.report(&status.load, Instant::now());
                is_group_ready(&status, replica)
            }
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Exports the cached state of a request from a replica that is leaving.
    pub async fn export_kv(&self, replica: &Replica, request: &str) -> Option<Vec<u8>> {
        const EXPORT_BOUND: Duration = Duration::from_millis(300);
        let exporting = self.inner.engine.export_kv(&replica.identity.address, request);
        tokio::time::timeout(EXPORT_BOUND, exporting).await.ok()?.ok()?
    }

    /// Takes in that a replica said that it is leaving.
    pub fn told_leaving(&self, replica: &Replica) {
        let until = Instant::now() + LEAVING_MEMORY;
        let mut leaving = self.inner.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        for instance in replica.identity.instances.iter().take(1) {
            leaving.insert(instance.clone(), until);
        }
        drop(leaving);
        self.inner.changed.notify_one();
    }

    /// Takes in that a replica failed a request.
    pub fn note_failure(&self, replica: &Arc<Replica>) {
        self.cx().metrics.count(crate::metric_names::UPSTREAM_FAILURES, 1);
        let replicas = self.inner.routes.replicas(&replica.identity.service);
        let ejected = replicas.iter().filter(|other| other.is_ejected()).count();
        let may_eject = (ejected + 1) * 100 <= replicas.len() * MAX_EJECTED_PERCENT;
        if let Some((period, failures)) = replica.fail(Instant::now(), may_eject) {
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

    /// Takes in that a replica ran a request to its end.
    pub fn note_success(&self, replica: &Replica) {
        if replica.succeed() {
            self.cx().record(Event::UpstreamRestored {
                group: replica.identity.group.clone(),
                service: replica.identity.service.clone(),
            });
        }
    }

    /// Builds the routes anew and takes in the other nodes' facts.
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
        self.inner.admission.set_remote(&remote);
        self.inner.routes.rebuild(&leaving);
        self.inner.admission.refresh();
        self.inner.admission.dispatch_all();
    }

    /// Returns the error of a service that is not of the kind that the path asks for, if it is not.
    pub fn check_kind(&self, service: &str, kind: ServiceKind) -> Result<(), RequestError> {
        let record = self.cx().config.get().ok_or_else(no_config)?;
        match record.config.services.get(service) {
            Some(service) if service.kind == kind => Ok(()),
            _ => Err(no_service()),
        }
    }
}

/// Returns the error of a node that has not learned the configuration yet.
pub fn no_config() -> RequestError {
    let message = "this node has not learned the configuration yet";
    let error = RequestError::not_run(ErrorCode::NoConfig, message);
    error.with_retry_after(Duration::from_secs(2))
}

/// Returns the error of a service that does not exist.
pub fn no_service() -> RequestError {
    RequestError::not_run(ErrorCode::NotFound, "there is no such service")
}

fn publish(cx: &Cx, kind: FactKind, value: Result<Vec<u8>, postcard::Error>) {
    if let Ok(value) = value {
        cx.facts.publish(cx.node(), cx.incarnation, kind, value);
    }
}

async fn keep_up_to_date(path: RequestPath, shutdown: CancellationToken) {
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
            () = path.inner.changed.notified() => {}
        }
    }
}
