//! The answer to one generation request: one unbroken sequence of tokens, whatever happens to the
//! replicas that generate it.
//!
//! The caller of `next` drives everything, so an answer that nobody reads costs nothing, and one
//! that is dropped cancels its attempt.

use crate::admission::Slot;
use crate::attempt::Attempt;
use crate::attempt::Break;
use crate::attempt::Patience;
use crate::attempt::Progress;
use crate::engine::UpstreamError;
use crate::generated::engine::FinishReason;
use crate::generated::engine::GenerateRequest;
use crate::generated::engine::MemberState;
use crate::generated::engine::Priority;
use crate::generated::events::Event;
use crate::ids::GroupId;
use crate::metric_names;
use crate::replica::Replica;
use crate::request::Request;
use crate::request::RequestError;
use crate::request::RunStatus;
use crate::request_limits::RequestLimits;
use crate::request_outcome::record_error;
use crate::request_path::RequestGuard;
use crate::request_path::RequestPath;
use crate::service_levels::RequestOutcome;
use crate::service_levels::RequestSample;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Part of an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Part {
    /// Tokens, as a range of `Answer::emitted`.
    Tokens(Range<usize>),
    /// The answer is complete.
    End(FinishReason),
    /// This node hands the stream back; the caller resumes it at another one.
    Moved,
}

/// How an answer ended that is not whole.
#[derive(Debug, Clone, Copy)]
enum End {
    /// Its caller was given an error.
    Failed,
    /// It goes on at another node.
    Moved,
}

/// An answer in the making.
pub struct Answer {
    pub(crate) path: RequestPath,
    pub(crate) req: Arc<Request>,
    pub(crate) limits: RequestLimits,
    pub(crate) emitted: Vec<String>,
    /// Tokens that an earlier connection of the caller received.
    pub(crate) resumed_at: usize,
    pub(crate) attempt: Option<Attempt>,
    /// Place that was got before the answer was promised.
    pub(crate) slot: Option<Slot>,
    pub(crate) avoid: Vec<GroupId>,
    /// Replica whose stream was interrupted although it lives, to go on there.
    pub(crate) only: Option<GroupId>,
    pub(crate) interrupted: Vec<GroupId>,
    pub(crate) cached_state: Option<Vec<u8>>,
    pub(crate) attempts: u32,
    pub(crate) may_have_run: bool,
    pub(crate) started: Instant,
    pub(crate) first_token: Option<Duration>,
    pub(crate) broke_at: Option<(Instant, String)>,
    pub(crate) is_finished: bool,
    _running: RequestGuard,
}

