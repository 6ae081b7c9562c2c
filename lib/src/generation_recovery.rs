//! Recovery of a generation after an interrupted attempt: whether it may be retried, at which
//! replica, and after what delay.

use crate::admission::AdmissionRequest;
use crate::admission::Slot;
use crate::attempt::Interruption;
use crate::generated::engine::Priority;
use crate::generated::events::Event;
use crate::generated::requests::ErrorCode;
use crate::generation::Generation;
use crate::metric_names;
use crate::replica::Replica;
use crate::replica::Share;
use crate::request::RequestError;
use crate::router;
use crate::router::SelectionCriteria;
use crate::router::Suspicion;
use crate::silent_upstreams;
use crate::silent_upstreams::Liveness;
use crate::silent_upstreams::RunningRequest;
use crate::silent_upstreams::UpstreamType;
use crate::suspects::Verdict;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 8;
/// Delay before a generation that has started tries again to acquire a replica.
const ACQUIRE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay that lets the crash records of other nodes arrive.
const CRASH_RECORDS_DELAY: Duration = Duration::from_secs(1);

impl Generation {
    /// Prepares the next attempt after an interruption, or returns the error that ends the request.
    pub(crate) async fn recover(&mut self, interruption: Interruption) -> Result<(), RequestError> {
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
                None => return Err(RequestError::unknown(ErrorCode::Internal, "no open attempt")),
            },
        };
        let replica = slot.replica().clone();
        // Release the slot before the next one is acquired.
        drop(slot);
        let now = Instant::now();
        self.may_have_run |= !matches!(interruption, Interruption::NotTaken(_));
        self.interrupted_at.get_or_insert((now, format!("{interruption:?}")));
        if interruption == Interruption::Deadline || now >= self.req.deadline {
            return Err(RequestError::not_run(ErrorCode::Deadline, "the deadline has passed"));
        }
        if self.attempts >= MAX_ATTEMPTS {
            let message =
                format!("{} attempts failed; the last one: {interruption:?}", self.attempts);
            return Err(RequestError::not_run(ErrorCode::UpstreamFailed, message));
        }
        self.refuse_rerun(&interruption)?;
        self.path.cx().metrics.count(metric_names::RETRIES, 1);
        let group = replica.identity.group.clone();
        match &interruption {
            Interruption::Drained => {
                replica.mark_stale();
                self.path.mark_leaving(&replica);
                self.excluded_groups.push(group);
                self.cached_state = self.path.export_kv(&replica, &self.req.id).await;
            }
            Interruption::WrongGroup => {
                replica.mark_stale();
                self.excluded_groups.push(group);
            }
            Interruption::NotTaken(e) => {
                self.path.record_error(&replica, e);
                self.excluded_groups.push(group);
                if self.path.suspects().crashes(self.req.fingerprint) > 0 {
                    // Copies of a suspect request are routed to the same replica, so another copy
                    // may have crashed it.
                    self.await_crash_records().await?;
                }
                self.await_retry(&replica, &interruption).await?;
            }
            Interruption::Malformed(_) => {
                self.path.record_failure(&replica);
                self.excluded_groups.push(group);
                self.spend_retry(&interruption)?;
            }
            Interruption::Cut(_) | Interruption::Silent => {
                self.probe_replica(&replica, &interruption, is_accepted).await?;
            }
            Interruption::Deadline => {}
        }
        Ok(())
    }

    /// Probes the replica on a new connection and resumes there if it is up, otherwise elsewhere.
    async fn probe_replica(
        &mut self,
        replica: &Arc<Replica>,
        interruption: &Interruption,
        is_accepted: bool,
    ) -> Result<(), RequestError> {
        let group = replica.identity.group.clone();
        let was_interrupted_before = self.interrupted_groups.contains(&group);
        let bound = self.limits.probe_timeout();
        let liveness =
            silent_upstreams::probe(&self.path, UpstreamType::Engine, replica, bound).await;
        if liveness == Liveness::Serving {
            match was_interrupted_before {
                true => {
                    self.path.record_failure(replica);
                    self.excluded_groups.push(group);
                    self.only_group = None;
                }
                false => {
                    self.interrupted_groups.push(group.clone());
                    self.only_group = Some(group);
                }
            }
            return Ok(());
        }
        self.only_group = None;
        self.path.record_failure(replica);
        self.excluded_groups.push(group);
        match liveness {
            Liveness::Ended if is_accepted => self.record_crash(replica).await?,
            Liveness::Silent if is_accepted => {
                silent_upstreams::watch(&self.path, UpstreamType::Engine, replica, &self.req);
            }
            _ => {}
        }
        // A crash interrupts a bounded number of requests, so their first retries are not charged
        // to the retry budget.
        match self.attempts > 2 {
            true => self.await_retry(replica, interruption).await,
            false => Ok(()),
        }
    }

    async fn record_crash(&mut self, replica: &Replica) -> Result<(), RequestError> {
        let crashes = silent_upstreams::record_crash(
            &self.path,
            replica,
            &RunningRequest::new(UpstreamType::Engine, &self.req),
        );
        if crashes >= self.limits.crash_limit as usize {
            return self.await_crash_records().await;
        }
        self.refuse_convicted()
    }

    /// Excludes the replica to which all copies of a suspect request are routed if it takes no
    /// requests, and waits for the crash records of other nodes: another copy may have crashed it.
    pub(crate) async fn skip_unavailable_suspect_replica(&mut self) -> Result<(), RequestError> {
        while self.path.suspects().crashes(self.req.fingerprint) > 0 {
            let replicas = self.path.routes().replicas(&self.req.service_id);
            let location = self.path.admission().location();
            let hash = self.req.fingerprint;
            let replica =
                router::rendezvous_replica(&replicas, hash, &self.excluded_groups, &location);
            match replica.filter(|replica| !replica.accepts_requests(Instant::now())) {
                Some(replica) => self.excluded_groups.push(replica.identity.group.clone()),
                None => return Ok(()),
            }
            self.await_crash_records().await?;
        }
        Ok(())
    }

    /// Waits for the crash records of other nodes before the request may run again.
    async fn await_crash_records(&mut self) -> Result<(), RequestError> {
        tokio::time::sleep(CRASH_RECORDS_DELAY).await;
        self.path.suspects().refresh();
        self.refuse_convicted()
    }

    /// Refuses a request that is convicted of crashing replicas.
    pub(crate) fn refuse_convicted(&self) -> Result<(), RequestError> {
        let suspects = self.path.suspects();
        let fingerprint = self.req.fingerprint;
        if self.verdict() == Verdict::Convicted {
            let crashes = suspects.crashes(fingerprint);
            return Err(self.conviction("request", fingerprint, crashes));
        }
        let Some(prefix) = self.req.prefix_key() else { return Ok(()) };
        match suspects.convicted_prefix(fingerprint, prefix) {
            Some(crashes) => Err(self.conviction("prefix", prefix, crashes)),
            None => Ok(()),
        }
    }

    /// Returns the error of a request that is refused because it, or the prefix of its prompt, is convicted.
    fn conviction(&self, kind: &str, fingerprint: u64, crashes: usize) -> RequestError {
        self.path.cx().record(Event::RequestConvicted {
            request: self.req.id.clone(),
            fingerprint: format!("{fingerprint:016x}"),
            kind: kind.to_string(),
            crashes: crashes as u64,
        });
        let message = format!("{crashes} replicas crashed while running this {kind}");
        RequestError::not_run(ErrorCode::Poisonous, message)
    }

    fn verdict(&self) -> Verdict {
        let (fingerprint, prefix) = (self.req.fingerprint, self.req.prefix_key());
        self.path.suspects().verdict_beside_prefix(fingerprint, prefix, self.limits.crash_limit)
    }

    /// Ends a request that runs at most once if a retry could run it a second time.
    fn refuse_rerun(&self, interruption: &Interruption) -> Result<(), RequestError> {
        if self.req.key.is_none() || !self.may_have_run {
            return Ok(());
        }
        let message = format!("the replica's stream was interrupted: {interruption:?}");
        Err(RequestError::unknown(ErrorCode::OutcomeUnknown, message))
    }

    /// Withdraws a retry. A generation that has started waits until its deadline for one, or for its
    /// replica to serve again, since its request has already been accepted.
    async fn await_retry(
        &mut self,
        replica: &Arc<Replica>,
        interruption: &Interruption,
    ) -> Result<(), RequestError> {
        let group = &replica.identity.group;
        loop {
            let Err(error) = self.spend_retry(interruption) else { return Ok(()) };
            let left = self.req.deadline.saturating_duration_since(Instant::now());
            if !self.has_begun() || left.is_zero() {
                return Err(error);
            }
            let bound = self.limits.probe_timeout().min(left);
            let liveness =
                silent_upstreams::probe(&self.path, UpstreamType::Engine, replica, bound).await;
            if liveness == Liveness::Serving {
                self.excluded_groups.retain(|excluded| excluded != group);
                self.only_group = Some(group.clone());
                return Ok(());
            }
            tokio::time::sleep(ACQUIRE_RETRY_DELAY.min(left)).await;
        }
    }

    /// Returns whether the caller has been told that the request is accepted.
    fn has_begun(&self) -> bool {
        self.emitted.len() > self.resume_offset || self.may_have_run
    }

    fn spend_retry(&self, interruption: &Interruption) -> Result<(), RequestError> {
        if self.path.retry_budget().withdraw() {
            return Ok(());
        }
        let message = format!("the retry budget is exhausted; the last attempt: {interruption:?}");
        let error = RequestError::not_run(ErrorCode::RetryLimit, message);
        Err(error.with_retry_after(Duration::from_secs(1)))
    }

    /// Acquires a slot for a further attempt. A generation that has started waits for a replica until
    /// its deadline, since its request has already been accepted.
    pub(crate) async fn acquire_again(&mut self) -> Result<Slot, RequestError> {
        let has_started = self.has_begun();
        loop {
            let error = match self.acquire().await {
                Ok(slot) => return Ok(slot),
                Err(e) => e,
            };
            let may_wait = has_started && Instant::now() < self.req.deadline;
            if !may_wait {
                return Err(error);
            }
            // No other replica is available, so those that failed before are tried again.
            self.only_group = None;
            self.excluded_groups.clear();
            tokio::time::sleep(ACQUIRE_RETRY_DELAY).await;
        }
    }

    pub(crate) async fn acquire(&mut self) -> Result<Slot, RequestError> {
        let suspicion = match self.verdict() {
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
                avoid: self.excluded_groups.clone(),
                only: self.only_group.clone(),
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
