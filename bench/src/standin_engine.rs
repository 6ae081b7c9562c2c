//! The stand-in of one instance's model engine over HTTP.

use crate::standin_server::Answer;
use crate::standin_server::AnswerBody;
use crate::standin_server::AnswerFn;
use crate::standin_server::cut;
use crate::standin_server::json;
use crate::standin_server::query;
use crate::standin_server::query_number;
use crate::standin_server::read_body;
use crate::standin_server::whole;
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

/// Returns what answers the requests to the engine at an address, which may be set later.
pub fn answer_fn(fake_instances: FakeInstances, address: Arc<OnceLock<String>>) -> AnswerFn {
    Arc::new(move |req| answer(fake_instances.clone(), address.clone(), req).boxed())
}

async fn answer(
    fake_instances: FakeInstances,
    address: Arc<OnceLock<String>>,
    req: Request<Incoming>,
) -> Answer {
    let Some(address) = address.get() else { return whole(503, Bytes::new()) };
    match (req.method(), req.uri().path()) {
        (&Method::POST, "/v1/generate") => generate(fake_instances, address, req).await,
        (&Method::GET, "/v1/status") => reply(fake_instances.status(address).await),
        (&Method::POST, "/v1/orders") => order(fake_instances, address, req).await,
        (&Method::GET, "/v1/cache_events") => {
            reply(fake_instances.cache_events(address, query_number(&req, "after")).await)
        }
        (&Method::GET, "/v1/kv") => {
            let request = query(&req, "request").unwrap_or_default();
            match fake_instances.export_kv(address, &request).await {
                Ok(Some(state)) => whole(200, state.into()),
                Ok(None) => whole(404, Bytes::new()),
                Err(e) => refuse(e),
            }
        }
        (&Method::PUT, "/v1/kv") => {
            let request = query(&req, "request").unwrap_or_default();
            let state = read_body(req).await?;
            reply(fake_instances.import_kv(address, &request, &state).await)
        }
        (&Method::POST, path) => match attempt_of(path) {
            Some(attempt) => reply(fake_instances.cancel(address, attempt).await),
            None => whole(404, Bytes::new()),
        },
        _ => whole(404, Bytes::new()),
    }
}

fn attempt_of(path: &str) -> Option<u64> {
    path.strip_prefix("/v1/attempts/")?.strip_suffix("/cancel")?.parse().ok()
}

async fn order(fake_instances: FakeInstances, address: &str, req: Request<Incoming>) -> Answer {
    let body = read_body(req).await?;
    match serde_json::from_slice::<Order>(&body) {
        Ok(order) => reply(fake_instances.order(address, &order).await),
        Err(e) => whole(400, e.to_string().into()),
    }
}

async fn generate(fake_instances: FakeInstances, address: &str, req: Request<Incoming>) -> Answer {
    let body = read_body(req).await?;
    let req = match serde_json::from_slice::<GenerateRequest>(&body) {
        Ok(req) => req,
        Err(e) => return whole(400, e.to_string().into()),
    };
    match fake_instances.generate(address, &req).await {
        Ok(records) => Response::builder().body(to_body(records)).map_err(io::Error::other),
        Err(e) => refuse(e),
    }
}

/// Sends each record as a line; an error cuts the connection.
fn to_body(records: RecordStream) -> AnswerBody {
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

fn reply<T: Serialize>(outcome: Result<T, UpstreamError>) -> Answer {
    match outcome {
        Ok(value) => json(200, &value),
        Err(e) => refuse(e),
    }
}

/// Answers a refusal; any other failure cuts the connection.
pub fn refuse(e: UpstreamError) -> Answer {
    match e {
        UpstreamError::Refused { reason } => whole(409, reason.into()),
        UpstreamError::Unreachable { reason }
        | UpstreamError::Interrupted { reason }
        | UpstreamError::Malformed { reason } => cut(&reason),
    }
}
