//! Instances that refused a request and asked this node for time.

use crate::rate_limits::RunHash;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for which an instance gets no requests at its word. Longer ones are cut to it, so that an
/// instance whose answer is wrong is not lost for good.
pub const MAX_DEFERRAL: Duration = Duration::from_secs(3600);

/// Shared table of the times until which instances want no requests of this node.
#[derive(Debug, Clone, Default)]
pub struct InstanceDeferrals {
    until: Arc<Mutex<HashMap<RunHash, Instant>>>,
}

impl InstanceDeferrals {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run of an instance wants no requests for `time`, without an end of what it asked for
    /// before; returns true if it wanted some until now.
    pub fn record(&self, run: RunHash, time: Duration, now: Instant) -> bool {
        let mut until = self.lock();
        until.retain(|_, until| *until > now);
        let end = now + time.min(MAX_DEFERRAL);
        match until.get_mut(&run) {
            Some(until) => {
                *until = end.max(*until);
                false
            }
            None => until.insert(run, end).is_none(),
        }
    }

    /// Returns the time after which a run of an instance may get a request; `None` if it may now.
    pub fn wait(&self, run: RunHash, now: Instant) -> Option<Duration> {
        self.lock()
            .get(&run)
            .map(|until| until.saturating_duration_since(now))
            .filter(|w| !w.is_zero())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RunHash, Instant>> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
