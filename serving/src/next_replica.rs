//! What comes next for a request that is not answered: another replica, a refusal, or its end. Alike
//! for requests with one answer and for streams.

use crate::attempt::AttemptError;
use crate::attempt::Attempts;
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

/// What comes next for a request.
#[derive(Debug)]
pub enum NextStep {
    /// An attempt at a replica.
    Send(Arc<Replica>),
    /// The final answer.
    Answer(Response<ResponseBody>),
}

/// Returns what comes next for a request; an attempt is noted.
pub fn next_replica(
    cx: &ServingCx,
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &mut Attempts,
) -> NextStep {
    if attempts.last_error.is_some() && !attempts.may_send(cx, task) {
        return NextStep::Answer(give_up(task, trace, attempts));
    }
    let prospect = task.prospect(attempts.tried.len());
    match candidates::choose(cx, task, &attempts.tried, prospect) {
        Ok(replica) => {
            trace.record_attempt(&replica);
            attempts.tried.push(replica.key.clone());
            NextStep::Send(replica)
        }
        Err(_) if attempts.runs > 0 => NextStep::Answer(give_up(task, trace, attempts)),
        Err((shortage, occupancy)) => {
            NextStep::Answer(turn_away(task, trace, shortage.name(), occupancy))
        }
    }
}

/// Returns the final answer to a request whose attempts failed.
fn give_up(
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &Attempts,
) -> Response<ResponseBody> {
    let error = attempts.last_error.as_ref();
    let reason = error.map_or_else(String::new, ToString::to_string);
    if attempts.runs == 0 {
        return turn_away(task, trace, &reason, Occupancy::default());
    }
    let status = match error {
        Some(AttemptError::TimedOut(_) | AttemptError::Down) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    trace.record_lost(status.as_u16(), &reason);
    local_response::text(status, "the request was sent and has no usable answer")
}

/// Refuses a request that did not run.
fn turn_away(
    task: &RequestTask,
    trace: &mut RequestTrace,
    reason: &str,
    occupancy: Occupancy,
) -> Response<ResponseBody> {
    let retry_after = placement::retry_after(task.time_left(Instant::now()));
    trace.record_refused(StatusCode::SERVICE_UNAVAILABLE.as_u16(), reason, retry_after, occupancy);
    local_response::not_run(reason, retry_after)
}
