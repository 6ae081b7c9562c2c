//! A newer configuration that another node has and the store does not.
//!
//! A store that has returned from an older copy lacks the newest configuration until the operators write it
//! again. Nodes keep the one that is in force. A node that starts in the meantime finds only the older one in
//! the store, and knows from heartbeats that there is a newer one, but not what that contains.

use crate::fleet_config::ConfigVersion;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time for which a node waits for a newer configuration. After that it uses the one that it has.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Handle to the configuration that a node waits for.
#[derive(Debug, Clone, Default)]
pub struct AwaitedConfig {
    awaited: Arc<Mutex<Option<(ConfigVersion, Instant)>>>,
}

impl AwaitedConfig {
    /// Creates the state of a node that waits for none.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that another node has a version while the store holds an older one. Returns true if it is the
    /// first time for this version or a later one.
    pub fn record(&self, version: ConfigVersion, now: Instant) -> bool {
        let mut awaited = self.lock();
        let is_new = awaited.is_none_or(|(known, _)| version > known);
        if is_new {
            *awaited = Some((version, now));
        }
        is_new
    }

    /// Returns whether a node that has version `current` still waits for a newer one.
    pub fn is_awaited(&self, current: ConfigVersion, now: Instant) -> bool {
        self.lock().is_some_and(|(version, since)| current < version && now - since < MAX_WAIT)
    }

    fn lock(&self) -> MutexGuard<'_, Option<(ConfigVersion, Instant)>> {
        self.awaited.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
