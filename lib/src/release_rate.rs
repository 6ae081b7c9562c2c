//! Rate at which slots at replicas are released.

use std::time::Duration;
use tokio::time::Instant;

/// Minimum length of the window over which releases are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Weight of the latest window in the moving average.
const NEW_WEIGHT: f64 = 0.5;

/// Exponential moving average of slots released per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReleaseRate {
    window_start: Option<Instant>,
    count: u32,
    average: Option<f64>,
}

impl ReleaseRate {
    /// Counts a released slot.
    pub fn record_release(&mut self, now: Instant) {
        self.count += 1;
        let window_start = *self.window_start.get_or_insert(now);
        let length = now.duration_since(window_start);
        if length >= WINDOW {
            let rate = f64::from(self.count) / length.as_secs_f64();
            let average = self.average.map_or(rate, |old| old + NEW_WEIGHT * (rate - old));
            *self = Self { window_start: Some(now), count: 0, average: Some(average) };
        }
    }

    /// Returns the moving average, or `None` before the first window is complete.
    ///
    /// Once the current window is longer than twice `WINDOW`, the result is at most the rate in it,
    /// so that it falls while no slot is released.
    pub fn per_second(&self, now: Instant) -> Option<f64> {
        let length = now.duration_since(self.window_start?);
        let average = self.average?;
        match length > 2 * WINDOW {
            true => Some(average.min((f64::from(self.count) + 1.0) / length.as_secs_f64())),
            false => Some(average),
        }
    }
}
