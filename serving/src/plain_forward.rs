//! Requests with one answer: forwarded to a replica, and to another one where that is safe.

use crate::answer_body::AnswerBody;
use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::fleet_config::RouteKind;
use crate::next_replica::NextStep;
use crate::next_replica::next_replica;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Largest answer that is held until it is whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Part of the objective after which an idempotent request is tried elsewhere.
const SILENT_PART: f64 = 0.7;
/// Forwards a request and returns its answer.
pub async fn forward(cx: &ServingCx, task: &RequestTask) -> Response<AnswerBody> {
    let mut trace = RequestTrace::new(cx, task);
    let mut attempts = Attempts::new();
    loop {
        let replica = match next_replica(cx, task, &mut trace, &mut attempts) {
            NextStep::Send(replica) => replica,
            NextStep::Answer(answer) => return answer,
        };
        match attempt_once(cx, task, &replica, &attempts).await {
            Ok(answer) => {
                trace.begin();
                trace.answered(answer.status().as_u16());
                return answer;
            }
            Err(e) => {
                trace.moved(&task.service, &e.to_string(), e.name());
                attempts.failed(e);
            }
        }
    }
}

async fn attempt_once(
    cx: &ServingCx,
    task: &RequestTask,
    replica: &Replica,
    attempts: &Attempts,
) -> Result<Response<AnswerBody>, AttemptError> {
    let is_idempotent = task.kind == RouteKind::Idempotent;
    let can_go_on = is_idempotent && attempts.runs + 1 < task.max_attempts;
    let guard = cx.loads.begin_request(replica);
    let exchange = async {
        let answered =
            attempt::send(cx, replica, task, task.head.last_event_id, !is_idempotent).await?;
        let status = answered.response.status();
        if can_go_on && status.is_server_error() {
            return Err(AttemptError::Failure { status: status.as_u16() });
        }
        read_whole(cx, replica, answered).await
    };
    let patience = task.received + task.target_latency.mul_f64(SILENT_PART);
    let (until, silent) = match can_go_on {
        true => (patience.min(task.ends), "no answer within a part of the objective"),
        false => (task.ends, "no answer until the deadline"),
    };
    let result = timeout_at(until, exchange).await;
    let result = result.unwrap_or(Err(AttemptError::Silent(silent)));
    drop(guard);
    match &result {
        Ok(answer) if answer.status().is_server_error() => {
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

/// Reads an answer to its end and keeps the connection.
async fn read_whole(
    cx: &ServingCx,
    replica: &Replica,
    answered: Answered,
) -> Result<Response<AnswerBody>, AttemptError> {
    let Answered { response, head, mut connection, may_keep } = answered;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|e| AttemptError::Broken(format!("the answer broke off: {e}")))?;
    if may_keep && connection.ready().await {
        cx.pool.put(replica, connection, head.keep_alive);
    }
    let body: Bytes = body.to_bytes();
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = cx.dialect.caller_headers(&parts.headers);
    Ok(answer)
}
