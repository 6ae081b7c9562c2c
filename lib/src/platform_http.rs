//! HTTP client of the platform's object store and instance list.

use crate::generated::platform::InstanceInfo;
use crate::generated::platform::ObjectList;
use crate::generated::platform::PutObject;
use crate::generated::platform::PutOutcome;
use crate::generated::platform::VersionedObject;
use crate::generated::platform::WatchBatch;
use crate::http_client::HttpClient;
use crate::http_client::HttpError;
use crate::http_client::HttpLimits;
use crate::http_client::HttpRequest;
use crate::http_client::HttpResponse;
use crate::http_client::Method;
use crate::http_client::encode_component;
use crate::ids::Address;
use crate::ids::ObjectVersion;
use crate::platform::InstanceList;
use crate::platform::ObjectStore;
use crate::platform::PlatformError;
use async_trait::async_trait;
use bytes::Bytes;
use http::StatusCode;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Timeout of a call, in addition to a watch's own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest response in bytes; large because a list may hold many objects.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the platform.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: HttpClient,
    address: Address,
}

/// Whether a call without a response may have had an effect.
#[derive(Debug, Clone, Copy)]
enum Effect {
    Read,
    Write,
}

impl HttpPlatform {
    /// Returns a client of the platform at `ip:port`.
    pub fn new(address: Address) -> Self {
        Self { client: HttpClient::new(), address }
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, PlatformError> {
        let effect = match method {
            Method::Get => Effect::Read,
            Method::Post | Method::Put | Method::Delete => Effect::Write,
        };
        let call = HttpRequest::new(method, &self.address, path).with_body(body);
        let limits = HttpLimits { timeout, max_body: MAX_RESPONSE_BYTES };
        self.client.call(call, limits).await.map_err(|e| to_platform_error(e, effect))
    }

    async fn get(&self, path: String, timeout: Duration) -> Result<HttpResponse, PlatformError> {
        self.call(Method::Get, path, Bytes::new(), timeout).await
    }
}

fn to_platform_error(e: HttpError, effect: Effect) -> PlatformError {
    let reason = e.to_string();
    match (e, effect) {
        (HttpError::Connect { .. } | HttpError::Invalid { .. }, _) => {
            PlatformError::NotApplied { reason }
        }
        (HttpError::IncompleteResponse { .. }, Effect::Read) => {
            PlatformError::NotApplied { reason }
        }
        (HttpError::IncompleteResponse { .. }, Effect::Write) => {
            PlatformError::ResponseLost { reason }
        }
        (HttpError::TooLarge { .. }, _) => PlatformError::Malformed { reason },
    }
}

fn parse<T: DeserializeOwned>(reply: &HttpResponse) -> Result<T, PlatformError> {
    match reply.status {
        StatusCode::OK => serde_json::from_slice(&reply.body)
            .map_err(|e| PlatformError::Malformed { reason: e.to_string() }),
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::PAYLOAD_TOO_LARGE => {
            Err(PlatformError::NotApplied { reason: reply.status.to_string() })
        }
        status => Err(PlatformError::Malformed { reason: format!("status {status}") }),
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<VersionedObject>, PlatformError> {
        let path = format!("/v1/object?key={}", encode_component(key));
        let reply = self.get(path, CALL_TIMEOUT).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        parse(&reply).map(Some)
    }

    async fn list(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let path = format!("/v1/objects?prefix={}", encode_component(prefix));
        parse(&self.get(path, CALL_TIMEOUT).await?)
    }

    async fn put(&self, put: &PutObject) -> Result<PutOutcome, PlatformError> {
        let body = serde_json::to_vec(put)
            .map_err(|e| PlatformError::NotApplied { reason: e.to_string() })?;
        let path = "/v1/object".to_string();
        parse(&self.call(Method::Put, path, body.into(), CALL_TIMEOUT).await?)
    }

    async fn delete(
        &self,
        key: &str,
        if_version: ObjectVersion,
    ) -> Result<PutOutcome, PlatformError> {
        let path = format!("/v1/object?key={}&if_version={if_version}", encode_component(key));
        parse(&self.call(Method::Delete, path, Bytes::new(), CALL_TIMEOUT).await?)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchBatch, PlatformError> {
        let prefix = encode_component(prefix);
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        parse(&self.get(path, wait + CALL_TIMEOUT).await?)
    }
}

#[async_trait]
impl InstanceList for HttpPlatform {
    async fn instances(&self) -> Result<Vec<InstanceInfo>, PlatformError> {
        parse(&self.get("/v1/instances".to_string(), CALL_TIMEOUT).await?)
    }
}
