//! Admission of requests: each gets a place at a replica at once, waits its turn in a bounded queue,
//! or is refused before it would have waited in vain.

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
use crate::router::Choice;
use crate::router::Chosen;
use crate::router::Place;
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

/// Bytes of the requests that may wait for one service.
const MAX_QUEUE_BYTES: usize = 64 << 20;
/// Requests that may wait for one service.
const MAX_QUEUE_LEN: usize = 20_000;
/// Requests that may wait while it is not known how fast places become free.
const MAX_UNTIMED_QUEUE_LEN: usize = 256;
/// Least and greatest time after which a refused caller is asked to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// Time after which a caller comes back when no replica takes requests.
const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What a request asks of admission.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Service.
    pub service: ServiceId,
    /// Customer.
    pub customer: CustomerId,
    /// Weight of the customer.
    pub weight: u32,
    /// Requests of the customer that may wait.
    pub burst: u32,
    /// Size of the request in bytes.
    pub bytes: usize,
    /// What the choice of a replica depends on.
    pub choice: Choice,
    /// Longest wait.
    pub max_wait: Duration,
    /// Whether the caller has been promised the rest of an answer: it goes before all others.
    pub has_begun: bool,
}

/// Handle to admission.
#[derive(Debug, Clone)]
pub struct Admission {
    cx: Cx,
    routes: RouteTable,
    place: Place,
    /// Nodes that send requests.
    nodes: Arc<AtomicU32>,
    services: Arc<Mutex<HashMap<ServiceId, ServiceState>>>,
}

#[derive(Debug, Default)]
struct ServiceState {
    queue: FairQueue,
    running: BTreeMap<CustomerId, u32>,
    /// Requests that run by way of the other nodes.
    remote: BTreeMap<CustomerId, u32>,
    rate: ReleaseRate,
    /// Requests that all replicas together run at once.
    places: u32,
    weights: BTreeMap<CustomerId, u32>,
}

impl ServiceState {
    fn used(&self, customer: &str) -> u32 {
        let count = |map: &BTreeMap<CustomerId, u32>| map.get(customer).copied().unwrap_or(0);
        count(&self.running) + count(&self.remote)
    }

    /// Tells whether a customer uses more places than its weight gives it among those who use any.
    fn share(&self, customer: &str) -> Share {
        let weight = |customer: &str| f64::from(self.weights.get(customer).copied().unwrap_or(1));
        let active = self.weights.keys().filter(|c| *c == customer || self.used(c) > 0);
        let all: f64 = active.map(|customer| weight(customer)).sum();
        let share = f64::from(self.places) * weight(customer) / all.max(1.0);
        match self.places > 0 && f64::from(self.used(customer)) > share {
            true => Share::Above,
            false => Share::Within,
        }
    }
}

/// A place at a replica, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    admission: Admission,
    replica: Arc<Replica>,
    customer: CustomerId,
    is_suspect: bool,
}

impl Admission {
    /// Returns admission to the replicas of `routes`.
    pub fn new(cx: Cx, routes: RouteTable) -> Self {
        let place = Place {
            data_centre: cx.settings.data_centre.clone(),
            region: cx.settings.region.clone(),
            nodes: 1,
        };
        Self { cx, routes, place, nodes: Arc::new(AtomicU32::new(1)), services: Arc::default() }
    }

    /// Returns where this node is.
    pub fn place(&self) -> Place {
        Place { nodes: self.nodes.load(Ordering::Relaxed), ..self.place.clone() }
    }

    /// Takes in the number of nodes that send requests, and the places that there are.
    pub fn refresh(&self) {
        let nodes = self.cx.members.usable().len().max(1);
        self.nodes.store(nodes as u32, Ordering::Relaxed);
        let services: Vec<ServiceId> = self.lock().keys().cloned().collect();
        for service in services {
            let replicas = self.routes.replicas(&service);
            let places = replicas.iter().map(|replica| replica.limit()).sum();
            if let Some(state) = self.lock().get_mut(&service) {
                state.places = places;
            }
        }
    }

