//! Properties of a fake instance.

use std::time::Duration;

/// Properties of one fake engine or plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineOptions {
    /// Refuses orders that carry an old fencing number; otherwise it ignores the number.
    pub checks_fencing: bool,
    /// Time to load weights once the weight store has a place.
    pub load_time: Duration,
    /// Time to join a changed group with loaded weights.
    pub regroup_time: Duration,
    /// Time from the start of a request to its first token; a quarter of it on a cached prefix.
    pub prefill: Duration,
    /// Time between two tokens; zero generates as fast as the reader reads.
    pub token_interval: Duration,
    /// Tokens in one record.
    pub tokens_per_record: u32,
    /// Largest running batch.
    pub capacity: u32,
    /// Largest number of requests that wait for a place in the batch.
    pub queue_limit: u32,
    /// Period at which the reported load is sampled.
    pub load_lag: Duration,
    /// Prompt prefixes that the cache holds.
    pub cache_prefixes: usize,
    /// Time after which a cache event is published.
    pub cache_event_lag: Duration,
    /// Part of the cache events that are never published.
    pub cache_event_loss: f64,
    /// Time for which the state of an ended or broken-off request is held.
    pub hold_time: Duration,
    /// Time after an order to drain at which running streams end with `drained`.
    pub drain_grace: Option<Duration>,
    /// Time that a call of a plain service takes.
    pub plain_time: Duration,
    /// Part of the plain calls whose answer is lost after they ran.
    pub plain_lose_answers: f64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            checks_fencing: true,
            load_time: Duration::from_secs(2),
            regroup_time: Duration::from_millis(200),
            prefill: Duration::from_millis(50),
            token_interval: Duration::from_millis(10),
            tokens_per_record: 1,
            capacity: 16,
            queue_limit: 64,
            load_lag: Duration::from_millis(250),
            cache_prefixes: 64,
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss: 0.1,
            hold_time: Duration::from_secs(10),
            drain_grace: None,
            plain_time: Duration::from_millis(5),
            plain_lose_answers: 0.0,
        }
    }
}

impl EngineOptions {
    /// Returns options with every time at its default.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether old fencing numbers are refused.
    pub fn with_fencing(mut self, checks_fencing: bool) -> Self {
        self.checks_fencing = checks_fencing;
        self
    }

    /// Sets the time to load weights.
    pub fn with_load_time(mut self, load_time: Duration) -> Self {
        self.load_time = load_time;
        self
    }

    /// Sets the time to the first token and between tokens.
    pub fn with_pace(mut self, prefill: Duration, token_interval: Duration) -> Self {
        self.prefill = prefill;
        self.token_interval = token_interval;
        self
    }

    /// Sets the largest running batch.
    pub fn with_capacity(mut self, capacity: u32) -> Self {
        self.capacity = capacity;
        self
    }
}
