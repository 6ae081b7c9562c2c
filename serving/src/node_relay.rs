//! Requests that a node without links to the instances passes on to another node.
//!
//! Load pattern: some nodes, up to most of a data centre, lose their links to all instances for seconds, while
//! callers still reach them and keep sending. Such a node sends each request to a node that reaches instances,
//! as it came, and relays the response. To the request path of the first node the other one is a replica; that
//! of the other one treats the request like one of its own callers, and never passes it on again.
//!
//! The request carries a ticket in a header: what is left of its attempts, whether it counts for the retry
//! budget of the first node, and whether its response has begun. A tag with the fleet key authenticates it. The
//! response tells the first node if the instance that answered leaves: both nodes have passed that answer on.

use crate::attempt::AttemptError;
use crate::connection::ConnectError;
use crate::fleet_config::RouteKind;
use crate::instance::InstanceNotice;
use crate::instance::ResponseHead;
use crate::instance_notices;
use crate::key_hash::key_hash;
use crate::local_response;
use crate::node_table::LiveNode;
use crate::peer_codec::PeerKey;
use crate::rate_limits::RunHash;
use crate::replica_set::Replica;
use crate::replica_set::ReplicaKey;
use crate::request_task::RequestTask;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Header with the ticket of a request that is passed on. In a response it states that the node cannot pass
/// requests on, and has not sent this one.
const TICKET: HeaderName = HeaderName::from_static("guavaladder-relay");
/// Value of the header in such a response.
const UNAVAILABLE: HeaderValue = HeaderValue::from_static("unavailable");
/// Header of a response to a node that passed a request on: the run of the instance that answered, in
/// hexadecimal digits, if the answer states that it leaves.
const LEAVING: HeaderName = HeaderName::from_static("guavaladder-leaving");
/// Length of the tag of a ticket, in hexadecimal digits.
const TAG_LEN: usize = 32;
/// Factor on the cost of a node in another data centre.
const REMOTE_DATA_CENTRE_PENALTY: f64 = 1.5;
/// Time without an event after which a stream that another node has not begun is sent to a third one.
pub const SILENCE: Duration = Duration::from_millis(1500);

/// What a node tells another one about a request that it passes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayTicket {
    /// Number of attempts that are left to the request.
    pub attempts: u32,
    /// Whether the first node has counted the request for its retry budget.
    pub is_counted: bool,
    /// Whether the caller has received a part of the response.
    pub has_begun: bool,
}

impl RelayTicket {
    fn encode(self, key: &PeerKey, method: &Method, uri: &Uri, request: &str) -> String {
        let Self { attempts, is_counted, has_begun } = self;
        let fields = format!("{attempts} {} {}", u8::from(is_counted), u8::from(has_begun));
        let tag = tag(key, &fields, method, uri, request);
        format!("{fields} {tag}")
    }

    fn decode(
        text: &str,
        key: &PeerKey,
        method: &Method,
        uri: &Uri,
        request: &str,
    ) -> Option<Self> {
        let (fields, found) = text.rsplit_once(' ')?;
        let expected = tag(key, fields, method, uri, request);
        let bytes = found.bytes().zip(expected.bytes());
        let is_equal =
            found.len() == expected.len() && bytes.fold(0, |acc, (a, b)| acc | (a ^ b)) == 0;
        if !is_equal {
            return None;
        }
        let mut fields = fields.split(' ');
        let attempts = fields.next()?.parse().ok()?;
        let mut flag = || fields.next().map(|field| field == "1");
        Some(Self { attempts, is_counted: flag()?, has_begun: flag()? })
    }
}

fn tag(key: &PeerKey, fields: &str, method: &Method, uri: &Uri, request: &str) -> String {
    let text = format!("{fields}\n{method}\n{uri}\n{request}");
    let hash = blake3::keyed_hash(key, text.as_bytes()).to_hex();
    hash[..TAG_LEN].to_string()
}

/// Chooses a node that a request can be passed on to, in the form of a replica: the one with the fewest such
/// requests of this node out of those for which `is_usable` is true, preferably in the same data centre.
pub fn choose(
    cx: &ServingCx,
    service: &str,
    tried: &[ReplicaKey],
    is_usable: impl Fn(&str) -> bool,
) -> Option<Arc<Replica>> {
    let now = Instant::now();
    let nodes = cx.nodes.serving(now, cx.heartbeat_period()).into_iter();
    let nodes = nodes.filter(|node| is_usable(&node.node));
    let replicas = nodes.map(|node| node_as_replica(cx, service, node));
    let usable = replicas.filter(|replica| !tried.contains(&replica.key));
    let with_cost = usable.filter_map(|replica| {
        let state = cx.loads.state(&replica, now);
        let is_local = replica.data_centre == cx.settings.data_centre;
        let distance = if is_local { 1.0 } else { REMOTE_DATA_CENTRE_PENALTY };
        let cost = f64::from(state.own + 1) * distance * rand::random_range(0.9..1.1);
        (!state.is_ejected).then_some((cost, replica))
    });
    let cheapest = with_cost.min_by(|(a, _), (b, _)| a.total_cmp(b));
    cheapest.map(|(_, replica)| Arc::new(replica))
}

