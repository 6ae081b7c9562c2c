//! Admission control: a request gets a slot at a replica immediately, waits in a bounded fair
//! queue, or is rejected early when it would probably time out in the queue.

use crate::cx::Cx;
use crate::fair_queue::FairQueue;
use crate::fair_queue::Waiter;
use crate::generated::engine::Priority;
use crate::generated::requests::ErrorCode;
use crate::ids::CustomerId;
use crate::ids::ServiceId;
use crate::metric_names;
use crate::release_rate::ReleaseRate;
use crate::replica::Replica;
use crate::replica::Share;
use crate::request::RequestError;
use crate::route_table::RouteTable;
use crate::router;
use crate::router::NodeLocation;
use crate::router::Selection;
use crate::router::SelectionCriteria;
use crate::router::Suspicion;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Maximum total size of the requests queued for one service, in bytes.
const MAX_QUEUE_BYTES: usize = 64 << 20;
/// Maximum number of requests queued for one service.
const MAX_QUEUE_LEN: usize = 20_000;
/// Maximum queue length while the release rate, and so the expected wait, is unknown.
const MAX_UNTIMED_QUEUE_LEN: usize = 256;
/// Minimum and maximum retry delay sent to a rejected caller.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Retry delay sent to a caller when no replica accepts requests.
const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Parameters of a request that admission control decides on.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Service that the request is for.
    pub service: ServiceId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Weight of the customer in fair sharing.
    pub weight: u32,
    /// Maximum number of queued requests of the customer.
    pub burst: u32,
    /// Size of the request in bytes.
    pub bytes: usize,
    /// Criteria for the selection of a replica.
    pub criteria: SelectionCriteria,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// Whether the response has already started; such a request has precedence over all others.
    pub has_started: bool,
}

/// Cloneable handle to the admission control of a node.
#[derive(Debug, Clone)]
pub struct Admission {
    cx: Cx,
    routes: RouteTable,
    location: NodeLocation,
    /// Number of nodes that send requests.
    nodes: Arc<AtomicU32>,
    services: Arc<Mutex<HashMap<ServiceId, ServiceState>>>,
}

#[derive(Debug, Default)]
struct ServiceState {
    queue: FairQueue,
    running: BTreeMap<CustomerId, u32>,
    /// Running requests that other nodes sent.
    remote: BTreeMap<CustomerId, u32>,
    rate: ReleaseRate,
    /// Sum of the concurrency limits of all replicas.
    total_slots: u32,
    weights: BTreeMap<CustomerId, u32>,
}

impl ServiceState {
    fn used(&self, customer: &str) -> u32 {
        let count = |map: &BTreeMap<CustomerId, u32>| map.get(customer).copied().unwrap_or(0);
        count(&self.running) + count(&self.remote)
    }

    /// Compares a customer's slots with its weighted share among the customers with running
    /// requests.
    fn share(&self, customer: &str) -> Share {
        let weight = |customer: &str| f64::from(self.weights.get(customer).copied().unwrap_or(1));
        let active = self.weights.keys().filter(|c| *c == customer || self.used(c) > 0);
        let all: f64 = active.map(|customer| weight(customer)).sum();
        let share = f64::from(self.total_slots) * weight(customer) / all.max(1.0);
        match self.total_slots > 0 && f64::from(self.used(customer)) > share {
            true => Share::Above,
            false => Share::Within,
        }
    }
}

/// A slot at a replica, released when dropped.
#[derive(Debug)]
pub struct Slot {
    admission: Admission,
    replica: Arc<Replica>,
    customer: CustomerId,
    is_suspect: bool,
}

impl Admission {
    /// Creates the admission control for the replicas of `routes`.
    pub fn new(cx: Cx, routes: RouteTable) -> Self {
        let location = NodeLocation {
            data_centre: cx.settings.data_centre.clone(),
            region: cx.settings.region.clone(),
            nodes: 1,
        };
        Self { cx, routes, location, nodes: Arc::new(AtomicU32::new(1)), services: Arc::default() }
    }

    /// Returns this node's location and the current number of nodes.
    pub fn location(&self) -> NodeLocation {
        NodeLocation { nodes: self.nodes.load(Ordering::Relaxed), ..self.location.clone() }
    }

    /// Updates the number of nodes that send requests and the total slots of each service.
    pub fn refresh(&self) {
        let nodes = self.cx.members.usable().len().max(1);
        self.nodes.store(nodes as u32, Ordering::Relaxed);
        let services: Vec<ServiceId> = self.lock().keys().cloned().collect();
        for service in services {
            let replicas = self.routes.replicas(&service);
            let total_slots = replicas.iter().map(|replica| replica.limit()).sum();
            if let Some(state) = self.lock().get_mut(&service) {
                state.total_slots = total_slots;
            }
        }
    }

