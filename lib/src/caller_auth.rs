//! Bearer tokens of callers, and the tokens with which a stream can be resumed.

use crate::cx::Cx;
use crate::generated::requests::ErrorCode;
use crate::ids::CustomerId;
use crate::ids::RequestId;
use crate::request::RequestError;
use crate::request_path::no_config;
use crate::token_hash::hash_token;
use salvo::http::HeaderMap;
use salvo::http::header;

/// Longest bearer token in bytes.
const MAX_TOKEN_BYTES: usize = 512;
/// Hexadecimal digits of the random part of a request's id.
const RANDOM_DIGITS: usize = 32;

/// Returns the customer whose token the headers carry; an error reveals nothing about tokens.
pub fn customer(cx: &Cx, headers: &HeaderMap) -> Result<CustomerId, RequestError> {
    let record = cx.config.get().ok_or_else(no_config)?;
    let token = bearer(headers).ok_or_else(unauthorized)?;
    // Looking up a hash tells nothing about the token that has it.
    let hash = hash_token(token);
    let customers = &record.config.customers;
    let known = customers.iter().find(|(_, customer)| customer.tokens.contains(&hash));
    known.map(|(id, _)| id.clone()).ok_or_else(unauthorized)
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    let is_usable = scheme.eq_ignore_ascii_case("bearer") && token.len() <= MAX_TOKEN_BYTES;
    is_usable.then_some(token.trim())
}

fn unauthorized() -> RequestError {
    RequestError::not_run(ErrorCode::Unauthorized, "a valid bearer token is needed")
}

/// Returns a new request id, which is also the token for resuming its stream: it cannot be guessed,
/// and is valid for this customer only.
pub fn new_request_id(customer: &str) -> RequestId {
    let random = format!("{:032x}", rand::random::<u128>());
    let tag = tag(customer, &random);
    format!("{random}{tag}")
}

/// Returns the request id of a resumption token, if the token is this customer's.
pub fn resumed_request_id(customer: &str, token: &str) -> Option<RequestId> {
    let (random, given) = token.split_at_checked(RANDOM_DIGITS)?;
    let is_hex = random.bytes().all(|b| b.is_ascii_hexdigit());
    (is_hex && given == tag(customer, random)).then(|| token.to_string())
}

fn tag(customer: &str, random: &str) -> String {
    let hash = blake3::hash(format!("{random} {customer}").as_bytes());
    hash.to_hex().chars().take(16).collect()
}
