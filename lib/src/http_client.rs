//! A pooled HTTP client with limits on response size and time, whose errors tell whether a request
//! may have been sent.

use crate::ids::Address;
use crate::limited_body;
use crate::limited_body::BodyError;
use crate::metered_stream::MeteredStream;
use crate::metered_stream::ReadAllowance;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header::HeaderName;
use http::header::RETRY_AFTER;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tower_service::Service;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response head in bytes, and the most that is read at once.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 256;

/// Time after which the connection pool of an unused address is dropped.
const POOL_EXPIRY: Duration = Duration::from_secs(120);

/// Errors of HTTP requests, classified by whether the request may have been sent.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum HttpError {
    /// No connection could be established, so nothing was sent.
    #[error("connection failed: {reason}")]
    Connect {
        /// Description of the error and its causes.
        reason: String,
    },
    /// The request may have been sent, but no complete response was received.
    #[error("no complete response: {reason}")]
    IncompleteResponse {
        /// Description of the error and its causes.
        reason: String,
    },
    /// The response body exceeds its limit.
    #[error("the response body is larger than {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// No valid HTTP request could be built; nothing was sent.
    #[error("invalid request: {reason}")]
    Invalid {
        /// Description of the error and its causes.
        reason: String,
    },
}

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Time after which the server wants the next request, if it names one.
    pub retry_after: Option<Duration>,
    /// Complete response body.
    pub body: Bytes,
}

/// HTTP method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `GET`: reads a resource.
    Get,
    /// `POST`: submits a body.
    Post,
    /// `PUT`: writes a resource.
    Put,
    /// `DELETE`: removes a resource.
    Delete,
}

/// An HTTP request to one address.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Address as `ip:port`.
    pub address: Address,
    /// Path and query, percent-encoded.
    pub path: String,
    /// Headers other than `Content-Type`, which is always JSON.
    pub headers: Vec<(HeaderName, String)>,
    /// Request body; empty if there is none.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns a request without headers and body.
    pub fn new(method: Method, address: &str, path: String) -> Self {
        let address = address.to_string();
        Self { method, address, path, headers: vec![], body: Bytes::new() }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    pub fn with_header(mut self, name: HeaderName, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Timeout of the whole exchange, from connecting to the end of the response.
    pub timeout: Duration,
    /// Largest response body in bytes.
    pub max_body: usize,
}

/// Opens connections that limit what a server sends beside the data of its responses.
#[derive(Debug, Clone)]
struct MeteredConnector(HttpConnector);

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let connecting = self.0.call(to);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(MeteredStream::new(stream, ReadAllowance::new())))
        })
    }
}

/// Returns how many bytes the server may still send on the connection of a response.
pub(crate) fn read_allowance(response: &Response<Incoming>) -> ReadAllowance {
    response.extensions().get::<ReadAllowance>().cloned().unwrap_or_default()
}

#[derive(Debug)]
struct Pool {
    client: Client<MeteredConnector, Full<Bytes>>,
    last_used: Instant,
}

/// Pooled HTTP client; clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    pools: Arc<Mutex<HashMap<Address, Pool>>>,
    is_single_use: bool,
}

impl HttpClient {
    /// Returns a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the client use a new connection for each request.
    ///
    /// A pooled connection that no longer responds, or that the server is about to close, would leave
    /// it unknown whether the request was executed.
    pub fn with_single_use(mut self) -> Self {
        self.is_single_use = true;
        self
    }

    /// Sends a request and reads the complete response.
    ///
    /// If no complete response arrives, the idle connections to the address are dropped, because they
    /// may no longer respond either.
    pub async fn call(
        &self,
        call: HttpRequest,
        limits: HttpLimits,
    ) -> Result<HttpResponse, HttpError> {
        let address = call.address.clone();
        let exchange = async {
            let response = self.call_streaming(call).await?;
            let (status, retry_after) = (response.status(), retry_after(response.headers()));
            let body = read_body(response, limits.max_body).await?;
            Ok(HttpResponse { status, retry_after, body })
        };
        let reply = match tokio::time::timeout(limits.timeout, exchange).await {
            Ok(reply) => reply,
            Err(_) => {
                let reason = format!("no response within {:?}", limits.timeout);
                Err(HttpError::IncompleteResponse { reason })
            }
        };
        if matches!(reply, Err(HttpError::IncompleteResponse { .. })) {
            self.discard_idle_connections(&address);
        }
        reply
    }