    /// Acquires a slot at a replica, waiting in the queue if necessary.
    ///
    /// A request that fails here was not sent to any replica.
    pub async fn acquire(&self, request: &AdmissionRequest) -> Result<Slot, RequestError> {
        let (rx, shed) = match self.try_acquire(request)? {
            Acquisition::Slot(slot) => return Ok(slot),
            Acquisition::Queue { rx, shed } => (rx, shed),
        };
        // Dropping the sender of a shed request makes its `acquire` return at once.
        drop(shed);
        match tokio::time::timeout(request.max_wait, rx).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => {
                self.cx.metrics.count(metric_names::REQUESTS_SHED, 1);
                let message = "no replica had a free slot within the maximum queue time";
                let error = RequestError::not_run(ErrorCode::Overloaded, message);
                Err(error.with_retry_after(RETRY_AFTER.0))
            }
        }
    }

    fn try_acquire(&self, request: &AdmissionRequest) -> Result<Acquisition, RequestError> {
        let now = Instant::now();
        let replicas = self.routes.replicas(&request.service);
        let mut services = self.lock();
        if !services.contains_key(&request.service) {
            services.insert(request.service.clone(), ServiceState::default());
        }
        let Some(state) = services.get_mut(&request.service) else {
            return Err(RequestError::not_run(
                ErrorCode::Internal,
                "no admission state for the service",
            ));
        };
        if state.weights.get(&request.customer) != Some(&request.weight) {
            state.weights.insert(request.customer.clone(), request.weight);
        }
        let criteria = match request.has_started {
            true => request.criteria.clone(),
            false => SelectionCriteria {
                share: state.share(&request.customer),
                ..request.criteria.clone()
            },
        };
        let selection = router::choose(&replicas, &criteria, &self.location(), now);
        let must_wait = !request.has_started && state.queue.has_waiting(request.criteria.priority);
        match selection {
            Selection::Replica(replica) if !must_wait => {
                return Ok(Acquisition::Slot(self.assign_slot(
                    state,
                    replica,
                    &request.customer,
                    &request.criteria,
                    now,
                )));
            }
            Selection::None => {
                return Err(refuse_without_replica(&replicas, now));
            }
            Selection::Replica(_) | Selection::Full => {}
        }
        state.queue.prune(now);
        if !request.has_started {
            refuse_early(state, request, now)?;
        }
        let shed = shed_until_fits(state, request)?;
        let (tx, rx) = oneshot::channel();
        state.queue.push(Waiter {
            customer: request.customer.clone(),
            weight: request.weight,
            bytes: request.bytes,
            criteria: request.criteria.clone(),
            start_by: now + request.max_wait,
            has_started: request.has_started,
            tx,
        });
        drop(services);
        self.dispatch(&request.service);
        Ok(Acquisition::Queue { rx, shed })
    }

    fn assign_slot(
        &self,
        state: &mut ServiceState,
        replica: Arc<Replica>,
        customer: &str,
        criteria: &SelectionCriteria,
        now: Instant,
    ) -> Slot {
        let is_suspect = criteria.suspicion > Suspicion::None;
        replica.record_start(now, is_suspect);
        *state.running.entry(customer.to_string()).or_default() += 1;
        Slot { admission: self.clone(), replica, customer: customer.to_string(), is_suspect }
    }

    /// Assigns free slots to the requests queued for a service.
    pub fn dispatch(&self, service: &str) {
        // Dropping a slot that its request no longer waits for releases it, which takes the lock
        // again.
        while let Some(abandoned) = self.dispatch_until_abandoned(service) {
            drop(abandoned);
        }
    }

    /// Assigns free slots until none is left, or returns one whose request no longer waits.
    fn dispatch_until_abandoned(&self, service: &str) -> Option<Slot> {
        let now = Instant::now();
        let mut services = self.lock();
        let state = services.get_mut(service)?;
        if state.queue.is_empty() {
            return None;
        }
        state.queue.prune(now);
        let replicas = self.routes.replicas(service);
        let location = self.location();
        loop {
            let mut queue = std::mem::take(&mut state.queue);
            let next = queue.next(
                |customer| state.used(customer),
                |waiter| {
                    let mut criteria = waiter.criteria.clone();
                    if !waiter.has_started {
                        criteria.share = state.share(&waiter.customer);
                    }
                    match router::choose(&replicas, &criteria, &location, now) {
                        Selection::Replica(replica) => Some(replica),
                        Selection::Full | Selection::None => None,
                    }
                },
            );
            state.queue = queue;
            let (waiter, replica) = next?;
            let slot = self.assign_slot(state, replica, &waiter.customer, &waiter.criteria, now);
            if let Err(slot) = waiter.tx.send(slot) {
                return Some(slot);
            }
        }
    }

    /// Assigns free slots to the queued requests of all services.
    pub fn dispatch_all(&self) {
        let services: Vec<ServiceId> = self.lock().keys().cloned().collect();
        for service in services {
            self.dispatch(&service);
        }
    }

    /// Returns the running requests of this node by the key `service customer`.
    pub fn running(&self) -> BTreeMap<String, u32> {
        let services = self.lock();
        let mut running = BTreeMap::new();
        for (service, state) in services.iter() {
            for (customer, count) in state.running.iter().filter(|(_, count)| **count > 0) {
                running.insert(format!("{service} {customer}"), *count);
            }
        }
        running
    }

    /// Replaces the running requests of the other nodes, by the key `service customer`.
    pub fn set_remote_running(&self, running: &BTreeMap<String, u32>) {
        let mut services = self.lock();
        for state in services.values_mut() {
            state.remote.clear();
        }
        for (key, count) in running {
            let Some((service, customer)) = key.split_once(' ') else { continue };
            if let Some(state) = services.get_mut(service) {
                state.remote.insert(customer.to_string(), *count);
            }
        }
    }

    /// Returns the number of requests queued for a service.
    pub fn queue_len(&self, service: &str) -> usize {
        self.lock().get(service).map_or(0, |state| state.queue.len())
    }

    fn release(&self, replica: &Replica, customer: &str, is_suspect: bool) {
        let service = &replica.identity.service;
        if let Some(state) = self.lock().get_mut(service) {
            let now = Instant::now();
            state.rate.record_release(now);
            replica.record_end(now, is_suspect);
            if let Some(count) = state.running.get_mut(customer) {
                *count = count.saturating_sub(1);
            }
        }
        self.dispatch(service);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Immediate result of an acquisition.
enum Acquisition {
    Slot(Slot),
    Queue { rx: oneshot::Receiver<Slot>, shed: Vec<Waiter> },
}

impl Slot {
    /// Returns the replica that the slot belongs to.
    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.release(&self.replica, &self.customer, self.is_suspect);
    }
}

