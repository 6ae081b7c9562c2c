//! A single attempt to send a request to a replica, up to receiving the response head.

use crate::admission::AdmissionReason;
use crate::awaited_answer::AwaitedAnswer;
use crate::connection::CallError;
use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::dialect::UpstreamParams;
use crate::failed_attempts;
use crate::instance::InstanceId;
use crate::instance::ResponseHead;
use crate::instance_notices;
use crate::instance_notices::InstanceAnswer;
use crate::node_relay;
use crate::placement::NoCapacity;
use crate::placement::Occupancy;
use crate::replica_set::Replica;
use crate::replica_set::ReplicaKey;
use crate::request_task::RequestTask;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use guavaladder_lib::byte_budget::NoRoom;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Largest request body, in bytes, after which the connection is reused. A replica may respond before
/// it has read a longer body, and would then read the next request as the rest of that body.
const MAX_BODY_FOR_CONNECTION_REUSE: usize = 64 << 10;
/// Maximum number of times one request is sent, including attempts in which it did not run.
const MAX_SENDS: usize = 4;

/// A response from a replica whose head has been received and whose body has not been read yet.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// HTTP response with its unread body.
    pub response: Response<Incoming>,
    /// Decoded response head.
    pub head: ResponseHead,
    /// Connection on which the response arrives.
    pub connection: Connection,
    /// Whether the connection may be reused after the body has been read.
    pub is_reusable: bool,
}

impl UpstreamResponse {
    /// Returns whether the body ends with the connection, so that a crash of the replica may look like its
    /// end.
    pub fn is_unframed(&self) -> bool {
        let headers = self.response.headers();
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
    }
}

/// Errors of an attempt, classified by whether the request may have run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(#[from] ConnectError),
    /// The replica stated that it did not run the request.
    #[error("refused by the replica with status {status}")]
    NotRun {
        /// HTTP status code.
        status: u16,
        /// Instance that the replica reported as the cause.
        at_fault: Option<InstanceId>,
    },
    /// The replica returned an error status; the request may have run.
    #[error("the replica returned status {status}")]
    Failure {
        /// HTTP status code.
        status: u16,
    },
    /// The connection failed or the response is invalid; the request may have run.
    #[error("{0}")]
    Broken(String),
    /// The response or its next event timed out; the request may have run.
    #[error("timed out: {0}")]
    TimedOut(&'static str),
    /// No event of the stream arrived for a while; the replica may go on later.
    #[error("timed out: no event on this stream for too long")]
    Silent,
    /// The replica was marked as down during the attempt; the request may already have run there.
    #[error("the replica was found to be down")]
    Down,
    /// This node reaches no instance; the request may have run.
    #[error("this node reaches no instance")]
    Unreachable,
    /// The node that the request was passed on to refused it, and it has not run.
    #[error("another node refused it")]
    RefusedByNode {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The node that the request was passed on to had no success with it; it may have run.
    #[error("another node returned status {status}")]
    FailedAtNode {
        /// HTTP status code.
        status: u16,
    },
    /// There was no room for the response before the request was due; the request may have run.
    #[error("there is no room for the response: {0}")]
    NoRoom(NoRoom),
    /// Another replica responded first; the request may have run here as well.
    #[error("another replica responded first")]
    Superseded,
}

impl AttemptError {
    /// Returns the value of the metrics label for this error.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::NotRun { .. } => "not_run",
            Self::Failure { .. } => "failure",
            Self::Broken(_) => "broken",
            Self::TimedOut(_) | Self::Silent => "silent",
            Self::Down => "down",
            Self::Unreachable => "unreachable",
            Self::RefusedByNode { .. } => "refused_by_node",
            Self::FailedAtNode { .. } => "failed_at_node",
            Self::NoRoom(_) => "no_room",
            Self::Superseded => "superseded",
        }
    }

    /// Returns whether it is certain that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::NotRun { .. } | Self::RefusedByNode { .. })
    }

    /// Returns whether the request is not running at the replica: it did not run, or the replica, a group,
    /// has stalled before the response began.
    pub fn cannot_be_running(&self) -> bool {
        self.is_not_run() || *self == Self::Down
    }

    /// Returns whether the request reached the replica, even if the replica refused it.
    pub fn has_reached_replica(&self) -> bool {
        !matches!(self, Self::NotSent(_) | Self::RefusedByNode { .. })
    }
}

/// State of the attempts made for one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Keys of the replicas to which the request was sent.
    pub tried: Vec<ReplicaKey>,
    /// Number of attempts in which the request may have run.
    pub runs: u32,
    /// Number of those attempts whose replica was not known to be down. Only these count against the
    /// route's `max_attempts`, and those at `stalled` replicas that have not ended.
    pub runs_at_live_replicas: u32,
    /// Replicas that were marked as down before the response began. If such a replica was only silent, it
    /// runs the request when it goes on, even if the attempt has been dropped.
    stalled: Vec<Arc<Replica>>,
    /// Whether any attempt reached a replica.
    pub has_reached_replica: bool,
    /// Error of the last attempt.
    pub last_error: Option<AttemptError>,
}

