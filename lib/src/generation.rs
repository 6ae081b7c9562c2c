//! Runs one generation request and returns its tokens as one gapless sequence. Interrupted attempts
//! are retried or resumed, also on other replicas.
//!
//! A generation makes progress only while `next` is polled, so one that nobody reads causes
//! no work on this node. Dropping it cancels its attempt at the replica.

use crate::admission::Slot;
use crate::attempt::Attempt;
use crate::attempt::Interruption;
use crate::attempt::Progress;
use crate::attempt::StreamTimeouts;
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
use crate::request_path::refused_by_shutdown;
use crate::service_levels::RequestOutcome;
use crate::service_levels::RequestSample;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What a generation yields next.
#[derive(Debug, Clone, PartialEq)]
pub enum GenerationEvent {
    /// New tokens, as a range of indexes into the emitted tokens.
    Tokens(Range<usize>),
    /// The generation is complete.
    End(FinishReason),
    /// This node is shutting down; the caller has to resume the stream at another node.
    Moved,
}

/// How a generation ended before it was complete.
#[derive(Debug, Clone, Copy)]
enum Incomplete {
    /// The caller received an error.
    Failed,
    /// The caller resumes it at another node.
    Moved,
}

/// A running generation request.
pub struct Generation {
    pub(crate) path: RequestPath,
    pub(crate) req: Arc<Request>,
    pub(crate) limits: RequestLimits,
    pub(crate) emitted: Vec<String>,
    /// Number of tokens that the caller received on an earlier connection.
    pub(crate) resume_offset: usize,
    pub(crate) attempt: Option<Attempt>,
    /// Slot acquired by `admit` before the caller was told that the request is accepted, or kept by
    /// `abandon`.
    pub(crate) slot: Option<Slot>,
    pub(crate) excluded_groups: Vec<GroupId>,
    /// Group of a replica whose stream was interrupted although it is up, to resume there.
    pub(crate) only_group: Option<GroupId>,
    pub(crate) interrupted_groups: Vec<GroupId>,
    pub(crate) cached_state: Option<Vec<u8>>,
    pub(crate) attempts: u32,
    pub(crate) may_have_run: bool,
    pub(crate) started: Instant,
    pub(crate) first_token: Option<Duration>,
    pub(crate) interrupted_at: Option<(Instant, String)>,
    pub(crate) is_finished: bool,
    _running: RequestGuard,
}

