//! Relays the events of one stream to its caller, and resumes it on another replica if its replica fails
//! or falls silent.

use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::attempt_loop::AttemptLoop;
use crate::attempt_loop::NoResponse;
use crate::attempt_loop::PendingAttempt;
use crate::failed_attempts;
use crate::node_relay;
use crate::node_stop::CATCH_UP_TIME;
use crate::node_stop::sleep_until_caught_up;
use crate::replica_health::MIN_SILENCE;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use crate::sse::StreamEvent;
use crate::stream_forward;
use crate::stream_forward::OpenStream;
use crate::stream_forward::StreamAttempts;
use crate::upstream_stream::StreamItem;
use crate::upstream_stream::UpstreamStream;
use bytes::Bytes;
use guavaladder_lib::byte_budget::ByteUse;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

/// Maximum number of events buffered for a caller that reads slowly.
const EVENT_QUEUE_LEN: usize = 32;
/// Maximum time without an event before a stream is resumed on another replica, even if its replica
/// still responds: the connection may have failed without an error. Callers give up after two seconds.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1300);
/// Error of a stream whose caller reads too slowly.
const CALLER_NOT_READING: &str = "the caller did not read the events before the deadline";
/// Error of a stream whose next event cannot be kept.
const NO_ROOM: &str = "there was no room for the next event before the deadline";

/// Starts the task that relays events to the caller and returns the response that it writes to.
pub fn start(
    cx: &ServingCx,
    task: Arc<RequestTask>,
    mut trace: RequestTrace,
    attempts: Attempts,
    (stream, first): OpenStream,
) -> Response<ResponseBody> {
    trace.record_response_start();
    trace.record_begun();
    task.record_begun();
    let status = stream.status();
    let (replica, received) = (&stream.replica, stream.headers());
    let headers = node_relay::response_headers(cx, &task, replica, received, stream.notice());
    let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
    let relay =
        Relay { cx: cx.clone(), last_event_id: task.head.last_event_id, task, trace, attempts, tx };
    tokio::spawn(relay.run(stream, first));
    streaming_response(status, headers, rx)
}

fn streaming_response(
    status: StatusCode,
    headers: HeaderMap,
    rx: mpsc::Receiver<Result<Bytes, io::Error>>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Chunks(rx));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Relays the events of one request to its caller.
struct Relay {
    cx: ServingCx,
    task: Arc<RequestTask>,
    trace: RequestTrace,
    attempts: Attempts,
    last_event_id: Option<u64>,
    tx: mpsc::Sender<Result<Bytes, io::Error>>,
}

/// Outcome of relaying a stream.
enum RelayOutcome {
    Complete,
    CallerDisconnected,
    Failed(String),
}

impl Relay {
    async fn run(mut self, stream: UpstreamStream, first: StreamItem) {
        let status = stream.status().as_u16();
        match self.relay(stream, first).await {
            RelayOutcome::Complete => self.trace.record_response(status),
            RelayOutcome::CallerDisconnected => self.trace.record_abandoned(),
            RelayOutcome::Failed(cause) => {
                self.trace.record_lost(status, &cause);
                let aborted = io::Error::new(io::ErrorKind::ConnectionAborted, cause);
                // Sending fails only if the caller has disconnected, and then nobody needs the error.
                let _ = self.tx.send(Err(aborted)).await;
            }
        }
    }

    async fn relay(&mut self, mut stream: UpstreamStream, first: StreamItem) -> RelayOutcome {
        let mut next = Ok(first);
        loop {
            let error = match next {
                Ok(StreamItem::Event(event)) => match self.relay_event(event).await {
                    Ok(true) => None,
                    Ok(false) => return RelayOutcome::CallerDisconnected,
                    Err(AttemptError::TimedOut(cause)) => {
                        return RelayOutcome::Failed(cause.to_string());
                    }
                    Err(e) => Some(e),
                },
                Ok(StreamItem::End) => {
                    self.cx.loads.record_success(stream.replica.hash);
                    self.record_completed_run(&stream);
                    self.cx.metrics.send(&self.task.service, "answered");
                    stream.return_connection(&self.cx).await;
                    return RelayOutcome::Complete;
                }
                Err(e) => Some(e),
            };
            next = match error {
                None => match self.next_item(&mut stream).await {
                    Some(next) => next,
                    None => return RelayOutcome::CallerDisconnected,
                },
                Some(e) => match self.recover(stream, e).await {
                    Ok((recovered, first)) => {
                        stream = recovered;
                        Ok(first)
                    }
                    Err(outcome) => return outcome,
                },
            };
            if self.tx.is_closed() {
                return RelayOutcome::CallerDisconnected;
            }
        }
    }

