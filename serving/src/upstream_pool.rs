//! Connections to replicas that are kept for further requests.
//!
//! A connection is kept only after an answer was read to its end. One that is idle for longer than
//! the replica promises to keep it, or than `MAX_IDLE_TIME`, is closed and never used again.

use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::network::Network;
use crate::replica_set::Replica;
use crate::serving_metrics::ServingMetrics;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for a new connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for which an idle connection is used again.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Part of the replica's own keep-alive time for which a connection is used again.
const KEEP_ALIVE_PART: f64 = 0.6;
/// Idle connections to one replica.
const MAX_IDLE_PER_REPLICA: usize = 8;
/// Period in which idle connections are looked through.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

type PoolKey = (String, SocketAddr);

/// Shared pool of idle connections.
#[derive(Debug, Clone)]
pub struct UpstreamPool {
    network: Network,
    metrics: ServingMetrics,
    idle: Arc<Mutex<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connections: HashMap<PoolKey, Vec<(Instant, Connection)>>,
    swept: Instant,
}

impl UpstreamPool {
    /// Returns an empty pool.
    pub fn new(network: Network, metrics: ServingMetrics) -> Self {
        let idle = Idle { connections: HashMap::new(), swept: Instant::now() };
        Self { network, metrics, idle: Arc::new(Mutex::new(idle)) }
    }

    /// Returns an idle connection to a replica, or opens one; `is_fresh` asks for a new one.
    pub async fn get(&self, replica: &Replica, is_fresh: bool) -> Result<Connection, ConnectError> {
        let idle = if is_fresh { None } else { self.take_idle(replica) };
        if let Some(connection) = idle {
            return Ok(connection);
        }
        self.metrics.connection_opened(&replica.service);
        Connection::open(&self.network, replica.address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(&self, replica: &Replica, connection: Connection, keep_alive: Option<Duration>) {
        if connection.is_closed() {
            return;
        }
        let keep = keep_alive.map_or(MAX_IDLE_TIME, |k| k.mul_f64(KEEP_ALIVE_PART));
        let now = Instant::now();
        let until = now + keep.min(MAX_IDLE_TIME);
        let mut idle = self.lock();
        let key = (replica.instance.clone(), replica.address);
        let connections = idle.connections.entry(key).or_default();
        if connections.len() < MAX_IDLE_PER_REPLICA {
            connections.push((until, connection));
        }
        if now - idle.swept >= SWEEP_PERIOD {
            idle.sweep(now);
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().connections.clear();
    }

    fn take_idle(&self, replica: &Replica) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let key = (replica.instance.clone(), replica.address);
        let connections = idle.connections.get_mut(&key)?;
        while let Some((until, connection)) = connections.pop() {
            if until > now && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Idle {
    fn sweep(&mut self, now: Instant) {
        self.swept = now;
        for connections in self.connections.values_mut() {
            connections.retain(|(until, connection)| *until > now && !connection.is_closed());
        }
        self.connections.retain(|_, connections| !connections.is_empty());
    }
}
