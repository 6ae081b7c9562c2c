//! Rate at which places at replicas become free.

use std::time::Duration;
use tokio::time::Instant;

/// Length of the window over which places are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Weight of a new window in the average.
const NEW_WEIGHT: f64 = 0.5;

/// Moving average of places that became free a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReleaseRate {
    since: Option<Instant>,
    count: u32,
    average: Option<f64>,
}

impl ReleaseRate {
    /// Counts a place that became free.
    pub fn release(&mut self, now: Instant) {
        self.count += 1;
        let since = *self.since.get_or_insert(now);
        let length = now.duration_since(since);
        if length >= WINDOW {
            let rate = f64::from(self.count) / length.as_secs_f64();
            let average = self.average.map_or(rate, |old| old + NEW_WEIGHT * (rate - old));
            *self = Self { since: Some(now), count: 0, average: Some(average) };
        }
    }

    /// Returns the average; `None` while less than a window has been seen.
    ///
    /// When nothing became free for longer than a window, the rate falls accordingly.
    pub fn per_second(&self, now: Instant) -> Option<f64> {
        let length = now.duration_since(self.since?);
        let average = self.average?;
        match length > 2 * WINDOW {
            true => Some(average.min((f64::from(self.count) + 1.0) / length.as_secs_f64())),
            false => Some(average),
        }
    }
}
