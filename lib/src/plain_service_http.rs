//! Client of plain services over HTTP and JSON.

use crate::engine::UpstreamError;
use crate::engine_http::get;
use crate::engine_http::parse;
use crate::engine_http::post;
use crate::engine_http::to_upstream_error;
use crate::generated::engine::PlainReply;
use crate::generated::engine::PlainRequest;
use crate::http_client::HttpClient;
use crate::http_client::HttpLimits;
use crate::plain_service::PlainService;
use async_trait::async_trait;
use std::time::Duration;

/// Timeout of a call; its caller also limits it by the deadline of the request.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of a query whether an instance takes calls.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

const CALL: HttpLimits = HttpLimits { timeout: CALL_TIMEOUT, max_body: MAX_RESPONSE_BYTES };
const PROBE: HttpLimits = HttpLimits { timeout: PROBE_TIMEOUT, max_body: MAX_RESPONSE_BYTES };

/// HTTP client of plain services.
#[derive(Debug, Clone, Default)]
pub struct HttpPlainService {
    client: HttpClient,
    /// Client of calls with an idempotency key. It opens a connection per call, as one that is
    /// closing or unresponsive would leave the outcome unknown.
    single_use: HttpClient,
}

impl HttpPlainService {
    /// Creates a client without open connections.
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
