//! A request of a caller while it is being served, and the recording of its outcome in the log and
//! metrics.

use crate::admission_sync::MeasuredRequest;
use crate::attempt::AttemptError;
use crate::attempt::Withheld;
use crate::crash_keys::CrashKeys;
use crate::crash_keys::CrashSubject;
use crate::crash_record;
use crate::crash_record::CrashRefusal;
use crate::dialect::RequestHead;
use crate::failed_attempts;
use crate::failed_attempts::FailedAttempt;
use crate::fleet_config::ConfigVersion;
use crate::fleet_config::RouteKind;
use crate::key_hash::key_hash_of_parts;
use crate::listeners::RunningRequestGuard;
use crate::node_relay::RelayTicket;
use crate::node_stop::CATCH_UP_TIME;
use crate::node_stop::NodeStop;
use crate::node_stop::StopTimes;
use crate::node_stop::sleep_until_caught_up;
use crate::placement::Occupancy;
use crate::placement::Timeliness;
use crate::replica_set::Replica;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use guavaladder_lib::generated::events::Event;
use http::HeaderMap;
use http::Method;
use http::Uri;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// A request of a caller whose body has been read and whose route is known.
#[derive(Debug)]
pub struct RequestTask {
    /// Fields decoded from the request headers.
    pub head: RequestHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Name of the route.
    pub route: String,
    /// Kind of the route, which determines whether the request may be retried.
    pub kind: RouteKind,
    /// Name of the target service.
    pub service: String,
    /// Name of the customer, if the API key is known.
    pub customer: Option<String>,
    /// Priority; 0 is the highest.
    pub urgency: u8,
    /// Maximum number of attempts in which the request may run.
    pub max_attempts: u32,
    /// Ticket of a request that another node passes on.
    pub ticket: Option<RelayTicket>,
    /// Whether the request counts for the retry budget of this node. One that is passed on counts for that of
    /// the other node.
    pub is_counted: bool,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Version of the configuration used to match the request.
    pub config_version: ConfigVersion,
    /// Whether the caller has probably sent the request before: its remaining deadline is shorter than
    /// the route's timeout by more than the target latency.
    pub is_likely_retry: bool,
    /// Time at which the request was received.
    pub received: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Fingerprints under which crashes of replicas are recorded.
    pub crash_keys: CrashKeys,
    /// Whether the caller has received the start of a stream.
    pub has_begun: AtomicBool,
    /// Whether and when this node stops.
    pub stop: NodeStop,
}

impl RequestTask {
    /// Returns the time by which the request ends: its deadline, or earlier if this node stops before.
    pub fn due(&self) -> Instant {
        self.deadline.min(self.stop.times().map_or(self.deadline, |times| self.stop_time(&times)))
    }

