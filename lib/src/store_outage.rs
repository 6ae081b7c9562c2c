//! Outage detector of the store client: after repeated failures, calls fail immediately, and single
//! probes at growing intervals detect when the store has recovered.

use crate::clock::Clock;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Consecutive failures after which the store is considered unavailable.
const OUTAGE_THRESHOLD: u32 = 4;
/// First interval between probes.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Longest interval between probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// Decision of the detector about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The store is considered available.
    Normal,
    /// The store is considered unavailable; this call probes whether it has recovered.
    Probe,
    /// The store is considered unavailable and no probe is due; the call must fail immediately.
    Refused,
}

/// A change of the store's availability.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The outage began.
    Unavailable,
    /// The outage ended after this time.
    Recovered(Duration),
}

/// Outage detector whose clones share their state.
#[derive(Debug, Clone)]
pub struct OutageDetector {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    failures: u32,
    unavailable_since: Option<Duration>,
    next_probe: Duration,
    probe_interval: Duration,
    rng: StdRng,
}

impl OutageDetector {
    /// Returns a detector that considers the store available.
    pub fn new(clock: Clock, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let state = State {
            failures: 0,
            unavailable_since: None,
            next_probe: Duration::ZERO,
            probe_interval: MIN_PROBE_INTERVAL,
            rng,
        };
        Self { clock, state: Arc::new(Mutex::new(state)) }
    }

    /// Tells whether the store is considered available.
    pub fn is_available(&self) -> bool {
        self.lock().unavailable_since.is_none()
    }

    /// Decides whether a call may be made now.
    pub fn admit(&self) -> Admission {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.unavailable_since.is_none() {
            return Admission::Normal;
        }
        if now < state.next_probe {
            return Admission::Refused;
        }
        state.probe_interval = (state.probe_interval * 2).min(MAX_PROBE_INTERVAL);
        let probe_interval = state.probe_interval;
        state.next_probe = now + state.jittered(probe_interval);
        Admission::Probe
    }

    /// Records a call that the store answered.
    pub fn record_success(&self) -> Option<Transition> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.failures = 0;
        state.probe_interval = MIN_PROBE_INTERVAL;
        state.unavailable_since.take().map(|since| Transition::Recovered(now.saturating_sub(since)))
    }

    /// Records a call that failed or timed out.
    pub fn record_failure(&self) -> Option<Transition> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        if state.failures < OUTAGE_THRESHOLD || state.unavailable_since.is_some() {
            return None;
        }
        state.unavailable_since = Some(now);
        let probe_interval = state.probe_interval;
        state.next_probe = now + state.jittered(probe_interval);
        Some(Transition::Unavailable)
    }

    /// Returns the delay before the next attempt of a call, with jitter.
    pub fn retry_delay(&self, attempt: u32, base: Duration) -> Duration {
        let delay = base * 2u32.saturating_pow(attempt.min(6));
        self.lock().jittered(delay)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns a random duration between half of a delay and the full delay.
    fn jittered(&mut self, delay: Duration) -> Duration {
        delay.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}
