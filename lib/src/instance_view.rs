//! The node's view of the platform's instance list.

use crate::generated::platform::InstanceInfo;
use std::sync::Arc;
use tokio::sync::watch;

/// Shared view of the instance list, which lags behind the platform.
#[derive(Debug, Clone)]
pub struct InstanceView {
    tx: Arc<watch::Sender<Arc<Vec<InstanceInfo>>>>,
}

impl InstanceView {
    /// Returns an empty view.
    pub fn new() -> Self {
        let (tx, _) = watch::channel(Arc::default());
        Self { tx: Arc::new(tx) }
    }

    /// Replaces the list; subscribers are notified only when it differs.
    pub fn replace(&self, instances: Vec<InstanceInfo>) {
        self.tx.send_if_modified(|current| {
            let differs = **current != instances;
            if differs {
                *current = Arc::new(instances);
            }
            differs
        });
    }

    /// Returns the current list.
    pub fn get(&self) -> Arc<Vec<InstanceInfo>> {
        self.tx.borrow().clone()
    }

    /// Returns a receiver that is notified when the list changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Vec<InstanceInfo>>> {
        self.tx.subscribe()
    }
}

impl Default for InstanceView {
    fn default() -> Self {
        Self::new()
    }
}
