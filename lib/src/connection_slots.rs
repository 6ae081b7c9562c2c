//! Connections of a listener. Once as many are open as are allowed, those that wait for their client are
//! closed for new ones, longest first: clients that stay cannot shut out others.

use crate::metric_names;
use crate::metrics::Metrics;
use crate::response_state::ResponseState;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::conn::ConnCtrl;
use salvo::fuse::ArcConnObserver;
use salvo::fuse::ConnObserver;
use salvo::fuse::FuseAction;
use salvo::fuse::FuseConfig;
use salvo::fuse::FuseInfo;
use salvo::fuse::FusePolicy;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Time without progress after which an unfinished head or body gives its place before an idle connection does.
const STALLED_AFTER: Duration = Duration::from_millis(250);

/// The connections of a listener; clones share them.
#[derive(Clone)]
pub struct ConnectionSlots(Arc<Shared>);

struct Shared {
    max_connections: usize,
    timeouts: FuseConfig,
    metrics: Metrics,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    connections: HashMap<SocketAddr, Arc<Connection>>,
    last_change: u64,
}

struct Connection {
    control: ConnCtrl,
    wait: Mutex<Wait>,
    response: ResponseState,
}

/// What a connection waits for, and the number of the change since which it does.
#[derive(Debug, Clone, Copy)]
struct Wait {
    phase: Phase,
    since: u64,
    /// Time of that change.
    at: Instant,
    is_closing: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The head of a request is not complete.
    Head,
    /// The body of a request is not complete, and the request is not executed before it is.
    Body,
    /// A request is being executed.
    Running,
    /// The head of the last response was sent; its body may still be sent.
    Answered,
}

/// Handler before all others that records which connections have requests.
struct RequestTracker(ConnectionSlots);

/// Records the bytes that arrive on a connection, and its end.
struct SlotObserver {
    slots: ConnectionSlots,
    address: SocketAddr,
    connection: Arc<Connection>,
}

/// Extension of a request: its connection.
#[derive(Clone)]
struct RequestSlot {
    slots: ConnectionSlots,
    connection: Arc<Connection>,
}

/// Marks the connection of a request as waiting for its body until this is dropped.
pub struct BodyWait(RequestSlot);

impl ConnectionSlots {
    /// Returns the connections of a listener that accepts at most `max_connections`.
    pub fn new(max_connections: usize, timeouts: FuseConfig, metrics: Metrics) -> Self {
        let state = Mutex::default();
        Self(Arc::new(Shared { max_connections, timeouts, metrics, state }))
    }

    /// Returns the handler that has to run before all others.
    pub fn tracker(&self) -> impl Handler + use<> {
        RequestTracker(self.clone())
    }

    /// Closes connections that wait for their clients until there is room for another one; false if there is
    /// none.
    fn make_room(&self) -> bool {
        let state = self.lock();
        let waits = state.connections.values().map(|connection| (connection.wait(), connection));
        let open: Vec<(Wait, &Arc<Connection>)> =
            waits.filter(|(wait, _)| !wait.is_closing).collect();
        if open.len() < self.0.max_connections {
            return true;
        }
        let longest = |is_candidate: &dyn Fn(&Wait, &ResponseState) -> bool| {
            let waiting = open.iter().filter(|(wait, c)| is_candidate(wait, &c.response));
            waiting.min_by_key(|(wait, _)| wait.since).map(|(_, connection)| connection)
        };
        let now = Instant::now();
        let waits_for_request =
            |wait: &Wait, response: &ResponseState| wait.is_unfinished() && response.is_written();
        let is_stalled = |wait: &Wait, response: &ResponseState| {
            waits_for_request(wait, response) && wait.is_stalled(now)
        };
        if let Some(connection) = longest(&is_stalled) {
            connection.abort();
            return true;
        }
        let is_answered = |wait: &Wait, response: &ResponseState| {
            wait.phase != Phase::Running && !waits_for_request(wait, response)
        };
        if let Some(connection) = longest(&is_answered)
            && state.connections.len() <= 2 * self.0.max_connections
        {
            connection.lock().is_closing = true;
            // Ends an idle connection at once, and one whose response is being sent after that.
            connection.control.graceful_shutdown();
            return true;
        }
        longest(&waits_for_request).inspect(|connection| connection.abort()).is_some()
    }

