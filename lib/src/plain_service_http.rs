//! Plain services over HTTP and JSON.

use crate::engine::UpstreamError;
use crate::engine_http::get;
use crate::engine_http::parse;
use crate::engine_http::post;
use crate::engine_http::to_upstream_error;
use crate::generated::engine::PlainReply;
use crate::generated::engine::PlainRequest;
use crate::http_client::HttpBounds;
use crate::http_client::HttpClient;
use crate::plain_service::PlainService;
use async_trait::async_trait;
use std::time::Duration;

/// Longest time for a call; callers bound it by the request's deadline as well.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time to ask whether the service takes calls.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

const CALL: HttpBounds = HttpBounds { timeout: CALL_TIMEOUT, max_body: MAX_ANSWER_BYTES };
const PROBE: HttpBounds = HttpBounds { timeout: PROBE_TIMEOUT, max_body: MAX_ANSWER_BYTES };

/// Client of all plain services.
#[derive(Debug, Clone, Default)]
pub struct HttpPlainService {
    client: HttpClient,
    /// Client of non-idempotent calls.
    single_use: HttpClient,
}

impl HttpPlainService {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self { client: HttpClient::new(), single_use: HttpClient::new().with_single_use() }
    }
}

#[async_trait]
impl PlainService for HttpPlainService {
    async fn call(&self, address: &str, req: &PlainRequest) -> Result<PlainReply, UpstreamError> {
        let call = post(address, "/v1/call".to_string(), req)?;
        let client = match req.idempotency_key {
            Some(_) => &self.single_use,
            None => &self.client,
        };
        parse(&client.call(call, CALL).await.map_err(to_upstream_error)?)
    }

    async fn takes_work(&self, address: &str) -> Result<bool, UpstreamError> {
        let call = get(address, "/v1/takes_work".to_string());
        parse(&self.client.call(call, PROBE).await.map_err(to_upstream_error)?)
    }
}