    /// Returns the time left until the request ends.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.due().saturating_duration_since(now)
    }

    /// Waits until the request ends, and longer if the process is late; returns the reason.
    pub async fn wait_until_due(&self) -> &'static str {
        tokio::select! {
            () = sleep_until_caught_up(self.deadline, CATCH_UP_TIME) => {}
            () = self.stop.wait_until(|times| self.stop_time(times)) => {}
        }
        self.reason_of_end()
    }

    /// Returns why a request that is not complete at [`Self::due`] ends.
    pub fn reason_of_end(&self) -> &'static str {
        let is_stopped = self.due() < self.deadline;
        match (is_stopped, self.has_begun.load(Ordering::Relaxed)) {
            (false, false) => "no response before the deadline",
            (false, true) => "no end of the stream before the deadline",
            (true, false) => "no response before this node stopped",
            (true, true) => "no end of the stream before this node stopped",
        }
    }

    /// Runs an attempt until the request ends.
    pub async fn run_until_due<T>(
        &self,
        attempt: impl Future<Output = Result<T, AttemptError>>,
    ) -> Result<T, AttemptError> {
        tokio::select! {
            biased;
            result = attempt => result,
            reason = self.wait_until_due() => Err(AttemptError::TimedOut(reason)),
        }
    }

    /// Returns whether the caller has received a part of the response.
    pub fn has_begun(&self) -> bool {
        let has_begun_elsewhere = self.ticket.is_some_and(|ticket| ticket.has_begun);
        has_begun_elsewhere || self.has_begun.load(Ordering::Relaxed)
    }

    /// Records that the caller receives the start of a stream.
    pub fn record_begun(&self) {
        self.has_begun.store(true, Ordering::Relaxed);
    }

    fn stop_time(&self, times: &StopTimes) -> Instant {
        match self.has_begun.load(Ordering::Relaxed) {
            true => times.streams_end,
            false => times.answers_due,
        }
    }

    /// Returns whether the response can still meet the target latency, given the number of attempts.
    pub fn timeliness(&self, attempts: usize) -> Timeliness {
        match self.is_likely_retry || attempts > 0 {
            true => Timeliness::Late,
            false => Timeliness::OnTime,
        }
    }

    /// Returns the deadline to send to a replica: the time left until the request ends, at least 1 ms. A
    /// stream that begins may run for longer than a request is waited for.
    pub fn upstream_deadline(&self, now: Instant) -> Duration {
        let until = match (self.kind, self.stop.times()) {
            (RouteKind::Streaming { .. }, Some(times)) => self.deadline.min(times.streams_end),
            _ => self.due(),
        };
        until.saturating_duration_since(now).max(Duration::from_millis(1))
    }
}

/// Returns the hash that identifies a request across retries.
pub fn fingerprint(method: &Method, uri: &Uri, customer: Option<&str>, body: &[u8]) -> u64 {
    let (uri, customer) = (uri.to_string(), customer.unwrap_or_default());
    let head = [method.as_str(), &uri, customer].into_iter();
    let head = head.flat_map(|part| [part.as_bytes(), &[0]]);
    key_hash_of_parts(head.chain([body]))
}

/// Records the progress of a request and, exactly once, its outcome in the log and metrics.
#[derive(Debug)]
pub struct RequestTrace {
    cx: ServingCx,
    request: String,
    route: String,
    config: ConfigVersion,
    crash_keys: CrashKeys,
    received: Instant,
    /// Key of the replica of the last attempt.
    pub replica: String,
    /// Number of attempts.
    pub attempts: u64,
    /// Requests already at the replica when the last attempt began.
    pub ahead: u64,
    /// Number of stream events forwarded to the caller.
    pub events: u64,
    /// Time from receiving the request to the start of the response.
    pub time_to_first_byte: Option<Duration>,
    is_recorded: bool,
    /// Attempt in progress.
    current: Option<CurrentAttempt>,
    /// Last reason for which the request was not sent to another replica.
    withheld: Option<&'static str>,
    /// Measurements for admission, if the service is measured.
    measured: Option<MeasuredRequest>,
    /// Counts the request as running, so that a shutdown waits for it.
    _running: RunningRequestGuard,
}

/// An attempt in progress.
#[derive(Debug)]
struct CurrentAttempt {
    replica: Arc<Replica>,
    sent_at: Instant,
    /// Whether other streams of this node were running at the replica.
    has_others: bool,
    /// Whether the first event of the response has arrived.
    has_begun: bool,
}

impl RequestTrace {
    /// Returns the trace of a new request.
    pub fn new(cx: &ServingCx, task: &RequestTask) -> Self {
        Self {
            cx: cx.clone(),
            request: task.head.id.clone(),
            route: task.route.clone(),
            config: task.config_version,
            crash_keys: task.crash_keys.clone(),
            received: task.received,
            replica: String::new(),
            attempts: 0,
            ahead: 0,
            events: 0,
            time_to_first_byte: None,
            is_recorded: false,
            current: None,
            withheld: None,
            measured: MeasuredRequest::new(cx, task),
            _running: cx.running.begin_request(),
        }
    }

