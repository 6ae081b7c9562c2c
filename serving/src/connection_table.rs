//! Open connections of a listener, of which there are at most a given number.
//!
//! At the limit, the connection that has waited longest for its peer gives its place to a new one. A
//! connection on which a request runs, or whose response has not been written, keeps its place.

use crate::connection_state::ConnectionPhase;
use crate::connection_state::ConnectionState;
use crate::descriptor_budget::DescriptorBudget;
use crate::serving_metrics::ServingMetrics;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Time without progress after which an unfinished head or body gives its place before an idle connection does.
const STALLED_AFTER: Duration = Duration::from_millis(250);

/// Shared table of the open connections of a listener.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    listener: &'static str,
    max_connections: usize,
    /// Budget that the connections share with those to replicas; `None` if they have a share of their own.
    shared: Option<DescriptorBudget>,
    open: Arc<Mutex<OpenConnections>>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    connections: BTreeMap<u64, Arc<ConnectionState>>,
    next_id: u64,
}

/// Place of a connection in its table, which it leaves when this is dropped.
#[derive(Debug)]
pub struct ConnectionPlace {
    /// State of the connection.
    pub state: Arc<ConnectionState>,
    id: u64,
    table: ConnectionTable,
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        let mut open = self.table.lock();
        open.connections.remove(&self.id);
        self.table.record_len(&open);
        drop(open);
        self.state.answer_close();
    }
}

impl ConnectionTable {
    /// Returns the table of a listener with at most `max_connections` connections.
    pub fn new(listener: &'static str, max_connections: usize) -> Self {
        Self { listener, max_connections, shared: None, open: Arc::default() }
    }

    /// Returns the table of a listener whose connections share a budget with those to replicas.
    pub fn with_shared(listener: &'static str, shared: DescriptorBudget) -> Self {
        let max_connections = shared.shares.callers;
        Self { shared: Some(shared), ..Self::new(listener, max_connections) }
    }

    /// Returns the label of the listener in metrics.
    pub fn listener(&self) -> &'static str {
        self.listener
    }

    /// Returns the maximum number of connections.
    pub fn max_connections(&self) -> usize {
        match &self.shared {
            Some(shared) => shared.max_callers(),
            None => self.max_connections,
        }
    }

    /// Returns whether there is no place for another connection.
    pub fn is_full(&self) -> bool {
        self.lock().connections.len() >= self.max_connections()
    }

    /// Adds a connection.
    pub fn add(&self) -> ConnectionPlace {
        let state = Arc::new(ConnectionState::new());
        let mut open = self.lock();
        let id = open.next_id;
        open.next_id += 1;
        open.connections.insert(id, state.clone());
        self.record_len(&open);
        drop(open);
        ConnectionPlace { state, id, table: self.clone() }
    }

    /// Returns the connection that gives its place first, with its phase; `None` if all are busy.
    pub fn longest_waiting(&self, now: Instant) -> Option<(Arc<ConnectionState>, ConnectionPhase)> {
        let open = self.lock();
        let rank = |state: &Arc<ConnectionState>| {
            let (phase, since) = state.phase(now);
            Some((rank(phase, since, now)?, since, phase))
        };
        let ranked = open.connections.values().filter_map(|state| Some((rank(state)?, state)));
        let (key, state) = ranked.min_by_key(|(key, _)| *key)?;
        Some((state.clone(), key.2))
    }

    /// Returns the number of connections in each phase.
    pub fn counts(&self) -> BTreeMap<ConnectionPhase, u64> {
        let mut counts: BTreeMap<_, _> = ConnectionPhase::ALL.map(|phase| (phase, 0)).into();
        let now = Instant::now();
        for state in self.lock().connections.values() {
            *counts.entry(state.phase(now).0).or_default() += 1;
        }
        counts
    }

    fn record_len(&self, open: &OpenConnections) {
        if let Some(shared) = &self.shared {
            shared.set_callers(open.connections.len());
        }
    }

    fn lock(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the rank in which connections give their places, lowest first; `None` if they keep them.
fn rank(phase: ConnectionPhase, since: Instant, now: Instant) -> Option<u8> {
    let is_stalled = now.saturating_duration_since(since) >= STALLED_AFTER;
    match (phase, is_stalled) {
        (ConnectionPhase::Head, true) => Some(0),
        (ConnectionPhase::Body | ConnectionPhase::Lingering | ConnectionPhase::Unread, true) => {
            Some(1)
        }
        (ConnectionPhase::Idle, _) => Some(2),
        (ConnectionPhase::Head, false) => Some(3),
        (ConnectionPhase::Body | ConnectionPhase::Lingering, false) => Some(4),
        (ConnectionPhase::Unread, false) | (ConnectionPhase::Busy, _) => None,
    }
}

/// Tables of all listeners of a node; clones share them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionTables(Arc<Mutex<Vec<ConnectionTable>>>);

impl ConnectionTables {
    /// Returns no tables.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the table of a listener.
    pub fn add(&self, table: ConnectionTable) {
        self.lock().push(table);
    }

    /// Sets the numbers of open connections in the metrics.
    pub fn record(&self, metrics: &ServingMetrics) {
        for table in self.lock().iter() {
            for (phase, count) in table.counts() {
                metrics.open_connections(table.listener(), phase.label(), count);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ConnectionTable>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
