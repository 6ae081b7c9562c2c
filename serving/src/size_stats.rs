//! Sizes of the requests of one kind, and how often large ones are served.

use crate::admission_stats::ServedCount;
use std::time::Duration;
use tokio::time::Instant;

/// Weight of a new request in the mean.
const NEWEST_WEIGHT: f64 = 0.02;
/// Requests until which the mean is that of all.
const MIN_REQUESTS: f64 = 1.0 / NEWEST_WEIGHT;
/// Step by which the estimate of a quantile moves, relative to the mean.
const QUANTILE_STEP: f64 = 0.05;
/// Fractions of the requests that are smaller than those of the two upper bands.
const BANDS: [f64; 2] = [0.7, 0.9];

/// Sizes of requests of one kind.
#[derive(Debug)]
pub struct SizeStats {
    mean: f64,
    requests: f64,
    /// Sizes at which the upper bands begin.
    bounds: [f64; 2],
    all: ServedCount,
    bands: [ServedCount; 3],
}

impl SizeStats {
    /// Returns the measurements without any requests.
    pub fn new(period: Duration, now: Instant) -> Self {
        let count = ServedCount::new(period, now);
        Self { mean: 0.0, requests: 0.0, bounds: [0.0; 2], all: count, bands: [count; 3] }
    }

    /// Records a request.
    pub fn record(&mut self, size: f64, is_served: bool, now: Instant) {
        self.all.record(is_served, now);
        self.bands[self.band(size)].record(is_served, now);
        self.requests = (self.requests + 1.0).min(MIN_REQUESTS);
        self.mean += (size - self.mean) / self.requests;
        for (bound, fraction) in self.bounds.iter_mut().zip(BANDS) {
            let below = if size < *bound { 1.0 } else { 0.0 };
            *bound = (*bound + (fraction - below) * QUANTILE_STEP * self.mean).max(0.0);
        }
    }

    /// Returns a size relative to the mean; 1 if the mean is not known.
    pub fn relative(&self, size: f64) -> f64 {
        if self.mean > 0.0 { size / self.mean } else { 1.0 }
    }

    /// Returns how often requests of about this size are served, relative to the kind; 1 if it is not known.
    pub fn served_ratio(&self, size: f64, now: Instant) -> f64 {
        let fractions = self.bands[self.band(size)].fraction(now).zip(self.all.fraction(now));
        fractions.map_or(1.0, |(band, all)| band / all.max(0.01))
    }

    fn band(&self, size: f64) -> usize {
        self.bounds.iter().filter(|bound| size >= **bound).count()
    }
}
