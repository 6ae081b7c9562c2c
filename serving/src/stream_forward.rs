//! Requests answered by a stream of events: passed on event by event, and gone on with at another
//! replica after the last event that the caller has.
//!
//! Load pattern: a group loses a member and stands still with all its streams, every few seconds.
//! Whoever notices marks the replica as down, and each of its streams goes on elsewhere at once.

use crate::answer_body::AnswerBody;
use crate::attempt;
use crate::attempt::Answered;
use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::candidates;
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
use crate::serving_cx::ServingCx;
use crate::sse::EventDecoder;
use crate::sse::StreamEvent;
use bytes::Bytes;
use guavaladder_lib::generated::serving_peer::CrashMark;
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

/// Events that may wait for a caller that reads slowly.
const EVENT_QUEUE_LEN: usize = 32;
/// Longest time without any event on one stream before it goes on elsewhere, although its replica
/// answers: the connection may be lost without a word. Callers leave after two seconds.
const MAX_SILENCE: Duration = Duration::from_millis(1300);
/// A stream that a replica sends.
struct Source {
    replica: Arc<Replica>,
    guard: RequestGuard,
    answered: Answered,
    decoder: EventDecoder,
    down: watch::Receiver<Option<Instant>>,
    last_event_at: Instant,
}

/// What came next on a stream.
enum Next {
    Event(StreamEvent),
    End,
}

/// Forwards a request and returns the answer once its first event has come.
pub async fn forward(cx: &ServingCx, task: Arc<RequestTask>) -> Response<AnswerBody> {
    let mut trace = RequestTrace::new(cx, &task);
    let mut attempts = Attempts::new();
    loop {
        let replica = match next_replica(cx, &task, &mut trace, &mut attempts) {
            NextStep::Send(replica) => replica,
            NextStep::Answer(answer) => return answer,
        };
        let last_event_id = task.head.last_event_id;
        match begin(cx, &task, &replica, last_event_id).await {
            Ok((source, first)) => return pass_on(cx, task, trace, attempts, source, first),
            Err(e) => {
                note_failure(cx, &task, &replica, &e);
                trace.moved(&task.service, &e.to_string(), e.name());
                attempts.failed(e);
            }
        }
    }
}

/// Sends a request and waits for the first event, or for the end of an answer without events.
async fn begin(
    cx: &ServingCx,
    task: &RequestTask,
    replica: &Arc<Replica>,
    last_event_id: Option<u64>,
) -> Result<(Source, Next), AttemptError> {
    let guard = cx.loads.begin_request(replica);
    let mut down = cx.loads.watch_down(replica.hash);
    let answered = tokio::select! {
        answered = attempt::send(cx, replica, task, last_event_id, false) => answered?,
        e = lost(&mut down, task) => return Err(e),
    };
    let decoder = EventDecoder::new();
    let last_event_at = Instant::now();
    cx.loads.record_activity(replica.hash, last_event_at);
    let replica = replica.clone();
    let mut source = Source { replica, guard, answered, decoder, down, last_event_at };
    let status = source.answered.response.status();
    if status.is_server_error() {
        return Err(AttemptError::Failure { status: status.as_u16() });
    }
    let next = source.next(cx, task, task.ends).await?;
    source.guard.mark_answered();
    Ok((source, next))
}

/// Waits until a replica is found to be down or the time of the request is over.
async fn lost(down: &mut watch::Receiver<Option<Instant>>, task: &RequestTask) -> AttemptError {
    tokio::select! {
        () = marked(down) => AttemptError::Down,
        () = sleep_until(task.ends) => AttemptError::Silent("no event until the deadline"),
    }
}

/// Waits until a replica is marked as down.
async fn marked(down: &mut watch::Receiver<Option<Instant>>) {
    let is_down = |until: &Option<Instant>| until.is_some_and(|until| until > Instant::now());
    if down.wait_for(is_down).await.is_err() {
        std::future::pending::<()>().await;
    }
}