fn node_as_replica(cx: &ServingCx, service: &str, node: LiveNode) -> Replica {
    let key = format!("node {}", node.node);
    Replica {
        hash: key_hash(key.as_bytes()),
        key,
        service: service.to_string(),
        instance: node.node,
        run: 0,
        address: SocketAddr::new(node.address, cx.settings.peers.port()),
        data_centre: node.data_centre,
        slots: u32::MAX,
        model: None,
        is_node: true,
        members: vec![],
    }
}

/// Returns a request as it is passed on to another node.
pub fn build_request(
    cx: &ServingCx,
    task: &RequestTask,
    last_event_id: Option<u64>,
    attempts: u32,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let not_sent = |reason: String| AttemptError::NotSent(ConnectError::Failed(reason));
    let key = cx.peer_key.get().ok_or_else(|| not_sent("there is no fleet key yet".to_string()))?;
    let has_begun = last_event_id > task.head.last_event_id;
    let ticket = RelayTicket { attempts, is_counted: task.is_counted, has_begun };
    let ticket = ticket.encode(&key, &task.method, &task.uri, &task.head.id);
    let req = Request::builder()
        .method(task.method.clone())
        .uri(task.uri.clone())
        .body(Full::new(task.body.clone()));
    let mut req = req.map_err(|e| not_sent(format!("the request could not be built: {e}")))?;
    let deadline = task.upstream_deadline(Instant::now());
    *req.headers_mut() = cx.dialect.relay_headers(&task.headers, deadline, last_event_id);
    let ticket = HeaderValue::from_str(&ticket).map_err(|e| not_sent(e.to_string()))?;
    req.headers_mut().insert(TICKET, ticket);
    Ok(req)
}

/// Returns why the response of another node is not passed on to the caller, if it is not. That node has made
/// all attempts that the request may have, so its refusals and failures are final.
pub fn check_response(
    task: &RequestTask,
    status: StatusCode,
    headers: &HeaderMap,
    head: &ResponseHead,
) -> Result<(), AttemptError> {
    if headers.contains_key(TICKET) {
        let reason = "the node cannot pass requests on".to_string();
        return Err(AttemptError::NotSent(ConnectError::Failed(reason)));
    }
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        let retry_after = headers.get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
        let retry_after = retry_after.and_then(|value| value.parse::<f64>().ok());
        let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
        return Err(AttemptError::RefusedByNode { retry_after: retry_after.unwrap_or_default() });
    }
    let is_stream = matches!(task.kind, RouteKind::Streaming { .. });
    if status.is_server_error() && (is_stream || !head.is_signed) {
        return Err(AttemptError::FailedAtNode { status: status.as_u16() });
    }
    Ok(())
}

/// Returns the headers with which the response of a replica to a request is passed on.
pub fn response_headers(
    cx: &ServingCx,
    task: &RequestTask,
    replica: &Replica,
    response: &HeaderMap,
    notice: &InstanceNotice,
) -> HeaderMap {
    let mut headers = cx.dialect.caller_headers(response);
    headers.remove(LEAVING);
    if task.ticket.is_some() && notice.is_leaving {
        let run = format!("{:016x}", replica.run);
        headers.extend(HeaderValue::from_str(&run).ok().map(|run| (LEAVING, run)));
    }
    headers
}

/// Records what the response of another node states about the instance that answered.
pub fn record_notice(cx: &ServingCx, headers: &HeaderMap) {
    let run = headers.get(LEAVING).and_then(|value| value.to_str().ok());
    if let Some(run) = run.and_then(|run| RunHash::from_str_radix(run, 16).ok()) {
        instance_notices::record_leaving(cx, run);
    }
}

/// Removes the ticket from a request that another node passes on and returns it; `None` if there is none
/// with a valid tag.
pub fn take_ticket<B>(cx: &ServingCx, req: &mut Request<B>) -> Option<RelayTicket> {
    let ticket = req.headers_mut().remove(TICKET)?;
    let request = cx.dialect.decode_request(req.headers()).id;
    RelayTicket::decode(
        ticket.to_str().ok()?,
        &cx.peer_key.get()?,
        req.method(),
        req.uri(),
        &request,
    )
}

/// Returns the response to a request that this node cannot pass on, and has not sent to a replica.
pub fn unavailable() -> Response<ResponseBody> {
    let mut response = local_response::not_run("this node cannot pass requests on", Duration::ZERO);
    response.headers_mut().insert(TICKET, UNAVAILABLE);
    response
}
