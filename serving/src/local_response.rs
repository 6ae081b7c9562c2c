//! Responses that the node generates itself: refusals, errors, and plain text or JSON. A refusal with
//! `Retry-After` states that the request did not run.

use crate::response_body::ResponseBody;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use std::time::Duration;

/// Returns a 503 for a request that did not run, with `Retry-After` in seconds.
pub fn not_run(reason: &str, retry_after: Duration) -> Response<ResponseBody> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns a response with one line of plain text.
pub fn text(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(format!("{text}\n")));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Returns a 200 response with a JSON body.
pub fn json(body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(body));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
