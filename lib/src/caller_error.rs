//! HTTP responses for request errors.

use crate::generated::requests::ErrorCode;
use crate::generated::requests::ErrorReply;
use crate::request::RequestError;
use salvo::http::HeaderValue;
use salvo::http::Response;
use salvo::http::StatusCode;
use salvo::http::header;

/// Returns the HTTP status of an error code.
pub fn status(code: ErrorCode) -> StatusCode {
    match code {
        ErrorCode::Unauthorized => StatusCode::UNAUTHORIZED,
        ErrorCode::Malformed
        | ErrorCode::KeyRequired
        | ErrorCode::KeyMalformed
        | ErrorCode::KeyOutOfWindow => StatusCode::BAD_REQUEST,
        ErrorCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ErrorCode::TooSlow => StatusCode::REQUEST_TIMEOUT,
        ErrorCode::NotFound => StatusCode::NOT_FOUND,
        ErrorCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorCode::KeyRefused
        | ErrorCode::InProgress
        | ErrorCode::AnswerNotKept
        | ErrorCode::OutcomeUnknown => StatusCode::CONFLICT,
        ErrorCode::Overloaded | ErrorCode::CustomerOverShare => StatusCode::TOO_MANY_REQUESTS,
        ErrorCode::Deadline => StatusCode::GATEWAY_TIMEOUT,
        ErrorCode::UpstreamFailed | ErrorCode::UpstreamMalformed | ErrorCode::RetryLimit => {
            StatusCode::BAD_GATEWAY
        }
        ErrorCode::Poisonous => StatusCode::FORBIDDEN,
        ErrorCode::LedgerAway
        | ErrorCode::NoConfig
        | ErrorCode::NoReplica
        | ErrorCode::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        ErrorCode::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

/// Writes the response of an error: its status, headers and JSON body.
pub fn render(res: &mut Response, error: &RequestError) {
    let reply = ErrorReply { error: error.body() };
    res.status_code(status(error.code));
    if let Some(retry_after) = error.retry_after {
        let seconds = retry_after.as_millis().div_ceil(1000).max(1) as u64;
        res.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if error.code == ErrorCode::Unauthorized {
        let scheme = HeaderValue::from_static("Bearer");
        res.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
    }
    write_json(res, &serde_json::to_vec(&reply).unwrap_or_default());
}

/// Sets JSON text as the response body, with its content type.
pub fn write_json(res: &mut Response, text: &[u8]) {
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res.body(text.to_vec());
}