impl Attempts {
    /// Returns the state of a request that has not been sent yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an attempt that failed before its response began.
    pub fn record_failure(&mut self, error: AttemptError) {
        self.runs += u32::from(!error.is_not_run());
        self.runs_at_live_replicas += u32::from(!error.cannot_be_running());
        self.has_reached_replica |= error.has_reached_replica();
        self.last_error = Some(error);
    }

    /// Records an attempt that failed after its response had begun.
    pub fn record_stream_failure(&mut self, error: AttemptError) {
        self.runs += 1;
        self.runs_at_live_replicas += 1;
        self.has_reached_replica = true;
        self.last_error = Some(error);
    }

    /// Records an attempt whose replica fell silent before the response began.
    pub fn record_silence(&mut self, replica: &Arc<Replica>, error: AttemptError) {
        if error == AttemptError::Down {
            self.stalled.push(replica.clone());
        }
        self.record_failure(error);
    }

    /// Records the end of an attempt that was recorded before, when its replica fell silent.
    pub fn record_end_of_silent(&mut self, replica: &Arc<Replica>, error: AttemptError) {
        if error.is_not_run() {
            self.take_back_run(replica);
        }
        self.last_error = Some(error);
    }

    /// Records that a silent replica responded to an attempt that was recorded when it fell silent. The
    /// attempt is in progress again, and does not count until it ends.
    pub fn record_return(&mut self, replica: &Arc<Replica>) {
        self.take_back_run(replica);
    }

    fn take_back_run(&mut self, replica: &Arc<Replica>) {
        self.runs = self.runs.saturating_sub(1);
        match self.stalled.iter().position(|stalled| stalled.hash == replica.hash) {
            Some(i) => drop(self.stalled.remove(i)),
            None => self.runs_at_live_replicas = self.runs_at_live_replicas.saturating_sub(1),
        }
    }

    /// Returns the number of replicas that count against the route's `max_attempts`.
    fn counted_runs(&self, cx: &ServingCx) -> u32 {
        let may_run = |replica: &&Arc<Replica>| !failed_attempts::has_ended(cx, replica);
        self.runs_at_live_replicas + self.stalled.iter().filter(may_run).count() as u32
    }

    /// Returns the number of attempts that a request may still make at another node.
    pub fn left(&self, cx: &ServingCx, task: &RequestTask) -> u32 {
        task.max_attempts.saturating_sub(self.counted_runs(cx)).max(1)
    }

    /// Returns why the request may not be sent again, apart from the retry budget.
    pub fn limit(&self, cx: &ServingCx, task: &RequestTask) -> Option<Withheld> {
        let is_allowed = match task.kind.is_repeatable() {
            true => self.counted_runs(cx) < task.max_attempts,
            false => self.runs == 0,
        };
        if task.time_left(Instant::now()).is_zero() {
            return Some(Withheld::Deadline);
        }
        // The other node has made all attempts.
        let is_final = matches!(self.last_error, Some(AttemptError::FailedAtNode { .. }));
        (!is_allowed || is_final || self.tried.len() >= MAX_SENDS).then_some(Withheld::Attempts)
    }

    /// Withdraws the next attempt from the retry budget; returns false if none is left. Sending again is
    /// not a retry if no replica has received the request.
    pub fn withdraw(&self, cx: &ServingCx, task: &RequestTask) -> bool {
        if !self.has_reached_replica {
            cx.metrics.retries(&task.service, "free", 1);
            return true;
        }
        cx.budgets.withdraw(&task.service, cx.budget_sharers(), Instant::now())
    }
}

/// Why a request is not sent to another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Withheld {
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
    /// The request was sent or has run as often as its route allows.
    #[error("it may not be sent again")]
    Attempts,
    /// The retry budget is used up.
    #[error("the retry budget is used up")]
    Budget,
    /// No other replica has capacity.
    #[error("no other replica is available")]
    NoReplica(NoCapacity, Occupancy),
    /// The capacity that is left is left to other requests.
    #[error("not admitted: {}", .reason.name())]
    NotAdmitted {
        /// Why it is not admitted.
        reason: AdmissionReason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// Slots and requests of the replicas.
        occupancy: Occupancy,
    },
}

impl Withheld {
    /// Returns the value of the metrics label for this reason.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::NoReplica(..) => "no_replica",
            Self::NotAdmitted { .. } => "not_admitted",
        }
    }
}

