//! Forwards streaming requests event by event. When a replica fails, the stream is resumed on another
//! replica after the last event that the caller received.
//!
//! Load pattern: every few seconds, a group loses a member and all its streams stall. The first request
//! or probe to detect this marks the replica as down, and each of its streams is resumed on another
//! replica at once. A replica that was only silent may respond first; its response is used then.

use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::attempt_loop::AttemptKind;
use crate::attempt_loop::AttemptLoop;
use crate::attempt_loop::NoResponse;
use crate::attempt_loop::PendingAttempt;
use crate::connection::ConnectError;
use crate::local_response;
use crate::node_relay;
use crate::replica_health;
use crate::replica_health::SuspicionCause;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use crate::stream_relay;
use crate::upstream_stream::StreamItem;
use crate::upstream_stream::UpstreamStream;
use http::Response;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// Time without an event after which a stream is sent elsewhere while this node reaches no instance. Its old
/// connection may still work.
const UNREACHABLE_SILENCE: Duration = Duration::from_millis(350);

/// A stream with its next item.
pub type OpenStream = (UpstreamStream, StreamItem);

/// Attempts to open or resume the stream of a request.
pub struct StreamAttempts {
    /// Context of the node.
    pub cx: ServingCx,
    /// Request.
    pub task: Arc<RequestTask>,
    /// Id of the last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Whether the caller has received a part of the response.
    pub has_begun: bool,
}

/// Forwards a request and returns the response once its first event has been received.
pub async fn forward(cx: &ServingCx, task: Arc<RequestTask>) -> Response<ResponseBody> {
    let mut trace = RequestTrace::new(cx, &task);
    let mut attempts = Attempts::new();
    let last_event_id = task.head.last_event_id;
    let kind =
        StreamAttempts { cx: cx.clone(), task: task.clone(), last_event_id, has_begun: false };
    let (trace_ref, attempts_ref) = (&mut trace, &mut attempts);
    let mut opening =
        AttemptLoop { cx, task: &task, trace: trace_ref, attempts: attempts_ref, kind };
    match opening.run(None).await {
        Ok(open) => stream_relay::start(cx, task, trace, attempts, open),
        Err(NoResponse::Respond(response)) => response,
        Err(NoResponse::Failed(cause)) => {
            trace.record_lost(StatusCode::BAD_GATEWAY.as_u16(), &cause);
            local_response::text(StatusCode::BAD_GATEWAY, &cause)
        }
    }
}

impl AttemptKind for StreamAttempts {
    type Response = OpenStream;

    fn start(
        &self,
        replica: &Arc<Replica>,
        attempts: &Attempts,
    ) -> PendingAttempt<'static, OpenStream> {
        let attempts_left = attempts.left(&self.cx, &self.task);
        let (cx, task) = (self.cx.clone(), self.task.clone());
        let (last_event_id, has_begun) = (self.last_event_id, self.has_begun);
        let to = replica.clone();
        let response = async move {
            let opened =
                UpstreamStream::open(&cx, &task, &to, last_event_id, attempts_left, has_begun);
            task.run_until_due(opened).await
        };
        PendingAttempt::new(replica.clone(), response, silence(self.cx.clone(), replica))
    }

    fn record_failure(&self, trace: &RequestTrace, replica: &Arc<Replica>, error: &AttemptError) {
        record_failure(&self.cx, trace, &self.task, replica, error);
    }

    fn record_return(&self, replica: &Arc<Replica>) {
        replica_health::record_return(&self.cx, replica);
    }

    fn has_begun(&self) -> bool {
        self.has_begun
    }
}

/// Waits until a replica that has not begun to respond counts as silent.
fn silence(cx: ServingCx, replica: &Arc<Replica>) -> impl Future<Output = AttemptError> + use<> {
    let (is_node, hash, started) = (replica.is_node, replica.hash, Instant::now());
    async move {
        if is_node {
            sleep(node_relay::SILENCE).await;
            return AttemptError::TimedOut("no event of the stream from another node");
        }
        wait_until_silent(&cx, hash, started).await
    }
}

/// Waits until a replica is marked as down, or this node reaches no instance and the replica has been silent
/// since `silent_since` for long enough.
pub async fn wait_until_silent(cx: &ServingCx, hash: u64, silent_since: Instant) -> AttemptError {
    let is_unreachable = async {
        cx.reach.wait_until_cut().await;
        sleep_until(silent_since + UNREACHABLE_SILENCE).await;
    };
    tokio::select! {
        e = wait_until_down(cx.loads.watch_down(hash)) => e,
        () = is_unreachable => AttemptError::Unreachable,
    }
}

/// Waits until a replica is marked as down.
async fn wait_until_down(mut down: watch::Receiver<Option<Instant>>) -> AttemptError {
    let is_down = |until: &Option<Instant>| until.is_some_and(|until| until > Instant::now());
    if down.wait_for(is_down).await.is_err() {
        std::future::pending::<()>().await;
    }
    AttemptError::Down
}

/// Updates the metrics and the replica's health after an attempt failed or its replica fell silent.
pub fn record_failure(
    cx: &ServingCx,
    trace: &RequestTrace,
    task: &RequestTask,
    replica: &Arc<Replica>,
    e: &AttemptError,
) {
    let now = Instant::now();
    cx.metrics.send(&task.service, e.name());
    trace.keep_failed_attempt(e);
    match e {
        AttemptError::NotSent(ConnectError::NoDescriptors)
        | AttemptError::TimedOut(_)
        | AttemptError::Silent
        | AttemptError::Down
        | AttemptError::Unreachable
        | AttemptError::RefusedByNode { .. }
        | AttemptError::FailedAtNode { .. }
        | AttemptError::NoRoom(_)
        | AttemptError::Superseded => {}
        AttemptError::NotRun { at_fault: Some(at_fault), .. } => {
            replica_health::suspect(cx, replica, SuspicionCause::Blamed(at_fault.clone()));
        }
        AttemptError::NotRun { .. } if cx.deferrals.wait(replica.run, now).is_some() => {}
        _ => {
            cx.loads.record_failure(replica.hash, now);
            replica_health::suspect(cx, replica, SuspicionCause::Failed(e.to_string()));
        }
    }
}
