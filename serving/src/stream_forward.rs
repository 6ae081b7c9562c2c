//! Forwards streaming requests event by event. When a replica fails, the stream is resumed on another
//! replica after the last event that the caller received.
//!
//! Load pattern: every few seconds, a group loses a member and all its streams stall. The first request
//! or probe to detect this marks the replica as down, and each of its streams is resumed on another
//! replica at once.

use crate::attempt;
use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::attempt::UpstreamResponse;
use crate::candidates;
use crate::failed_attempts;
use crate::fleet_config::RouteKind;
use crate::load_table::RequestGuard;
use crate::next_replica::NextStep;
use crate::next_replica::next_replica;
use crate::placement::Timeliness;
use crate::replica_health;
use crate::replica_health::SuspicionCause;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use crate::sse::EventDecoder;
use crate::sse::StreamError;
use crate::sse::StreamEvent;
use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::watch;
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

/// An event stream being received from a replica.
struct UpstreamStream {
    replica: Arc<Replica>,
    guard: RequestGuard,
    upstream: UpstreamResponse,
    decoder: EventDecoder,
    down: watch::Receiver<Option<Instant>>,
    last_event_at: Instant,
}

/// Next item of an event stream.
enum StreamItem {
    Event(StreamEvent),
    End,
}

/// Forwards a request and returns the response once its first event has been received.
pub async fn forward(cx: &ServingCx, task: Arc<RequestTask>) -> Response<ResponseBody> {
    let mut trace = RequestTrace::new(cx, &task);
    let mut attempts = Attempts::new();
    loop {
        failed_attempts::settle(cx, task.fingerprint).await;
        let replica = match next_replica(cx, &task, &mut trace, &mut attempts) {
            NextStep::Send(replica) => replica,
            NextStep::Respond(response) => return response,
        };
        let last_event_id = task.head.last_event_id;
        match open_stream(cx, &task, &replica, last_event_id).await {
            Ok((stream, first)) => return start_relay(cx, task, trace, attempts, stream, first),
            Err(e) => {
                record_failure(cx, &trace, &task, &replica, &e);
                trace.record_failover(&task.service, &e.to_string(), e.name());
                attempts.record_failure(e);
            }
        }
    }
}

/// Sends a request and waits for the first event, or for the end of a stream without events.
async fn open_stream(
    cx: &ServingCx,
    task: &RequestTask,
    replica: &Arc<Replica>,
    last_event_id: Option<u64>,
) -> Result<(UpstreamStream, StreamItem), AttemptError> {
    let guard = cx.loads.begin_request(replica);
    let mut down = cx.loads.watch_down(replica.hash);
    let upstream = tokio::select! {
        upstream = attempt::send(cx, replica, task, last_event_id, false) => upstream?,
        e = wait_for_loss(&mut down, task) => return Err(e),
    };
    let decoder = EventDecoder::new();
    let last_event_at = Instant::now();
    cx.loads.record_activity(replica.hash, last_event_at);
    let replica = replica.clone();
    let mut stream = UpstreamStream { replica, guard, upstream, decoder, down, last_event_at };
    let status = stream.upstream.response.status();
    if status.is_server_error() {
        return Err(AttemptError::Failure { status: status.as_u16() });
    }
    let next = stream.next(cx, task, task.deadline).await?;
    stream.guard.mark_answered();
    Ok((stream, next))
}

/// Waits until a replica is marked as down or the request's deadline has passed.
async fn wait_for_loss(
    down: &mut watch::Receiver<Option<Instant>>,
    task: &RequestTask,
) -> AttemptError {
    tokio::select! {
        () = wait_until_down(down) => AttemptError::Down,
        () = sleep_until(task.deadline) => AttemptError::TimedOut("no event before the deadline"),
    }
}

/// Waits until a replica is marked as down.
async fn wait_until_down(down: &mut watch::Receiver<Option<Instant>>) {
    let is_down = |until: &Option<Instant>| until.is_some_and(|until| until > Instant::now());
    if down.wait_for(is_down).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl UpstreamStream {
    /// Waits for the next event.
    async fn next(
        &mut self,
        cx: &ServingCx,
        task: &RequestTask,
        until: Instant,
    ) -> Result<StreamItem, AttemptError> {
        loop {
            // Bytes that keep arriving would otherwise never let this wait for the deadline.
            if Instant::now() >= task.deadline {
                return Err(AttemptError::TimedOut("no end of the stream before the deadline"));
            }
            if let Some(event) = self.decoder.next_event().map_err(to_broken)? {
                let now = Instant::now();
                let interval = now - self.last_event_at;
                self.last_event_at = now;
                let expected = expected_event_interval(cx, &self.replica);
                cx.loads.record_event_interval(self.replica.hash, interval, expected, now);
                return Ok(StreamItem::Event(event));
            }
            let body = self.upstream.response.body_mut();
            let frame = tokio::select! {
                frame = next_frame(body) => frame?,
                e = wait_for_loss(&mut self.down, task) => return Err(e),
                () = sleep_until(until) => {
                    return Err(AttemptError::TimedOut("no event on this stream for too long"));
                }
            };
            match frame {
                Some(bytes) => {
                    self.upstream.connection.record_data(bytes.len());
                    self.decoder.push(&bytes).map_err(to_broken)?;
                }
                None => {
                    let rest = self.decoder.finish().map_err(to_broken)?;
                    return Ok(rest.map_or(StreamItem::End, StreamItem::Event));
                }
            }
        }
    }

    /// Returns the connection of a completed stream to the pool.
    async fn return_connection(self, cx: &ServingCx) {
        let UpstreamResponse { mut connection, head, is_reusable, .. } = self.upstream;
        if is_reusable && connection.ready().await {
            cx.pool.put(&self.replica, connection, head.keep_alive);
        }
    }
}

/// Converts an error of the stream's events; the replica may have run the request.
fn to_broken(e: StreamError) -> AttemptError {
    AttemptError::Broken(e.to_string())
}

/// Returns the next data frame of a body, or `None` at its end.
async fn next_frame(body: &mut Incoming) -> Result<Option<Bytes>, AttemptError> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
            Some(Err(e)) => return Err(AttemptError::Broken(format!("the stream failed: {e}"))),
        }
    }
}

