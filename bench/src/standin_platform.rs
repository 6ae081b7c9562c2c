//! The platform's stand-in: object store and instance list over HTTP.

use crate::standin_server::Answer;
use crate::standin_server::AnswerFn;
use crate::standin_server::cut;
use crate::standin_server::json;
use crate::standin_server::query;
use crate::standin_server::query_number;
use crate::standin_server::read_body;
use crate::standin_server::whole;
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

/// Returns what answers the platform's requests.
pub fn answer_fn(store: FakeStore, fake_instances: FakeInstances) -> AnswerFn {
    Arc::new(move |req| answer(store.clone(), fake_instances.clone(), req).boxed())
}

async fn answer(store: FakeStore, fake_instances: FakeInstances, req: Request<Incoming>) -> Answer {
    let key = query(&req, "key").unwrap_or_default();
    let prefix = query(&req, "prefix").unwrap_or_default();
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/v1/object") => match store.get(&key).await {
            Ok(None) => whole(404, Bytes::new()),
            other => reply(other),
        },
        (&Method::GET, "/v1/objects") => reply(store.list(&prefix).await),
        (&Method::PUT, "/v1/object") => put(store, req).await,
        (&Method::DELETE, "/v1/object") => {
            let if_version = query_number(&req, "if_version");
            reply(store.delete(&key, if_version).await)
        }
        (&Method::GET, "/v1/watch") => {
            let wait = Duration::from_millis(query_number(&req, "wait_ms"));
            reply(store.watch(&prefix, query_number(&req, "after"), wait).await)
        }
        (&Method::GET, "/v1/instances") => reply(fake_instances.instances().await),
        _ => whole(404, Bytes::new()),
    }
}

async fn put(store: FakeStore, req: Request<Incoming>) -> Answer {
    let body = read_body(req).await?;
    let Ok(put) = serde_json::from_slice::<PutObject>(&body) else {
        return whole(400, Bytes::new());
    };
    if put.value.len() > MAX_OBJECT_BYTES {
        return whole(413, Bytes::new());
    }
    reply(store.put(&put).await)
}

fn reply<T: Serialize>(outcome: Result<T, PlatformError>) -> Answer {
    match outcome {
        Ok(value) => json(200, &value),
        Err(PlatformError::NotApplied { reason }) => whole(503, reason.into()),
        Err(PlatformError::ResponseLost { reason } | PlatformError::Malformed { reason }) => {
            cut(&reason)
        }
    }
}
