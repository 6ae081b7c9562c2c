//! Timing, limits and faults of a fake instance.

use std::time::Duration;

/// Timing, limits and faults of one fake engine or plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineOptions {
    /// Whether orders with an outdated fencing number are refused; otherwise the number is ignored.
    pub checks_fencing: bool,
    /// Time to load weights once the weight store has a free slot.
    pub load_time: Duration,
    /// Time to join a changed group when the weights are already loaded.
    pub regroup_time: Duration,
    /// Time from the start of a request to its first token; a quarter of it for a cached prefix.
    pub prefill: Duration,
    /// Time between two tokens; with zero, tokens are generated as fast as the reader consumes them.
    pub token_interval: Duration,
    /// Number of tokens in one record.
    pub tokens_per_record: u32,
    /// Maximum number of requests in the running batch.
    pub capacity: u32,
    /// Maximum number of requests that wait for a slot in the batch.
    pub queue_limit: u32,
    /// Period at which the reported load is sampled.
    pub load_lag: Duration,
    /// Number of prompt prefixes that the cache holds.
    pub cache_prefixes: usize,
    /// Delay before a cache event is published.
    pub cache_event_lag: Duration,
    /// Fraction of the cache events that are never published.
    pub cache_event_loss: f64,
    /// Time for which the state of a completed or interrupted request is retained.
    pub state_retention: Duration,
    /// Time from a drain order until running streams end with `drained`; `None` lets them complete.
    pub drain_grace: Option<Duration>,
    /// Duration of a call to a plain service.
    pub plain_time: Duration,
    /// Fraction of the plain calls whose response is lost after the call was executed.
    pub plain_lose_responses: f64,
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
            state_retention: Duration::from_secs(10),
            drain_grace: None,
            plain_time: Duration::from_millis(5),
            plain_lose_responses: 0.0,
        }
    }
}

impl EngineOptions {
    /// Returns the default options.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether orders with an outdated fencing number are refused.
    pub fn with_fencing(mut self, checks_fencing: bool) -> Self {
        self.checks_fencing = checks_fencing;
        self
    }

    /// Sets how long a weight load takes.
    pub fn with_load_time(mut self, load_time: Duration) -> Self {
        self.load_time = load_time;
        self
    }

    /// Sets the time to the first token and the time between tokens.
    pub fn with_token_times(mut self, prefill: Duration, token_interval: Duration) -> Self {
        self.prefill = prefill;
        self.token_interval = token_interval;
        self
    }

    /// Sets the maximum number of requests in the running batch.
    pub fn with_capacity(mut self, capacity: u32) -> Self {
        self.capacity = capacity;
        self
    }
}