    /// Clears the request and the parts of its prompt of crashes, unless the replica has not begun an
    /// answer.
    fn record_completed_run(&self, stream: &UpstreamStream) {
        if !stream.status().is_success() || self.trace.events == 0 {
            return;
        }
        if stream.is_unframed() {
            failed_attempts::add_unframed(&self.cx, &self.task, &stream.replica);
        } else {
            self.cx.crashes.record_completion(&self.task.crash_keys, Instant::now());
        }
    }

    /// Waits for the next item until the replica counts as silent; `None` if the caller has disconnected.
    async fn next_item(
        &self,
        stream: &mut UpstreamStream,
    ) -> Option<Result<StreamItem, AttemptError>> {
        let now = Instant::now();
        let until = now + MAX_EVENT_GAP;
        let (hash, is_node) = (stream.replica.hash, stream.replica.is_node);
        let silent = async {
            // A mark is no reason to leave a replica that makes progress on this stream.
            sleep_until(now + MIN_SILENCE).await;
            match is_node {
                true => std::future::pending().await,
                false => stream_forward::wait_until_silent(&self.cx, hash, now).await,
            }
        };
        tokio::select! {
            next = stream.next_until_due(&self.cx, &self.task) => Some(next),
            e = silent => Some(Err(e)),
            () = sleep_until_caught_up(until, CATCH_UP_TIME) => Some(Err(AttemptError::Silent)),
            () = self.tx.closed() => None,
        }
    }

    /// Relays an event; returns false if the caller has disconnected.
    async fn relay_event(&mut self, event: StreamEvent) -> Result<bool, AttemptError> {
        if let (Some(id), Some(last)) = (event.id, self.last_event_id) {
            let has_started = self.trace.events > 0;
            if id <= last {
                return Ok(true);
            }
            if has_started && id != last + 1 {
                return Err(AttemptError::Broken(format!(
                    "event {id} was received after event {last}"
                )));
            }
        }
        if event.id.is_some() {
            self.last_event_id = event.id;
        }
        self.trace.events += 1;
        self.cx.metrics.stream_events(&self.task.service, 1);
        let due = self.task.due();
        let room = self.cx.memory.reserve(ByteUse::Events, event.bytes.len(), due);
        let room = tokio::select! {
            room = room => room,
            () = self.tx.closed() => return Ok(false),
        };
        let room = room.map_err(|reason| {
            self.cx.metrics.no_room(ByteUse::Events, reason);
            AttemptError::TimedOut(NO_ROOM)
        })?;
        let until = due.max(Instant::now() + CATCH_UP_TIME);
        let sent = timeout_at(until, self.tx.send(Ok(room.hold(event.bytes)))).await;
        sent.map(|sent| sent.is_ok()).map_err(|_| AttemptError::TimedOut(CALLER_NOT_READING))
    }

    /// Resumes a stream on another replica after the last event that was relayed, or goes on with it if
    /// its silent replica responds first.
    async fn recover(
        &mut self,
        stream: UpstreamStream,
        error: AttemptError,
    ) -> Result<OpenStream, RelayOutcome> {
        stream_forward::record_failure(&self.cx, &self.trace, &self.task, &stream.replica, &error);
        self.trace.end_attempt();
        let silent = match error {
            AttemptError::Down | AttemptError::Silent | AttemptError::Unreachable => {
                Some(self.wait_for(stream))
            }
            _ => None,
        };
        self.attempts.record_stream_failure(error);
        let kind = StreamAttempts {
            cx: self.cx.clone(),
            task: self.task.clone(),
            last_event_id: self.last_event_id,
            has_begun: true,
        };
        let mut resuming = AttemptLoop {
            cx: &self.cx,
            task: &self.task,
            trace: &mut self.trace,
            attempts: &mut self.attempts,
            kind,
        };
        let recovered = tokio::select! {
            recovered = resuming.run(silent) => recovered,
            () = self.tx.closed() => return Err(RelayOutcome::CallerDisconnected),
        };
        match recovered {
            Ok(open) => {
                self.trace.record_begun();
                Ok(open)
            }
            Err(NoResponse::Failed(cause)) => Err(RelayOutcome::Failed(cause)),
            Err(NoResponse::Respond(response)) => {
                Err(RelayOutcome::Failed(format!("status {}", response.status())))
            }
        }
    }

    /// Waits for a stream whose replica fell silent.
    fn wait_for(&self, mut stream: UpstreamStream) -> PendingAttempt<'static, OpenStream> {
        let (cx, task, replica) = (self.cx.clone(), self.task.clone(), stream.replica.clone());
        let next = async move {
            let next = stream.next_until_due(&cx, &task).await?;
            Ok((stream, next))
        };
        PendingAttempt::with_silent_replica(replica, next)
    }
}