impl Source {
    /// Waits for the next event.
    async fn next(
        &mut self,
        cx: &ServingCx,
        task: &RequestTask,
        until: Instant,
    ) -> Result<Next, AttemptError> {
        loop {
            if let Some(event) = self.decoder.next_event() {
                let now = Instant::now();
                let pause = now - self.last_event_at;
                self.last_event_at = now;
                let expected = expected_pause(cx, &self.replica);
                cx.loads.record_event_interval(self.replica.hash, pause, expected, now);
                return Ok(Next::Event(event));
            }
            let body = self.answered.response.body_mut();
            let frame = tokio::select! {
                frame = next_frame(body) => frame?,
                e = lost(&mut self.down, task) => return Err(e),
                () = sleep_until(until) => {
                    return Err(AttemptError::Silent("no event on this stream for too long"));
                }
            };
            match frame {
                Some(bytes) => {
                    self.decoder.push(&bytes).map_err(|e| AttemptError::Broken(e.to_string()))?;
                }
                None => {
                    let torn = |e: crate::sse::StreamError| AttemptError::Broken(e.to_string());
                    self.decoder.finish().map_err(torn)?;
                    return Ok(Next::End);
                }
            }
        }
    }

    /// Keeps the connection of a stream that ended.
    async fn keep_connection(self, cx: &ServingCx) {
        let Answered { mut connection, head, may_keep, .. } = self.answered;
        if may_keep && connection.ready().await {
            cx.pool.put(&self.replica, connection, head.keep_alive);
        }
    }
}

/// Returns the next bytes of a body, or `None` at its end.
async fn next_frame(body: &mut Incoming) -> Result<Option<Bytes>, AttemptError> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
            Some(Err(e)) => return Err(AttemptError::Broken(format!("the stream broke off: {e}"))),
        }
    }
}

fn expected_pause(cx: &ServingCx, replica: &Replica) -> Duration {
    let Some(table) = cx.config.get() else { return Duration::ZERO };
    let Some(engine) = table.config.engine(&replica.service) else { return Duration::ZERO };
    let running = cx.loads.state(replica, Instant::now()).requests();
    engine.pass_time_of(replica.model.as_deref(), running).unwrap_or_default()
}

/// Starts the task that passes events on and returns the answer that it fills.
fn pass_on(
    cx: &ServingCx,
    task: Arc<RequestTask>,
    mut trace: RequestTrace,
    attempts: Attempts,
    source: Source,
    first: Next,
) -> Response<AnswerBody> {
    trace.begin();
    let status = source.answered.response.status();
    let headers = cx.dialect.caller_headers(source.answered.response.headers());
    let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
    let relay =
        Relay { cx: cx.clone(), last_event_id: task.head.last_event_id, task, trace, attempts, tx };
    tokio::spawn(relay.run(source, first));
    answer(status, headers, rx)
}

fn answer(
    status: StatusCode,
    headers: HeaderMap,
    rx: mpsc::Receiver<Result<Bytes, io::Error>>,
) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::Parts(rx));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Passes the events of one request on to its caller.
struct Relay {
    cx: ServingCx,
    task: Arc<RequestTask>,
    trace: RequestTrace,
    attempts: Attempts,
    last_event_id: Option<u64>,
    tx: mpsc::Sender<Result<Bytes, io::Error>>,
}

/// How passing a stream on ended.
enum Relayed {
    Whole,
    CallerLeft,
    Lost(String),
}

impl Relay {
    async fn run(mut self, source: Source, first: Next) {
        let status = source.answered.response.status().as_u16();
        match self.relay(source, first).await {
            Relayed::Whole => self.trace.answered(status),
            Relayed::CallerLeft => self.trace.abandoned(),
            Relayed::Lost(cause) => {
                self.trace.lost(status, &cause);
                let broken = io::Error::new(io::ErrorKind::ConnectionAborted, cause);
                // The caller may have left meanwhile, which is no loss.
                let _ = self.tx.send(Err(broken)).await;
            }
        }
    }

