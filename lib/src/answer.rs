//! The answer to one generation request: one unbroken sequence of tokens, whatever happens to the
//! replicas that generate it.
//!
//! The caller of `next` drives everything, so an answer that nobody reads costs nothing, and one
//! that is dropped cancels its attempt.

use crate::admission::Ask;
use crate::admission::Slot;
use crate::attempt::Attempt;
use crate::attempt::Break;
use crate::attempt::Patience;
use crate::attempt::Progress;
use crate::engine::UpstreamError;
use crate::generated::engine::FinishReason;
use crate::generated::engine::GenerateRequest;
use crate::generated::engine::MemberState;
use crate::generated::events::Event;
use crate::generated::requests::ErrorCode;
use crate::ids::GroupId;
use crate::metric_names;
use crate::replica::Replica;
use crate::request::Ran;
use crate::request::Request;
use crate::request::RequestError;
use crate::request_path::RequestPath;
use crate::request_path::Running;
use crate::request_terms::RequestTerms;
use crate::router::Choice;
use crate::router::Suspicion;
use crate::suspects::Verdict;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 8;
/// Pause before looking again for a replica for an answer that has begun.
const REPLICA_PAUSE: Duration = Duration::from_millis(50);
/// Time that other nodes' records of a crash take to arrive.
const CRASH_SETTLE: Duration = Duration::from_secs(1);

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

/// An answer in the making.
pub struct Answer {
    path: RequestPath,
    req: Arc<Request>,
    terms: RequestTerms,
    emitted: Vec<String>,
    /// Tokens that an earlier connection of the caller received.
    resumed_at: usize,
    attempt: Option<Attempt>,
    /// Place that was got before the answer was promised.
    slot: Option<Slot>,
    avoid: Vec<GroupId>,
    /// Replica whose stream was interrupted although it lives, to go on there.
    only: Option<GroupId>,
    interrupted: Vec<GroupId>,
    cached_state: Option<Vec<u8>>,
    attempts: u32,
    may_have_run: bool,
    started: Instant,
    first_token: Option<Duration>,
    broke_at: Option<(Instant, String)>,
    is_finished: bool,
    _running: Running,
}

