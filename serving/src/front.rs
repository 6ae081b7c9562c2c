//! Requests of callers: matched to a route and a customer, read, and handed to the path that fits
//! the kind of the route.

use crate::answer_body::AnswerBody;
use crate::crash_record::CONVICTING_CRASHES;
use crate::dialect::RequestHead;
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
use http::request::Parts;
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
    let table = cx.config.get();
    let (parts, body) = req.into_parts();
    let head = cx.dialect.decode_request(&parts.headers);
    let config = table.as_ref().map_or(0, |table| table.config.version);
    let entry = Entry { cx, request: head.id.clone(), config };
    let Some(table) = table else {
        return entry.reject("unknown", &Rejection::NoConfiguration);
    };
    let _running = cx.running.enter();
    match read(&entry, &table, parts, head, body, received).await {
        Ok(task) => serve(cx, task).await,
        Err(refused) => refused,
    }
}

/// Why a request is answered before it is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Rejection {
    #[error("no configuration is known yet")]
    NoConfiguration,
    #[error("no route")]
    NoRoute,
    #[error("no known key")]
    NoCustomer,
    #[error("the route has no service")]
    NoService,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("the body broke off")]
    BodyBrokenOff,
    #[error("the body did not come in time")]
    BodyLate,
}

impl Rejection {
    /// Returns the status of the answer and the outcome that the metrics count.
    fn outcome(self) -> (StatusCode, &'static str) {
        match self {
            Self::NoConfiguration => (StatusCode::SERVICE_UNAVAILABLE, "no_configuration"),
            Self::NoRoute => (StatusCode::NOT_FOUND, "no_route"),
            Self::NoCustomer => (StatusCode::UNAUTHORIZED, "no_customer"),
            Self::NoService => (StatusCode::SERVICE_UNAVAILABLE, "no_service"),
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "bad_body"),
            Self::BodyBrokenOff => (StatusCode::BAD_REQUEST, "bad_body"),
            Self::BodyLate => (StatusCode::REQUEST_TIMEOUT, "bad_body"),
        }
    }
}

/// A request that is being read.
struct Entry<'a> {
    cx: &'a ServingCx,
    request: String,
    /// Version of the configuration that it is read by; 0 for none.
    config: u64,
}

impl Entry<'_> {
    /// Records a rejection and returns its answer.
    fn reject(&self, route: &str, rejection: &Rejection) -> Response<AnswerBody> {
        let (status, outcome) = rejection.outcome();
        let reason = rejection.to_string();
        self.cx.metrics.request(route, outcome);
        self.cx.log.record(Event::RequestRejected {
            request: self.request.clone(),
            route: route.to_string(),
            status: u64::from(status.as_u16()),
            reason: reason.clone(),
            config: self.config,
        });
        match status {
            StatusCode::SERVICE_UNAVAILABLE => refusal::not_run(&reason, OTHER_NODE_RETRY_AFTER),
            status => refusal::plain(status, &reason),
        }
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
    entry: &Entry<'_>,
    table: &RoutingTable,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    received: Instant,
) -> Result<RequestTask, Response<AnswerBody>> {
    let refuse_match = |e| match e {
        MatchError::NoRoute => entry.reject("unknown", &Rejection::NoRoute),
        MatchError::NoCustomer => entry.reject("unknown", &Rejection::NoCustomer),
    };
    let host = host(&parts.headers, &parts.uri);
    let route = table.route(host, parts.uri.path()).map_err(refuse_match)?;
    let customer = table.customer(route, head.key.as_deref()).map_err(refuse_match)?;
    let Some(service) = choose_service(route) else {
        return Err(entry.reject(&route.name, &Rejection::NoService));
    };
    let patience = head.deadline.unwrap_or(MAX_DEADLINE).min(route.timeout);
    let ends = received + patience;
    let body = read_body(body, table.config.limits.max_body_bytes, ends).await;
    let body = body.map_err(|rejection| entry.reject(&route.name, &rejection))?;
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

async fn read_body(body: Incoming, max_bytes: usize, ends: Instant) -> Result<Bytes, Rejection> {
    // A body that is announced as too large is refused before it comes.
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Rejection::BodyTooLarge);
    }
    match timeout_at(ends, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Rejection::BodyTooLarge),
        Ok(Err(_)) => Err(Rejection::BodyBrokenOff),
        Err(_) => Err(Rejection::BodyLate),
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
