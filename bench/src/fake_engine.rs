//! Serves the engine API of one fake instance over HTTP.

use crate::fake_server::Handler;
use crate::fake_server::HandlerResult;
use crate::fake_server::ResponseBody;
use crate::fake_server::abort_connection;
use crate::fake_server::json_response;
use crate::fake_server::query;
use crate::fake_server::query_number;
use crate::fake_server::read_body;
use crate::fake_server::response;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::StreamExt;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::engine::RecordStream;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::Order;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_testutils::fake_instances::FakeInstances;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Serialize;
use std::io;
use std::sync::Arc;
use std::sync::OnceLock;

/// Returns the handler of requests to the engine at `address`, which may be set later.
///
/// Until then, requests are answered with status 503.
pub fn request_handler(fake_instances: FakeInstances, address: Arc<OnceLock<String>>) -> Handler {
    Arc::new(move |req| handle(fake_instances.clone(), address.clone(), req).boxed())
}

async fn handle(
    fake_instances: FakeInstances,
    address: Arc<OnceLock<String>>,
    req: Request<Incoming>,
) -> HandlerResult {
    let Some(address) = address.get() else { return response(503, Bytes::new()) };
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/generate") => generate(fake_instances, address, req).await,
        (&Method::GET, "/v1/status") => to_response(fake_instances.status(address).await),
        (&Method::POST, "/v1/orders") => order(fake_instances, address, req).await,
        (&Method::GET, "/v1/cache_events") => {
            to_response(fake_instances.cache_events(address, query_number(&req, "after")).await)
        }
        (&Method::GET, "/v1/kv") => {
            let request = query(&req, "request").unwrap_or_default();
            match fake_instances.export_kv(address, &request).await {
                Ok(Some(state)) => response(200, state.into()),
                Ok(None) => response(404, Bytes::new()),
                Err(e) => error_response(e),
            }
        }
        (&Method::PUT, "/v1/kv") => {
            let request = query(&req, "request").unwrap_or_default();
            let state = read_body(req).await?;
            to_response(fake_instances.import_kv(address, &request, &state).await)
        }
        (&Method::POST, path) => match parse_cancel_path(path) {
            Some(attempt) => to_response(fake_instances.cancel(address, attempt).await),
            None => response(404, Bytes::new()),
        },
        _ => response(404, Bytes::new()),
    }
}

fn parse_cancel_path(path: &str) -> Option<u64> {
    path.strip_prefix("/v1/attempts/")?.strip_suffix("/cancel")?.parse().ok()
}

async fn order(
    fake_instances: FakeInstances,
    address: &str,
    req: Request<Incoming>,
) -> HandlerResult {
    let body = read_body(req).await?;
    match serde_json::from_slice::<Order>(&body) {
        Ok(order) => to_response(fake_instances.order(address, &order).await),
        Err(e) => response(400, e.to_string().into()),
    }
}

async fn generate(
    fake_instances: FakeInstances,
    address: &str,
    req: Request<Incoming>,
) -> HandlerResult {
    let body = read_body(req).await?;
    let req = match serde_json::from_slice::<GenerateRequest>(&body) {
        Ok(req) => req,
        Err(e) => return response(400, e.to_string().into()),
    };
    match fake_instances.generate(address, &req).await {
        Ok(records) => Response::builder().body(to_body(records)).map_err(io::Error::other),
        Err(e) => error_response(e),
    }
}

/// Converts each record to a line of the body; an error aborts the connection.
fn to_body(records: RecordStream) -> ResponseBody {
    let frames = records.map(|record| match record {
        Ok(record) => to_line(&record).map(Frame::data),
        Err(e) => Err(io::Error::new(io::ErrorKind::ConnectionAborted, e.to_string())),
    });
    StreamBody::new(frames).boxed_unsync()
}

fn to_line(record: &StreamRecord) -> Result<Bytes, io::Error> {
    let mut line = serde_json::to_vec(record).map_err(io::Error::other)?;
    line.push(b'\n');
    Ok(line.into())
}

fn to_response<T: Serialize>(outcome: Result<T, UpstreamError>) -> HandlerResult {
    match outcome {
        Ok(value) => json_response(200, &value),
        Err(e) => error_response(e),
    }
}

/// Returns status 409 or 503 for a refusal and aborts the connection for any other error.
pub fn error_response(e: UpstreamError) -> HandlerResult {
    match e {
        UpstreamError::Refused { reason } => response(409, reason.into()),
        UpstreamError::Deferred { reason, .. } => response(503, reason.into()),
        UpstreamError::Unreachable { reason }
        | UpstreamError::Interrupted { reason }
        | UpstreamError::Malformed { reason } => abort_connection(&reason),
    }
}
