//! Interface of a node to the model engine on an instance.

use crate::generated::engine::CacheEvent;
use crate::generated::engine::EngineStatus;
use crate::generated::engine::GenerateRequest;
use crate::generated::engine::Order;
use crate::generated::engine::OrderReply;
use crate::generated::engine::StreamRecord;
use crate::ids::AttemptId;
use async_trait::async_trait;
use futures_util::stream::BoxStream;
use std::time::Duration;

/// Errors of engines and plain services, classified by whether the request may have run.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum UpstreamError {
    /// No connection was made, so the request was not run.
    #[error("the upstream is unreachable: {reason}")]
    Unreachable {
        /// Description of the failure.
        reason: String,
    },
    /// The upstream refused the request and did not run it.
    #[error("the upstream refused: {reason}")]
    Refused {
        /// Reason that the upstream gave.
        reason: String,
    },
    /// The upstream refused the request, did not run it, and wants no requests of this node for a while.
    #[error("the upstream refused and asked for {retry_after:?}: {reason}")]
    Deferred {
        /// Reason that the upstream gave.
        reason: String,
        /// Time that it asked for.
        retry_after: Duration,
    },
    /// The connection was lost or timed out after the request was sent, which may have run.
    #[error("the upstream was interrupted: {reason}")]
    Interrupted {
        /// Description of the failure.
        reason: String,
    },
    /// The response violated the upstream's protocol; the request may have run.
    #[error("the upstream's response was malformed: {reason}")]
    Malformed {
        /// Description of the failure.
        reason: String,
    },
}

impl UpstreamError {
    /// Tells whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::Refused { .. } | Self::Deferred { .. } => false,
            Self::Interrupted { .. } | Self::Malformed { .. } => true,
        }
    }
}

/// Records of one attempt; an attempt that ends without an end record was interrupted.
pub type RecordStream = BoxStream<'static, Result<StreamRecord, UpstreamError>>;

/// A model engine, addressed by its instance's `ip:port`.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Reads the status report of an instance.
    async fn status(&self, address: &str) -> Result<EngineStatus, UpstreamError>;

    /// Sends an order to an instance.
    async fn order(&self, address: &str, order: &Order) -> Result<OrderReply, UpstreamError>;

    /// Starts a generation, or resumes one when `offset` is not zero.
    async fn generate(
        &self,
        address: &str,
        req: &GenerateRequest,
    ) -> Result<RecordStream, UpstreamError>;

    /// Cancels an attempt.
    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), UpstreamError>;

    /// Exports the cached state of a request; `None` when the engine no longer holds it.
    async fn export_kv(
        &self,
        address: &str,
        request: &str,
    ) -> Result<Option<Vec<u8>>, UpstreamError>;

    /// Imports the cached state of a request.
    async fn import_kv(
        &self,
        address: &str,
        request: &str,
        state: &[u8],
    ) -> Result<(), UpstreamError>;

    /// Reads the prefix cache's events after a sequence number.
    async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, UpstreamError>;
}
