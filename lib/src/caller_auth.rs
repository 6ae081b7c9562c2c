//! Authentication of callers by bearer token, and request ids that serve as resume tokens.

use crate::cx::Cx;
use crate::generated::requests::ErrorCode;
use crate::ids::CustomerId;
use crate::ids::RequestId;
use crate::request::RequestError;
use crate::request_path::no_config;
use crate::token_hash::hash_token;
use salvo::http::HeaderMap;
use salvo::http::header;

/// Maximum length of a bearer token in bytes.
const MAX_TOKEN_BYTES: usize = 512;
/// Number of hexadecimal digits of the random part of a request id.
const RANDOM_DIGITS: usize = 32;

/// Returns the customer whose bearer token is in the headers. Errors reveal nothing about tokens.
pub fn authenticate(cx: &Cx, headers: &HeaderMap) -> Result<CustomerId, RequestError> {
    let record = cx.config.get().ok_or_else(no_config)?;
    let token = bearer_token(headers).ok_or_else(unauthorized)?;
    // The tokens are compared by hash, so the duration of the lookup reveals nothing about them.
    let hash = hash_token(token);
    let customers = &record.config.customers;
    let found = customers.iter().find(|(_, customer)| customer.tokens.contains(&hash));
    found.map(|(id, _)| id.clone()).ok_or_else(unauthorized)
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    let is_valid = scheme.eq_ignore_ascii_case("bearer") && token.len() <= MAX_TOKEN_BYTES;
    is_valid.then_some(token.trim())
}

fn unauthorized() -> RequestError {
    RequestError::not_run(ErrorCode::Unauthorized, "a valid bearer token is required")
}

/// Returns a new request id, which is also the token to resume its stream. It cannot be guessed and
/// is valid for this customer only.
pub fn new_request_id(customer: &str) -> RequestId {
    let random = format!("{:032x}", rand::random::<u128>());
    let tag = customer_tag(customer, &random);
    format!("{random}{tag}")
}

/// Returns the request id of a resume token, or `None` if the token is not valid for this customer.
pub fn resumed_request_id(customer: &str, token: &str) -> Option<RequestId> {
    let (random, received_tag) = token.split_at_checked(RANDOM_DIGITS)?;
    let is_hex = random.bytes().all(|b| b.is_ascii_hexdigit());
    (is_hex && received_tag == customer_tag(customer, random)).then(|| token.to_string())
}

fn customer_tag(customer: &str, random: &str) -> String {
    let hash = blake3::hash(format!("{random} {customer}").as_bytes());
    hash.to_hex().chars().take(16).collect()
}
