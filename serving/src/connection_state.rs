//! What a listener's connection is doing, as its stream and its requests record it.

use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Part of an exchange that a connection is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// No byte of a request head has been received.
    Idle,
    /// A part of a request head has been received.
    Head,
    /// A part of a request body has been received; the request has not been passed on.
    Body,
    /// A request runs, or its response has not been written completely.
    Busy,
    /// The peer takes no more bytes of a response whose request has passed its deadline.
    Unread,
    /// The response has been written and the write side shut down; what the peer still sends is discarded.
    Lingering,
}

impl ConnectionPhase {
    /// All phases.
    pub const ALL: [Self; 6] =
        [Self::Idle, Self::Head, Self::Body, Self::Busy, Self::Unread, Self::Lingering];

    /// Returns the label of the phase in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Busy => "busy",
            Self::Unread => "unread",
            Self::Lingering => "lingering",
        }
    }
}

/// State of one connection. Only the task of the connection changes it.
#[derive(Debug)]
pub struct ConnectionState {
    activity: Mutex<Activity>,
    close_requested: Notify,
    close_answered: Notify,
}

#[derive(Debug)]
struct Activity {
    phase: ConnectionPhase,
    /// When the phase began, or the last part of the body was received.
    since: Instant,
    /// Whether bytes were received while a request ran: they belong to the next head.
    has_read_ahead: bool,
    /// Whether a part of the last response is still to be written.
    is_unflushed: bool,
    /// Since when the peer takes no bytes; `None` if it takes them.
    blocked_since: Option<Instant>,
    /// Deadline of the last request.
    deadline: Instant,
}

impl ConnectionState {
    /// Returns the state of a connection that has just been accepted.
    pub fn new() -> Self {
        let now = Instant::now();
        let activity = Activity {
            phase: ConnectionPhase::Idle,
            since: now,
            has_read_ahead: false,
            is_unflushed: false,
            blocked_since: None,
            deadline: now,
        };
        Self {
            activity: Mutex::new(activity),
            close_requested: Notify::new(),
            close_answered: Notify::new(),
        }
    }

    /// Returns the phase at a time and when it began. In a body, it is when the last part was received.
    pub fn phase(&self, now: Instant) -> (ConnectionPhase, Instant) {
        let activity = self.lock();
        if activity.phase != ConnectionPhase::Busy && !activity.is_unflushed {
            return (activity.phase, activity.since);
        }
        match activity.unread_since() {
            Some(since) if since <= now => (ConnectionPhase::Unread, since),
            _ => (ConnectionPhase::Busy, activity.since),
        }
    }

    /// Returns since when or from when on the response counts as unread; `None` if the peer takes bytes.
    pub fn unread_since(&self) -> Option<Instant> {
        self.lock().unread_since()
    }

    /// Returns whether the connection waits for its peer, and holds no response that the peer may still want.
    pub fn is_waiting(&self, now: Instant) -> bool {
        self.phase(now).0 != ConnectionPhase::Busy
    }

    /// Records that bytes were received.
    pub fn record_read(&self) {
        let mut activity = self.lock();
        match activity.phase {
            ConnectionPhase::Idle => activity.begin(ConnectionPhase::Head),
            ConnectionPhase::Head | ConnectionPhase::Lingering => {}
            ConnectionPhase::Body => activity.since = Instant::now(),
            ConnectionPhase::Busy | ConnectionPhase::Unread => activity.has_read_ahead = true,
        }
    }

    /// Records that a request head is complete.
    pub fn record_head(&self, has_body: bool) {
        let mut activity = self.lock();
        activity.has_read_ahead = false;
        activity.begin(match has_body {
            true => ConnectionPhase::Body,
            false => ConnectionPhase::Busy,
        });
    }

    /// Records that a request is complete and may be passed on from now on.
    pub fn record_request(&self) {
        self.lock().phase = ConnectionPhase::Busy;
    }

    /// Records the deadline of the request.
    pub fn record_deadline(&self, deadline: Instant) {
        self.lock().deadline = deadline;
    }

    /// Records that the peer takes no more bytes, or takes them again.
    pub fn record_blocked(&self, is_blocked: bool) {
        let mut activity = self.lock();
        activity.blocked_since = is_blocked.then(Instant::now);
    }

    /// Records that no further part of a response follows.
    fn record_response_end(&self) {
        let mut activity = self.lock();
        let next = match activity.has_read_ahead {
            true => ConnectionPhase::Head,
            false => ConnectionPhase::Idle,
        };
        activity.phase = next;
        activity.is_unflushed = true;
    }

    /// Records that all bytes so far have been written.
    pub fn record_flush(&self) {
        let mut activity = self.lock();
        if std::mem::take(&mut activity.is_unflushed) && activity.phase != ConnectionPhase::Body {
            activity.since = Instant::now();
        }
    }

    /// Records that the write side has been shut down.
    pub fn record_shutdown(&self) {
        self.lock().begin(ConnectionPhase::Lingering);
    }

    /// Asks the task of the connection to close it, and waits until the connection is closed or the task has
    /// declined since a request has arrived.
    pub async fn close(&self) {
        self.close_requested.notify_one();
        self.close_answered.notified().await;
    }

    /// Waits until the connection is to be closed.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Answers a request to close the connection: it was closed, or stays open.
    pub fn answer_close(&self) {
        self.close_answered.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ConnectionState {
    fn default() -> Self {
        Self::new()
    }
}

impl Activity {
    fn unread_since(&self) -> Option<Instant> {
        self.blocked_since.map(|since| since.max(self.deadline))
    }

    fn begin(&mut self, phase: ConnectionPhase) {
        self.phase = phase;
        self.since = Instant::now();
    }
}

/// Body of a response that records its end in the state of its connection.
#[derive(Debug)]
pub struct RecordedBody {
    body: ResponseBody,
    connection: Arc<ConnectionState>,
}

impl RecordedBody {
    /// Wraps the body of a response on a connection.
    pub fn new(body: ResponseBody, connection: Arc<ConnectionState>) -> Self {
        Self { body, connection }
    }
}

impl Drop for RecordedBody {
    fn drop(&mut self) {
        self.connection.record_response_end();
    }
}

impl Body for RecordedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
