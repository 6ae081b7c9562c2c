//! Metrics: sent to statsd if configured, and also aggregated in the process for reports.

use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Prefix of all metric names sent to statsd.
const PREFIX: &str = "guavaladder";

/// Handle to the metrics of a node; clones share the values.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<BTreeMap<&'static str, i64>>>,
}

impl Metrics {
    /// Returns metrics that are only aggregated in the process.
    pub fn new() -> Self {
        Self::with_client(StatsdClient::from_sink(PREFIX, NopMetricSink))
    }

    /// Returns metrics that are also sent to statsd by `client`.
    pub fn with_client(client: StatsdClient) -> Self {
        Self { client: Arc::new(client), totals: Arc::default() }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &'static str, n: i64) {
        *self.lock().entry(name).or_default() += n;
        let _ = self.client.count(name, n);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.lock().insert(name, value as i64);
        let _ = self.client.gauge(name, value);
    }

    /// Sends a duration to statsd; it is not aggregated.
    pub fn time(&self, name: &'static str, value: Duration) {
        let _ = self.client.time(name, value);
    }

    /// Returns a counter's total or a gauge's last value; 0 if it was never set.
    pub fn value(&self, name: &str) -> i64 {
        self.lock().get(name).copied().unwrap_or(0)
    }

    /// Returns all counter totals and gauge values by name.
    pub fn values(&self) -> BTreeMap<String, i64> {
        self.lock().iter().map(|(name, value)| (name.to_string(), *value)).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<&'static str, i64>> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
