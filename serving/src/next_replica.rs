//! Next step of a request without a response: an attempt at another replica, a refusal, or an error.
//! Shared by requests with a single response and by streams.

use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::attempt::Withheld;
use crate::candidates;
use crate::local_response;
use crate::placement;
use crate::placement::Occupancy;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use http::Response;
use http::StatusCode;
use std::sync::Arc;
use tokio::time::Instant;

/// Next step of a request.
#[derive(Debug)]
pub enum NextStep {
    /// Send the request to a replica.
    Send(Arc<Replica>),
    /// Return the final response.
    Respond(Response<ResponseBody>),
}

/// Returns the next step of a request; records the attempt if it is sent to a replica.
pub fn next_replica(
    cx: &ServingCx,
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &mut Attempts,
) -> NextStep {
    if let Some(crashes) = cx.crashes.refusal(task.fingerprint) {
        return NextStep::Respond(refuse_crashing_request(task, trace, attempts, crashes));
    }
    let is_retry = attempts.last_error.is_some();
    if is_retry && let Err(withheld) = attempts.check_send(cx, task) {
        trace.record_withheld(&task.service, withheld);
        return NextStep::Respond(fail_request(task, trace, attempts));
    }
    let timeliness = task.timeliness(attempts.tried.len());
    match candidates::choose(cx, task, &attempts.tried, timeliness) {
        Ok(replica) => {
            trace.record_attempt(&replica);
            attempts.tried.push(replica.key.clone());
            NextStep::Send(replica)
        }
        Err(_) if attempts.runs > 0 => {
            trace.record_withheld(&task.service, Withheld::NoReplica);
            NextStep::Respond(fail_request(task, trace, attempts))
        }
        Err((no_capacity, occupancy)) => {
            NextStep::Respond(refuse_request(task, trace, no_capacity.name(), occupancy))
        }
    }
}

/// Returns the final response to a request that crashes replicas.
fn refuse_crashing_request(
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &Attempts,
    crashes: usize,
) -> Response<ResponseBody> {
    if attempts.runs > 0 {
        return fail_request(task, trace, attempts);
    }
    trace.record_refused_as_crashing(crashes);
    let reason = "replicas crashed each time they ran this request";
    local_response::not_run(reason, task.time_left(Instant::now()))
}

/// Returns the final response to a request whose attempts failed.
fn fail_request(
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &Attempts,
) -> Response<ResponseBody> {
    let error = attempts.last_error.as_ref();
    let reason = error.map_or_else(String::new, ToString::to_string);
    if attempts.runs == 0 {
        return refuse_request(task, trace, &reason, Occupancy::default());
    }
    let status = match error {
        Some(AttemptError::TimedOut(_) | AttemptError::Down) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    trace.record_lost(status.as_u16(), &reason);
    local_response::text(status, "the request was sent, but no usable response was received")
}

/// Returns the refusal of a request that was not executed.
fn refuse_request(
    task: &RequestTask,
    trace: &mut RequestTrace,
    reason: &str,
    occupancy: Occupancy,
) -> Response<ResponseBody> {
    let retry_after = placement::retry_after(task.time_left(Instant::now()));
    trace.record_refused(StatusCode::SERVICE_UNAVAILABLE.as_u16(), reason, retry_after, occupancy);
    local_response::not_run(reason, retry_after)
}
