//! The budget of repeated sends of a service, which all nodes share without a counter in common.
//!
//! Load pattern: many requests fail at once, since a replica or a data centre was lost, and every
//! node wants to send its own again. Each node spends the ratio of its own requests and an equal
//! part of the slack, so the sum over all nodes keeps within the service's budget.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the budget that is spent; the rest covers nodes that disagree about who is there.
const USABLE: f64 = 0.8;
/// Steps in which the window moves.
const STEPS: u32 = 20;

/// Bounds of the budget, set by the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeated sends as a part of the requests.
    pub ratio: f64,
    /// Repeated sends besides, over all nodes.
    pub slack: f64,
    /// Window in which both are counted.
    pub window: Duration,
}

/// Budgets of a node by service.
#[derive(Debug)]
pub struct RetryBudgets {
    bounds: RetryBounds,
    services: Mutex<HashMap<String, Window>>,
}

#[derive(Debug, Default)]
struct Window {
    steps: VecDeque<Step>,
}

#[derive(Debug)]
struct Step {
    start: Instant,
    requests: u32,
    repeats: u32,
}

impl RetryBudgets {
    /// Returns budgets from which nothing was spent.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, services: Mutex::default() }
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &str, now: Instant) {
        self.with_window(service, now, |window| window.current(now, self.step()).requests += 1);
    }

    /// Takes one repeated send and tells whether there was one, with `nodes` nodes that share.
    pub fn withdraw(&self, service: &str, nodes: usize, now: Instant) -> bool {
        self.with_window(service, now, |window| {
            let requests: u32 = window.steps.iter().map(|step| step.requests).sum();
            let repeats: u32 = window.steps.iter().map(|step| step.repeats).sum();
            let own_slack = self.bounds.slack / nodes.max(1) as f64;
            let budget = USABLE * (self.bounds.ratio * f64::from(requests) + own_slack);
            let has_left = f64::from(repeats) + 1.0 <= budget;
            if has_left {
                window.current(now, self.step()).repeats += 1;
            }
            has_left
        })
    }

    fn step(&self) -> Duration {
        self.bounds.window / STEPS
    }

    fn with_window<T>(
        &self,
        service: &str,
        now: Instant,
        use_window: impl FnOnce(&mut Window) -> T,
    ) -> T {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if !services.contains_key(service) {
            services.insert(service.to_string(), Window::default());
        }
        let mut unused = Window::default();
        let window = services.get_mut(service).unwrap_or(&mut unused);
        let length = self.bounds.window;
        while window.steps.front().is_some_and(|step| now - step.start >= length) {
            window.steps.pop_front();
        }
        use_window(window)
    }
}

impl Window {
    fn current(&mut self, now: Instant, length: Duration) -> &mut Step {
        let needs_step = self.steps.back().is_none_or(|step| now - step.start >= length);
        if needs_step {
            self.steps.push_back(Step { start: now, requests: 0, repeats: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
