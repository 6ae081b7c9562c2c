//! Attempts of one request at several replicas, until one of them responds.
//!
//! A replica that falls silent may go on a second later. So its attempt stays open while the request is
//! tried on another replica, and the first one that responds is used. Where the request can't be sent to
//! another replica, the silent ones are waited for until the deadline.

use crate::attempt::AttemptError;
use crate::attempt::Attempts;
use crate::connection::ConnectError;
use crate::failed_attempts;
use crate::instance_reach;
use crate::instance_reach::Links;
use crate::next_replica;
use crate::next_replica::NextStep;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::request_task::RequestTrace;
use crate::response_body::ResponseBody;
use crate::serving_cx::ServingCx;
use http::Response;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Interval at which it is checked whether a request that waits for a silent replica can be sent to
/// another one.
const RETRY_CHECK_PERIOD: Duration = Duration::from_millis(100);

type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An attempt at a replica that has not responded yet.
pub struct PendingAttempt<'a, T> {
    /// Replica that the request was sent to.
    pub replica: Arc<Replica>,
    response: BoxFuture<'a, Result<T, AttemptError>>,
    silence: BoxFuture<'a, AttemptError>,
}

impl<'a, T> PendingAttempt<'a, T> {
    /// Returns an attempt that ends with `response`; `silence` ends when the replica counts as silent.
    pub fn new(
        replica: Arc<Replica>,
        response: impl Future<Output = Result<T, AttemptError>> + Send + 'a,
        silence: impl Future<Output = AttemptError> + Send + 'a,
    ) -> Self {
        let (response, silence) = (Box::pin(response), Box::pin(silence));
        Self { replica, response, silence }
    }

    /// Returns an attempt whose response had begun before its replica fell silent.
    pub fn with_silent_replica(
        replica: Arc<Replica>,
        response: impl Future<Output = Result<T, AttemptError>> + Send + 'a,
    ) -> Self {
        Self::new(replica, response, std::future::pending())
    }
}

/// Result of waiting for an attempt and for the one at a silent replica.
enum Raced<T> {
    /// The attempt responded.
    Responded(T),
    /// The silent replica responded first.
    Returned(T),
    /// The attempt failed.
    Failed(AttemptError),
    /// The replica of the attempt fell silent; the attempt may still respond.
    Silent(AttemptError),
}

/// Reaction of the kind of request to the events of its attempts.
pub trait AttemptKind {
    /// Response of a replica.
    type Response;

    /// Sends the request to a replica.
    fn start(
        &self,
        replica: &Arc<Replica>,
        attempts: &Attempts,
    ) -> PendingAttempt<'static, Self::Response>;

    /// Updates the metrics and the replica's health after an attempt failed or fell silent.
    fn record_failure(&self, trace: &RequestTrace, replica: &Arc<Replica>, error: &AttemptError);

    /// Updates the replica's health after it responded although it was silent.
    fn record_return(&self, replica: &Arc<Replica>);

    /// Returns whether the caller has received a part of the response.
    fn has_begun(&self) -> bool;
}

/// Why a request has no response of a replica.
pub enum NoResponse {
    /// The request ends with this response of the node.
    Respond(Response<ResponseBody>),
    /// The response had begun and can't go on.
    Failed(String),
}

/// State of the attempts of one request.
pub struct AttemptLoop<'a, K> {
    /// Context of the node.
    pub cx: &'a ServingCx,
    /// Request.
    pub task: &'a RequestTask,
    /// Record of the request's progress.
    pub trace: &'a mut RequestTrace,
    /// Attempts made so far.
    pub attempts: &'a mut Attempts,
    /// Kind of the request.
    pub kind: K,
}

