//! Queue of the requests that wait for a replica of one service: by priority, then by the
//! customers' weighted use of the replicas, then by arrival.

use crate::admission::Slot;
use crate::generated::engine::Priority;
use crate::ids::CustomerId;
use crate::replica::Replica;
use crate::router::Choice;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request that waits.
#[derive(Debug)]
pub struct Waiter {
    /// Customer.
    pub customer: CustomerId,
    /// Weight of the customer.
    pub weight: u32,
    /// Size of the request in bytes.
    pub bytes: usize,
    /// What the choice of a replica depends on.
    pub choice: Choice,
    /// Latest useful start.
    pub start_by: Instant,
    /// Whether its answer has begun; such requests come first.
    pub has_begun: bool,
    /// Takes the replica once there is one.
    pub tx: oneshot::Sender<Slot>,
}

/// Requests that wait for one service.
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<(Priority, CustomerId), VecDeque<Waiter>>,
    len: usize,
    bytes: usize,
}

impl FairQueue {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request at the end of its customer's queue.
    pub fn push(&mut self, waiter: Waiter) {
        self.len += 1;
        self.bytes += waiter.bytes;
        let key = (waiter.choice.priority, waiter.customer.clone());
        let queue = self.waiting.entry(key).or_default();
        match waiter.has_begun {
            true => queue.push_front(waiter),
            false => queue.push_back(waiter),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the bytes of the waiting requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of a customer's waiting requests of this priority or a higher one.
    pub fn len_of(&self, customer: &str, priority: Priority) -> usize {
        let own = |(key, _): &(&(Priority, CustomerId), &VecDeque<Waiter>)| {
            key.1 == customer && key.0 <= priority
        };
        self.waiting.iter().filter(own).map(|(_, queue)| queue.len()).sum()
    }

    /// Returns the weights of the other customers with requests of this priority or a higher one.
    pub fn rival_weights(&self, customer: &str, priority: Priority) -> u32 {
        let mut weights: BTreeMap<&str, u32> = BTreeMap::new();
        for ((class, rival), queue) in &self.waiting {
            if let Some(waiter) = queue.front().filter(|_| *class <= priority && rival != customer)
            {
                weights.insert(rival, waiter.weight);
            }
        }
        weights.values().sum()
    }

    /// Tells whether a request of this priority or a higher one waits.
    pub fn has_rival(&self, priority: Priority) -> bool {
        self.waiting.iter().any(|((class, _), queue)| *class <= priority && !queue.is_empty())
    }

    /// Removes requests that nobody waits for any more or that can no longer start in time.
    pub fn prune(&mut self, now: Instant) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiter| !waiter.tx.is_closed() && waiter.start_by > now);
        }
        self.waiting.retain(|_, queue| !queue.is_empty());
        self.recount();
    }

    /// Removes the newest request of the customer with most bytes waiting, lowest priority first.
    pub fn shed(&mut self) -> Option<Waiter> {
        let bytes_of = |queue: &VecDeque<Waiter>| queue.iter().map(|w| w.bytes).sum::<usize>();
        let heaviest = self.waiting.iter().max_by_key(|((class, _), q)| (*class, bytes_of(q)))?;
        let key = heaviest.0.clone();
        let waiter = self.waiting.get_mut(&key)?.pop_back();
        self.recount();
        waiter
    }

    /// Takes the next request that `place` finds a replica for.
    ///
    /// `used` gives each customer's running requests. A request that finds no replica keeps its
    /// place, and lets those of other customers pass: it may be waiting for one replica only.
    pub fn next(
        &mut self,
        used: impl Fn(&str) -> u32,
        mut place: impl FnMut(&Waiter) -> Option<Arc<Replica>>,
    ) -> Option<(Waiter, Arc<Replica>)> {
        let mut order: Vec<(Priority, bool, f64, CustomerId)> = self
            .waiting
            .iter()
            .filter_map(|((class, customer), queue)| {
                let front = queue.front()?;
                let part = f64::from(used(customer)) / f64::from(front.weight.max(1));
                Some((*class, !front.has_begun, part, customer.clone()))
            })
            .collect();
        order.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        for (class, _, _, customer) in order {
            let Some(queue) = self.waiting.get_mut(&(class, customer)) else { continue };
            let Some(replica) = queue.front().and_then(&mut place) else {
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
