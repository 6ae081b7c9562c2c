//! Retry budget of a service, which all nodes share without a common counter.
//!
//! Load pattern: many requests fail at the same time because a replica or a data centre was lost, and
//! every node wants to retry its own. Each node may use the configured ratio of its own requests and an
//! equal part of the slack.
//!
//! These parts exceed the budget when callers move: nodes that lose their callers have used parts that rest on
//! requests of the window before, and the nodes that the callers turn to get parts for the same callers. So nodes
//! tell each other what they have used, and a node also stays within what the others have left.

use crate::fleet_retries::FleetRetries;
use crate::fleet_retries::RetryNews;
use crate::fleet_retries::ServiceUse;
use crate::key_hash::key_hash;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the budget that is used; the rest covers nodes that disagree about which nodes are live.
const USABLE_RATIO: f64 = 0.8;
/// Maximum time from the withdrawal of a retry until it arrives at a replica, which may be paused for more
/// than a second. Retries count for that much longer, since the platform counts arrivals.
pub const MAX_SEND_DELAY: Duration = Duration::from_secs(2);
/// Fraction of its part that a node may have used without telling the other nodes. It is all that a node has
/// which started within the window, as others may not know what its earlier run has used.
const UNTOLD_FRACTION: f64 = 0.25;
/// Number of buckets of the sliding window.
const BUCKETS: u32 = 20;

/// Limits of the retry budget, set by the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Allowed retries as a fraction of the requests.
    pub ratio: f64,
    /// Allowed retries in addition, over all nodes.
    pub slack: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// Retry budgets of a node, by service.
#[derive(Debug)]
pub struct RetryBudgets {
    bounds: RetryBounds,
    started: Instant,
    services: Mutex<HashMap<String, Window>>,
    fleet: FleetRetries,
}

/// Use of the budget of a service, in numbers of requests and retries within the window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetUse {
    /// Service.
    pub service: String,
    /// Requests and retries of this node.
    pub own: ServiceUse,
    /// Requests and retries that other nodes told of.
    pub others: ServiceUse,
    /// Retries of this node since the use was last taken.
    pub new_retries: u32,
}

#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
    /// Retries since the use was last taken.
    new_retries: u32,
    /// Whether the last use that the other nodes were told of is above the untold fraction.
    is_told: bool,
}

#[derive(Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
    last_retry: Instant,
}

impl Bucket {
    fn new(start: Instant) -> Self {
        Self { start, requests: 0, retries: 0, last_retry: start }
    }
}

impl RetryBudgets {
    /// Creates unused budgets.
    pub fn new(bounds: RetryBounds) -> Self {
        let fleet = FleetRetries::new(bounds.window, bounds.window + MAX_SEND_DELAY);
        Self { bounds, started: Instant::now(), services: Mutex::default(), fleet }
    }

    /// Counts a request to a service.
    pub fn count_request(&self, service: &str, now: Instant) {
        self.with_window(service, now, |window| {
            window.current_bucket(now, self.bucket_length()).requests += 1
        });
    }

    /// Withdraws one retry from the budget that `nodes` nodes share; returns false if none is left. While
    /// their number is not known, the slack is left to those that know it. A node that has started within
    /// the window has no slack either, since its earlier run may have used it.
    pub fn withdraw(&self, service: &str, nodes: Option<usize>, now: Instant) -> bool {
        self.with_window(service, now, |window| {
            let own = window.use_at(now, self.bounds.window);
            let others = self.fleet.use_by_others(key_hash(service.as_bytes()), now);
            let part = match self.has_window_passed(now) {
                true => self.part(own.requests, nodes),
                false => UNTOLD_FRACTION * self.part(own.requests, None),
            };
            let fleet_budget = self.budget(own.requests + others.requests, self.bounds.slack);
            let has_left = f64::from(own.retries) + 1.0 <= part
                && f64::from(own.retries + others.retries) + 1.0 <= fleet_budget;
            if has_left {
                let bucket = window.current_bucket(now, self.bucket_length());
                bucket.retries += 1;
                bucket.last_retry = now;
                window.new_retries += 1;
            }
            has_left
        })
    }

