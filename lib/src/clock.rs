//! The clock edge: one clock for leases and time-outs, and one for the calendar.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::time::Instant;

/// Source of time for all parts of a node.
///
/// `now` never goes back and counts time in which the process or the instance was suspended, so a
/// lease that lapsed meanwhile is seen as lapsed. `unix` may jump.
#[derive(Debug, Clone)]
pub struct Clock {
    source: Source,
}

#[derive(Debug, Clone)]
enum Source {
    System,
    Manual { origin: Instant, jump_ms: Arc<AtomicU64>, unix_base: Duration },
}

impl Clock {
    /// Returns the clock of the instance.
    pub fn new() -> Self {
        Self { source: Source::System }
    }

    /// Returns a clock that follows tokio's time, which tests may pause, from a fixed calendar time.
    pub fn with_tokio_time(unix_base: Duration) -> Self {
        let jump_ms = Arc::new(AtomicU64::new(0));
        Self { source: Source::Manual { origin: Instant::now(), jump_ms, unix_base } }
    }

    /// Returns the time since a fixed point in the past, including suspended time.
    pub fn now(&self) -> Duration {
        match &self.source {
            Source::System => {
                let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
                Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
            }
            Source::Manual { origin, jump_ms, .. } => {
                origin.elapsed() + Duration::from_millis(jump_ms.load(Ordering::Relaxed))
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

    /// Moves a manual clock forward, as a suspension does; the system clock ignores it.
    pub fn jump(&self, by: Duration) {
        if let Source::Manual { jump_ms, .. } = &self.source {
            jump_ms.fetch_add(by.as_millis() as u64, Ordering::Relaxed);
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