    /// Records the start of an attempt at a replica.
    pub fn record_attempt(&mut self, replica: &Arc<Replica>) {
        let now = Instant::now();
        let state = self.cx.loads.state(replica, now);
        self.current = Some(CurrentAttempt {
            replica: replica.clone(),
            sent_at: now,
            has_others: state.own > state.unanswered,
            has_begun: false,
        });
        self.attempts += 1;
        self.ahead = u64::from(state.requests());
        self.replica = replica.key.clone();
        if let Some(measured) = &mut self.measured {
            measured.record_attempt(replica, state.requests(), now);
        }
        if let Some(suspect) = self.cx.crashes.most_suspect(&self.crash_keys) {
            self.cx.log.record(Event::SuspectSent {
                request: self.request.clone(),
                fingerprint: crash_record::format_fingerprint(suspect.fingerprint),
                kind: suspect.subject.name().to_string(),
                position: suspect.subject.position(),
                replica: self.replica.clone(),
                crashes: suspect.crashes as u64,
            });
        }
    }

    /// Records the start of the response; later calls have no effect.
    pub fn record_response_start(&mut self) {
        if self.time_to_first_byte.is_none() {
            let took = self.received.elapsed();
            self.time_to_first_byte = Some(took);
            self.cx.metrics.first_event(&self.route, took);
            if let Some(measured) = &self.measured {
                measured.record_first_event(took, Instant::now());
            }
        }
    }

    /// Records that the first event of the current attempt has arrived.
    pub fn record_begun(&mut self) {
        if let Some(current) = &mut self.current {
            current.has_begun = true;
        }
    }

    /// Keeps the current attempt, which failed, until it is known whether its replica crashed.
    pub fn keep_failed_attempt(&self, error: &AttemptError) {
        let attempt = self.failed_attempt(&error.to_string());
        let Some(attempt) = attempt.filter(|attempt| !attempt.replica.is_node) else { return };
        match error {
            AttemptError::Broken(_) => failed_attempts::add_and_check(&self.cx, attempt),
            AttemptError::TimedOut(_)
            | AttemptError::Silent
            | AttemptError::Down
            | AttemptError::Unreachable => failed_attempts::add(&self.cx, attempt),
            // The replica has responded, or has not received the request.
            AttemptError::Superseded
            | AttemptError::NotSent(_)
            | AttemptError::NotRun { .. }
            | AttemptError::RefusedByNode { .. }
            | AttemptError::FailedAtNode { .. }
            | AttemptError::Failure { .. }
            | AttemptError::NoRoom(_) => {}
        }
    }

    fn failed_attempt(&self, cause: &str) -> Option<FailedAttempt> {
        let CurrentAttempt { replica, sent_at, has_others, has_begun } = self.current.as_ref()?;
        Some(FailedAttempt {
            request: self.request.clone(),
            crash_keys: self.crash_keys.clone(),
            replica: replica.clone(),
            cause: cause.to_string(),
            sent_beside_others: (*has_others && !*has_begun).then_some(*sent_at),
        })
    }

    /// Records that the current attempt has ended.
    pub fn end_attempt(&mut self) {
        self.current = None;
    }

    /// Records that a silent replica responded to an earlier attempt, which is the current one again.
    pub fn record_return(&mut self, replica: &Arc<Replica>) {
        self.replica = replica.key.clone();
        self.current = Some(CurrentAttempt {
            replica: replica.clone(),
            sent_at: Instant::now(),
            has_others: false,
            has_begun: true,
        });
    }

    /// Records why the request is not sent to another replica, once for each reason.
    pub fn record_withheld(&mut self, service: &str, withheld: Withheld) {
        let reason = withheld.name();
        if self.withheld.replace(reason) == Some(reason) {
            return;
        }
        self.cx.metrics.retry_withheld(service, reason);
        self.cx.log.record(Event::RetryWithheld {
            request: self.request.clone(),
            replica: self.replica.clone(),
            reason: withheld.to_string(),
            events: self.events,
            after: self.received.elapsed(),
        });
    }

