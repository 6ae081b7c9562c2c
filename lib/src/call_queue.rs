//! Rate limiter for all calls of a node to the platform's store. The rate of the whole fleet is
//! bounded and divided among the live nodes; each node grants its calls by priority.

use crate::cx::Cx;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Maximum calls per second of all nodes together.
const FLEET_CALLS_PER_SECOND: f64 = 1000.0;
/// Lower bound on the rate of a node, however many nodes there are.
const MIN_NODE_CALLS_PER_SECOND: f64 = 3.0;
/// Upper bound on the rate of a node, however few nodes there are.
const MAX_NODE_CALLS_PER_SECOND: f64 = 200.0;
/// Capacity of the token bucket, as the time in which its rate fills it.
const BURST: Duration = Duration::from_secs(1);
/// Maximum number of waiting calls; beyond it the least important one is shed.
const MAX_WAITING: usize = 512;
/// Capacity of the channel to the queue's task.
const COMMAND_QUEUE_LEN: usize = 64;

/// Purpose of a call, most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallClass {
    /// Leases and group records.
    Control,
    /// The ledger of non-idempotent requests.
    Ledger,
    /// Configuration.
    Config,
    /// Watches and lists that update the object view.
    Watch,
    /// Reports and history.
    Report,
}

/// The call was not made because the queue is full of calls that are at least as important.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the queue of store calls is full")]
pub struct QueueFull;

/// Cloneable handle to the queue.
#[derive(Debug, Clone)]
pub struct CallQueue {
    tx: mpsc::Sender<PendingCall>,
}

#[derive(Debug)]
struct PendingCall {
    class: CallClass,
    grant: oneshot::Sender<()>,
}

/// Position of a waiting call: by class, then by arrival.
type QueuePosition = (CallClass, u64);

struct QueueTask {
    cx: Cx,
    order: BinaryHeap<Reverse<QueuePosition>>,
    pending: HashMap<u64, PendingCall>,
    next_sequence: u64,
    tokens: f64,
    refilled_at: Instant,
}

impl CallQueue {
    /// Spawns the queue's task, which ends when the last handle is dropped.
    pub fn new(cx: Cx) -> Self {
        let (tx, rx) = mpsc::channel(COMMAND_QUEUE_LEN);
        let task = QueueTask {
            tokens: node_rate(&cx) * BURST.as_secs_f64(),
            cx,
            order: BinaryHeap::new(),
            pending: HashMap::new(),
            next_sequence: 0,
            refilled_at: Instant::now(),
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Waits until a call of this class may be made.
    pub async fn acquire(&self, class: CallClass) -> Result<(), QueueFull> {
        let (grant, granted) = oneshot::channel();
        self.tx.send(PendingCall { class, grant }).await.map_err(|_| QueueFull)?;
        granted.await.map_err(|_| QueueFull)
    }
}

impl QueueTask {
    async fn run(mut self, mut rx: mpsc::Receiver<PendingCall>) {
        loop {
            self.refill();
            self.grant_pending();
            let wait = match self.order.is_empty() {
                true => Duration::from_secs(3600),
                false => self.time_to_next_token(),
            };
            tokio::select! {
                received = rx.recv() => match received {
                    Some(call) => self.enqueue(call),
                    None => return,
                },
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    fn enqueue(&mut self, call: PendingCall) {
        if self.pending.len() >= MAX_WAITING {
            self.shed_least_important(call.class);
        }
        if self.pending.len() >= MAX_WAITING {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.order.push(Reverse((call.class, sequence)));
        self.pending.insert(sequence, call);
    }

    /// Drops a waiting call of a lower class; its caller sees the closed channel.
    fn shed_least_important(&mut self, arriving_class: CallClass) {
        self.pending.retain(|_, call| !call.grant.is_closed());
        let last = self.pending.iter().map(|(sequence, w)| (w.class, *sequence)).max();
        if let Some((class, sequence)) = last
            && class > arriving_class
        {
            self.pending.remove(&sequence);
        }
    }

    fn grant_pending(&mut self) {
        while self.tokens >= 1.0 {
            let Some(Reverse((_, sequence))) = self.order.pop() else { return };
            let Some(call) = self.pending.remove(&sequence) else { continue };
            if call.grant.send(()).is_ok() {
                self.tokens -= 1.0;
            }
        }
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let rate = node_rate(&self.cx);
        let added = (now - self.refilled_at).as_secs_f64() * rate;
        let limit = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + added).min(limit);
        self.refilled_at = now;
    }

    fn time_to_next_token(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::from_secs_f64(missing / node_rate(&self.cx));
        wait.max(Duration::from_millis(1))
    }
}

/// Returns this node's share of the fleet-wide rate, in calls per second.
fn node_rate(cx: &Cx) -> f64 {
    let nodes = cx.members.usable().len().max(1) as f64;
    (FLEET_CALLS_PER_SECOND / nodes).clamp(MIN_NODE_CALLS_PER_SECOND, MAX_NODE_CALLS_PER_SECOND)
}
