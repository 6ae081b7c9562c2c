//! What other nodes have used of the retry budgets, as they told.
//!
//! The retries of a node count for a window, also if the node has ended or has no callers any more. So its last
//! statement is kept for as long; a new run does not replace the statement of the one before.

use crate::key_hash::key_hash;
use guavaladder_proc_macros::common_derives;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of services in a message, which keeps it below 1 KB.
const MAX_SERVICES: usize = 40;

/// Hash of the name of a service.
pub type ServiceHash = u64;
/// Node and incarnation of its run, as a hash.
type NodeRun = u64;

/// Requests for a service and retries at it, within the window of the budgets.
#[common_derives(Copy, Eq, Default)]
pub struct ServiceUse {
    /// Requests of callers.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

/// Statement of a node about its use of the retry budgets.
#[common_derives(Eq)]
pub struct RetryNews {
    /// Id of the sending node.
    pub node: String,
    /// Incarnation of its run.
    pub incarnation: u64,
    /// Number of the statement in this run.
    pub sequence: u64,
    /// Use by service.
    pub services: Vec<(ServiceHash, ServiceUse)>,
}

/// Last statements of the other nodes.
#[derive(Debug)]
pub struct FleetRetries {
    /// Time for which requests count.
    window: Duration,
    /// Time for which retries count.
    retention: Duration,
    next_sequence: AtomicU64,
    reports: Mutex<HashMap<ServiceHash, HashMap<NodeRun, Report>>>,
}

#[derive(Debug)]
struct Report {
    sequence: u64,
    usage: ServiceUse,
    received: Instant,
}

impl FleetRetries {
    /// Creates an empty table. Requests count for `window`, retries for `retention`.
    pub fn new(window: Duration, retention: Duration) -> Self {
        Self { window, retention, next_sequence: AtomicU64::new(1), reports: Mutex::default() }
    }

    /// Returns the next statement of this node, `node`.
    pub fn next_news(
        &self,
        node: &str,
        incarnation: u64,
        mut services: Vec<(ServiceHash, ServiceUse)>,
    ) -> RetryNews {
        services.sort_by_key(|(_, usage)| std::cmp::Reverse(usage.retries));
        services.truncate(MAX_SERVICES);
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        RetryNews { node: node.to_string(), incarnation, sequence, services }
    }

    /// Records the statement of another node, unless a later one of its run is known.
    pub fn record(&self, news: RetryNews, now: Instant) {
        let run = key_hash(format!("{} {}", news.node, news.incarnation).as_bytes());
        let sequence = news.sequence;
        let mut reports = self.lock();
        for (service, usage) in news.services {
            let of_service = reports.entry(service).or_default();
            of_service.retain(|_, report| now - report.received < self.retention);
            let is_late = of_service.get(&run).is_some_and(|known| known.sequence >= sequence);
            if !is_late {
                of_service.insert(run, Report { sequence, usage, received: now });
            }
        }
    }

    /// Returns the sum of what other nodes told. The requests of an old statement leave the window one after
    /// the other.
    pub fn use_by_others(&self, service: ServiceHash, now: Instant) -> ServiceUse {
        let reports = self.lock();
        let of_service = reports.get(&service).into_iter().flat_map(HashMap::values);
        let mut sum = ServiceUse::default();
        for report in of_service {
            let age = now.saturating_duration_since(report.received);
            if age >= self.retention {
                continue;
            }
            let left = 1.0 - age.as_secs_f64() / self.window.as_secs_f64();
            sum.requests += (f64::from(report.usage.requests) * left.max(0.0)) as u32;
            sum.retries += report.usage.retries;
        }
        sum
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceHash, HashMap<NodeRun, Report>>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
