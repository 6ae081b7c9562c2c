//! Interfaces to the platform's object store and instance list, and their errors.

use crate::generated::platform::InstanceInfo;
use crate::generated::platform::ObjectList;
use crate::generated::platform::PutObject;
use crate::generated::platform::PutOutcome;
use crate::generated::platform::VersionedObject;
use crate::generated::platform::WatchBatch;
use crate::ids::ObjectVersion;
use async_trait::async_trait;
use std::time::Duration;

/// Largest object value in bytes.
pub const MAX_OBJECT_BYTES: usize = 1_000_000;

/// Errors of the platform's services.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PlatformError {
    /// The call is known to have had no effect.
    #[error("the platform did not apply the call: {reason}")]
    NotApplied {
        /// Description of the failure.
        reason: String,
    },
    /// The call may have taken effect; its response was lost.
    #[error("the platform's response was lost: {reason}")]
    ResponseLost {
        /// Description of the failure.
        reason: String,
    },
    /// The response violated the platform's protocol.
    #[error("the platform's response was malformed: {reason}")]
    Malformed {
        /// Description of the failure.
        reason: String,
    },
}

/// The platform's object API.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads one object; `None` when it does not exist.
    async fn get(&self, key: &str) -> Result<Option<VersionedObject>, PlatformError>;

    /// Lists the objects below a prefix.
    async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError>;

    /// Writes an object if it has the version that the write names.
    async fn put(&self, put: &PutObject) -> Result<PutOutcome, PlatformError>;

    /// Deletes an object if it has this version.
    async fn delete(
        &self,
        key: &str,
        if_version: ObjectVersion,
    ) -> Result<PutOutcome, PlatformError>;

    /// Waits up to `wait` for changes below a prefix after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, PlatformError>;
}

/// The platform's list of instances, which lags behind their actual state.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    async fn instances(&self) -> Result<Vec<InstanceInfo>, PlatformError>;
}
