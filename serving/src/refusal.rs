//! The node's own answers: refusals and failures, each of which tells whether the request ran.

use crate::answer_body::AnswerBody;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use std::time::Duration;

/// Returns an answer to a request that did not run, with the time after which to come back.
pub fn not_run(reason: &str, retry_after: Duration) -> Response<AnswerBody> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Returns an answer with a line of text.
pub fn plain(status: StatusCode, text: &str) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(format!("{text}\n")));
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}

/// Returns an answer in JSON.
pub fn json(body: Vec<u8>) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(body));
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
