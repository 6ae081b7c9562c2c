//! The platform edge: the object store and the instance list, and their errors.

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
    /// The call certainly had no effect.
    #[error("the platform did not take the call: {reason}")]
    NotTaken {
        /// What was seen.
        reason: String,
    },
    /// The call may have taken effect; its answer was lost.
    #[error("the platform's answer was lost: {reason}")]
    AnswerLost {
        /// What was seen.
        reason: String,
    },
    /// The platform answered something that its protocol does not allow.
    #[error("the platform's answer was malformed: {reason}")]
    Malformed {
        /// What was seen.
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

/// The platform's lagging list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the list.
    async fn instances(&self) -> Result<Vec<InstanceInfo>, PlatformError>;
}
