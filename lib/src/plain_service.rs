//! Interface to plain services, which are upstreams other than engines.

use crate::engine::UpstreamError;
use crate::generated::engine::PlainReply;
use crate::generated::engine::PlainRequest;
use async_trait::async_trait;

/// Client of plain services; `address` is the `ip:port` of an instance.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends a call to an instance and returns its reply.
    async fn call(&self, address: &str, req: &PlainRequest) -> Result<PlainReply, UpstreamError>;

    /// Returns whether an instance takes new calls; `false` while it is leaving.
    async fn takes_work(&self, address: &str) -> Result<bool, UpstreamError>;
}