/// Returns the refusal of a request that no replica accepts. If some of them have asked this node for time, it
/// may return when the first of these times is over.
fn refuse_without_replica(replicas: &[Arc<Replica>], now: Instant) -> RequestError {
    let message = "no replica of the service accepts requests";
    let error = RequestError::not_run(ErrorCode::NoReplica, message);
    let deferred = replicas.iter().filter_map(|replica| replica.deferred_for(now)).min();
    let retry_after = deferred.map(|time| time.clamp(RETRY_AFTER.0, RETRY_AFTER.1));
    error.with_retry_after(retry_after.unwrap_or(NO_REPLICA_RETRY_AFTER))
}

/// Rejects a request whose expected wait exceeds its maximum queue time, or whose customer has used
/// up its burst of queued requests.
fn refuse_early(
    state: &ServiceState,
    request: &AdmissionRequest,
    now: Instant,
) -> Result<(), RequestError> {
    let queued = state.queue.len_of(&request.customer, Priority::Batch);
    let wait = expected_wait(state, request, now);
    let retry_after = wait.unwrap_or(RETRY_AFTER.0).clamp(RETRY_AFTER.0, RETRY_AFTER.1);
    if queued >= request.burst.max(1) as usize {
        let message = format!("the customer already has {queued} queued requests");
        let error = RequestError::not_run(ErrorCode::CustomerOverShare, message);
        return Err(error.with_retry_after(retry_after));
    }
    let exceeds_max_wait = match wait {
        Some(wait) => wait > request.max_wait,
        None => state.queue.len() >= MAX_UNTIMED_QUEUE_LEN,
    };
    if exceeds_max_wait {
        let message = format!("the expected wait for a replica is about {retry_after:?}");
        let error = RequestError::not_run(ErrorCode::Overloaded, message);
        return Err(error.with_retry_after(retry_after));
    }
    Ok(())
}

/// Estimates a request's wait from its customer's weighted share of the slots that are released.
fn expected_wait(
    state: &ServiceState,
    request: &AdmissionRequest,
    now: Instant,
) -> Option<Duration> {
    let rate = state.rate.per_second(now)?;
    let priority = request.criteria.priority;
    let ahead = state.queue.len_of(&request.customer, priority) + 1;
    let competing = f64::from(state.queue.competing_weights(&request.customer, priority));
    let weight = f64::from(request.weight.max(1));
    Some(Duration::from_secs_f64(ahead as f64 * (competing + weight) / weight / rate.max(0.001)))
}

/// Sheds requests of the customer with the most queued bytes until this request fits in the queue.
fn shed_until_fits(
    state: &mut ServiceState,
    request: &AdmissionRequest,
) -> Result<Vec<Waiter>, RequestError> {
    let mut shed = vec![];
    let is_full = |queue: &FairQueue| {
        queue.len() >= MAX_QUEUE_LEN || queue.bytes() + request.bytes > MAX_QUEUE_BYTES
    };
    while is_full(&state.queue) {
        match state.queue.shed() {
            Some(waiter) if waiter.customer != request.customer => shed.push(waiter),
            other => {
                shed.extend(other);
                let message = "the request queue of the service is full";
                let error = RequestError::not_run(ErrorCode::Overloaded, message);
                return Err(error.with_retry_after(RETRY_AFTER.0));
            }
        }
    }
    Ok(shed)
}