/// Sends a request to a replica and waits for the response head.
pub async fn send(
    cx: &ServingCx,
    replica: &Replica,
    task: &RequestTask,
    last_event_id: Option<u64>,
    attempts_left: u32,
    is_fresh: bool,
) -> Result<UpstreamResponse, AttemptError> {
    let connection = cx.pool.get(replica, is_fresh).await?;
    let params = UpstreamParams {
        instance: &replica.instance,
        deadline: task.upstream_deadline(Instant::now()),
        customer: task.customer.as_deref(),
        // Resuming a stream that the caller has partly received gets the highest priority.
        urgency: match task.has_begun() || last_event_id > task.head.last_event_id {
            true => 0,
            false => task.urgency,
        },
        last_event_id,
    };
    let req = match replica.is_node {
        true => {
            cx.metrics.relayed("sent");
            node_relay::build_request(cx, task, last_event_id, attempts_left)?
        }
        false => build_request(cx, task, &params)?,
    };
    let mut awaited = AwaitedAnswer::new(cx, replica, connection, req);
    let (connection, response) = awaited.receive().await;
    let response = response.map_err(|e| match e {
        CallError::NotSent(e) => AttemptError::NotSent(e),
        CallError::NoResponse(reason) => AttemptError::Broken(reason),
    })?;
    let head = cx.dialect.decode_response_head(response.status(), response.headers());
    let status = response.status();
    let answer = InstanceAnswer { sent_at: awaited.sent_at, status, is_run: head.is_run() };
    match replica.is_node {
        true => {
            node_relay::record_notice(cx, response.headers());
            let checked = node_relay::check_response(task, status, response.headers(), &head);
            if let Err(AttemptError::RefusedByNode { retry_after }) = &checked {
                cx.refusing_nodes.record(&replica.instance, *retry_after, Instant::now());
            }
            checked?;
        }
        false => instance_notices::record(cx, replica.run, &head.notice, answer),
    }
    let is_reusable = !head.closes && task.body.len() <= MAX_BODY_FOR_CONNECTION_REUSE;
    validate_response(task, response.status(), &head, connection.uses)?;
    record_stated_load(cx, replica, &head);
    Ok(UpstreamResponse { response, head, connection, is_reusable })
}

/// Records the load that a replica of a service that is scheduled by measurements stated in its response.
fn record_stated_load(cx: &ServingCx, replica: &Replica, head: &ResponseHead) {
    let is_measured = cx.settings.uses_load_estimate && cx.is_measured(&replica.service);
    let stated = head.load.filter(|_| !replica.is_node && is_measured);
    let Some(stated) = stated else { return };
    let is_used = cx.loads.record_stated_load(replica, stated, Instant::now());
    cx.metrics.stated_load(if is_used { "used" } else { "implausible" });
}

fn build_request(
    cx: &ServingCx,
    task: &RequestTask,
    params: &UpstreamParams<'_>,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let req = Request::builder()
        .method(task.method.clone())
        .uri(task.uri.clone())
        .body(Full::new(task.body.clone()));
    let mut req =
        req.map_err(|e| AttemptError::Broken(format!("the request could not be built: {e}")))?;
    *req.headers_mut() = cx.dialect.upstream_headers(&task.headers, params);
    Ok(req)
}

/// Checks that a response belongs to this request and can be forwarded to the caller. `uses` is the number of
/// requests sent on its connection.
fn validate_response(
    task: &RequestTask,
    status: StatusCode,
    head: &ResponseHead,
    uses: u32,
) -> Result<(), AttemptError> {
    if head.request_id.as_ref().is_some_and(|id| *id != task.head.id) {
        return Err(AttemptError::Broken(
            "the response carries the id of another request".to_string(),
        ));
    }
    if head.is_not_run {
        // On a kept connection, a refusal without an id may be that of an earlier request.
        if head.request_id.is_none() && uses > 1 && !task.kind.is_repeatable() {
            let reason = "a refusal on a kept connection carries no request id";
            return Err(AttemptError::Broken(reason.to_string()));
        }
        let at_fault = head.at_fault.clone();
        return Err(AttemptError::NotRun { status: status.as_u16(), at_fault });
    }
    if status.is_success() && (!head.is_signed || head.request_id.is_none()) {
        return Err(AttemptError::Broken(
            "the response has no request id or no signature".to_string(),
        ));
    }
    if head.is_encoded {
        return Err(AttemptError::Broken(
            "the response has an unsupported content encoding".to_string(),
        ));
    }
    // These statuses would tell the caller that the request did not run, which the replica did not
    // state.
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        return Err(AttemptError::Failure { status: status.as_u16() });
    }
    if status.is_informational() || status.is_redirection() {
        let reason = format!("unexpected status {status}");
        return Err(AttemptError::Broken(reason));
    }
    Ok(())
}
