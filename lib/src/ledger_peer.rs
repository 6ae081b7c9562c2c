//! Operations on the ledger between nodes: posted to the callers' listener, with a tag by the fleet
//! key before the JSON text.

use crate::cx::Cx;
use crate::fleet_key::FleetKey;
use crate::fleet_key::TAG_BYTES;
use crate::generated::requests::LedgerAnswer;
use crate::generated::requests::LedgerCall;
use crate::http_client::HttpBounds;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::Method;
use crate::ledger_key::MAX_CLOCK_SKEW;
use std::sync::OnceLock;
use std::time::Duration;

/// Path of the operation on the callers' listener.
pub const PATH: &str = "v1/internal/ledger";
/// Longest wait for the shard's usual writer, longer than a batch and a write usually take.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest message.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// Sends an operation to another node; `None` when no answer came that can be trusted.
pub async fn send(key: &FleetKey, address: &str, call: &LedgerCall) -> Option<LedgerAnswer> {
    let text = serde_json::to_vec(call).ok()?;
    let http_call =
        HttpCall::new(Method::Post, address, format!("/{PATH}")).with_body(sealed(key, &text));
    let bounds = HttpBounds { timeout: FORWARD_TIMEOUT, max_body: MAX_MESSAGE_BYTES };
    let reply = client().call(http_call, bounds).await.ok()?;
    let text = opened(key, &reply.body)?;
    serde_json::from_slice(text).ok()
}

/// Returns the operation in a message from another node; `None` when the message is not from one.
pub fn receive(cx: &Cx, key: &FleetKey, message: &[u8]) -> Option<LedgerCall> {
    let text = opened(key, message)?;
    let call: LedgerCall = serde_json::from_slice(text).ok()?;
    let age = cx.clock.unix().abs_diff(call.unix);
    (age <= MAX_CLOCK_SKEW).then_some(call)
}

/// Returns the message that carries an answer.
pub fn reply(key: &FleetKey, answer: &LedgerAnswer) -> Vec<u8> {
    sealed(key, &serde_json::to_vec(answer).unwrap_or_default())
}

fn sealed(key: &FleetKey, text: &[u8]) -> Vec<u8> {
    let mut message = key.sign(text).to_vec();
    message.extend_from_slice(text);
    message
}

fn opened<'a>(key: &FleetKey, message: &'a [u8]) -> Option<&'a [u8]> {
    let (tag, text) = message.split_first_chunk::<TAG_BYTES>()?;
    key.verify(text, tag).then_some(text)
}

fn client() -> &'static HttpClient {
    static CLIENT: OnceLock<HttpClient> = OnceLock::new();
    CLIENT.get_or_init(HttpClient::new)
}
