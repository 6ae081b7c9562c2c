//! A pooled HTTP client with bounded bodies, whose errors tell whether a call was sent.

use crate::ids::Address;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::HeaderName;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Unused connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 256;

/// Time after which the pool of an unused address is dropped.
const POOL_EXPIRY: Duration = Duration::from_secs(120);

/// Errors of HTTP calls, by what they say about the call.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum HttpError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {reason}")]
    Connect {
        /// What was seen.
        reason: String,
    },
    /// The call may have been sent and there is no whole answer.
    #[error("connection broken: {reason}")]
    Broken {
        /// What was seen.
        reason: String,
    },
    /// The answer is larger than its bound.
    #[error("the answer is larger than {limit} bytes")]
    TooLarge {
        /// The bound in bytes.
        limit: usize,
    },
    /// The call could not be put into an HTTP request; nothing was sent.
    #[error("not a valid request: {reason}")]
    Invalid {
        /// What was seen.
        reason: String,
    },
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpReply {
    /// Status.
    pub status: StatusCode,
    /// Body within the bound of the call.
    pub body: Bytes,
}

/// Method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Sends a body.
    Post,
    /// Writes a body.
    Put,
    /// Deletes.
    Delete,
}

/// One call.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Address as `ip:port`.
    pub address: Address,
    /// Path and query, percent-encoded.
    pub path: String,
    /// Headers besides the content type.
    pub headers: Vec<(HeaderName, String)>,
    /// Body, empty for none.
    pub body: Bytes,
}

impl HttpCall {
    /// Returns a call without headers and body.
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

/// Bounds of a call.
#[derive(Debug, Clone, Copy)]
pub struct HttpBounds {
    /// Longest time for the whole call.
    pub timeout: Duration,
    /// Largest body of the answer in bytes.
    pub max_body: usize,
}

#[derive(Debug)]
struct Pool {
    client: Client<HttpConnector, Full<Bytes>>,
    last_used: Instant,
}

/// The client; clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    pools: Arc<Mutex<HashMap<Address, Pool>>>,
    is_single_use: bool,
}

impl HttpClient {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes each call on a new connection, so that a connection which went silent or which the
    /// other side is just closing can't make the outcome of a call unclear.
    pub fn with_single_use(mut self) -> Self {
        self.is_single_use = true;
        self
    }

    /// Makes a call and reads its whole answer.
    ///
    /// A call that ends without an answer drops the unused connections to its address, because
    /// they may have gone silent as well.
    pub async fn call(&self, call: HttpCall, bounds: HttpBounds) -> Result<HttpReply, HttpError> {
        let address = call.address.clone();
        let reading = async {
            let response = self.open(call).await?;
            let status = response.status();
            let body = read_body(response.into_body(), bounds.max_body).await?;
            Ok(HttpReply { status, body })
        };
        let reply = match tokio::time::timeout(bounds.timeout, reading).await {
            Ok(reply) => reply,
            Err(_) => {
                let reason = format!("no answer within {:?}", bounds.timeout);
                Err(HttpError::Broken { reason })
            }
        };
        if matches!(reply, Err(HttpError::Broken { .. })) {
            self.retire(&address);
        }
        reply
    }

    /// Makes a call and returns once the head of its answer is there; the caller bounds the time.
    ///
    /// A caller that gives up waiting drops the unused connections to the address.
    pub async fn open(&self, call: HttpCall) -> Result<Response<Incoming>, HttpError> {
        let mut guard = RetireOnDrop::new(self.clone(), call.address.clone());
        let client = self.client(&call.address);
        let req = to_request(call)?;
        let response = client.request(req).await.map_err(classify);
        guard.disarm();
        response
    }

    /// Drops the unused connections to an address, so that the next call makes a new one.
    pub fn retire(&self, address: &str) {
        self.lock().remove(address);
    }

    fn client(&self, address: &str) -> Client<HttpConnector, Full<Bytes>> {
        let now = Instant::now();
        let mut pools = self.lock();
        if let Some(pool) = pools.get_mut(address) {
            pool.last_used = now;
            return pool.client.clone();
        }
        pools.retain(|_, pool| pool.last_used + POOL_EXPIRY > now);
        let idle = if self.is_single_use { 0 } else { MAX_IDLE_PER_ADDRESS };
        let client = new_client(idle);
        pools.insert(address.to_string(), Pool { client: client.clone(), last_used: now });
        client
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Address, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drops the unused connections to an address unless the work on one of them ended well.
#[derive(Debug)]
pub(crate) struct RetireOnDrop {
    client: HttpClient,
    address: Address,
    is_armed: bool,
}

impl RetireOnDrop {
    pub(crate) fn new(client: HttpClient, address: Address) -> Self {
        Self { client, address, is_armed: true }
    }

    pub(crate) fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for RetireOnDrop {
    fn drop(&mut self) {
        if self.is_armed {
            self.client.retire(&self.address);
        }
    }
}

/// Percent-encodes a part of a path or query.
pub fn encode_component(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn new_client(max_idle: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build(connector)
}

fn to_request(call: HttpCall) -> Result<Request<Full<Bytes>>, HttpError> {
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
    let reason = describe(&e);
    if e.is_connect() { HttpError::Connect { reason } } else { HttpError::Broken { reason } }
}

/// Joins an error with its causes into one line.
fn describe(e: &dyn std::error::Error) -> String {
    let mut reason = e.to_string();
    let mut cause = e.source();
    while let Some(inner) = cause {
        reason.push_str(": ");
        reason.push_str(&inner.to_string());
        cause = inner.source();
    }
    reason
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, HttpError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(HttpError::TooLarge { limit }),
        Err(e) => Err(HttpError::Broken { reason: describe(&*e) }),
    }
}
