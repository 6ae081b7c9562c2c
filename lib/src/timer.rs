//! Timer service: one task that sends periodic ticks to subscribers and reports how late each one is.

use crate::clock::Clock;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of subscriptions queued for the timer task.
const SUBSCRIPTION_QUEUE_LEN: usize = 64;

/// A periodic notification to a subscriber.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// Time at which the tick was sent, as given by `Clock::now`.
    pub at: Duration,
    /// Delay of the tick after its due time; large after a pause of the process.
    pub late_by: Duration,
}

/// Handle to the timer service.
#[derive(Debug, Clone)]
pub struct Timers {
    tx: mpsc::Sender<Subscription>,
}

/// Receiver of the ticks of one subscription.
#[derive(Debug)]
pub struct Ticks {
    rx: mpsc::Receiver<Tick>,
}

#[derive(Debug)]
struct Subscription {
    period: Duration,
    first: Duration,
    tx: mpsc::Sender<Tick>,
}

impl Timers {
    /// Starts the timer task, which ends when all handles and subscriptions have been dropped.
    pub fn new(clock: Clock) -> Self {
        let (tx, rx) = mpsc::channel(SUBSCRIPTION_QUEUE_LEN);
        tokio::spawn(run(clock, rx));
        Self { tx }
    }

    /// Subscribes to a tick every `period`, the first after `delay`.
    ///
    /// A subscriber that is slower than its period misses ticks; at most one tick is queued.
    pub async fn subscribe(&self, delay: Duration, period: Duration) -> Ticks {
        let (tx, rx) = mpsc::channel(1);
        let subscription = Subscription { period, first: delay, tx };
        // The timer task only ends at shutdown; `Ticks::next` then returns `None`.
        let _ = self.tx.send(subscription).await;
        Ticks { rx }
    }
}

impl Ticks {
    /// Waits for the next tick; returns `None` when the timer service has ended.
    pub async fn next(&mut self) -> Option<Tick> {
        self.rx.recv().await
    }
}

async fn run(clock: Clock, mut rx: mpsc::Receiver<Subscription>) {
    let mut subscriptions: Vec<Option<Subscription>> = vec![];
    let mut due: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut is_open = true;
    while is_open || !due.is_empty() {
        let wait = match due.peek() {
            Some(Reverse((at, _))) => at.saturating_sub(clock.now()),
            None => Duration::from_secs(3600),
        };
        tokio::select! {
            received = rx.recv(), if is_open => match received {
                Some(subscription) => {
                    let first = clock.now() + subscription.first;
                    due.push(Reverse((first, subscriptions.len())));
                    subscriptions.push(Some(subscription));
                }
                None => is_open = false,
            },
            () = tokio::time::sleep(wait) => send_due_ticks(&clock, &mut subscriptions, &mut due),
        }
    }
}

/// Sends all due ticks and schedules the next tick of each subscription.
fn send_due_ticks(
    clock: &Clock,
    subscriptions: &mut [Option<Subscription>],
    due: &mut BinaryHeap<Reverse<(Duration, usize)>>,
) {
    let now = clock.now();
    while let Some(Reverse((at, index))) = due.peek().copied() {
        if at > now {
            return;
        }
        due.pop();
        let Some(subscription) = &subscriptions[index] else { continue };
        let tick = Tick { at: now, late_by: now - at };
        if let Err(mpsc::error::TrySendError::Closed(_)) = subscription.tx.try_send(tick) {
            subscriptions[index] = None;
            continue;
        }
        let next = (at + subscription.period).max(now);
        due.push(Reverse((next, index)));
    }
}
