//! HTTP client of model engines: JSON calls and streams with one JSON record per line.

use crate::engine::Engine;
use crate::engine::RecordStream;
use crate::engine::UpstreamError;
use crate::generated::engine::CacheEvent;
use crate::generated::engine::EngineStatus;
use crate::generated::engine::GenerateRequest;
use crate::generated::engine::Order;
use crate::generated::engine::OrderReply;
use crate::http_client;
use crate::http_client::DiscardIdleOnDrop;
use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::http_client::HttpLimits;
use crate::http_client::HttpRequest;
use crate::http_client::HttpResponse;
use crate::http_client::Method;
use crate::http_client::encode_component;
use crate::ids::AttemptId;
use crate::record_stream;
use async_trait::async_trait;
use bytes::Bytes;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Timeout of a call that an engine answers immediately.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of an order; callers apply the order timeout of the upstream kind as well.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest response of a call in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Largest exported state of a request in bytes.
const MAX_KV_BYTES: usize = 64 << 20;

/// Longest part of an error response that is included in an error, in bytes.
const MAX_REASON_BYTES: usize = 400;

const CALL: HttpLimits = HttpLimits { timeout: CALL_TIMEOUT, max_body: MAX_RESPONSE_BYTES };
const ORDER: HttpLimits = HttpLimits { timeout: ORDER_TIMEOUT, max_body: MAX_RESPONSE_BYTES };
const KV: HttpLimits = HttpLimits { timeout: ORDER_TIMEOUT, max_body: MAX_KV_BYTES };

/// Client of all engines, with a shared connection pool.
#[derive(Debug, Clone, Default)]
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self { client: HttpClient::new() }
    }

    async fn call(
        &self,
        call: HttpRequest,
        limits: HttpLimits,
    ) -> Result<HttpResponse, UpstreamError> {
        self.client.call(call, limits).await.map_err(to_upstream_error)
    }
}

/// Classifies an HTTP error by whether the call may have run.
pub(crate) fn to_upstream_error(e: HttpError) -> UpstreamError {
    let reason = e.to_string();
    match e {
        HttpError::Connect { .. } => UpstreamError::Unreachable { reason },
        HttpError::Invalid { .. } => UpstreamError::Refused { reason },
        HttpError::IncompleteResponse { .. } => UpstreamError::Interrupted { reason },
        HttpError::TooLarge { .. } => UpstreamError::Malformed { reason },
    }
}

/// Classifies a status other than success by whether the call may have run.
pub(crate) fn to_status_error(
    status: StatusCode,
    retry_after: Option<Duration>,
    body: &[u8],
) -> UpstreamError {
    let text = String::from_utf8_lossy(&body[..body.len().min(MAX_REASON_BYTES)]);
    let reason = format!("{status}: {text}");
    if let Some(retry_after) = retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
        return UpstreamError::Deferred { reason, retry_after };
    }
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return UpstreamError::Refused { reason };
    }
    if status.is_server_error() {
        return UpstreamError::Interrupted { reason };
    }
    UpstreamError::Malformed { reason }
}

/// Parses the body of a successful response.
pub(crate) fn parse<T: DeserializeOwned>(reply: &HttpResponse) -> Result<T, UpstreamError> {
    if reply.status != StatusCode::OK {
        return Err(to_status_error(reply.status, reply.retry_after, &reply.body));
    }
    serde_json::from_slice(&reply.body)
        .map_err(|e| UpstreamError::Malformed { reason: e.to_string() })
}

/// Builds a GET call.
pub(crate) fn get(address: &str, path: String) -> HttpRequest {
    HttpRequest::new(Method::Get, address, path)
}

/// Builds a POST call with a value as its JSON body.
pub(crate) fn post(
    address: &str,
    path: String,
    value: &impl Serialize,
) -> Result<HttpRequest, UpstreamError> {
    let body =
        serde_json::to_vec(value).map_err(|e| UpstreamError::Refused { reason: e.to_string() })?;
    Ok(HttpRequest::new(Method::Post, address, path).with_body(body))
}

#[async_trait]
impl Engine for HttpEngine {
    async fn status(&self, address: &str) -> Result<EngineStatus, UpstreamError> {
        parse(&self.call(get(address, "/v1/status".to_string()), CALL).await?)
    }

    async fn order(&self, address: &str, order: &Order) -> Result<OrderReply, UpstreamError> {
        parse(&self.call(post(address, "/v1/orders".to_string(), order)?, ORDER).await?)
    }

    async fn generate(
        &self,
        address: &str,
        req: &GenerateRequest,
    ) -> Result<RecordStream, UpstreamError> {
        let call = post(address, "/v1/generate".to_string(), req)?;
        let response = self.client.call_streaming(call).await.map_err(to_upstream_error)?;
        if response.status() != StatusCode::OK {
            let status = response.status();
            let retry_after = http_client::retry_after(response.headers());
            let body = record_stream::read_refusal(response.into_body()).await;
            return Err(to_status_error(status, retry_after, &body));
        }
        let guard = DiscardIdleOnDrop::new(self.client.clone(), address.to_string());
        Ok(record_stream::new(response, guard))
    }

    async fn cancel(&self, address: &str, attempt: AttemptId) -> Result<(), UpstreamError> {
        let call = post(address, format!("/v1/attempts/{attempt}/cancel"), &())?;
        parse(&self.call(call, CALL).await?)
    }

    async fn export_kv(
        &self,
        address: &str,
        request: &str,
    ) -> Result<Option<Vec<u8>>, UpstreamError> {
        let path = format!("/v1/kv?request={}", encode_component(request));
        let reply = self.call(get(address, path), KV).await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(reply.body.to_vec())),
            status => Err(to_status_error(status, reply.retry_after, &reply.body)),
        }
    }

    async fn import_kv(
        &self,
        address: &str,
        request: &str,
        state: &[u8],
    ) -> Result<(), UpstreamError> {
        let path = format!("/v1/kv?request={}", encode_component(request));
        let body = Bytes::copy_from_slice(state);
        let call = HttpRequest::new(Method::Put, address, path).with_body(body);
        parse(&self.call(call, KV).await?)
    }

    async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, UpstreamError> {
        let path = format!("/v1/cache_events?after={after}");
        parse(&self.call(get(address, path), CALL).await?)
    }
}
