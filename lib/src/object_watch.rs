//! Watch on the objects below a prefix that resumes after failures and after compaction.

use crate::generated::platform::ObjectChange;
use crate::generated::platform::VersionedObject;
use crate::ids::ObjectVersion;
use crate::store_client::CallClass;
use crate::store_client::StoreClient;
use crate::store_error::StoreError;
use std::time::Duration;

/// Update returned by a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchUpdate {
    /// All objects below the prefix at a revision; known objects that are missing were deleted.
    Snapshot {
        /// Revision of the store at the time of the list.
        revision: ObjectVersion,
        /// Objects in key order.
        objects: Vec<VersionedObject>,
    },
    /// Changes since the last update; empty when the wait passed without any.
    Changes(Vec<ObjectChange>),
}

/// Watch on the objects below a prefix that can be resumed after an error.
pub struct ObjectWatch {
    store: StoreClient,
    prefix: String,
    revision: Option<ObjectVersion>,
}

impl ObjectWatch {
    /// Returns a watch whose first update is a snapshot.
    pub fn new(store: StoreClient, prefix: &str) -> Self {
        Self { store, prefix: prefix.to_string(), revision: None }
    }

    /// Returns the revision up to which updates were returned.
    pub fn revision(&self) -> Option<ObjectVersion> {
        self.revision
    }

    /// Waits up to `wait` for the next update; after an error, call it again to resume.
    pub async fn next(&mut self, wait: Duration) -> Result<WatchUpdate, StoreError> {
        if let Some(after) = self.revision {
            let batch = self.store.watch(CallClass::Watch, &self.prefix, after, wait).await?;
            if !batch.compacted {
                self.revision = Some(batch.revision);
                return Ok(WatchUpdate::Changes(batch.changes));
            }
        }
        let list = self.store.list(CallClass::Watch, &self.prefix).await?;
        self.revision = Some(list.revision);
        Ok(WatchUpdate::Snapshot { revision: list.revision, objects: list.objects })
    }
}
