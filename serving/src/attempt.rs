//! One send of a request to a replica, up to the head of the answer.

use crate::connection::CallError;
use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::dialect::UpstreamParams;
use crate::fleet_config::RouteKind;
use crate::instance::AnswerHead;
use crate::instance::InstanceId;
use crate::replica_set::Replica;
use crate::replica_set::ReplicaKey;
use crate::request_task::RequestTask;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

/// Largest body after which a connection is kept: a replica may answer before it has read a longer
/// one, and what follows would then be taken for the rest of it.
const MAX_BODY_OF_KEPT_CONNECTION: usize = 64 << 10;
/// Sends of one request, those that never ran included.
const MAX_SENDS: usize = 4;

/// An answer of which the head has come.
#[derive(Debug)]
pub struct Answered {
    /// The answer.
    pub response: Response<Incoming>,
    /// What its head says.
    pub head: AnswerHead,
    /// Connection that it comes on.
    pub connection: Connection,
    /// Whether the connection may be kept once the body was read.
    pub may_keep: bool,
}

/// How an attempt failed, by what it means for the request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(#[from] ConnectError),
    /// The replica vouches that it did not run the request.
    #[error("refused by the replica with status {status}")]
    NotRun {
        /// Status code.
        status: u16,
        /// Instance that the replica blames.
        at_fault: Option<InstanceId>,
    },
    /// The replica answered with a failure that it may have run into.
    #[error("status {status} of the replica")]
    Failure {
        /// Status code.
        status: u16,
    },
    /// There is no usable answer; the request may have run.
    #[error("{0}")]
    Broken(String),
    /// No sign of the replica for too long; the request may have run.
    #[error("silent: {0}")]
    Silent(&'static str),
    /// The replica was found to be down; the request may have run there before.
    #[error("the replica was found to be down")]
    Down,
}

impl AttemptError {
    /// Returns the name used as a label of metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::NotRun { .. } => "not_run",
            Self::Failure { .. } => "failure",
            Self::Broken(_) => "broken",
            Self::Silent(_) => "silent",
            Self::Down => "down",
        }
    }

    /// Tells whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::NotRun { .. })
    }

    /// Tells whether the replica had the request, even if only to refuse it.
    pub fn has_arrived(&self) -> bool {
        !matches!(self, Self::NotSent(_))
    }
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Replicas that were tried.
    pub tried: Vec<ReplicaKey>,
    /// Attempts in which the request may have run.
    pub runs: u32,
    /// Those of them at replicas that are not known to have ended, by which the route's bound on
    /// attempts counts.
    pub runs_at_live_replicas: u32,
    /// Whether the last attempt reached a replica.
    pub has_arrived: bool,
    /// How the last attempt failed.
    pub last_error: Option<AttemptError>,
}

impl Attempts {
    /// Returns the attempts of a request that has not been sent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in how an attempt failed.
    pub fn failed(&mut self, error: AttemptError) {
        self.runs += u32::from(!error.is_not_run());
        // A group that stands still has begun no request that has shown no event.
        let has_ended = error.is_not_run() || error == AttemptError::Down;
        self.runs_at_live_replicas += u32::from(!has_ended);
        self.has_arrived |= error.has_arrived();
        self.last_error = Some(error);
    }

    /// Takes in how an attempt failed whose answer had begun.
    pub fn failed_midway(&mut self, error: AttemptError) {
        self.runs += 1;
        self.runs_at_live_replicas += 1;
        self.has_arrived = true;
        self.last_error = Some(error);
    }

    /// Tells whether the request may be sent once more, and takes that from the budget.
    pub fn may_send(&self, cx: &ServingCx, task: &RequestTask) -> bool {
        let is_allowed = match task.kind {
            RouteKind::Idempotent | RouteKind::Streaming { is_resumable: true } => {
                self.runs_at_live_replicas < task.max_attempts
            }
            RouteKind::NonIdempotent | RouteKind::Streaming { is_resumable: false } => {
                self.runs == 0
            }
        };
        let now = Instant::now();
        if !is_allowed || self.tried.len() >= MAX_SENDS || task.time_left(now).is_zero() {
            return false;
        }
        // A send that never arrived anywhere is no repetition.
        !self.has_arrived || cx.budgets.withdraw(&task.service, cx.sharing_nodes(), now)
    }
}

/// Sends a request to a replica and waits for the head of the answer.
pub async fn send(
    cx: &ServingCx,
    replica: &Replica,
    task: &RequestTask,
    last_event_id: Option<u64>,
    is_fresh: bool,
) -> Result<Answered, AttemptError> {
    let mut connection = cx.pool.get(replica, is_fresh).await?;
    let params = UpstreamParams {
        instance: &replica.instance,
        deadline: task.upstream_deadline(Instant::now()),
        customer: task.customer.as_deref(),
        // Callers hold the beginning of such an answer.
        urgency: if last_event_id > task.head.last_event_id { 0 } else { task.urgency },
        last_event_id,
    };
    let req = request(cx, task, &params)?;
    let response = connection.send(req).await.map_err(|e| match e {
        CallError::NotSent(e) => AttemptError::NotSent(e),
        CallError::Unanswered(reason) => AttemptError::Broken(reason),
    })?;
    let head = cx.dialect.decode_answer(response.status(), response.headers());
    let may_keep = !head.closes && task.body.len() <= MAX_BODY_OF_KEPT_CONNECTION;
    check(task, response.status(), &head)?;
    Ok(Answered { response, head, connection, may_keep })
}

fn request(
    cx: &ServingCx,
    task: &RequestTask,
    params: &UpstreamParams<'_>,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let req = Request::builder()
        .method(task.method.clone())
        .uri(task.uri.clone())
        .body(Full::new(task.body.clone()));
    let mut req = req.map_err(|e| AttemptError::Broken(format!("cannot be worded: {e}")))?;
    *req.headers_mut() = cx.dialect.upstream_headers(&task.headers, params);
    Ok(req)
}

/// Checks that an answer is one to this request and usable.
fn check(task: &RequestTask, status: StatusCode, head: &AnswerHead) -> Result<(), AttemptError> {
    if head.request_id.as_ref().is_some_and(|id| *id != task.head.id) {
        return Err(AttemptError::Broken("the answer is to another request".to_string()));
    }
    if head.is_not_run {
        let at_fault = head.at_fault.clone();
        return Err(AttemptError::NotRun { status: status.as_u16(), at_fault });
    }
    if status.is_success() && (!head.is_signed || head.request_id.is_none()) {
        return Err(AttemptError::Broken("the answer is not signed".to_string()));
    }
    if head.is_encoded {
        return Err(AttemptError::Broken("the body is encoded".to_string()));
    }
    // To a caller these would promise that the request did not run, which the replica does not.
    if matches!(status.as_u16(), 408 | 421 | 429 | 503) {
        return Err(AttemptError::Failure { status: status.as_u16() });
    }
    if status.is_informational() || status.is_redirection() {
        let reason = format!("unexpected status {status}");
        return Err(AttemptError::Broken(reason));
    }
    Ok(())
}