    fn insert(&self, address: SocketAddr, control: ConnCtrl) -> Arc<Connection> {
        let mut state = self.lock();
        let wait = Wait::new(Phase::Head, state.next_change());
        let response = ResponseState::new();
        let connection = Arc::new(Connection { control, wait: Mutex::new(wait), response });
        state.connections.insert(address, connection.clone());
        connection
    }

    /// Returns the state of the last response on the connection from an address.
    pub fn response_state(&self, address: SocketAddr) -> Option<ResponseState> {
        self.find(address).map(|connection| connection.response.clone())
    }

    fn find(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        self.lock().connections.get(&address).cloned()
    }

    fn set_phase(&self, connection: &Connection, phase: Phase) {
        let since = self.lock().next_change();
        let mut wait = connection.lock();
        *wait = Wait { is_closing: wait.is_closing, ..Wait::new(phase, since) };
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_change(&mut self) -> u64 {
        self.last_change += 1;
        self.last_change
    }
}

impl Wait {
    fn new(phase: Phase, since: u64) -> Self {
        Self { phase, since, at: Instant::now(), is_closing: false }
    }

    fn is_unfinished(&self) -> bool {
        matches!(self.phase, Phase::Head | Phase::Body)
    }

    fn is_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= STALLED_AFTER
    }
}

impl Connection {
    fn abort(&self) {
        self.lock().is_closing = true;
        self.control.abort();
    }

    fn wait(&self) -> Wait {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Wait> {
        self.wait.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[salvo::async_trait]
impl FusePolicy for ConnectionSlots {
    async fn decide(&self, _info: &FuseInfo) -> FuseAction {
        let open = self.lock().connections.len();
        match self.make_room() {
            true if open < self.0.max_connections => FuseAction::Accept(self.0.timeouts),
            true => {
                self.0.metrics.count(metric_names::CONNECTIONS_CLOSED, 1);
                FuseAction::Accept(self.0.timeouts)
            }
            false => {
                self.0.metrics.count(metric_names::CONNECTIONS_REFUSED, 1);
                FuseAction::Reject
            }
        }
    }

    fn observe(&self, info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        let address = info.remote_addr.clone().into_std()?;
        let connection = self.insert(address, control.clone());
        Some(Arc::new(SlotObserver { slots: self.clone(), address, connection }))
    }
}

impl ConnObserver for SlotObserver {
    fn on_read(&self, _bytes: usize) {
        match self.connection.wait().phase {
            Phase::Answered => self.slots.set_phase(&self.connection, Phase::Head),
            Phase::Body => self.slots.set_phase(&self.connection, Phase::Body),
            Phase::Head | Phase::Running => {}
        }
    }
}

impl Drop for SlotObserver {
    fn drop(&mut self) {
        let mut state = self.slots.lock();
        let found = state.connections.get(&self.address);
        // The client may already have connected again from the same port.
        if found.is_some_and(|found| Arc::ptr_eq(found, &self.connection)) {
            state.connections.remove(&self.address);
        }
    }
}

#[salvo::async_trait]
impl Handler for RequestTracker {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let address = req.remote_addr().clone().into_std();
        let Some(connection) = address.and_then(|address| self.0.find(address)) else {
            ctrl.call_next(req, depot, res).await;
            return;
        };
        self.0.set_phase(&connection, Phase::Running);
        let slot = RequestSlot { slots: self.0.clone(), connection: connection.clone() };
        req.extensions_mut().insert(slot);
        ctrl.call_next(req, depot, res).await;
        let body = res.take_body();
        res.replace_body(connection.response.record_body(body));
        self.0.set_phase(&connection, Phase::Answered);
    }
}

impl BodyWait {
    /// Marks the connection of a request; `None` if it is not known.
    pub fn new(req: &Request) -> Option<Self> {
        let slot = req.extensions().get::<RequestSlot>()?.clone();
        slot.slots.set_phase(&slot.connection, Phase::Body);
        Some(Self(slot))
    }
}

impl Drop for BodyWait {
    fn drop(&mut self) {
        self.0.slots.set_phase(&self.0.connection, Phase::Running);
    }
}
