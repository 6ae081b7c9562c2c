//! Requests of callers: matched to a route and a customer, read, and handed to the path that fits
//! the kind of the route.

use crate::answer_body::AnswerBody;
use crate::crash_record::CONVICTING_CRASHES;
use crate::fleet_config::Route;
use crate::fleet_config::RouteKind;
use crate::plain_forward;
use crate::refusal;
use crate::request_task;
use crate::request_task::RequestTask;
use crate::route_match::MatchError;
use crate::route_match::RoutingTable;
use crate::serving_cx::ServingCx;
use crate::stream_forward;
use bytes::Bytes;
use guavaladder_lib::generated::events::Event;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Time after which a caller comes back when this node knows no configuration or stops; another
/// node can serve it at once.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Deadline of a request that names none and whose route has a longer time-out.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Answers a request of a caller.
pub async fn handle(cx: &ServingCx, req: Request<Incoming>) -> Response<AnswerBody> {
    let received = Instant::now();
    let Some(table) = cx.config.get() else {
        cx.metrics.request("unknown", "no_configuration");
        return refusal::not_run("no configuration is known yet", OTHER_NODE_RETRY_AFTER);
    };
    let _running = cx.running.enter();
    match read(cx, &table, req, received).await {
        Ok(task) => serve(cx, task).await,
        Err(refused) => refused,
    }
}

async fn serve(cx: &ServingCx, task: RequestTask) -> Response<AnswerBody> {
    cx.budgets.count_request(&task.service, task.received);
    let crashes = cx.crashes.crashes(task.fingerprint);
    if crashes >= CONVICTING_CRASHES {
        cx.metrics.request(&task.route, "crashing");
        cx.log.record(Event::CrashingRequestRefused {
            request: task.head.id.clone(),
            fingerprint: format!("{:016x}", task.fingerprint),
            crashes: crashes as u64,
        });
        return refusal::not_run(
            "replicas crashed each time that they ran it",
            task.time_left(task.received),
        );
    }
    match task.kind {
        RouteKind::Streaming { .. } => stream_forward::forward(cx, Arc::new(task)).await,
        RouteKind::Idempotent | RouteKind::NonIdempotent => plain_forward::forward(cx, &task).await,
    }
}

/// Matches a request and reads its body.
async fn read(
    cx: &ServingCx,
    table: &RoutingTable,
    req: Request<Incoming>,
    received: Instant,
) -> Result<RequestTask, Response<AnswerBody>> {
    let (parts, body) = req.into_parts();
    let head = cx.dialect.decode_request(&parts.headers);
    let host = host(&parts.headers, &parts.uri);
    let route = table.route(host, parts.uri.path()).map_err(|e| refuse_match(cx, e))?;
    let customer = table.customer(route, head.key.as_deref());
    let customer = customer.map_err(|e| refuse_match(cx, e))?;
    let Some(service) = choose_service(route) else {
        cx.metrics.request(&route.name, "no_service");
        return Err(refusal::not_run("the route has no service", OTHER_NODE_RETRY_AFTER));
    };
    let patience = head.deadline.unwrap_or(MAX_DEADLINE).min(route.timeout);
    let ends = received + patience;
    let body = read_body(cx, &route.name, body, table.config.limits.max_body_bytes, ends).await?;
    let uri = path_and_query(&parts.uri);
    let fingerprint = request_task::fingerprint(&parts.method, &uri, head.key.as_deref(), &body);
    Ok(RequestTask {
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        route: route.name.clone(),
        kind: route.kind,
        service,
        customer: customer.map(|customer| customer.name.clone()),
        urgency: customer.and_then(|customer| customer.priority).unwrap_or(route.priority),
        max_attempts: route.max_attempts,
        target_latency: route.target_latency,
        config_version: table.config.version,
        was_refused: head.deadline.is_some_and(|d| d + route.target_latency < route.timeout),
        received,
        ends,
        fingerprint,
        head,
    })
}

async fn read_body(
    cx: &ServingCx,
    route: &str,
    body: Incoming,
    max_bytes: usize,
    ends: Instant,
) -> Result<Bytes, Response<AnswerBody>> {
    let refuse = |status, text| {
        cx.metrics.request(route, "bad_body");
        refusal::plain(status, text)
    };
    // A body that is announced as too large is refused before it comes.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    }
    match timeout_at(ends, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Ok(Err(_)) => Err(refuse(StatusCode::BAD_REQUEST, "the body broke off")),
        Err(_) => Err(refuse(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    }
}

fn refuse_match(cx: &ServingCx, e: MatchError) -> Response<AnswerBody> {
    match e {
        MatchError::NoRoute => {
            cx.metrics.request("unknown", "no_route");
            refusal::plain(StatusCode::NOT_FOUND, "no route")
        }
        MatchError::NoCustomer => {
            cx.metrics.request("unknown", "no_customer");
            refusal::plain(StatusCode::UNAUTHORIZED, "no known key")
        }
    }
}

fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let named = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    uri.host().or(named).unwrap_or_default()
}

fn path_and_query(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path_and_query) => Uri::from(path_and_query.clone()),
        None => uri.clone(),
    }
}

/// Chooses a service by the weights of the route.
fn choose_service(route: &Route) -> Option<String> {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return route.targets.first().map(|(service, _)| service.clone());
    }
    let mut drawn = rand::random_range(0..total);
    for (service, weight) in &route.targets {
        if drawn < *weight {
            return Some(service.clone());
        }
        drawn -= weight;
    }
    None
}
