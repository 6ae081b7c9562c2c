//! The outage detector of the store client: after repeated failures calls fail at once, and single
//! probes with growing pauses find out when the store is back.

use crate::clock::Clock;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Failures in a row that make an outage.
const FAILURES_OF_OUTAGE: u32 = 4;
/// First pause between probes.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between probes.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(4);

/// What the detector decides for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The store is believed to be available.
    Normal,
    /// The store is believed to be away; this call finds out whether it still is.
    Probe,
    /// The store is believed to be away and another call probes; fail at once.
    Refused,
}

/// A change of the detector's belief.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The outage began.
    Away,
    /// The outage ended after this time.
    Back(Duration),
}

/// Shared outage detector.
#[derive(Debug, Clone)]
pub struct OutageDetector {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    failures: u32,
    away_since: Option<Duration>,
    next_probe: Duration,
    pause: Duration,
    rng: StdRng,
}

impl OutageDetector {
    /// Returns a detector that believes the store to be available.
    pub fn new(clock: Clock, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let state = State {
            failures: 0,
            away_since: None,
            next_probe: Duration::ZERO,
            pause: MIN_PROBE_PAUSE,
            rng,
        };
        Self { clock, state: Arc::new(Mutex::new(state)) }
    }

    /// Tells whether the store is believed to be available.
    pub fn is_available(&self) -> bool {
        self.lock().away_since.is_none()
    }

    /// Decides whether a call may be made now.
    pub fn admit(&self) -> Admission {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.away_since.is_none() {
            return Admission::Normal;
        }
        if now < state.next_probe {
            return Admission::Refused;
        }
        state.pause = (state.pause * 2).min(MAX_PROBE_PAUSE);
        let pause = state.pause;
        state.next_probe = now + state.jittered(pause);
        Admission::Probe
    }

    /// Takes note of an answer of the store.
    pub fn succeeded(&self) -> Option<Transition> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.failures = 0;
        state.pause = MIN_PROBE_PAUSE;
        state.away_since.take().map(|since| Transition::Back(now.saturating_sub(since)))
    }

    /// Takes note of a call without an answer.
    pub fn failed(&self) -> Option<Transition> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        if state.failures < FAILURES_OF_OUTAGE || state.away_since.is_some() {
            return None;
        }
        state.away_since = Some(now);
        let pause = state.pause;
        state.next_probe = now + state.jittered(pause);
        Some(Transition::Away)
    }

    /// Returns the pause before the next attempt of a call, with jitter.
    pub fn retry_pause(&self, attempt: u32, base: Duration) -> Duration {
        let pause = base * 2u32.saturating_pow(attempt.min(6));
        self.lock().jittered(pause)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns between half of a pause and the whole of it.
    fn jittered(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(self.rng.random_range(0.5..=1.0))
    }
}