    /// Records that an attempt failed and the request is sent to another replica.
    pub fn record_failover(&mut self, service: &str, cause: &str, name: &'static str) {
        self.cx.metrics.failover(service, name);
        self.cx.log.record(Event::RequestMoved {
            request: self.request.clone(),
            fingerprint: crash_record::format_fingerprint(self.crash_keys.request()),
            replica: self.replica.clone(),
            attempt: self.attempts,
            cause: cause.to_string(),
            events: self.events,
            after: self.received.elapsed(),
        });
    }

    /// Records a complete response.
    pub fn record_response(&mut self, status: u16) {
        self.is_recorded = true;
        let took = self.received.elapsed();
        self.cx.metrics.request(&self.route, if status < 400 { "answered" } else { "error" });
        self.cx.metrics.request_duration(&self.route, took);
        self.cx.log.record(Event::RequestAnswered {
            request: self.request.clone(),
            route: self.route.clone(),
            replica: self.replica.clone(),
            status: u64::from(status),
            attempts: self.attempts,
            ahead: self.ahead,
            first: self.time_to_first_byte.unwrap_or(took),
            took,
            config: self.config,
        });
    }

    /// Records that a request was refused without having run.
    pub fn record_refused(
        &mut self,
        status: u16,
        reason: &str,
        retry_after: Duration,
        occupancy: Occupancy,
    ) {
        self.is_recorded = true;
        self.cx.metrics.request(&self.route, "turned_away");
        self.cx.log.record(Event::RequestTurnedAway {
            request: self.request.clone(),
            route: self.route.clone(),
            status: u64::from(status),
            reason: reason.to_string(),
            retry_after,
            running: u64::from(occupancy.running),
            places: u64::from(occupancy.slots),
            replicas: u64::from(occupancy.replicas),
            config: self.config,
        });
    }

    /// Records that a request was refused because replicas crashed each time that they ran it, or a part
    /// of its prompt.
    pub fn record_refused_as_crashing(&mut self, refusal: CrashRefusal) {
        self.is_recorded = true;
        let outcome = match refusal.subject {
            CrashSubject::Request => "crashing",
            CrashSubject::Part(_) => "crashing_part",
        };
        self.cx.metrics.request(&self.route, outcome);
        self.cx.log.record(Event::CrashingRequestRefused {
            request: self.request.clone(),
            fingerprint: crash_record::format_fingerprint(refusal.fingerprint),
            kind: refusal.subject.name().to_string(),
            position: refusal.subject.position(),
            crashes: refusal.crashes as u64,
        });
    }

    /// Records that a request was sent but received no complete response.
    pub fn record_lost(&mut self, status: u16, cause: &str) {
        self.is_recorded = true;
        self.cx.metrics.request(&self.route, "lost");
        self.cx.log.record(Event::RequestLost {
            request: self.request.clone(),
            route: self.route.clone(),
            replica: self.replica.clone(),
            status: u64::from(status),
            cause: cause.to_string(),
            events: self.events,
            attempts: self.attempts,
            took: self.received.elapsed(),
        });
    }

    /// Records that the caller disconnected before the response was complete.
    pub fn record_abandoned(&mut self) {
        self.is_recorded = true;
        self.cx.metrics.request(&self.route, "abandoned");
        let attempt = self.failed_attempt("the caller disconnected");
        if let Some(attempt) = attempt.filter(|attempt| !attempt.replica.is_node) {
            failed_attempts::add(&self.cx, attempt);
        }
        self.current = None;
        self.cx.log.record(Event::RequestAbandoned {
            request: self.request.clone(),
            fingerprint: crash_record::format_fingerprint(self.crash_keys.request()),
            route: self.route.clone(),
            replica: self.replica.clone(),
            took: self.received.elapsed(),
        });
    }
}

impl Drop for RequestTrace {
    /// Records the request as abandoned if it has no outcome yet: hyper drops the handler's future when
    /// the caller disconnects.
    fn drop(&mut self) {
        if !self.is_recorded {
            self.record_abandoned();
        }
    }
}