impl Generation {
    /// Creates the generation of a request; `emitted` are the tokens that the caller already has.
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
            resume_offset: emitted.len(),
            emitted,
            attempt: None,
            slot: None,
            excluded_groups: vec![],
            only_group: None,
            interrupted_groups: vec![],
            cached_state: None,
            attempts: 0,
            may_have_run: false,
            started: Instant::now(),
            first_token: None,
            interrupted_at: None,
            is_finished: false,
            _running: running,
        }
    }

    /// Returns the request that this generation runs.
    pub fn request(&self) -> &Request {
        &self.req
    }

    /// Returns all tokens so far, including those that the caller already had.
    pub fn emitted(&self) -> &[String] {
        &self.emitted
    }

    /// Acquires a slot at a replica, or refuses the request, which has certainly not run so far.
    pub async fn admit(&mut self) -> Result<(), RequestError> {
        let admitted = match self.refuse_convicted() {
            Ok(()) => {
                let path = self.path.clone();
                let acquired = path.run_until_moving(self.acquire()).await;
                acquired.unwrap_or_else(|| Err(refused_by_shutdown()))
            }
            Err(e) => Err(e),
        };
        self.slot = Some(admitted.map_err(|e| self.fail(e))?);
        Ok(())
    }

    /// Waits for the next tokens or the end of the generation.
    pub async fn next(&mut self) -> Result<GenerationEvent, RequestError> {
        let path = self.path.clone();
        match path.run_until_moving(self.next_event()).await {
            Some(event) => event.map_err(|e| self.fail(e)),
            None => Ok(self.hand_back()),
        }
    }

    /// Ends the request, which its caller resumes at another node.
    fn hand_back(&mut self) -> GenerationEvent {
        self.path.cx().metrics.count(metric_names::STREAMS_MOVED, 1);
        self.path.record_moved_stream();
        self.finish(Incomplete::Moved);
        GenerationEvent::Moved
    }

    /// Ends the request and returns the error as it is sent to the caller.
    fn fail(&mut self, e: RequestError) -> RequestError {
        self.finish(Incomplete::Failed);
        let mut e = e.with_request(&self.req.id);
        if self.may_have_run {
            e.ran = RunStatus::MaybeRun;
        }
        record_error(self.path.cx(), &self.req, self.emitted.len(), &e);
        e
    }

    async fn next_event(&mut self) -> Result<GenerationEvent, RequestError> {
        loop {
            let interruption = match &mut self.attempt {
                None => match self.start_attempt().await? {
                    Ok(attempt) => {
                        self.attempt = Some(attempt);
                        continue;
                    }
                    Err(interruption) => interruption,
                },
                Some(attempt) => {
                    let offset_before = self.emitted.len();
                    match attempt.progress(&mut self.emitted).await {
                        Progress::Tokens => {
                            self.record_first_tokens();
                            return Ok(GenerationEvent::Tokens(offset_before..self.emitted.len()));
                        }
                        Progress::End(reason) => {
                            self.complete();
                            return Ok(GenerationEvent::End(reason));
                        }
                        Progress::Interrupted(interruption) => interruption,
                    }
                }
            };
            self.recover(interruption).await?;
        }
    }

    /// Sends the request to a replica. The inner error is a failure of this attempt, which may be
    /// retried; the outer one ends the request.
    async fn start_attempt(&mut self) -> Result<Result<Attempt, Interruption>, RequestError> {
        let slot = match self.slot.take() {
            Some(slot) => slot,
            None => {
                self.skip_unavailable_suspect_replica().await?;
                self.acquire_again().await?
            }
        };
        self.attempts += 1;
        let replica = slot.replica().clone();
        let identity = &replica.identity;
        if let Some(state) = self.cached_state.take() {
            // If the import fails, the replica recomputes the state from the tokens.
            let _ = self.path.engine().import_kv(&identity.address, &self.req.id, &state).await;
        }
        let req = self.upstream_request(&replica);
        let sent = Instant::now();
        let opening = self.path.engine().generate(&identity.address, &req);
        let timeouts = self.limits.stream_timeouts(self.req.key.is_none());
        let result = tokio::time::timeout(timeouts.first_token, opening).await;
        let stream = match result {
            Ok(Ok(stream)) => stream,
            Ok(Err(UpstreamError::Malformed { reason })) => {
                return Ok(Err(self.abandon(slot, Interruption::Malformed(reason))));
            }
            Ok(Err(e)) if e.may_have_run() => {
                return Ok(Err(self.abandon(slot, Interruption::Cut(e.to_string()))));
            }
            Ok(Err(e)) => {
                return Ok(Err(self.abandon(slot, Interruption::NotTaken(e))));
            }
            Err(_) => return Ok(Err(self.abandon(slot, Interruption::Silent))),
        };
        let timeouts = StreamTimeouts { deadline: self.req.deadline, ..timeouts };
        let max_tokens = self.req.max_tokens;
        Ok(Ok(Attempt::new(req.attempt, slot, sent, stream, timeouts, max_tokens)))
    }

    /// Keeps the slot of an attempt whose stream was never opened, for `recover`.
    fn abandon(&mut self, slot: Slot, interruption: Interruption) -> Interruption {
        self.slot = Some(slot);
        interruption
    }

    /// Returns whether a replica may already have run the request, so that the caller is waiting
    /// for the remaining tokens.
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

    fn record_first_tokens(&mut self) {
        if let Some((interrupted_at, cause)) = self.interrupted_at.take() {
            let Some(attempt) = &self.attempt else { return };
            self.path.cx().metrics.count(metric_names::STREAMS_RESUMED, 1);
            self.path.cx().record(Event::StreamResumed {
                request: self.req.id.clone(),
                service: self.req.service_id.clone(),
                group: attempt.slot.replica().identity.group.clone(),
                offset: self.emitted.len() as u64,
                cause,
                gap: interrupted_at.elapsed(),
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
        if let Some(prefix) = self.req.prefix_key() {
            self.path.suspects().clear(prefix);
        }
        // The replica has already ended the attempt, so there is nothing to cancel.
        self.is_finished = true;
        self.attempt = None;
        self.record_outcome(metric_names::REQUESTS_WHOLE, RequestOutcome::Whole);
    }

    fn finish(&mut self, end: Incomplete) {
        if let Some(attempt) = self.attempt.take() {
            self.path.cancel(attempt.slot.replica(), attempt.id);
        }
        self.slot = None;
        self.is_finished = true;
        match (end, self.may_have_run) {
            (Incomplete::Moved, _) => {}
            (Incomplete::Failed, true) => {
                self.record_outcome(metric_names::REQUESTS_UNKNOWN, RequestOutcome::Unknown);
            }
            (Incomplete::Failed, false) => {
                self.record_outcome(metric_names::REQUESTS_NOT_RUN, RequestOutcome::NotRun);
            }
        }
    }

    fn record_outcome(&self, name: &'static str, outcome: RequestOutcome) {
        let metrics = &self.path.cx().metrics;
        metrics.count(name, 1);
        let sent = self.emitted.len() - self.resume_offset;
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
        metrics.count(metric_names::TOKENS, (self.emitted.len() - self.resume_offset) as i64);
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.record_outcome(metric_names::REQUESTS_ABANDONED, RequestOutcome::CallerLeft);
        if let Some(attempt) = self.attempt.take() {
            self.path.cancel(attempt.slot.replica(), attempt.id);
        }
    }
}

/// Returns whether a status report is from the group and epoch that the route names, and the group
/// is ready or draining.
pub fn is_group_ready(status: &crate::generated::engine::EngineStatus, replica: &Replica) -> bool {
    let is_expected_group = status.assignment.as_ref().is_some_and(|assignment| {
        assignment.group == replica.identity.group && assignment.epoch == replica.identity.epoch
    });
    is_expected_group && matches!(status.state, MemberState::Ready | MemberState::Draining)
}
