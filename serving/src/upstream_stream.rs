//! Event stream that is being received from a replica.

use crate::attempt;
use crate::attempt::AttemptError;
use crate::attempt::UpstreamResponse;
use crate::demand_sync;
use crate::instance::InstanceNotice;
use crate::load_table::RequestGuard;
use crate::model_demand::WorkGuard;
use crate::node_stop;
use crate::node_stop::CATCH_UP_TIME;
use crate::replica_health;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::serving_cx::ServingCx;
use crate::sse::EventDecoder;
use crate::sse::StreamError;
use crate::sse::StreamEvent;
use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// An event stream being received from a replica.
pub struct UpstreamStream {
    /// Replica that runs the stream.
    pub replica: Arc<Replica>,
    guard: RequestGuard,
    /// Measures the time at the replica for measured services.
    work: Option<WorkGuard>,
    upstream: UpstreamResponse,
    decoder: EventDecoder,
    last_event_at: Instant,
    /// Until when events that have arrived are read; set once the request is over.
    read_until: Option<Instant>,
}

/// Next item of an event stream.
pub enum StreamItem {
    /// A complete event.
    Event(StreamEvent),
    /// The end of a stream that is complete.
    End,
}

impl UpstreamStream {
    /// Sends a request and waits for the first event, or for the end of a stream without events. `has_begun`
    /// states whether the caller has received a part of the response; an error can't follow it.
    pub async fn open(
        cx: &ServingCx,
        task: &RequestTask,
        replica: &Arc<Replica>,
        last_event_id: Option<u64>,
        attempts_left: u32,
        has_begun: bool,
    ) -> Result<(Self, StreamItem), AttemptError> {
        let guard = cx.loads.begin_request(replica);
        let work = demand_sync::begin_work(cx, task, replica);
        let upstream =
            attempt::send(cx, replica, task, last_event_id, attempts_left, false).await?;
        let decoder = EventDecoder::new();
        let last_event_at = Instant::now();
        cx.loads.record_activity(replica.hash, last_event_at);
        let replica = replica.clone();
        let mut stream =
            Self { replica, guard, work, upstream, decoder, last_event_at, read_until: None };
        let status = stream.status();
        if status.is_server_error() || (has_begun && !status.is_success()) {
            return Err(AttemptError::Failure { status: status.as_u16() });
        }
        let next = stream.next(cx, task).await?;
        let may_be_empty = last_event_id.is_some() || !stream.status().is_success();
        if matches!(next, StreamItem::End) && stream.upstream.is_unframed() && !may_be_empty {
            let cause = "the connection was closed before the first event";
            return Err(AttemptError::Broken(cause.to_string()));
        }
        stream.guard.mark_answered();
        if let Some(work) = &mut stream.work {
            work.mark_answered();
        }
        Ok((stream, next))
    }

    /// Waits for the next event. May be cancelled and called again.
    pub async fn next(
        &mut self,
        cx: &ServingCx,
        task: &RequestTask,
    ) -> Result<StreamItem, AttemptError> {
        loop {
            // Bytes that keep arriving would otherwise never let this wait for the deadline.
            if self.is_over(task, Instant::now()) {
                return Err(AttemptError::TimedOut(task.reason_of_end()));
            }
            if let Some(event) = self.decoder.next_event().map_err(to_broken)? {
                let now = Instant::now();
                let interval = now - self.last_event_at;
                self.last_event_at = now;
                let expected = expected_event_interval(cx, &self.replica);
                cx.pauses.record_interval(&self.replica.service, interval, now);
                if cx.loads.record_event_interval(self.replica.hash, interval, expected, now) {
                    replica_health::record_return(cx, &self.replica);
                }
                return Ok(StreamItem::Event(event));
            }
            match next_frame(self.upstream.response.body_mut()).await? {
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

    /// Waits for the next event until the request ends.
    pub async fn next_until_due(
        &mut self,
        cx: &ServingCx,
        task: &RequestTask,
    ) -> Result<StreamItem, AttemptError> {
        let read_until = self.read_until;
        let over = async {
            task.wait_until_due().await;
            if let Some(read_until) = read_until {
                sleep_until(read_until).await;
            }
            AttemptError::TimedOut(task.reason_of_end())
        };
        tokio::select! {
            biased;
            next = self.next(cx, task) => next,
            e = over => Err(e),
        }
    }

    /// Returns whether the stream is to be ended. If the process is late, what has arrived is read before.
    fn is_over(&mut self, task: &RequestTask, now: Instant) -> bool {
        let due = task.due();
        if now < due {
            return false;
        }
        let catch_up = if node_stop::is_late(due, now) { CATCH_UP_TIME } else { Duration::ZERO };
        now >= *self.read_until.get_or_insert(now + catch_up)
    }

    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.upstream.response.status()
    }

    /// Returns whether the end of the connection is the only sign that the stream is complete.
    pub fn is_unframed(&self) -> bool {
        self.upstream.is_unframed()
    }

    /// Returns the headers of the response as received.
    pub fn headers(&self) -> &HeaderMap {
        self.upstream.response.headers()
    }

    /// Returns what the replica stated about itself when the response began.
    pub fn notice(&self) -> &InstanceNotice {
        &self.upstream.head.notice
    }

    /// Returns the connection of a completed stream to the pool.
    pub async fn return_connection(self, cx: &ServingCx) {
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
