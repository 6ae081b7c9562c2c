//! Retry budget of a service, which all nodes share without a common counter.
//!
//! Load pattern: many requests fail at the same time because a replica or a data centre was lost, and
//! every node wants to retry its own. Each node may use the configured ratio of its own requests and an
//! equal part of the slack, so the sum over all nodes stays within the budget of the service.

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
}

/// Requests for a service and retries at it, within the window of the budgets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceUse {
    /// Requests of callers.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

/// Use of the budget of a service, in numbers of requests and retries within the window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetUse {
    /// Service.
    pub service: String,
    /// Requests and retries of this node.
    pub own: ServiceUse,
    /// Retries of this node since the use was last taken.
    pub new_retries: u32,
}

#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
    /// Retries since the use was last taken.
    new_retries: u32,
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
        Self { bounds, started: Instant::now(), services: Mutex::default() }
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
            let ServiceUse { requests, retries } = window.use_at(now, self.bounds.window);
            let sharers =
                nodes.filter(|_| now.saturating_duration_since(self.started) >= self.retention());
            let own_slack = sharers.map_or(0.0, |nodes| self.bounds.slack / nodes.max(1) as f64);
            let budget = USABLE_RATIO * (self.bounds.ratio * f64::from(requests) + own_slack);
            let has_left = f64::from(retries) + 1.0 <= budget;
            if has_left {
                let bucket = window.current_bucket(now, self.bucket_length());
                bucket.retries += 1;
                bucket.last_retry = now;
                window.new_retries += 1;
            }
            has_left
        })
    }

    /// Returns the use of the budgets from which retries were withdrawn since the last call.
    pub fn take_uses(&self, now: Instant) -> Vec<BudgetUse> {
        let services: Vec<String> = self.lock().keys().cloned().collect();
        let uses = services.into_iter().map(|service| {
            let (own, new_retries) = self.with_window(&service, now, |window| {
                let own = window.use_at(now, self.bounds.window);
                (own, std::mem::take(&mut window.new_retries))
            });
            BudgetUse { service, own, new_retries }
        });
        uses.filter(|usage| usage.new_retries > 0).collect()
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