    /// Gives a place at a replica, or refuses; a refused request was not sent to any replica.
    pub async fn acquire(&self, ask: &Ask) -> Result<Slot, RequestError> {
        let (rx, shed) = match self.try_acquire(ask)? {
            Entered::Slot(slot) => return Ok(slot),
            Entered::Queue { rx, shed } => (rx, shed),
        };
        // A shed request is told at once, by the end of its channel.
        drop(shed);
        match tokio::time::timeout(ask.max_wait, rx).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => {
                self.cx.metrics.count(metric_names::REQUESTS_SHED, 1);
                let message = "no replica became free in time";
                let error = RequestError::not_run(ErrorCode::Overloaded, message);
                Err(error.with_retry_after(RETRY_AFTER.0))
            }
        }
    }

    fn try_acquire(&self, ask: &Ask) -> Result<Entered, RequestError> {
        let now = Instant::now();
        let replicas = self.routes.replicas(&ask.service);
        let mut services = self.lock();
        if !services.contains_key(&ask.service) {
            services.insert(ask.service.clone(), ServiceState::default());
        }
        let Some(state) = services.get_mut(&ask.service) else {
            return Err(RequestError::not_run(ErrorCode::Internal, "no state of the service"));
        };
        if state.weights.get(&ask.customer) != Some(&ask.weight) {
            state.weights.insert(ask.customer.clone(), ask.weight);
        }
        let choice = match ask.has_begun {
            true => ask.choice.clone(),
            false => Choice { share: state.share(&ask.customer), ..ask.choice.clone() },
        };
        let chosen = router::choose(&replicas, &choice, &self.place(), now);
        let is_behind = !ask.has_begun && state.queue.has_rival(ask.choice.priority);
        match chosen {
            Chosen::Replica(replica) if !is_behind => {
                return Ok(Entered::Slot(self.take(
                    state,
                    replica,
                    &ask.customer,
                    &ask.choice,
                    now,
                )));
            }
            Chosen::None => {
                let message = "no replica of the service takes requests";
                let error = RequestError::not_run(ErrorCode::NoReplica, message);
                return Err(error.with_retry_after(NO_REPLICA_RETRY_AFTER));
            }
            Chosen::Replica(_) | Chosen::Full => {}
        }
        state.queue.prune(now);
        if !ask.has_begun {
            refuse_early(state, ask, now)?;
        }
        let shed = make_room(state, ask)?;
        let (tx, rx) = oneshot::channel();
        state.queue.push(Waiter {
            customer: ask.customer.clone(),
            weight: ask.weight,
            bytes: ask.bytes,
            choice: ask.choice.clone(),
            start_by: now + ask.max_wait,
            has_begun: ask.has_begun,
            tx,
        });
        drop(services);
        self.dispatch(&ask.service);
        Ok(Entered::Queue { rx, shed })
    }

    fn take(
        &self,
        state: &mut ServiceState,
        replica: Arc<Replica>,
        customer: &str,
        choice: &Choice,
        now: Instant,
    ) -> Slot {
        let is_suspect = choice.suspicion > Suspicion::None;
        replica.start(now, is_suspect);
        *state.running.entry(customer.to_string()).or_default() += 1;
        Slot { admission: self.clone(), replica, customer: customer.to_string(), is_suspect }
    }

    /// Gives free places to the requests that wait for a service.
    pub fn dispatch(&self, service: &str) {
        // A place whose request has gone is given back, which takes the lock again.
        while let Some(abandoned) = self.dispatch_until_abandoned(service) {
            drop(abandoned);
        }
    }

    /// Gives free places out until none is left or one could not be handed over.
    fn dispatch_until_abandoned(&self, service: &str) -> Option<Slot> {
        let now = Instant::now();
        let mut services = self.lock();
        let state = services.get_mut(service)?;
        if state.queue.is_empty() {
            return None;
        }
        state.queue.prune(now);
        let replicas = self.routes.replicas(service);
        let place = self.place();
        loop {
            let mut queue = std::mem::take(&mut state.queue);
            let next = queue.next(
                |customer| state.used(customer),
                |waiter| {
                    let mut choice = waiter.choice.clone();
                    if !waiter.has_begun {
                        choice.share = state.share(&waiter.customer);
                    }
                    match router::choose(&replicas, &choice, &place, now) {
                        Chosen::Replica(replica) => Some(replica),
                        Chosen::Full | Chosen::None => None,
                    }
                },
            );
            state.queue = queue;
            let (waiter, replica) = next?;
            let slot = self.take(state, replica, &waiter.customer, &waiter.choice, now);
            if let Err(slot) = waiter.tx.send(slot) {
                return Some(slot);
            }
        }
    }

    /// Gives free places to the requests that wait for any service.
    pub fn dispatch_all(&self) {
        let services: Vec<ServiceId> = self.lock().keys().cloned().collect();
        for service in services {
            self.dispatch(&service);
        }
    }

    /// Returns the running requests of this node as `service customer`.
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

    /// Takes in the running requests of the other nodes as `service customer`.
    pub fn set_remote(&self, running: &BTreeMap<String, u32>) {
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

    /// Returns the number of waiting requests of a service.
    pub fn queue_len(&self, service: &str) -> usize {
        self.lock().get(service).map_or(0, |state| state.queue.len())
    }

    fn release(&self, replica: &Replica, customer: &str, is_suspect: bool) {
        let service = &replica.identity.service;
        if let Some(state) = self.lock().get_mut(service) {
            let now = Instant::now();
            state.rate.release(now);
            replica.end(now, is_suspect);
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

/// How a request entered.
enum Entered {
    Slot(Slot),
    Queue { rx: oneshot::Receiver<Slot>, shed: Vec<Waiter> },
}

impl Slot {
    /// Returns the replica.
    pub fn replica(&self) -> &Arc<Replica> {
        &self.replica
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.release(&self.replica, &self.customer, self.is_suspect);
    }
}

/// Refuses a request that would probably wait longer than it may, or whose customer has too many
/// waiting already.
fn refuse_early(state: &ServiceState, ask: &Ask, now: Instant) -> Result<(), RequestError> {
    let own = state.queue.len_of(&ask.customer, Priority::Batch);
    let wait = expected_wait(state, ask, now);
    let retry_after = wait.unwrap_or(RETRY_AFTER.0).clamp(RETRY_AFTER.0, RETRY_AFTER.1);
    if own >= ask.burst.max(1) as usize {
        let message = format!("{own} requests of the customer are waiting already");
        let error = RequestError::not_run(ErrorCode::CustomerOverShare, message);
        return Err(error.with_retry_after(retry_after));
    }
    let is_too_long = match wait {
        Some(wait) => wait > ask.max_wait,
        None => state.queue.len() >= MAX_UNTIMED_QUEUE_LEN,
    };
    if is_too_long {
        let message = format!("the wait for a replica would be about {retry_after:?}");
        let error = RequestError::not_run(ErrorCode::Overloaded, message);
        return Err(error.with_retry_after(retry_after));
    }
    Ok(())
}

/// Returns how long a request would wait by its customer's share of the places that become free.
fn expected_wait(state: &ServiceState, ask: &Ask, now: Instant) -> Option<Duration> {
    let rate = state.rate.per_second(now)?;
    let priority = ask.choice.priority;
    let ahead = state.queue.len_of(&ask.customer, priority) + 1;
    let rivals = f64::from(state.queue.rival_weights(&ask.customer, priority));
    let weight = f64::from(ask.weight.max(1));
    Some(Duration::from_secs_f64(ahead as f64 * (rivals + weight) / weight / rate.max(0.001)))
}

/// Sheds requests of the customer with most bytes waiting until there is room for this one.
fn make_room(state: &mut ServiceState, ask: &Ask) -> Result<Vec<Waiter>, RequestError> {
    let mut shed = vec![];
    let is_full = |queue: &FairQueue| {
        queue.len() >= MAX_QUEUE_LEN || queue.bytes() + ask.bytes > MAX_QUEUE_BYTES
    };
    while is_full(&state.queue) {
        match state.queue.shed() {
            Some(waiter) if waiter.customer != ask.customer => shed.push(waiter),
            other => {
                shed.extend(other);
                let message = "too many bytes of requests are waiting";
                let error = RequestError::not_run(ErrorCode::Overloaded, message);
                return Err(error.with_retry_after(RETRY_AFTER.0));
            }
        }
    }
    Ok(shed)
}