fn expected_event_interval(cx: &ServingCx, replica: &Replica) -> Duration {
    let Some(table) = cx.config.get() else { return Duration::ZERO };
    let Some(engine) = table.config.engine(&replica.service) else { return Duration::ZERO };
    let running = cx.loads.state(replica, Instant::now()).requests();
    engine.pass_time_of(replica.model.as_deref(), running).unwrap_or_default()
}

/// Starts the task that relays events to the caller and returns the response that it writes to.
fn start_relay(
    cx: &ServingCx,
    task: Arc<RequestTask>,
    mut trace: RequestTrace,
    attempts: Attempts,
    stream: UpstreamStream,
    first: StreamItem,
) -> Response<ResponseBody> {
    trace.record_response_start();
    trace.record_begun();
    let status = stream.upstream.response.status();
    let headers = cx.dialect.caller_headers(stream.upstream.response.headers());
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
        let status = stream.upstream.response.status().as_u16();
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
                    Err(e) => Some(e),
                },
                Ok(StreamItem::End) => {
                    self.cx.loads.record_success(stream.replica.hash);
                    self.cx.crashes.record_completion(self.task.fingerprint, Instant::now());
                    self.cx.metrics.send(&self.task.service, "answered");
                    stream.return_connection(&self.cx).await;
                    return RelayOutcome::Complete;
                }
                Err(e) => Some(e),
            };
            next = match error {
                None => self.next_item(&mut stream).await,
                Some(e) => {
                    record_failure(&self.cx, &self.trace, &self.task, &stream.replica, &e);
                    match self.resume(e).await {
                        Ok((other, first)) => {
                            stream = other;
                            Ok(first)
                        }
                        Err(outcome) => return outcome,
                    }
                }
            };
            if self.tx.is_closed() {
                return RelayOutcome::CallerDisconnected;
            }
        }
    }

    async fn next_item(&self, stream: &mut UpstreamStream) -> Result<StreamItem, AttemptError> {
        let until = Instant::now() + MAX_EVENT_GAP;
        tokio::select! {
            next = stream.next(&self.cx, &self.task, until) => next,
            () = self.tx.closed() => Err(AttemptError::TimedOut("the caller disconnected")),
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
        let sent = timeout_at(self.task.deadline, self.tx.send(Ok(event.bytes))).await;
        sent.map(|sent| sent.is_ok()).map_err(|_| AttemptError::TimedOut(CALLER_NOT_READING))
    }

    /// Resumes a stream on another replica after the last event that was relayed.
    async fn resume(
        &mut self,
        error: AttemptError,
    ) -> Result<(UpstreamStream, StreamItem), RelayOutcome> {
        let mut error = error;
        let mut had_started = true;
        loop {
            if self.tx.is_closed() {
                return Err(RelayOutcome::CallerDisconnected);
            }
            self.trace.record_failover(&self.task.service, &error.to_string(), error.name());
            let cause = error.to_string();
            match had_started {
                true => self.attempts.record_stream_failure(error),
                false => self.attempts.record_failure(error),
            }
            had_started = false;
            failed_attempts::settle(&self.cx, self.task.fingerprint).await;
            let is_resumable = self.task.kind == RouteKind::Streaming { is_resumable: true };
            let is_refused = self.cx.crashes.refusal(self.task.fingerprint).is_some();
            if !is_resumable || is_refused || !self.attempts.may_send(&self.cx, &self.task) {
                return Err(RelayOutcome::Failed(cause));
            }
            let tried = &self.attempts.tried;
            let Ok(replica) = candidates::choose(&self.cx, &self.task, tried, Timeliness::Begun)
            else {
                return Err(RelayOutcome::Failed(format!(
                    "{cause}; no other replica is available"
                )));
            };
            self.trace.record_attempt(&replica);
            self.attempts.tried.push(replica.key.clone());
            let opened = tokio::select! {
                opened = open_stream(&self.cx, &self.task, &replica, self.last_event_id) => opened,
                () = self.tx.closed() => return Err(RelayOutcome::CallerDisconnected),
            };
            match opened {
                Ok(opened) => {
                    self.trace.record_begun();
                    return Ok(opened);
                }
                Err(e) => {
                    record_failure(&self.cx, &self.trace, &self.task, &replica, &e);
                    error = e;
                }
            }
        }
    }
}

/// Updates the metrics and the replica's health after a failed attempt.
fn record_failure(
    cx: &ServingCx,
    trace: &RequestTrace,
    task: &RequestTask,
    replica: &Arc<Replica>,
    e: &AttemptError,
) {
    let now = Instant::now();
    cx.metrics.send(&task.service, e.name());
    if matches!(e, AttemptError::TimedOut("the caller disconnected" | CALLER_NOT_READING)) {
        return;
    }
    trace.keep_failed_attempt(e);
    match e {
        AttemptError::TimedOut(_) | AttemptError::Down => {}
        AttemptError::NotRun { at_fault: Some(at_fault), .. } => {
            replica_health::suspect(cx, replica, SuspicionCause::Blamed(at_fault.clone()));
        }
        _ => {
            cx.loads.record_failure(replica.hash, now);
            replica_health::suspect(cx, replica, SuspicionCause::Failed(e.to_string()));
        }
    }
}
