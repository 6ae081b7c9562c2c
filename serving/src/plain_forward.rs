//! Forwards non-streaming requests to a replica, and retries them on another replica where that is
//! safe.

use crate::attempt;
use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::attempt::UpstreamResponse;
use crate::attempt_loop::AttemptKind;
use crate::attempt_loop::AttemptLoop;
use crate::attempt_loop::NoResponse;
use crate::attempt_loop::PendingAttempt;
use crate::connection::ConnectError;
use crate::demand_sync;
use crate::failed_attempts;
use crate::fleet_config::RouteKind;
use crate::local_response;
use crate::node_relay;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use guavaladder_lib::byte_budget::ByteUse;
use guavaladder_lib::limited_body;
use guavaladder_lib::limited_body::BodyRoom;
use guavaladder_lib::limited_body::ReadError;
use http::Response;
use http::StatusCode;
use std::sync::Arc;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// Largest response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Fraction of the route's target latency after which an idempotent request is retried on another
/// replica.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.7;

/// Attempts at one request with a single response.
struct PlainAttempts {
    cx: ServingCx,
    task: Arc<RequestTask>,
}

/// Forwards a request and returns the response for the caller.
pub async fn forward(cx: &ServingCx, task: Arc<RequestTask>) -> Response<ResponseBody> {
    let mut trace = RequestTrace::new(cx, &task);
    let mut attempts = Attempts::new();
    let kind = PlainAttempts { cx: cx.clone(), task: task.clone() };
    let (trace_ref, attempts) = (&mut trace, &mut attempts);
    let mut sending = AttemptLoop { cx, task: &task, trace: trace_ref, attempts, kind };
    match sending.run(None).await {
        Ok(response) => {
            trace.record_response_start();
            trace.record_response(response.status().as_u16());
            response
        }
        Err(NoResponse::Respond(response)) => response,
        Err(NoResponse::Failed(cause)) => {
            trace.record_lost(StatusCode::BAD_GATEWAY.as_u16(), &cause);
            local_response::text(StatusCode::BAD_GATEWAY, &cause)
        }
    }
}

impl AttemptKind for PlainAttempts {
    type Response = Response<ResponseBody>;

    fn start(
        &self,
        replica: &Arc<Replica>,
        attempts: &Attempts,
    ) -> PendingAttempt<'static, Self::Response> {
        let is_idempotent = self.task.kind == RouteKind::Idempotent;
        // Another node makes all attempts itself.
        let can_retry =
            is_idempotent && !replica.is_node && attempts.runs + 1 < self.task.max_attempts;
        let attempts_left = attempts.left(&self.cx, &self.task);
        let retry_at = Instant::now() + self.task.target_latency.mul_f64(ATTEMPT_TIMEOUT_FRACTION);
        let silence = async move {
            match can_retry {
                true => sleep_until(retry_at).await,
                false => std::future::pending().await,
            }
            AttemptError::TimedOut("no response within a fraction of the target latency")
        };
        let (cx, task, to) = (self.cx.clone(), self.task.clone(), replica.clone());
        let response = async move { attempt_once(&cx, &task, &to, attempts_left, can_retry).await };
        PendingAttempt::new(replica.clone(), response, silence)
    }

    fn record_failure(&self, trace: &RequestTrace, replica: &Arc<Replica>, error: &AttemptError) {
        trace.keep_failed_attempt(error);
        self.cx.metrics.send(&self.task.service, error.name());
        let now = Instant::now();
        match error {
            // The replica or the other node has no fault.
            AttemptError::NotSent(ConnectError::NoDescriptors)
            | AttemptError::NoRoom(_)
            | AttemptError::RefusedByNode { .. }
            | AttemptError::FailedAtNode { .. } => {}
            // An instance that asked for time is avoided for as long, and no longer.
            _ if self.cx.deferrals.wait(replica.run, now).is_some() => {}
            _ => drop(self.cx.loads.record_failure(replica.hash, now)),
        }
    }

    fn record_return(&self, replica: &Arc<Replica>) {
        self.cx.loads.record_success(replica.hash);
    }

    fn has_begun(&self) -> bool {
        false
    }
}

/// Sends a request to a replica and reads the whole response.
async fn attempt_once(
    cx: &ServingCx,
    task: &RequestTask,
    replica: &Arc<Replica>,
    attempts_left: u32,
    can_retry: bool,
) -> Result<Response<ResponseBody>, AttemptError> {
    let is_idempotent = task.kind == RouteKind::Idempotent;
    let _guard = cx.loads.begin_request(replica);
    let mut work = demand_sync::begin_work(cx, task, replica);
    let exchange = async {
        let last_event_id = task.head.last_event_id;
        let upstream =
            attempt::send(cx, replica, task, last_event_id, attempts_left, !is_idempotent).await?;
        let status = upstream.response.status();
        if can_retry && status.is_server_error() {
            return Err(AttemptError::Failure { status: status.as_u16() });
        }
        let is_unframed = upstream.is_unframed();
        Ok((read_response(cx, task, replica, upstream).await?, is_unframed))
    };
    let (response, is_unframed) = task.run_until_due(exchange).await?;
    if let Some(work) = &mut work {
        work.mark_answered();
    }
    match is_unframed {
        true => failed_attempts::add_unframed(cx, task, replica),
        false => cx.crashes.record_completion(&task.crash_keys, Instant::now()),
    }
    match response.status().is_server_error() {
        true => cx.metrics.send(&task.service, "failure"),
        false => {
            cx.metrics.send(&task.service, "answered");
            cx.loads.record_success(replica.hash);
        }
    }
    Ok(response)
}

/// Reads the whole response and returns the connection to the pool.
async fn read_response(
    cx: &ServingCx,
    task: &RequestTask,
    replica: &Replica,
    upstream: UpstreamResponse,
) -> Result<Response<ResponseBody>, AttemptError> {
    let UpstreamResponse { response, head, mut connection, is_reusable } = upstream;
    let (parts, body) = response.into_parts();
    let received = |len| connection.record_data(len);
    let until = task.due();
    let room = BodyRoom { budget: &cx.memory, byte_use: ByteUse::Responses, until };
    let body = limited_body::read_within(body, MAX_RESPONSE_BYTES, room, received).await;
    let body = body.map_err(|e| match e {
        ReadError::NoRoom(reason) => {
            cx.metrics.no_room(ByteUse::Responses, reason);
            AttemptError::NoRoom(reason)
        }
        ReadError::Body(e) => AttemptError::Broken(e.to_string()),
    })?;
    if is_reusable && connection.ready().await {
        cx.pool.put(replica, connection, head.keep_alive);
    }
    let mut response = Response::new(ResponseBody::complete(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() =
        node_relay::response_headers(cx, task, replica, &parts.headers, &head.notice);
    Ok(response)
}