    /// Sends a request and returns as soon as the head of the response has arrived.
    ///
    /// There is no timeout; the caller has to set one.
    ///
    /// Dropping the future before then drops the idle connections to the address.
    pub async fn call_streaming(&self, call: HttpRequest) -> Result<Response<Incoming>, HttpError> {
        let mut guard = DiscardIdleOnDrop::new(self.clone(), call.address.clone());
        let client = self.client(&call.address);
        let req = to_request(call)?;
        let response = client.request(req).await.map_err(classify);
        guard.disarm();
        response.inspect(|response| read_allowance(response).reset())
    }

    /// Drops the idle connections to an address, so that the next request opens a new one.
    pub fn discard_idle_connections(&self, address: &str) {
        self.lock().remove(address);
    }

    fn client(&self, address: &str) -> Client<MeteredConnector, Full<Bytes>> {
        let now = Instant::now();
        let mut pools = self.lock();
        if let Some(pool) = pools.get_mut(address) {
            pool.last_used = now;
            return pool.client.clone();
        }
        pools.retain(|_, pool| pool.last_used + POOL_EXPIRY > now);
        let max_idle = if self.is_single_use { 0 } else { MAX_IDLE_PER_ADDRESS };
        let client = new_client(max_idle);
        pools.insert(address.to_string(), Pool { client: client.clone(), last_used: now });
        client
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Address, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drops the idle connections to an address when it is dropped, unless it was disarmed because an
/// exchange on one of them completed.
#[derive(Debug)]
pub(crate) struct DiscardIdleOnDrop {
    client: HttpClient,
    address: Address,
    is_armed: bool,
}

impl DiscardIdleOnDrop {
    pub(crate) fn new(client: HttpClient, address: Address) -> Self {
        Self { client, address, is_armed: true }
    }

    pub(crate) fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for DiscardIdleOnDrop {
    fn drop(&mut self) {
        if self.is_armed {
            self.client.discard_idle_connections(&self.address);
        }
    }
}

/// Returns the seconds in a `Retry-After` header, whole or decimal; `None` if there is no positive number.
pub fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds = value.trim().parse::<f64>().ok().filter(|seconds| *seconds > 0.0)?;
    // A value that no duration holds is longer than any that is kept.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Percent-encodes a component of a path or query; `/` is left as it is.
pub fn encode_component(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a `String` never fails.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn new_client(max_idle: usize) -> Client<MeteredConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build(MeteredConnector(connector))
}

fn to_request(call: HttpRequest) -> Result<Request<Full<Bytes>>, HttpError> {
    let method = match call.method {
        Method::Get => http::Method::GET,
        Method::Post => http::Method::POST,
        Method::Put => http::Method::PUT,
        Method::Delete => http::Method::DELETE,
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{}{}", call.address, call.path))
        .header(http::header::CONTENT_TYPE, "application/json");
    for (name, value) in call.headers {
        builder = builder.header(name, value);
    }
    builder.body(Full::new(call.body)).map_err(|e| HttpError::Invalid { reason: e.to_string() })
}

fn classify(e: hyper_util::client::legacy::Error) -> HttpError {
    let reason = describe_chain(&e);
    if e.is_connect() {
        HttpError::Connect { reason }
    } else {
        HttpError::IncompleteResponse { reason }
    }
}

/// Joins an error and its chain of sources into one line.
fn describe_chain(e: &dyn std::error::Error) -> String {
    let mut reason = e.to_string();
    let mut cause = e.source();
    while let Some(inner) = cause {
        reason.push_str(": ");
        reason.push_str(&inner.to_string());
        cause = inner.source();
    }
    reason
}

async fn read_body(response: Response<Incoming>, limit: usize) -> Result<Bytes, HttpError> {
    let allowance = read_allowance(&response);
    let record_data = |len| allowance.record_data(len);
    let body = limited_body::read_with(response.into_body(), limit, record_data).await;
    body.map_err(|e| match e {
        BodyError::TooLarge { limit } => HttpError::TooLarge { limit },
        BodyError::Failed(e) => HttpError::IncompleteResponse { reason: describe_chain(&e) },
    })
}