    /// Returns what the other nodes have to know of the use of this one; `None` if it is so little that they
    /// need not.
    pub fn next_news(
        &self,
        node: &str,
        incarnation: u64,
        nodes: Option<usize>,
        now: Instant,
    ) -> Option<RetryNews> {
        let mut services = vec![];
        for service in self.services() {
            self.with_window(&service, now, |window| {
                let own = window.use_at(now, self.bounds.window);
                let untold = UNTOLD_FRACTION * self.part(own.requests, nodes);
                let is_due = f64::from(own.retries) > untold;
                // The others have to know that the use has fallen, too.
                if std::mem::replace(&mut window.is_told, is_due) || is_due {
                    services.push((key_hash(service.as_bytes()), own));
                }
            });
        }
        match services.is_empty() {
            true => None,
            false => Some(self.fleet.next_news(node, incarnation, services)),
        }
    }

    /// Records what another node has used.
    pub fn record_news(&self, news: RetryNews, now: Instant) {
        self.fleet.record(news, now);
    }

    /// Returns the use of the budgets from which retries were withdrawn since the last call.
    pub fn take_uses(&self, now: Instant) -> Vec<BudgetUse> {
        let mut uses = vec![];
        for service in self.services() {
            let hash = key_hash(service.as_bytes());
            let (own, new_retries) = self.with_window(&service, now, |window| {
                let own = window.use_at(now, self.bounds.window);
                (own, std::mem::take(&mut window.new_retries))
            });
            if new_retries > 0 {
                let others = self.fleet.use_by_others(hash, now);
                uses.push(BudgetUse { service, own, others, new_retries });
            }
        }
        uses
    }

    /// Returns this node's part of the budget.
    fn part(&self, requests: u32, nodes: Option<usize>) -> f64 {
        let slack = nodes.map_or(0.0, |nodes| self.bounds.slack / nodes.max(1) as f64);
        self.budget(requests, slack)
    }

    /// Returns the usable retries for some requests and some slack.
    fn budget(&self, requests: u32, slack: f64) -> f64 {
        USABLE_RATIO * (self.bounds.ratio * f64::from(requests) + slack)
    }

    /// Returns whether no retry of an earlier run of this node counts any more.
    fn has_window_passed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= self.retention()
    }

    fn services(&self) -> Vec<String> {
        self.lock().keys().cloned().collect()
    }

    /// Returns the time for which a retry counts.
    fn retention(&self) -> Duration {
        self.bounds.window + MAX_SEND_DELAY
    }

    fn bucket_length(&self) -> Duration {
        self.bounds.window / BUCKETS
    }

    fn with_window<T>(
        &self,
        service: &str,
        now: Instant,
        use_window: impl FnOnce(&mut Window) -> T,
    ) -> T {
        let mut services = self.lock();
        if !services.contains_key(service) {
            services.insert(service.to_string(), Window::default());
        }
        let mut unused = Window::default();
        let window = services.get_mut(service).unwrap_or(&mut unused);
        let retention = self.retention();
        let is_expired = |bucket: &Bucket| now - bucket.last_retry >= retention;
        while window.buckets.front().is_some_and(is_expired) {
            window.buckets.pop_front();
        }
        use_window(window)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Window>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Window {
    /// Returns the requests within the last `length` and the retries that still count.
    fn use_at(&self, now: Instant, length: Duration) -> ServiceUse {
        let recent = self.buckets.iter().filter(|bucket| now - bucket.start < length);
        ServiceUse {
            requests: recent.map(|bucket| bucket.requests).sum(),
            retries: self.buckets.iter().map(|bucket| bucket.retries).sum(),
        }
    }

    fn current_bucket(&mut self, now: Instant, length: Duration) -> &mut Bucket {
        let needs_bucket = self.buckets.back().is_none_or(|bucket| now - bucket.start >= length);
        if needs_bucket {
            self.buckets.push_back(Bucket::new(now));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
