//! Shares of the file descriptors of the process, so that no listener can use up those of another or of the
//! connections to replicas.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Maximum number of descriptors for files and the sockets that the process opens at its start.
const MAX_OWN: usize = 200;

/// Numbers of descriptors by use; their sum is at most that of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Files, and the sockets that the process opens at its start.
    pub own: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other nodes that pass requests on.
    pub relay: usize,
    /// Connections for resolve queries.
    pub directory: usize,
    /// Connections of readiness probes.
    pub readiness: usize,
    /// Connections of readers of the metrics.
    pub metrics: usize,
    /// Calls to the store, and orders to and probes of instances.
    pub control: usize,
    /// Connections to replicas and other nodes for requests of callers.
    pub upstream: usize,
}

impl DescriptorShares {
    /// Returns the shares of a process that may use `max_descriptors`.
    pub fn new(max_descriptors: usize) -> Self {
        let mut shares = Self {
            own: (max_descriptors / 8).min(MAX_OWN),
            callers: max_descriptors / 2,
            relay: max_descriptors / 8,
            directory: (max_descriptors / 32).max(2),
            readiness: (max_descriptors / 128).max(2),
            metrics: (max_descriptors / 128).max(2),
            control: (max_descriptors / 32).max(2),
            upstream: 0,
        };
        shares.upstream = max_descriptors.saturating_sub(shares.total());
        shares
    }

    /// Returns the number of connections that all listeners accept.
    pub fn listeners(&self) -> usize {
        self.callers + self.relay + self.directory + self.readiness + self.metrics
    }

    /// Returns the sum of all shares.
    pub fn total(&self) -> usize {
        self.own + self.listeners() + self.control + self.upstream
    }
}

/// Descriptors of the connections of callers and of those to replicas, which share what the others leave.
#[derive(Debug, Clone)]
pub struct DescriptorBudget {
    /// Shares of all uses.
    pub shares: DescriptorShares,
    open: Arc<Mutex<OpenDescriptors>>,
}

#[derive(Debug, Default)]
struct OpenDescriptors {
    callers: usize,
    upstream: usize,
}

/// Descriptor of a connection to a replica, which is returned when this is dropped.
#[derive(Debug)]
pub struct UpstreamDescriptor(DescriptorBudget);

impl Drop for UpstreamDescriptor {
    fn drop(&mut self) {
        self.0.lock().upstream -= 1;
    }
}

impl DescriptorBudget {
    /// Returns the budget of a process that may use `max_descriptors`.
    pub fn new(max_descriptors: usize) -> Self {
        Self { shares: DescriptorShares::new(max_descriptors), open: Arc::default() }
    }

    /// Takes a descriptor for a connection to a replica; `None` if all are in use. Beyond their own share, such
    /// connections use descriptors that callers leave.
    pub fn take_upstream(&self) -> Option<UpstreamDescriptor> {
        let mut open = self.lock();
        if open.upstream >= self.max_upstream(&open) {
            return None;
        }
        open.upstream += 1;
        Some(UpstreamDescriptor(self.clone()))
    }

    /// Returns whether a descriptor for a connection to a replica is left.
    pub fn has_upstream(&self) -> bool {
        let open = self.lock();
        open.upstream < self.max_upstream(&open)
    }

    /// Returns whether connections to replicas use descriptors of callers.
    pub fn is_upstream_beyond_share(&self) -> bool {
        self.lock().upstream > self.shares.upstream
    }

    /// Returns the number of connections that callers may have at present.
    pub fn max_callers(&self) -> usize {
        let beyond_share = self.lock().upstream.saturating_sub(self.shares.upstream);
        self.shares.callers - beyond_share.min(self.shares.callers)
    }

    /// Sets the number of open connections of callers.
    pub fn set_callers(&self, connections: usize) {
        self.lock().callers = connections;
    }

    /// Returns the number of open connections to replicas.
    pub fn upstream(&self) -> usize {
        self.lock().upstream
    }

    fn max_upstream(&self, open: &OpenDescriptors) -> usize {
        self.shares.upstream + self.shares.callers.saturating_sub(open.callers)
    }

    fn lock(&self) -> MutexGuard<'_, OpenDescriptors> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
