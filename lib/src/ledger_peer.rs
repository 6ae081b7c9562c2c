//! Ledger operations forwarded between nodes: `POST` requests to the callers' listener. Each body
//! is an authentication tag, computed with the fleet key, followed by JSON.

use crate::cx::Cx;
use crate::fleet_key::FleetKey;
use crate::fleet_key::TAG_BYTES;
use crate::generated::requests::LedgerAnswer;
use crate::generated::requests::LedgerCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpLimits;
use crate::http_client::HttpRequest;
use crate::http_client::Method;
use crate::ledger_key::MAX_CLOCK_SKEW;
use std::sync::OnceLock;
use std::time::Duration;

/// Path of forwarded ledger operations on the callers' listener.
pub const PATH: &str = "v1/internal/ledger";
/// Timeout of a forwarded operation; a batch interval and a write to the store usually take less.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest accepted request or response body.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// Sends an operation to another node; `None` if no authentic response arrived in time.
pub async fn send(key: &FleetKey, address: &str, call: &LedgerCall) -> Option<LedgerAnswer> {
    let text = serde_json::to_vec(call).ok()?;
    let http_call = HttpRequest::new(Method::Post, address, format!("/{PATH}"))
        .with_body(to_signed(key, &text));
    let limits = HttpLimits { timeout: FORWARD_TIMEOUT, max_body: MAX_MESSAGE_BYTES };
    let reply = client().call(http_call, limits).await.ok()?;
    let text = verify_signed(key, &reply.body)?;
    serde_json::from_slice(text).ok()
}

/// Decodes an operation from another node; `None` if the message is malformed, not authentic, or
/// older or newer than the tolerated clock skew.
pub fn receive(cx: &Cx, key: &FleetKey, message: &[u8]) -> Option<LedgerCall> {
    let text = verify_signed(key, message)?;
    let call: LedgerCall = serde_json::from_slice(text).ok()?;
    let age = cx.clock.unix().abs_diff(call.unix);
    (age <= MAX_CLOCK_SKEW).then_some(call)
}

/// Encodes the response to a forwarded operation.
pub fn reply(key: &FleetKey, answer: &LedgerAnswer) -> Vec<u8> {
    to_signed(key, &serde_json::to_vec(answer).unwrap_or_default())
}

fn to_signed(key: &FleetKey, text: &[u8]) -> Vec<u8> {
    let mut message = key.sign(text).to_vec();
    message.extend_from_slice(text);
    message
}

fn verify_signed<'a>(key: &FleetKey, message: &'a [u8]) -> Option<&'a [u8]> {
    let (tag, text) = message.split_first_chunk::<TAG_BYTES>()?;
    key.verify(text, tag).then_some(text)
}

fn client() -> &'static HttpClient {
    static CLIENT: OnceLock<HttpClient> = OnceLock::new();
    CLIENT.get_or_init(HttpClient::new)
}
