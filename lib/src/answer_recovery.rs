//! How an answer goes on when an attempt at it was interrupted: whether it may, where, and after what
//! wait.

use crate::admission::AdmissionRequest;
use crate::admission::Slot;
use crate::answer::Answer;
use crate::attempt::Break;
use crate::generated::engine::Priority;
use crate::generated::events::Event;
use crate::generated::requests::ErrorCode;
use crate::metric_names;
use crate::replica::Replica;
use crate::replica::Share;
use crate::request::RequestError;
use crate::router;
use crate::router::SelectionCriteria;
use crate::router::Suspicion;
use crate::suspects::Verdict;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 8;
/// Pause before looking again for a replica for an answer that has begun.
const REPLICA_PAUSE: Duration = Duration::from_millis(50);
/// Time that other nodes' records of a crash take to arrive.
const CRASH_SETTLE: Duration = Duration::from_secs(1);

impl Answer {
    /// Decides how to go on after an attempt gave nothing more.
    pub(crate) async fn recover(&mut self, broken: Break) -> Result<(), RequestError> {
        let (slot, is_accepted) = match self.attempt.take() {
            Some(attempt) => {
                self.path
                    .cx()
                    .metrics
                    .count(metric_names::RECORDS_DISCARDED, i64::from(attempt.discarded));
                let (id, is_accepted) = (attempt.id, attempt.is_accepted());
                let slot = attempt.into_slot();
                self.path.cancel(slot.replica(), id);
                (slot, is_accepted)
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
                replica.mark_stale();
                self.path.mark_leaving(&replica);
                self.avoid.push(group);
                self.cached_state = self.path.export_kv(&replica, &self.req.id).await;
            }
            Break::WrongGroup => {
                replica.mark_stale();
                self.avoid.push(group);
            }
            Break::NotTaken(_) => {
                self.path.record_failure(&replica);
                self.avoid.push(group);
                if self.path.suspects().crashes(self.req.fingerprint) > 0 {
                    // Copies of a suspect meet on one replica: another copy may have crashed it.
                    self.settle_crashes().await?;
                }
                self.spend_retry(&broken)?;
            }
            Break::Malformed(_) => {
                self.path.record_failure(&replica);
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
        if self.path.is_serving(replica, self.limits.probe_timeout()).await {
            match is_again {
                true => {
                    self.path.record_failure(replica);
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
        self.path.record_failure(replica);
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
        let crashes = suspects.record_crash(self.req.fingerprint, replica.crash_id());
        self.path.cx().record(Event::RequestSuspected {
            request: self.req.id.clone(),
            fingerprint: format!("{:016x}", self.req.fingerprint),
            group: group.to_string(),
            crashes: crashes as u64,
        });
        if crashes >= self.limits.crash_limit as usize {
            return self.settle_crashes().await;
        }
        self.refuse_convicted()
    }

    /// Waits for the other nodes' records where a suspect cannot run at the replica at which copies
    /// of it meet: another copy may have crashed that one.
    pub(crate) async fn keep_meeting_place(&mut self) -> Result<(), RequestError> {
        while self.path.suspects().crashes(self.req.fingerprint) > 0 {
            let replicas = self.path.routes().replicas(&self.req.service_id);
            let location = self.path.admission().location();
            let hash = self.req.fingerprint;
            let meeting = router::rendezvous_replica(&replicas, hash, &self.avoid, &location);
            match meeting.filter(|replica| !replica.accepts_requests(Instant::now())) {
                Some(replica) => self.avoid.push(replica.identity.group.clone()),
                None => return Ok(()),
            }
            self.settle_crashes().await?;
        }
        Ok(())
    }

    /// Waits for the other nodes' records of crashes before the request may run again.
    async fn settle_crashes(&mut self) -> Result<(), RequestError> {
        tokio::time::sleep(CRASH_SETTLE).await;
        self.path.suspects().refresh();
        self.refuse_convicted()
    }

    /// Refuses a request that crashes replicas.
    pub(crate) fn refuse_convicted(&self) -> Result<(), RequestError> {
        let suspects = self.path.suspects();
        if suspects.verdict(self.req.fingerprint, self.limits.crash_limit) != Verdict::Convicted {
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
        if self.path.retry_budget().withdraw() {
            return Ok(());
        }
        let message = format!("the retry budget is used up; the last attempt: {broken:?}");
        let error = RequestError::not_run(ErrorCode::RetryLimit, message);
        Err(error.with_retry_after(Duration::from_secs(1)))
    }

    /// Gets a place for a further attempt. An answer that has begun waits for a replica up to its
    /// deadline, since its caller has been promised the whole.
    pub(crate) async fn acquire_again(&mut self) -> Result<Slot, RequestError> {
        let has_started = self.emitted.len() > self.resumed_at || self.may_have_run;
        loop {
            let error = match self.acquire().await {
                Ok(slot) => return Ok(slot),
                Err(e) => e,
            };
            let waits = has_started && Instant::now() < self.req.deadline;
            if !waits {
                return Err(error);
            }
            // Where every other replica has failed, those that failed first are tried again.
            self.only = None;
            self.avoid.clear();
            tokio::time::sleep(REPLICA_PAUSE).await;
        }
    }

    pub(crate) async fn acquire(&mut self) -> Result<Slot, RequestError> {
        let suspects = self.path.suspects();
        let suspicion = match suspects.verdict(self.req.fingerprint, self.limits.crash_limit) {
            Verdict::Clear => Suspicion::None,
            Verdict::Suspect => Suspicion::Suspect,
            Verdict::Isolate | Verdict::Convicted => Suspicion::Isolated,
        };
        let hash = match suspicion {
            Suspicion::None => self.req.prefix,
            Suspicion::Suspect | Suspicion::Isolated => self.req.fingerprint,
        };
        let left = self.req.deadline.saturating_duration_since(Instant::now());
        let has_started = self.has_started();
        let request = AdmissionRequest {
            service: self.req.service_id.clone(),
            customer: self.req.customer.clone(),
            weight: self.limits.weight,
            burst: self.limits.burst,
            bytes: self.req.prompt.len(),
            criteria: SelectionCriteria {
                hash,
                priority: if has_started { Priority::Interactive } else { self.req.priority },
                avoid: self.avoid.clone(),
                only: self.only.clone(),
                adapter: self.req.adapter.clone(),
                suspicion,
                share: Share::Within,
                has_started,
            },
            max_wait: self.limits.queue_wait.min(left),
            has_started,
        };
        self.path.admission().acquire(&request).await
    }
}
