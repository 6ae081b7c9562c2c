//! Forwards non-streaming requests to a replica, and retries them on another replica where that is
//! safe.

use crate::attempt;
use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::attempt::UpstreamResponse;
use crate::failed_attempts;
use crate::fleet_config::RouteKind;
use crate::next_replica::NextStep;
use crate::next_replica::next_replica;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use guavaladder_lib::limited_body;
use http::Response;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Largest response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Fraction of the route's target latency after which an idempotent request is retried on another
/// replica.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.7;

/// Forwards a request and returns the response for the caller.
pub async fn forward(cx: &ServingCx, task: &RequestTask) -> Response<ResponseBody> {
    let mut trace = RequestTrace::new(cx, task);
    let mut attempts = Attempts::new();
    loop {
        failed_attempts::settle(cx, task.fingerprint).await;
        let replica = match next_replica(cx, task, &mut trace, &mut attempts) {
            NextStep::Send(replica) => replica,
            NextStep::Respond(response) => return response,
        };
        match attempt_once(cx, task, &replica, &attempts).await {
            Ok(response) => {
                trace.record_response_start();
                trace.record_response(response.status().as_u16());
                return response;
            }
            Err(e) => {
                trace.keep_failed_attempt(&e);
                trace.record_failover(&task.service, &e.to_string(), e.name());
                attempts.record_failure(e);
            }
        }
    }
}

async fn attempt_once(
    cx: &ServingCx,
    task: &RequestTask,
    replica: &Replica,
    attempts: &Attempts,
) -> Result<Response<ResponseBody>, AttemptError> {
    let is_idempotent = task.kind == RouteKind::Idempotent;
    let can_retry = is_idempotent && attempts.runs + 1 < task.max_attempts;
    let guard = cx.loads.begin_request(replica);
    let exchange = async {
        let upstream =
            attempt::send(cx, replica, task, task.head.last_event_id, !is_idempotent).await?;
        let status = upstream.response.status();
        if can_retry && status.is_server_error() {
            return Err(AttemptError::Failure { status: status.as_u16() });
        }
        read_response(cx, replica, upstream).await
    };
    let retry_at = task.received + task.target_latency.mul_f64(ATTEMPT_TIMEOUT_FRACTION);
    let (until, reason) = match can_retry {
        true => {
            (retry_at.min(task.deadline), "no response within a fraction of the target latency")
        }
        false => (task.deadline, "no response before the deadline"),
    };
    let result = timeout_at(until, exchange).await;
    let result = result.unwrap_or(Err(AttemptError::TimedOut(reason)));
    drop(guard);
    if result.is_ok() {
        cx.crashes.record_completion(task.fingerprint, Instant::now());
    }
    match &result {
        Ok(response) if response.status().is_server_error() => {
            cx.metrics.send(&task.service, "failure");
        }
        Ok(_) => {
            cx.metrics.send(&task.service, "answered");
            cx.loads.record_success(replica.hash);
        }
        Err(e) => {
            cx.metrics.send(&task.service, e.name());
            cx.loads.record_failure(replica.hash, Instant::now());
        }
    }
    result
}

/// Reads the whole response and returns the connection to the pool.
async fn read_response(
    cx: &ServingCx,
    replica: &Replica,
    upstream: UpstreamResponse,
) -> Result<Response<ResponseBody>, AttemptError> {
    let UpstreamResponse { response, head, mut connection, is_reusable } = upstream;
    let (parts, body) = response.into_parts();
    let received = |len| connection.record_data(len);
    let body = limited_body::read_with(body, MAX_RESPONSE_BYTES, received).await;
    let body = body.map_err(|e| AttemptError::Broken(e.to_string()))?;
    if is_reusable && connection.ready().await {
        cx.pool.put(replica, connection, head.keep_alive);
    }
    let mut response = Response::new(ResponseBody::complete(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = cx.dialect.caller_headers(&parts.headers);
    Ok(response)
}
