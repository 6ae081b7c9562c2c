//! The platform's question whether the node is ready, and callers' question for addresses.

use crate::answer_body::AnswerBody;
use crate::node_table::EntryNode;
use crate::refusal;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::serving_peer::NodePhase;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which callers keep an answer: a node that stops is out of use within three times that.
const ANSWER_KEEP: Duration = Duration::from_secs(1);
/// Nodes of the caller's own data centre from which on no others are named.
const ENOUGH_NEAR_NODES: usize = 2;
/// Addresses of one answer, at most.
const MAX_ADDRESSES: usize = 64;

/// Answers questions of the platform and of callers who look for addresses.
pub fn handle(cx: &ServingCx, req: &Request<Incoming>) -> Response<AnswerBody> {
    if cx.dialect.is_ready_path(req.uri().path()) {
        return match cx.phase() {
            NodePhase::Serving => refusal::plain(StatusCode::OK, "ready"),
            NodePhase::Starting | NodePhase::Leaving => {
                refusal::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
        };
    }
    let Some(query) = cx.dialect.decode_resolve(req.uri()) else {
        return refusal::plain(StatusCode::NOT_FOUND, "no such path");
    };
    let addresses = choose(&entries(cx), &query.data_centre);
    if addresses.is_empty() {
        return refusal::plain(StatusCode::SERVICE_UNAVAILABLE, "no node serves");
    }
    let keep = ANSWER_KEEP.min(cx.settings.max_resolve_ttl);
    refusal::json(cx.dialect.encode_resolve(&addresses, keep))
}

/// Returns the nodes that callers may use, this one included.
fn entries(cx: &ServingCx) -> Vec<EntryNode> {
    let mut entries = cx.nodes.entry_nodes(Instant::now(), cx.heartbeat_period());
    if cx.phase() == NodePhase::Serving {
        let address = cx.settings.callers;
        entries.push(EntryNode { address, data_centre: cx.settings.data_centre.clone() });
    }
    entries
}

/// Returns the addresses that a caller of a data centre is told to use: near ones if they are
/// enough, else all.
pub fn choose(entries: &[EntryNode], data_centre: &str) -> Vec<SocketAddr> {
    let is_near = |entry: &&EntryNode| entry.data_centre == data_centre;
    let mut near: Vec<SocketAddr> =
        entries.iter().filter(is_near).map(|entry| entry.address).collect();
    if near.len() < ENOUGH_NEAR_NODES {
        near = entries.iter().map(|entry| entry.address).collect();
    }
    near.sort();
    near.truncate(MAX_ADDRESSES);
    near
}
