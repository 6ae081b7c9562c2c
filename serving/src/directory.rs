//! HTTP endpoints for the platform's readiness probe and for resolve queries of callers.

use crate::local_response;
use crate::node_table::EntryNode;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::serving_peer::NodePhase;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which callers may cache resolved addresses. A node that stops receives no more requests
/// within three times this value.
const RESOLVE_TTL: Duration = Duration::from_secs(1);
/// Number of nodes in the caller's data centre from which on only those are returned.
const MIN_LOCAL_NODES: usize = 2;
/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Handles readiness probes of the platform and resolve queries of callers.
pub fn handle(cx: &ServingCx, req: &Request<Incoming>) -> Response<ResponseBody> {
    if cx.dialect.is_ready_path(req.uri().path()) {
        return match cx.phase() {
            NodePhase::Serving => local_response::text(StatusCode::OK, "ready"),
            NodePhase::Starting | NodePhase::Leaving => {
                local_response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
        };
    }
    let Some(query) = cx.dialect.decode_resolve(req.uri()) else {
        return local_response::text(StatusCode::NOT_FOUND, "no such path");
    };
    let addresses = select_addresses(&serving_nodes(cx), &query.data_centre);
    if addresses.is_empty() {
        return local_response::text(StatusCode::SERVICE_UNAVAILABLE, "no node is serving");
    }
    let ttl = RESOLVE_TTL.min(cx.settings.max_resolve_ttl);
    local_response::json(cx.dialect.encode_resolve(&addresses, ttl))
}

/// Returns the nodes that accept requests, including this one if it is serving.
fn serving_nodes(cx: &ServingCx) -> Vec<EntryNode> {
    let mut entries = cx.nodes.entry_nodes(Instant::now(), cx.heartbeat_period());
    if cx.phase() == NodePhase::Serving {
        let address = cx.settings.callers;
        let (data_centre, is_cut) = (cx.settings.data_centre.clone(), cx.reach.is_cut());
        entries.push(EntryNode { address, data_centre, is_cut });
    }
    reaching_instances(entries)
}

/// Returns the nodes that reach instances, or all if none does. The others still pass requests on.
pub fn reaching_instances(entries: Vec<EntryNode>) -> Vec<EntryNode> {
    match entries.iter().any(|entry| !entry.is_cut) {
        true => entries.into_iter().filter(|entry| !entry.is_cut).collect(),
        false => entries,
    }
}

/// Selects the addresses for a caller in `data_centre`: only those in the same data centre if there
/// are enough, otherwise all.
pub fn select_addresses(entries: &[EntryNode], data_centre: &str) -> Vec<SocketAddr> {
    let is_local = |entry: &&EntryNode| entry.data_centre == data_centre;
    let mut local: Vec<SocketAddr> =
        entries.iter().filter(is_local).map(|entry| entry.address).collect();
    if local.len() < MIN_LOCAL_NODES {
        local = entries.iter().map(|entry| entry.address).collect();
    }
    local.sort();
    local.truncate(MAX_ADDRESSES);
    local
}
