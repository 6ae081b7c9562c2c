//! Weighted fair queue of the requests that wait for a replica of one service, ordered by priority,
//! then by the customers' weighted use of the replicas, then by arrival.

use crate::admission::Slot;
use crate::generated::engine::Priority;
use crate::ids::CustomerId;
use crate::replica::Replica;
use crate::router::SelectionCriteria;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A queued request.
#[derive(Debug)]
pub struct Waiter {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Weight of the customer in fair sharing.
    pub weight: u32,
    /// Size of the request in bytes.
    pub bytes: usize,
    /// Criteria for the selection of a replica.
    pub criteria: SelectionCriteria,
    /// Time after which the request is dropped from the queue.
    pub start_by: Instant,
    /// Whether its response has already started; such a request comes first in its class.
    pub has_started: bool,
    /// Sends the slot to the waiting request.
    pub tx: oneshot::Sender<Slot>,
}

/// Queue of the requests for one service, with one FIFO per priority and customer.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<(Priority, CustomerId), VecDeque<Waiter>>,
    len: usize,
    bytes: usize,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a request to its customer's FIFO, or prepends it if its response has started.
    pub fn push(&mut self, waiter: Waiter) {
        self.len += 1;
        self.bytes += waiter.bytes;
        let key = (waiter.criteria.priority, waiter.customer.clone());
        let queue = self.waiting.entry(key).or_default();
        match waiter.has_started {
            true => queue.push_front(waiter),
            false => queue.push_back(waiter),
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total size of the queued requests in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of a customer's queued requests of this priority or a higher one.
    pub fn len_of(&self, customer: &str, priority: Priority) -> usize {
        let own = |(key, _): &(&(Priority, CustomerId), &VecDeque<Waiter>)| {
            key.1 == customer && key.0 <= priority
        };
        self.waiting.iter().filter(own).map(|(_, queue)| queue.len()).sum()
    }

    /// Sums the weights of the other customers with requests of this priority or a higher one.
    pub fn competing_weights(&self, customer: &str, priority: Priority) -> u32 {
        let mut weights: BTreeMap<&str, u32> = BTreeMap::new();
        for ((class, other), queue) in &self.waiting {
            if let Some(waiter) = queue.front().filter(|_| *class <= priority && other != customer)
            {
                weights.insert(other, waiter.weight);
            }
        }
        weights.values().sum()
    }

    /// Returns whether a request of this priority or a higher one is queued.
    pub fn has_waiting(&self, priority: Priority) -> bool {
        self.waiting.iter().any(|((class, _), queue)| *class <= priority && !queue.is_empty())
    }

    /// Removes requests that were abandoned or whose maximum queue time has passed.
    pub fn prune(&mut self, now: Instant) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiter| !waiter.tx.is_closed() && waiter.start_by > now);
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        self.recount();
    }

    /// Removes the newest request of the customer with the most queued bytes in the lowest
    /// priority.
    pub fn shed(&mut self) -> Option<Waiter> {
        let bytes_of = |queue: &VecDeque<Waiter>| queue.iter().map(|w| w.bytes).sum::<usize>();
        let heaviest = self.waiting.iter().max_by_key(|((class, _), q)| (*class, bytes_of(q)))?;
        let key = heaviest.0.clone();
        let waiter = self.waiting.get_mut(&key)?.pop_back();
        self.recount();
        waiter
    }

    /// Removes the next request for which `find_replica` returns a replica.
    ///
    /// `used` returns a customer's running requests. A request without a replica stays queued and
    /// does not block those of other customers, since it may be waiting for one specific replica.
    pub fn next(
        &mut self,
        used: impl Fn(&str) -> u32,
        mut find_replica: impl FnMut(&Waiter) -> Option<Arc<Replica>>,
    ) -> Option<(Waiter, Arc<Replica>)> {
        let mut order: Vec<(Priority, bool, f64, CustomerId)> = self
            .waiting
            .iter()
            .filter_map(|((class, customer), queue)| {
                let front = queue.front()?;
                let usage = f64::from(used(customer)) / f64::from(front.weight.max(1));
                Some((*class, !front.has_started, usage, customer.clone()))
            })
            .collect();
        order.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        for (class, _, _, customer) in order {
            let Some(queue) = self.waiting.get_mut(&(class, customer)) else { continue };
            let Some(replica) = queue.front().and_then(&mut find_replica) else {
                continue;
            };
            let Some(waiter) = queue.pop_front() else { continue };
            self.len -= 1;
            self.bytes -= waiter.bytes;
            return Some((waiter, replica));
        }
        None
    }

    fn recount(&mut self) {
        self.len = self.waiting.values().map(VecDeque::len).sum();
        self.bytes = self.waiting.values().flatten().map(|waiter| waiter.bytes).sum();
    }
}
