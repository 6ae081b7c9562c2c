//! Time sources of a node: a monotonic clock for leases and timeouts, and the wall clock.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::time::Instant;

/// Monotonic clock and wall clock, shared by all components of a node.
///
/// `now` is monotonic and includes time during which the process or the instance was suspended, so a
/// lease that expired during a suspension is seen as expired. `unix` is wall-clock time and may jump.
#[derive(Debug, Clone)]
pub struct Clock {
    source: Source,
}

#[derive(Debug, Clone)]
enum Source {
    System,
    Manual { origin: Instant, advanced_ms: Arc<AtomicU64>, unix_base: Duration },
}

impl Clock {
    /// Returns a clock that reads the system time of the instance.
    pub fn new() -> Self {
        Self { source: Source::System }
    }

    /// Returns a clock for tests that follows tokio's time, which can be paused, and whose wall clock
    /// starts at `unix_base`.
    pub fn with_tokio_time(unix_base: Duration) -> Self {
        let advanced_ms = Arc::new(AtomicU64::new(0));
        Self { source: Source::Manual { origin: Instant::now(), advanced_ms, unix_base } }
    }

    /// Returns the monotonic time since an arbitrary fixed point, including suspended time.
    pub fn now(&self) -> Duration {
        match &self.source {
            Source::System => {
                let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
                Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
            }
            Source::Manual { origin, advanced_ms, .. } => {
                origin.elapsed() + Duration::from_millis(advanced_ms.load(Ordering::Relaxed))
            }
        }
    }

    /// Returns the time since the Unix epoch.
    pub fn unix(&self) -> Duration {
        match &self.source {
            Source::System => SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            Source::Manual { unix_base, .. } => *unix_base + self.now(),
        }
    }

    /// Advances a manual clock to simulate a suspension; has no effect on the system clock.
    pub fn advance(&self, by: Duration) {
        if let Source::Manual { advanced_ms, .. } = &self.source {
            advanced_ms.fetch_add(by.as_millis() as u64, Ordering::Relaxed);
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