impl Answer {
    /// Returns the answer to a request; `emitted` are tokens that its caller has already.
    pub fn new(
        path: RequestPath,
        req: Arc<Request>,
        limits: RequestLimits,
        emitted: Vec<String>,
        running: RequestGuard,
    ) -> Self {
        Self {
            path,
            req,
            limits,
            resumed_at: emitted.len(),
            emitted,
            attempt: None,
            slot: None,
            avoid: vec![],
            only: None,
            interrupted: vec![],
            cached_state: None,
            attempts: 0,
            may_have_run: false,
            started: Instant::now(),
            first_token: None,
            broke_at: None,
            is_finished: false,
            _running: running,
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &Request {
        &self.req
    }

    /// Returns all tokens so far, with those that the caller had.
    pub fn emitted(&self) -> &[String] {
        &self.emitted
    }

    /// Gets a place at a replica, or refuses while the request has certainly not run.
    pub async fn admit(&mut self) -> Result<(), RequestError> {
        let admitted = match self.refuse_convicted() {
            Ok(()) => self.acquire().await,
            Err(e) => Err(e),
        };
        self.slot = Some(admitted.map_err(|e| self.fail(e))?);
        Ok(())
    }

    /// Waits for the next part.
    pub async fn next(&mut self) -> Result<Part, RequestError> {
        self.next_part().await.map_err(|e| self.fail(e))
    }

    /// Ends the request with an error and returns it as the caller is told.
    fn fail(&mut self, e: RequestError) -> RequestError {
        self.finish(End::Failed);
        let mut e = e.with_request(&self.req.id);
        if self.may_have_run {
            e.ran = RunStatus::MaybeRun;
        }
        record_error(self.path.cx(), &self.req, self.emitted.len(), &e);
        e
    }

    async fn next_part(&mut self) -> Result<Part, RequestError> {
        loop {
            let broken = match &mut self.attempt {
                None => match self.open().await? {
                    Ok(attempt) => {
                        self.attempt = Some(attempt);
                        continue;
                    }
                    Err(broken) => broken,
                },
                Some(attempt) => {
                    let before = self.emitted.len();
                    let path = &self.path;
                    match attempt.progress(&mut self.emitted, || path.is_moving()).await {
                        Progress::Tokens => {
                            self.note_tokens();
                            return Ok(Part::Tokens(before..self.emitted.len()));
                        }
                        Progress::End(reason) => {
                            self.complete();
                            return Ok(Part::End(reason));
                        }
                        Progress::Broken(Break::Moved) => {
                            self.path.cx().metrics.count(metric_names::STREAMS_MOVED, 1);
                            self.path.record_moved_stream();
                            self.finish(End::Moved);
                            return Ok(Part::Moved);
                        }
                        Progress::Broken(broken) => broken,
                    }
                }
            };
            self.recover(broken).await?;
        }
    }

    /// Sends the request to a replica; the inner error tells why that one gave nothing.
    async fn open(&mut self) -> Result<Result<Attempt, Break>, RequestError> {
        let slot = match self.slot.take() {
            Some(slot) => slot,
            None => {
                self.keep_meeting_place().await?;
                self.acquire_again().await?
            }
        };
        self.attempts += 1;
        let replica = slot.replica().clone();
        let identity = &replica.identity;
        if let Some(state) = self.cached_state.take() {
            // Without the cached state the replica regenerates it from the tokens.
            let _ = self.path.engine().import_kv(&identity.address, &self.req.id, &state).await;
        }
        let req = self.upstream_request(&replica);
        let sent = Instant::now();
        let opening = self.path.engine().generate(&identity.address, &req);
        let opened = tokio::time::timeout(self.limits.patience().first, opening).await;
        let stream = match opened {
            Ok(Ok(stream)) => stream,
            Ok(Err(UpstreamError::Malformed { reason })) => {
                return Ok(Err(self.abandon(slot, Break::Malformed(reason))));
            }
            Ok(Err(e)) if e.may_have_run() => {
                return Ok(Err(self.abandon(slot, Break::Cut(e.to_string()))));
            }
            Ok(Err(e)) => return Ok(Err(self.abandon(slot, Break::NotTaken(e.to_string())))),
            Err(_) => return Ok(Err(self.abandon(slot, Break::Silent))),
        };
        let patience = Patience { deadline: self.req.deadline, ..self.limits.patience() };
        let max_tokens = self.req.max_tokens;
        Ok(Ok(Attempt::new(req.attempt, slot, sent, stream, patience, max_tokens)))
    }

    /// Keeps the replica of an attempt that was never opened for `recover`.
    fn abandon(&mut self, slot: Slot, broken: Break) -> Break {
        self.slot = Some(slot);
        broken
    }

    /// Tells whether a replica has begun the answer before, so that its caller waits for the rest.
    pub(crate) fn has_started(&self) -> bool {
        self.attempts > 0 && self.may_have_run
    }

    fn upstream_request(&self, replica: &Replica) -> GenerateRequest {
        GenerateRequest {
            request: self.req.id.clone(),
            attempt: self.path.next_attempt(),
            group: replica.identity.group.clone(),
            epoch: replica.identity.epoch,
            prompt: self.req.prompt.clone(),
            max_tokens: self.req.max_tokens,
            priority: if self.has_started() { Priority::Interactive } else { self.req.priority },
            adapter: replica.identity.adapter.clone(),
            offset: self.emitted.len() as u32,
            emitted: self.emitted.clone(),
            idempotency_key: self.req.key.clone(),
        }
    }

    fn note_tokens(&mut self) {
        if let Some((broke_at, cause)) = self.broke_at.take() {
            let Some(attempt) = &self.attempt else { return };
            self.path.cx().metrics.count(metric_names::STREAMS_RESUMED, 1);
            self.path.cx().record(Event::StreamResumed {
                request: self.req.id.clone(),
                service: self.req.service_id.clone(),
                group: attempt.slot.replica().identity.group.clone(),
                offset: self.emitted.len() as u64,
                cause,
                gap: broke_at.elapsed(),
            });
        }
        if self.first_token.is_none() {
            self.first_token = Some(self.started.elapsed());
            if let Some(attempt) = &self.attempt {
                let took = attempt.sent.elapsed();
                attempt.slot.replica().observe_first_token(took, self.limits.first_token);
            }
        }
    }

    fn complete(&mut self) {
        if let Some(attempt) = &self.attempt {
            self.path.record_success(attempt.slot.replica());
            if attempt.discarded > 0 {
                let discarded = i64::from(attempt.discarded);
                self.path.cx().metrics.count(metric_names::RECORDS_DISCARDED, discarded);
            }
        }
        self.path.suspects().clear(self.req.fingerprint);
        // The attempt has ended by itself: there is nothing to cancel.
        self.is_finished = true;
        self.attempt = None;
        self.count(metric_names::REQUESTS_WHOLE, RequestOutcome::Whole);
    }

    fn finish(&mut self, end: End) {
        if let Some(attempt) = self.attempt.take() {
            self.path.cancel(attempt.slot.replica(), attempt.id);
        }
        self.slot = None;
        self.is_finished = true;
        match (end, self.may_have_run) {
            (End::Moved, _) => {}
            (End::Failed, true) => {
                self.count(metric_names::REQUESTS_UNKNOWN, RequestOutcome::Unknown);
            }
            (End::Failed, false) => {
                self.count(metric_names::REQUESTS_NOT_RUN, RequestOutcome::NotRun);
            }
        }
    }

    fn count(&self, name: &'static str, outcome: RequestOutcome) {
        let metrics = &self.path.cx().metrics;
        metrics.count(name, 1);
        let sent = self.emitted.len() - self.resumed_at;
        let intervals = u32::try_from(sent).unwrap_or(u32::MAX).saturating_sub(1);
        let between_tokens = self
            .first_token
            .filter(|_| intervals > 0)
            .map(|first_token| (self.started.elapsed() - first_token) / intervals);
        let limits = &self.limits;
        let sample = RequestSample {
            first_token: self.first_token,
            between_tokens,
            first_token_met: self.first_token.is_some_and(|took| took <= limits.first_token),
            between_tokens_met: between_tokens.is_some_and(|took| took <= limits.between_tokens),
            outcome,
        };
        let levels = &self.path.cx().service_levels;
        levels.record(&self.req.service_id, &self.req.customer, &sample);
        metrics.count(metric_names::TOKENS, (self.emitted.len() - self.resumed_at) as i64);
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.count(metric_names::REQUESTS_ABANDONED, RequestOutcome::CallerLeft);
        if let Some(attempt) = self.attempt.take() {
            self.path.cancel(attempt.slot.replica(), attempt.id);
        }
    }
}

/// Tells whether a status report shows the group that a route names, ready or busy.
pub fn is_group_ready(status: &crate::generated::engine::EngineStatus, replica: &Replica) -> bool {
    let is_same = status.assignment.as_ref().is_some_and(|assignment| {
        assignment.group == replica.identity.group && assignment.epoch == replica.identity.epoch
    });
    is_same && matches!(status.state, MemberState::Ready | MemberState::Draining)
}
