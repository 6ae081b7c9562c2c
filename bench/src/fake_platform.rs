//! Serves the object store and the instance list of the fake platform over HTTP.

use crate::fake_server::Handler;
use crate::fake_server::HandlerResult;
use crate::fake_server::abort_connection;
use crate::fake_server::json_response;
use crate::fake_server::query;
use crate::fake_server::query_number;
use crate::fake_server::read_body;
use crate::fake_server::response;
use bytes::Bytes;
use futures_util::FutureExt;
use guavaladder_lib::generated::platform::PutObject;
use guavaladder_lib::platform::InstanceList;
use guavaladder_lib::platform::MAX_OBJECT_BYTES;
use guavaladder_lib::platform::ObjectStore;
use guavaladder_lib::platform::PlatformError;
use guavaladder_testutils::fake_instances::FakeInstances;
use guavaladder_testutils::fake_store::FakeStore;
use http::Method;
use http::Request;
use hyper::body::Incoming;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Returns the handler of requests to the platform.
pub fn request_handler(store: FakeStore, fake_instances: FakeInstances) -> Handler {
    Arc::new(move |req| handle(store.clone(), fake_instances.clone(), req).boxed())
}

async fn handle(
    store: FakeStore,
    fake_instances: FakeInstances,
    req: Request<Incoming>,
) -> HandlerResult {
    let key = query(&req, "key").unwrap_or_default();
    let prefix = query(&req, "prefix").unwrap_or_default();
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/v1/object") => match store.get(&key).await {
            Ok(None) => response(404, Bytes::new()),
            other => to_response(other),
        },
        (&Method::GET, "/v1/objects") => to_response(store.list(&prefix).await),
        (&Method::PUT, "/v1/object") => put(store, req).await,
        (&Method::DELETE, "/v1/object") => {
            let if_version = query_number(&req, "if_version");
            to_response(store.delete(&key, if_version).await)
        }
        (&Method::GET, "/v1/watch") => {
            let wait = Duration::from_millis(query_number(&req, "wait_ms"));
            to_response(store.watch(&prefix, query_number(&req, "after"), wait).await)
        }
        (&Method::GET, "/v1/instances") => to_response(fake_instances.instances().await),
        _ => response(404, Bytes::new()),
    }
}

async fn put(store: FakeStore, req: Request<Incoming>) -> HandlerResult {
    let body = read_body(req).await?;
    let Ok(put) = serde_json::from_slice::<PutObject>(&body) else {
        return response(400, Bytes::new());
    };
    if put.value.len() > MAX_OBJECT_BYTES {
        return response(413, Bytes::new());
    }
    to_response(store.put(&put).await)
}

fn to_response<T: Serialize>(outcome: Result<T, PlatformError>) -> HandlerResult {
    match outcome {
        Ok(value) => json_response(200, &value),
        Err(PlatformError::NotApplied { reason }) => response(503, reason.into()),
        Err(PlatformError::ResponseLost { reason } | PlatformError::Malformed { reason }) => {
            abort_connection(&reason)
        }
    }
}
