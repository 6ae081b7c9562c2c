//! The stand-in of one plain service over HTTP.

use crate::standin_engine::refuse;
use crate::standin_server::Answer;
use crate::standin_server::AnswerFn;
use crate::standin_server::json;
use crate::standin_server::read_body;
use crate::standin_server::whole;
use bytes::Bytes;
use futures_util::FutureExt;
use guavaladder_lib::generated::engine::PlainRequest;
use guavaladder_lib::plain_service::PlainService;
use guavaladder_testutils::fake_instances::FakeInstances;
use http::Method;
use http::Request;
use hyper::body::Incoming;
use std::sync::Arc;
use std::sync::OnceLock;

/// Returns what answers the calls to the plain service at an address, which may be set later.
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
        (&Method::POST, "/v1/call") => {
            let body = read_body(req).await?;
            match serde_json::from_slice::<PlainRequest>(&body) {
                Ok(call) => match fake_instances.call(address, &call).await {
                    Ok(reply) => json(200, &reply),
                    Err(e) => refuse(e),
                },
                Err(e) => whole(400, e.to_string().into()),
            }
        }
        (&Method::GET, "/v1/takes_work") => match fake_instances.takes_work(address).await {
            Ok(takes_work) => json(200, &takes_work),
            Err(e) => refuse(e),
        },
        _ => whole(404, Bytes::new()),
    }
}
