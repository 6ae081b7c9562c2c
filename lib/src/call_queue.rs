//! The one queue through which all calls of a node to the platform's store pass: a bounded rate
//! for the whole fleet, shared among the live nodes, handed out by priority.

use crate::cx::Cx;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Calls per second that all nodes together may make.
const FLEET_CALLS_PER_SECOND: f64 = 1000.0;
/// Calls per second that a node may make however many nodes there are.
const MIN_NODE_CALLS_PER_SECOND: f64 = 3.0;
/// Calls per second that a node may make however few nodes there are.
const MAX_NODE_CALLS_PER_SECOND: f64 = 200.0;
/// Time whose unused calls may be made up for in a burst.
const BURST: Duration = Duration::from_secs(1);
/// Calls that may wait before the least important of them is shed.
const MAX_WAITING: usize = 512;
/// Commands that may wait for the queue's task.
const COMMAND_QUEUE_LEN: usize = 64;

/// What a call is for, most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallClass {
    /// Leases and group records.
    Control,
    /// The ledger of non-idempotent requests.
    Ledger,
    /// Configuration.
    Config,
    /// Watches and lists that feed the view.
    Watch,
    /// Reports and history.
    Report,
}

/// The queue shed the call because more important calls fill it; the call was not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the queue of store calls is full")]
pub struct QueueFull;

/// Handle to the queue.
#[derive(Debug, Clone)]
pub struct CallQueue {
    tx: mpsc::Sender<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    class: CallClass,
    grant: oneshot::Sender<()>,
}

/// Order of the waiting calls: by class, then by arrival.
type Place = (CallClass, u64);

struct QueueTask {
    cx: Cx,
    order: BinaryHeap<Reverse<Place>>,
    grants: HashMap<u64, Waiting>,
    next_sequence: u64,
    tokens: f64,
    refilled_at: Instant,
}

impl CallQueue {
    /// Starts the queue's task, which ends when the last handle is dropped.
    pub fn new(cx: Cx) -> Self {
        let (tx, rx) = mpsc::channel(COMMAND_QUEUE_LEN);
        let task = QueueTask {
            tokens: node_rate(&cx) * BURST.as_secs_f64(),
            cx,
            order: BinaryHeap::new(),
            grants: HashMap::new(),
            next_sequence: 0,
            refilled_at: Instant::now(),
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Waits for the turn of a call.
    pub async fn turn(&self, class: CallClass) -> Result<(), QueueFull> {
        let (grant, granted) = oneshot::channel();
        self.tx.send(Waiting { class, grant }).await.map_err(|_| QueueFull)?;
        granted.await.map_err(|_| QueueFull)
    }
}

impl QueueTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Waiting>) {
        loop {
            self.refill();
            self.grant_turns();
            let wait = match self.order.is_empty() {
                true => Duration::from_secs(3600),
                false => self.time_to_next_token(),
            };
            tokio::select! {
                received = rx.recv() => match received {
                    Some(waiting) => self.enqueue(waiting),
                    None => return,
                },
                () = tokio::time::sleep(wait) => {}
            }
        }
    }

    fn enqueue(&mut self, waiting: Waiting) {
        if self.grants.len() >= MAX_WAITING {
            self.shed_least_important(waiting.class);
        }
        if self.grants.len() >= MAX_WAITING {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.order.push(Reverse((waiting.class, sequence)));
        self.grants.insert(sequence, waiting);
    }

    /// Drops a waiting call of a lower class; its caller sees the closed channel.
    fn shed_least_important(&mut self, arriving: CallClass) {
        self.grants.retain(|_, waiting| !waiting.grant.is_closed());
        let last = self.grants.iter().map(|(sequence, w)| (w.class, *sequence)).max();
        if let Some((class, sequence)) = last
            && class > arriving
        {
            self.grants.remove(&sequence);
        }
    }

    fn grant_turns(&mut self) {
        while self.tokens >= 1.0 {
            let Some(Reverse((_, sequence))) = self.order.pop() else { return };
            let Some(waiting) = self.grants.remove(&sequence) else { continue };
            if waiting.grant.send(()).is_ok() {
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

/// Returns this node's share of the fleet's rate in calls per second.
fn node_rate(cx: &Cx) -> f64 {
    let nodes = cx.members.usable().len().max(1) as f64;
    (FLEET_CALLS_PER_SECOND / nodes).clamp(MIN_NODE_CALLS_PER_SECOND, MAX_NODE_CALLS_PER_SECOND)
}
