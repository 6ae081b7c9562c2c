//! Next step of a request without a response: an attempt at another replica, a refusal, or an error.
//! Shared by requests with a single response and by streams.

use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::attempt::Withheld;
use crate::candidates;
use crate::cold_sync;
use crate::crash_keys::CrashSubject;
use crate::crash_record::CrashRefusal;
use crate::local_response;
use crate::node_relay;
use crate::placement;
use crate::placement::NoCapacity;
use crate::placement::Occupancy;
use crate::placement::Timeliness;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use guavaladder_lib::byte_budget::NoRoom;
use http::Response;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time without an event after which callers may give up a stream.
const MAX_STREAM_PAUSE: Duration = Duration::from_secs(2);

/// Next step of a request.
#[derive(Debug)]
pub enum NextStep {
    /// Send the request to a replica.
    Send(Arc<Replica>),
    /// Wait for the silent replica that has the request, or until the rate of a replica allows it.
    Wait,
    /// Return the final response.
    Respond(Response<ResponseBody>),
    /// End the response, which has begun, as incomplete.
    Fail(String),
}

/// What has become of a request so far, apart from its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Whether an attempt at a silent replica may still respond.
    pub has_silent: bool,
    /// Whether the caller has received a part of the response.
    pub has_begun: bool,
}

/// Returns the next step of a request; records the attempt if it is sent to a replica.
pub fn next_replica(
    cx: &ServingCx,
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &mut Attempts,
    progress: Progress,
) -> NextStep {
    if let Some(refusal) = cx.crashes.refusal(&task.crash_keys) {
        return match progress {
            // Waiting sends the request to no further replica.
            Progress { has_silent: true, .. } => NextStep::Wait,
            Progress { has_begun: true, .. } => NextStep::Fail(crash_reason(refusal).to_string()),
            _ => NextStep::Respond(refuse_crashing_request(task, trace, attempts, refusal)),
        };
    }
    if let Some(AttemptError::RefusedByNode { retry_after }) = attempts.last_error
        && attempts.runs == 0
    {
        let reason = last_error(attempts);
        return NextStep::Respond(refuse(trace, &reason, retry_after, Occupancy::default()));
    }
    let withheld = match choose(cx, task, attempts, progress) {
        Ok(replica) => {
            if let Some(e) = &attempts.last_error {
                trace.record_failover(&task.service, &e.to_string(), e.name());
            }
            trace.record_attempt(&replica);
            attempts.tried.push(replica.key.clone());
            return NextStep::Send(replica);
        }
        Err(withheld) => withheld,
    };
    if attempts.last_error.is_some() {
        trace.record_withheld(&task.service, withheld);
    }
    match withheld {
        _ if progress.has_silent => NextStep::Wait,
        Withheld::NoReplica(NoCapacity::RateLimited { next }, _)
            if progress.has_begun && next.is_none_or(|next| is_bearable(task, next)) =>
        {
            NextStep::Wait
        }
        _ if progress.has_begun => NextStep::Fail(format!("{}; {withheld}", last_error(attempts))),
        Withheld::NotAdmitted { reason, retry_after, occupancy } if attempts.runs == 0 => {
            NextStep::Respond(refuse(trace, reason.name(), retry_after, occupancy))
        }
        Withheld::NoReplica(no_capacity, occupancy) if attempts.runs == 0 => {
            NextStep::Respond(refuse_request(task, trace, attempts, no_capacity, occupancy))
        }
        _ => NextStep::Respond(fail_request(task, trace, attempts)),
    }
}

/// Returns whether the caller of a stream would still be there after a pause.
fn is_bearable(task: &RequestTask, pause: Duration) -> bool {
    pause < MAX_STREAM_PAUSE.min(task.time_left(Instant::now()))
}