    async fn relay(&mut self, mut source: Source, first: Next) -> Relayed {
        let mut next = Ok(first);
        loop {
            let error = match next {
                Ok(Next::Event(event)) => match self.pass(event).await {
                    Ok(true) => None,
                    Ok(false) => return Relayed::CallerLeft,
                    Err(e) => Some(e),
                },
                Ok(Next::End) => {
                    self.cx.loads.record_success(source.replica.hash);
                    self.cx.metrics.send(&self.task.service, "answered");
                    source.keep_connection(&self.cx).await;
                    return Relayed::Whole;
                }
                Err(e) => Some(e),
            };
            next = match error {
                None => self.next_of(&mut source).await,
                Some(e) => {
                    note_failure(&self.cx, &self.task, &source.replica, &e);
                    match self.go_on(e).await {
                        Ok((other, first)) => {
                            source = other;
                            Ok(first)
                        }
                        Err(relayed) => return relayed,
                    }
                }
            };
            if self.tx.is_closed() {
                return Relayed::CallerLeft;
            }
        }
    }

    async fn next_of(&self, source: &mut Source) -> Result<Next, AttemptError> {
        let until = Instant::now() + MAX_SILENCE;
        tokio::select! {
            next = source.next(&self.cx, &self.task, until) => next,
            () = self.tx.closed() => Err(AttemptError::Silent("the caller left")),
        }
    }

    /// Passes an event on; false when the caller has left.
    async fn pass(&mut self, event: StreamEvent) -> Result<bool, AttemptError> {
        if let (Some(id), Some(last)) = (event.id, self.last_event_id) {
            let has_begun = self.trace.events > 0;
            if id <= last {
                return Ok(true);
            }
            if has_begun && id != last + 1 {
                return Err(AttemptError::Broken(format!("event {id} follows event {last}")));
            }
        }
        if event.id.is_some() {
            self.last_event_id = event.id;
        }
        self.trace.events += 1;
        self.cx.metrics.stream_events(&self.task.service, 1);
        Ok(self.tx.send(Ok(event.bytes)).await.is_ok())
    }

    /// Goes on with a stream at another replica after the last event that was passed on.
    async fn go_on(&mut self, error: AttemptError) -> Result<(Source, Next), Relayed> {
        let mut error = error;
        let mut has_begun = true;
        loop {
            if self.tx.is_closed() {
                return Err(Relayed::CallerLeft);
            }
            self.trace.moved(&self.task.service, &error.to_string(), error.name());
            let cause = error.to_string();
            match has_begun {
                true => self.attempts.failed_midway(error),
                false => self.attempts.failed(error),
            }
            has_begun = false;
            let is_resumable = self.task.kind == RouteKind::Streaming { is_resumable: true };
            if !is_resumable || !self.attempts.may_send(&self.cx, &self.task) {
                return Err(Relayed::Lost(cause));
            }
            let tried = &self.attempts.tried;
            let Ok(replica) = candidates::choose(&self.cx, &self.task, tried, Timeliness::Begun)
            else {
                return Err(Relayed::Lost(format!("{cause}; no other replica")));
            };
            self.trace.attempt(&replica);
            self.attempts.tried.push(replica.key.clone());
            let begun = tokio::select! {
                begun = begin(&self.cx, &self.task, &replica, self.last_event_id) => begun,
                () = self.tx.closed() => return Err(Relayed::CallerLeft),
            };
            match begun {
                Ok(begun) => return Ok(begun),
                Err(e) => {
                    note_failure(&self.cx, &self.task, &replica, &e);
                    error = e;
                }
            }
        }
    }
}

/// Takes in what a failed attempt tells about its replica and about the request.
fn note_failure(cx: &ServingCx, task: &RequestTask, replica: &Arc<Replica>, e: &AttemptError) {
    let now = Instant::now();
    cx.metrics.send(&task.service, e.name());
    if matches!(e, AttemptError::Silent("the caller left")) {
        return;
    }
    if matches!(e, AttemptError::Broken(_)) {
        cx.crashes.crashed(CrashMark { fingerprint: task.fingerprint, replica: replica.hash }, now);
    }
    match e {
        AttemptError::Silent(_) | AttemptError::Down => {}
        AttemptError::NotRun { at_fault: Some(at_fault), .. } => {
            replica_health::suspect(cx, replica, SuspicionCause::Blamed(at_fault.clone()));
        }
        _ => {
            cx.loads.record_failure(replica.hash, now);
            replica_health::suspect(cx, replica, SuspicionCause::Failed(e.to_string()));
        }
    }
}
