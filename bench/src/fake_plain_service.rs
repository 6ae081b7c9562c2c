//! Serves the API of one fake plain service instance over HTTP.

use crate::fake_engine::error_response;
use crate::fake_server::Handler;
use crate::fake_server::HandlerResult;
use crate::fake_server::json_response;
use crate::fake_server::read_body;
use crate::fake_server::response;
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

/// Returns the handler of calls to the plain service at `address`, which may be set later.
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
        (&Method::POST, "/v1/call") => {
            let body = read_body(req).await?;
            match serde_json::from_slice::<PlainRequest>(&body) {
                Ok(call) => match fake_instances.call(address, &call).await {
                    Ok(reply) => json_response(200, &reply),
                    Err(e) => error_response(e),
                },
                Err(e) => response(400, e.to_string().into()),
            }
        }
        (&Method::GET, "/v1/takes_work") => match fake_instances.takes_work(address).await {
            Ok(takes_work) => json_response(200, &takes_work),
            Err(e) => error_response(e),
        },
        _ => response(404, Bytes::new()),
    }
}