impl<K: AttemptKind> AttemptLoop<'_, K> {
    /// Sends the request to one replica after the other until one responds. `silent` is an attempt that
    /// may still respond.
    pub async fn run(
        &mut self,
        silent: Option<PendingAttempt<'static, K::Response>>,
    ) -> Result<K::Response, NoResponse> {
        let mut silent: Vec<_> = silent.into_iter().collect();
        loop {
            failed_attempts::settle(self.cx, &self.task.crash_keys).await;
            let replica = match self.next_step(!silent.is_empty()) {
                NextStep::Send(replica) => replica,
                NextStep::Wait => match self.wait(&mut silent).await {
                    Some(response) => return Ok(response),
                    None => continue,
                },
                NextStep::Respond(response) => return Err(NoResponse::Respond(response)),
                NextStep::Fail(cause) => return Err(NoResponse::Failed(cause)),
            };
            let started = Instant::now();
            let mut attempt = self.kind.start(&replica, self.attempts);
            match self.race(&mut attempt, &mut silent).await {
                Raced::Responded(response) => return Ok(response),
                Raced::Returned(response) => {
                    self.attempts.record_failure(AttemptError::Superseded);
                    return Ok(response);
                }
                Raced::Failed(e) => {
                    match self.is_unreachable(&replica, &e, started).await {
                        true => self.trace.end_attempt(),
                        false => self.end_attempt(&replica, &e),
                    }
                    self.attempts.record_failure(e);
                }
                Raced::Silent(e) => {
                    self.end_attempt(&replica, &e);
                    self.attempts.record_silence(&replica, e);
                    silent.push(attempt);
                }
            }
        }
    }

    fn next_step(&mut self, has_silent: bool) -> NextStep {
        let has_begun = self.kind.has_begun();
        let progress = next_replica::Progress { has_silent, has_begun };
        next_replica::next_replica(self.cx, self.task, self.trace, self.attempts, progress)
    }

    /// Waits for an attempt and for those at silent replicas.
    async fn race(
        &mut self,
        attempt: &mut PendingAttempt<'static, K::Response>,
        silent: &mut Vec<PendingAttempt<'static, K::Response>>,
    ) -> Raced<K::Response> {
        loop {
            let (replica, ended) = tokio::select! {
                response = &mut attempt.response => {
                    return response.map_or_else(Raced::Failed, Raced::Responded);
                }
                ended = next_response(silent) => ended,
                e = &mut attempt.silence => return Raced::Silent(e),
            };
            match ended {
                Ok(response) => {
                    self.record_return(&replica);
                    return Raced::Returned(response);
                }
                Err(e) => self.attempts.record_end_of_silent(&replica, e),
            }
        }
    }

    /// Waits for the attempts at silent replicas, until it is time to check again whether the request can
    /// be sent to another replica.
    async fn wait(
        &mut self,
        silent: &mut Vec<PendingAttempt<'static, K::Response>>,
    ) -> Option<K::Response> {
        let (replica, ended) = tokio::select! {
            ended = next_response(silent) => ended,
            () = sleep(RETRY_CHECK_PERIOD) => return None,
        };
        match ended {
            Ok(response) => {
                self.record_return(&replica);
                Some(response)
            }
            Err(e) => {
                self.attempts.record_end_of_silent(&replica, e);
                None
            }
        }
    }

    /// Returns whether an attempt failed since this node reaches no instance, which says nothing about the
    /// replica.
    async fn is_unreachable(
        &self,
        replica: &Replica,
        error: &AttemptError,
        started: Instant,
    ) -> bool {
        matches!(error, AttemptError::NotSent(e) if *e != ConnectError::NoDescriptors)
            && !replica.is_node
            && instance_reach::check(self.cx, &[replica.address], started).await == Links::Broken
    }

    fn end_attempt(&mut self, replica: &Arc<Replica>, error: &AttemptError) {
        self.kind.record_failure(self.trace, replica, error);
        self.trace.end_attempt();
    }

    fn record_return(&mut self, replica: &Arc<Replica>) {
        self.attempts.record_return(replica);
        self.trace.record_return(replica);
        self.kind.record_return(replica);
    }
}

/// Waits until one of the attempts ends, and removes it; forever if there is none.
async fn next_response<T>(
    attempts: &mut Vec<PendingAttempt<'_, T>>,
) -> (Arc<Replica>, Result<T, AttemptError>) {
    poll_fn(|cx| {
        for (i, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(ended) = attempt.response.as_mut().poll(cx) {
                return Poll::Ready((attempts.remove(i).replica, ended));
            }
        }
        Poll::Pending
    })
    .await
}