impl Answer {
    /// Returns the answer to a request; `emitted` are tokens that its caller has already.
    pub fn new(
        path: RequestPath,
        req: Arc<Request>,
        terms: RequestTerms,
        emitted: Vec<String>,
        running: Running,
    ) -> Self {
        Self {
            path,
            req,
            terms,
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
        self.refuse_convicted()?;
        let slot = self.acquire().await?;
        self.slot = Some(slot);
        Ok(())
    }

    /// Waits for the next part.
    pub async fn next(&mut self) -> Result<Part, RequestError> {
        match self.next_part().await {
            Err(e) if self.may_have_run => {
                self.finish("failed");
                Err(RequestError { ran: Ran::Maybe, ..e.with_request(&self.req.id) })
            }
            Err(e) => {
                self.finish("refused");
                Err(e.with_request(&self.req.id))
            }
            Ok(part) => Ok(part),
        }
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
                            self.path.note_moved();
                            self.finish("moved");
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
            None => self.acquire_again().await?,
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
        let opened = tokio::time::timeout(self.terms.patience().first, opening).await;
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
        let patience = Patience { deadline: self.req.deadline, ..self.terms.patience() };
        let max_tokens = self.req.max_tokens;
        Ok(Ok(Attempt::new(req.attempt, slot, sent, stream, patience, max_tokens)))
    }

    /// Keeps the replica of an attempt that was never opened for `recover`.
    fn abandon(&mut self, slot: Slot, broken: Break) -> Break {
        self.slot = Some(slot);
        broken
    }

    fn upstream_request(&self, replica: &Replica) -> GenerateRequest {
        GenerateRequest {
            request: self.req.id.clone(),
            attempt: self.path.next_attempt(),
            group: replica.identity.group.clone(),
            epoch: replica.identity.epoch,
            prompt: self.req.prompt.clone(),
            max_tokens: self.req.max_tokens,
            priority: self.req.priority,
            adapter: replica.identity.adapter.clone(),
            offset: self.emitted.len() as u32,
            emitted: self.emitted.clone(),
            idempotency_key: self.req.key.clone(),
        }
    }

    /// Decides how to go on after an attempt gave nothing more.
    async fn recover(&mut self, broken: Break) -> Result<(), RequestError> {
        let (slot, is_accepted) = match self.attempt.take() {
            Some(attempt) => {
                self.path
                    .cx()
                    .metrics
                    .count(metric_names::RECORDS_DISCARDED, i64::from(attempt.discarded));
                self.path.cancel(attempt.slot.replica(), attempt.id);
                let is_accepted = attempt.is_accepted();
                (attempt.slot, is_accepted)
            }
            None => match self.slot.take() {
                Some(slot) => (slot, false),
                None => return Err(RequestError::unknown(ErrorCode::Internal, "no attempt")),
            },
        };
        let replica = slot.replica().clone();
        // The place is given back before the next one is asked for.
        drop(slot);
        let now = Instant::now();
        self.may_have_run |= !matches!(broken, Break::NotTaken(_));
        self.broke_at.get_or_insert((now, format!("{broken:?}")));
        if broken == Break::Deadline || now >= self.req.deadline {
            return Err(RequestError::not_run(ErrorCode::Deadline, "the deadline passed"));
        }
        if self.attempts >= MAX_ATTEMPTS {
            let message = format!("{} attempts failed, the last one: {broken:?}", self.attempts);
            return Err(RequestError::not_run(ErrorCode::UpstreamFailed, message));
        }
        self.refuse_second_run(&broken)?;
        self.path.cx().metrics.count(metric_names::RETRIES, 1);
        let group = replica.identity.group.clone();
        match &broken {
            Break::Drained => {
                replica.refute();
                self.path.told_leaving(&replica);
                self.avoid.push(group);
                self.cached_state = self.path.export_kv(&replica, &self.req.id).await;
            }
            Break::WrongGroup => {
                replica.refute();
                self.avoid.push(group);
            }
            Break::NotTaken(_) => {
                self.path.note_failure(&replica);
                self.avoid.push(group);
                self.spend_retry(&broken)?;
            }
            Break::Malformed(_) => {
                self.path.note_failure(&replica);
                self.avoid.push(group);
                self.spend_retry(&broken)?;
            }
            Break::Cut(_) | Break::Silent => {
                self.look_at(&replica, &broken, is_accepted).await?;
            }
            Break::Moved | Break::Deadline => {}
        }
        Ok(())
    }

    /// Looks on a new connection whether the replica lives, to go on there or elsewhere.
    async fn look_at(
        &mut self,
        replica: &Arc<Replica>,
        broken: &Break,
        is_accepted: bool,
    ) -> Result<(), RequestError> {
        let group = replica.identity.group.clone();
        let is_again = self.interrupted.contains(&group);
        if self.path.lives(replica, self.terms.probe_bound()).await {
            match is_again {
                true => {
                    self.path.note_failure(replica);
                    self.avoid.push(group);
                    self.only = None;
                }
                false => {
                    self.interrupted.push(group.clone());
                    self.only = Some(group);
                }
            }
            return Ok(());
        }
        self.only = None;
        self.path.note_failure(replica);
        self.avoid.push(group.clone());
        if is_accepted {
            self.note_crash(replica, &group).await?;
        }
        // A crash has a bounded number of requests, so their first retries need no budget.
        match self.attempts > 2 {
            true => self.spend_retry(broken),
            false => Ok(()),
        }
    }

    async fn note_crash(&mut self, replica: &Replica, group: &str) -> Result<(), RequestError> {
        let suspects = self.path.suspects().clone();
        let crashes = suspects.crashed(self.req.fingerprint, replica.crash_id());
        self.path.cx().record(Event::RequestSuspected {
            request: self.req.id.clone(),
            fingerprint: format!("{:016x}", self.req.fingerprint),
            group: group.to_string(),
            crashes: crashes as u64,
        });
        if crashes >= self.terms.crash_limit as usize {
            tokio::time::sleep(CRASH_SETTLE).await;
            suspects.refresh();
        }
        self.refuse_convicted()
    }

    /// Refuses a request that crashes replicas.
    fn refuse_convicted(&self) -> Result<(), RequestError> {
        let suspects = self.path.suspects();
        if suspects.verdict(self.req.fingerprint, self.terms.crash_limit) != Verdict::Convicted {
            return Ok(());
        }
        let crashes = suspects.crashes(self.req.fingerprint);
        self.path.cx().record(Event::RequestConvicted {
            request: self.req.id.clone(),
            fingerprint: format!("{:016x}", self.req.fingerprint),
            crashes: crashes as u64,
        });
        let message = format!("{crashes} replicas crashed while they ran this request");
        Err(RequestError::not_run(ErrorCode::Poisonous, message))
    }

    /// Ends a request that runs at most once where going on could run it again.
    fn refuse_second_run(&self, broken: &Break) -> Result<(), RequestError> {
        if self.req.key.is_none() || !self.may_have_run {
            return Ok(());
        }
        let message = format!("the replica's stream was interrupted: {broken:?}");
        Err(RequestError::unknown(ErrorCode::OutcomeUnknown, message))
    }

    fn spend_retry(&self, broken: &Break) -> Result<(), RequestError> {
        if self.path.retries().withdraw() {
            return Ok(());
        }
        let message = format!("the retry budget is used up; the last attempt: {broken:?}");
        let error = RequestError::not_run(ErrorCode::RetryLimit, message);
        Err(error.with_retry_after(Duration::from_secs(1)))
    }

    /// Gets a place for a further attempt. An answer that has begun waits for a replica up to its
    /// deadline, since its caller has been promised the whole.
    async fn acquire_again(&mut self) -> Result<Slot, RequestError> {
        let has_begun = self.emitted.len() > self.resumed_at || self.may_have_run;
        loop {
            let error = match self.acquire().await {
                Ok(slot) => return Ok(slot),
                Err(e) => e,
            };
            let waits = has_begun && Instant::now() < self.req.deadline;
            if !waits {
                return Err(error);
            }
            // Where every other replica has failed, those that failed first are tried again.
            self.only = None;
            self.avoid.clear();
            tokio::time::sleep(REPLICA_PAUSE).await;
        }
    }

    async fn acquire(&mut self) -> Result<Slot, RequestError> {
        let suspects = self.path.suspects();
        let suspicion = match suspects.verdict(self.req.fingerprint, self.terms.crash_limit) {
            Verdict::Clear => Suspicion::None,
            Verdict::Suspect => Suspicion::Suspect,
            Verdict::Isolate | Verdict::Convicted => Suspicion::Isolated,
        };
        let hash = match suspicion {
            Suspicion::None => self.req.prefix,
            Suspicion::Suspect | Suspicion::Isolated => self.req.fingerprint,
        };
        let left = self.req.deadline.saturating_duration_since(Instant::now());
        let ask = Ask {
            service: self.req.service_id.clone(),
            customer: self.req.customer.clone(),
            weight: self.terms.weight,
            burst: self.terms.burst,
            bytes: self.req.prompt.len(),
            choice: Choice {
                hash,
                priority: self.req.priority,
                avoid: self.avoid.clone(),
                only: self.only.clone(),
                adapter: self.req.adapter.clone(),
                suspicion,
            },
            max_wait: self.terms.queue_wait.min(left),
        };
        self.path.admission().acquire(&ask).await
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
                attempt.slot.replica().observe_first_token(took, self.terms.first_token);
            }
        }
    }

    fn complete(&mut self) {
        if let Some(attempt) = &self.attempt {
            self.path.note_success(attempt.slot.replica());
            if attempt.discarded > 0 {
                let discarded = i64::from(attempt.discarded);
                self.path.cx().metrics.count(metric_names::RECORDS_DISCARDED, discarded);
            }
        }
        self.path.suspects().clear(self.req.fingerprint);
        // The attempt has ended by itself: there is nothing to cancel.
        self.is_finished = true;
        self.attempt = None;
        self.count(metric_names::REQUESTS_WHOLE);
    }

    fn finish(&mut self, how: &str) {
        if let Some(attempt) = self.attempt.take() {
            self.path.cancel(attempt.slot.replica(), attempt.id);
        }
        self.slot = None;
        self.is_finished = true;
        let name = match (how, self.may_have_run) {
            ("moved", _) => return,
            (_, true) => metric_names::REQUESTS_UNKNOWN,
            (_, false) => metric_names::REQUESTS_NOT_RUN,
        };
        self.count(name);
    }

    fn count(&self, name: &'static str) {
        let metrics = &self.path.cx().metrics;
        metrics.count(name, 1);
        metrics.count(metric_names::TOKENS, (self.emitted.len() - self.resumed_at) as i64);
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.path.cx().metrics.count(metric_names::REQUESTS_ABANDONED, 1);
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
