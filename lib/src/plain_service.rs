//! The edge to plain services beside the engines.

use crate::engine::UpstreamError;
use crate::generated::engine::PlainReply;
use crate::generated::engine::PlainRequest;
use async_trait::async_trait;

/// A plain service, addressed by its instance's `ip:port`.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Calls the service.
    async fn call(&self, address: &str, req: &PlainRequest) -> Result<PlainReply, UpstreamError>;

    /// Tells whether the service takes new calls; `false` when it is leaving.
    async fn takes_work(&self, address: &str) -> Result<bool, UpstreamError>;
}
