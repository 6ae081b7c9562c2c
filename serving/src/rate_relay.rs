//! Requests that are passed on to nodes whose parts of the instances' rates are not used up.
//!
//! Load pattern: instances name the rates that they take, and callers have turned to few of the nodes. Each elected
//! node sends its own part of a rate and no more, so those of the other nodes stay unused while this one refuses
//! requests. Such a request is passed on like one of a node without links to the instances. The node that gets it
//! sends it within its own part, so that no rate is exceeded.

use crate::cold_sync;
use crate::node_relay;
use crate::placement::Candidate;
use crate::placement::NoCapacity;
use crate::rate_limits::RateAllowance;
use crate::replica_set::Replica;
use crate::replica_set::ReplicaKey;
use crate::request_task::RequestTask;
use crate::serving_cx::ServingCx;
use rand::seq::IteratorRandom;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Number of limited replicas whose elected nodes are considered.
const SAMPLED_REPLICAS: usize = 2;

/// Shared table of the nodes that refused a request that was passed on, and of the times until which they get no
/// other.
#[derive(Debug, Clone, Default)]
pub struct RefusingNodes {
    until: Arc<Mutex<HashMap<String, Instant>>>,
}

impl RefusingNodes {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a node refused a request, and the time after which its caller may retry it.
    pub fn record(&self, node: &str, retry_after: Duration, now: Instant) {
        let mut until = self.lock();
        until.retain(|_, until| *until > now);
        until.insert(node.to_string(), now + retry_after);
    }

    fn contains(&self, node: &str, now: Instant) -> bool {
        self.lock().get(node).is_some_and(|until| *until > now)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Instant>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Chooses a node that a request can be passed on to, in the form of a replica, if only the rates that instances
/// name keep this node from sending it.
pub fn choose(
    cx: &ServingCx,
    task: &RequestTask,
    candidates: &[Candidate],
    no_capacity: NoCapacity,
    tried: &[ReplicaKey],
) -> Option<Arc<Replica>> {
    if !matches!(no_capacity, NoCapacity::RateLimited { .. }) || task.ticket.is_some() {
        return None;
    }
    let is_limited =
        |c: &&Candidate| matches!(c.rate, RateAllowance::After(_) | RateAllowance::NotElected);
    let limited = candidates.iter().filter(|c| !c.state.is_down).filter(is_limited);
    let sampled = limited.sample(&mut rand::rng(), SAMPLED_REPLICAS);
    let senders_of = |c: &Candidate| {
        let limited = cx.rate_limits.senders(c.replica.run);
        if limited.is_empty() { cold_sync::senders(cx, &c.replica) } else { limited }
    };
    let senders: HashSet<String> = sampled.into_iter().flat_map(senders_of).collect();
    let now = Instant::now();
    let is_usable = |node: &str| senders.contains(node) && !cx.refusing_nodes.contains(node, now);
    node_relay::choose(cx, &task.service, tried, is_usable)
}