/// Chooses the replica for the first or another attempt.
fn choose(
    cx: &ServingCx,
    task: &RequestTask,
    attempts: &Attempts,
    progress: Progress,
) -> Result<Arc<Replica>, Withheld> {
    let is_retry = attempts.last_error.is_some();
    if let Some(limit) = attempts.limit(cx, task).filter(|_| is_retry) {
        return Err(limit);
    }
    let has_begun = progress.has_begun || task.has_begun();
    let timeliness = match has_begun {
        true => Timeliness::Begun,
        false => task.timeliness(attempts.tried.len()),
    };
    let replica = candidates::choose(cx, task, &attempts.tried, timeliness)?;
    if is_retry && !attempts.withdraw(cx, task) {
        return Err(Withheld::Budget);
    }
    let now = Instant::now();
    let is_withdrawn = cold_sync::withdraw(cx, &replica, now)
        && cx.rate_limits.withdraw(replica.run, has_begun, now);
    match is_withdrawn {
        true => Ok(replica),
        // Another request has taken it since the choice.
        false => {
            let reason = NoCapacity::RateLimited { next: None };
            Err(Withheld::NoReplica(reason, Occupancy::default()))
        }
    }
}

fn last_error(attempts: &Attempts) -> String {
    attempts.last_error.as_ref().map_or_else(String::new, ToString::to_string)
}

/// Returns the final response to a request that crashes replicas.
fn refuse_crashing_request(
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &Attempts,
    refusal: CrashRefusal,
) -> Response<ResponseBody> {
    if attempts.runs > 0 {
        return fail_request(task, trace, attempts);
    }
    trace.record_refused_as_crashing(refusal);
    local_response::not_run(crash_reason(refusal), task.time_left(Instant::now()))
}

fn crash_reason(refusal: CrashRefusal) -> &'static str {
    match refusal.subject {
        CrashSubject::Request => "replicas crashed each time they ran this request",
        CrashSubject::Part(_) => "replicas crashed each time they ran a part of this prompt",
    }
}

/// Returns the final response to a request whose attempts failed.
fn fail_request(
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &Attempts,
) -> Response<ResponseBody> {
    let reason = last_error(attempts);
    if attempts.runs == 0 {
        let retry_after = placement::retry_after(task.time_left(Instant::now()));
        return refuse(trace, &reason, retry_after, Occupancy::default());
    }
    let status = match attempts.last_error {
        Some(
            AttemptError::TimedOut(_)
            | AttemptError::Silent
            | AttemptError::Down
            | AttemptError::Unreachable
            | AttemptError::NoRoom(NoRoom::TimedOut),
        ) => StatusCode::GATEWAY_TIMEOUT,
        Some(AttemptError::FailedAtNode { status: 504 }) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    trace.record_lost(status.as_u16(), &reason);
    local_response::text(status, "the request was sent, but no usable response was received")
}

/// Returns the refusal of a request for which no replica has capacity.
fn refuse_request(
    task: &RequestTask,
    trace: &mut RequestTrace,
    attempts: &Attempts,
    no_capacity: NoCapacity,
    occupancy: Occupancy,
) -> Response<ResponseBody> {
    let is_unsent = !attempts.has_reached_replica;
    if no_capacity == NoCapacity::Unreachable && task.ticket.is_some() && is_unsent {
        trace.record_refused(
            StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            no_capacity.name(),
            Duration::ZERO,
            occupancy,
        );
        return node_relay::unavailable();
    }
    let time_left = task.time_left(Instant::now());
    let retry_after = placement::retry_after_refusal(no_capacity, time_left);
    refuse(trace, no_capacity.name(), retry_after, occupancy)
}

/// Returns the refusal of a request that was not executed.
fn refuse(
    trace: &mut RequestTrace,
    reason: &str,
    retry_after: Duration,
    occupancy: Occupancy,
) -> Response<ResponseBody> {
    trace.record_refused(StatusCode::SERVICE_UNAVAILABLE.as_u16(), reason, retry_after, occupancy);
    local_response::not_run(reason, retry_after)
}
