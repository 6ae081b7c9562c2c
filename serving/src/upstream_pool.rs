//! Pool of idle connections to replicas.
//!
//! A connection is returned to the pool only after its response has been read completely. It is closed
//! and not reused once it has been idle for `MAX_IDLE_TIME`, or for a fraction of the keep-alive time
//! that the replica announced.

use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::descriptor_budget::DescriptorBudget;
use crate::descriptor_budget::UpstreamDescriptor;
use crate::instance_reach::InstanceReach;
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

/// Maximum time to establish a new connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum time for which an idle connection stays reusable.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Fraction of the keep-alive time announced by the replica for which a connection stays reusable.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
/// Maximum number of idle connections to one replica.
const MAX_IDLE_PER_REPLICA: usize = 8;
/// Minimum time between evictions of expired idle connections.
const EVICTION_PERIOD: Duration = Duration::from_secs(1);

type PoolKey = (String, SocketAddr);

/// Shared pool of idle connections.
#[derive(Debug, Clone)]
pub struct UpstreamPool {
    network: Network,
    metrics: ServingMetrics,
    reach: InstanceReach,
    descriptors: DescriptorBudget,
    idle: Arc<Mutex<IdleConnections>>,
}

#[derive(Debug)]
struct IdleConnections {
    connections: HashMap<PoolKey, Vec<(Instant, Connection)>>,
    last_eviction: Instant,
}

impl UpstreamPool {
    /// Returns an empty pool.
    pub fn new(
        network: Network,
        metrics: ServingMetrics,
        reach: InstanceReach,
        descriptors: DescriptorBudget,
    ) -> Self {
        let idle = IdleConnections { connections: HashMap::new(), last_eviction: Instant::now() };
        Self { network, metrics, reach, descriptors, idle: Arc::new(Mutex::new(idle)) }
    }

    /// Returns an idle connection to a replica or opens a new one; `is_fresh` forces a new one.
    pub async fn get(&self, replica: &Replica, is_fresh: bool) -> Result<Connection, ConnectError> {
        let idle = if is_fresh { None } else { self.take_idle(replica) };
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let descriptor = self.take_descriptor().ok_or(ConnectError::NoDescriptors)?;
        self.metrics.connection_opened(&replica.service);
        let opened = Connection::open(&self.network, replica.address, CONNECT_TIMEOUT).await;
        if opened.is_ok() && !replica.is_node {
            self.reach.record_connected();
        }
        opened.map(|connection| connection.with_descriptor(descriptor))
    }

    /// Returns whether a new connection can be opened, closing idle ones if needed.
    pub fn can_open(&self) -> bool {
        self.descriptors.has_upstream() || !self.lock().connections.is_empty()
    }

    /// Takes a descriptor for a new connection. If none is left, the idle connections are closed.
    fn take_descriptor(&self) -> Option<UpstreamDescriptor> {
        self.descriptors.take_upstream().or_else(|| {
            self.clear();
            self.descriptors.take_upstream()
        })
    }

    /// Returns a connection whose last response has been read completely to the pool.
    pub fn put(&self, replica: &Replica, connection: Connection, keep_alive: Option<Duration>) {
        if connection.is_closed() || self.descriptors.is_upstream_beyond_share() {
            return;
        }
        let idle_time = keep_alive.map_or(MAX_IDLE_TIME, |k| k.mul_f64(KEEP_ALIVE_FRACTION));
        let now = Instant::now();
        let expires_at = now + idle_time.min(MAX_IDLE_TIME);
        let mut idle = self.lock();
        let key = (replica.instance.clone(), replica.address);
        let connections = idle.connections.entry(key).or_default();
        if connections.len() < MAX_IDLE_PER_REPLICA {
            connections.push((expires_at, connection));
        }
        if now - idle.last_eviction >= EVICTION_PERIOD {
            idle.evict_expired(now);
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
        while let Some((expires_at, connection)) = connections.pop() {
            if expires_at > now && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl IdleConnections {
    fn evict_expired(&mut self, now: Instant) {
        self.last_eviction = now;
        for connections in self.connections.values_mut() {
            connections
                .retain(|(expires_at, connection)| *expires_at > now && !connection.is_closed());
        }
        self.connections.retain(|_, connections| !connections.is_empty());
    }
}
