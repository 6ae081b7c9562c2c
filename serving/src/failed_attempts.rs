//! Failed attempts whose replica may have crashed.
//!
//! A failed attempt does not show by itself that its replica crashed: responses are lost and
//! connections are reset while the replica lives on. Nor does the error tell: a group that lost a member
//! ends the attempt when it is marked as down, and a caller may leave before anything is noticed. So
//! each attempt without a complete response is kept for a while, and is recorded as running at a crash
//! once its replica turns out to have ended.

use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::crash_record;
use crate::crash_record::CRASH_REFUSAL_THRESHOLD;
use crate::replica_set::Replica;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::CrashMark;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time within which a group that lost a member is marked as down.
const GROUP_RETENTION: Duration = Duration::from_secs(2);
/// Time within which the entry of a plain instance that ended is removed or replaced: three missed
/// heartbeats and the delay of the instance list.
const PLAIN_RETENTION: Duration = Duration::from_secs(6);
/// Maximum number of attempts that are kept.
const MAX_ATTEMPTS: usize = 4096;
/// Time within which a connection to a live instance is established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(110);
/// Maximum time for which a request waits until it is known whether its last replica crashed.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a waiting request checks that.
const SETTLE_PERIOD: Duration = Duration::from_millis(10);

/// An attempt without a complete response.
#[derive(Debug, Clone)]
pub struct FailedAttempt {
    /// Id of the request.
    pub request: String,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Replica that it was sent to.
    pub replica: Arc<Replica>,
    /// Why there was no complete response.
    pub cause: String,
    /// When the request was sent, if the replica was running other streams of this node then and has sent
    /// no event of this one. It was down already if there has been no event of the others since.
    pub no_event_if_down_at: Option<Instant>,
}

/// Shared list of the failed attempts whose replica may have crashed.
#[derive(Debug, Clone, Default)]
pub struct FailedAttempts {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    attempts: VecDeque<KeptAttempt>,
    /// Hashes of the plain instances to which a connection is being opened.
    connecting: HashSet<u64>,
}

#[derive(Debug)]
struct KeptAttempt {
    attempt: FailedAttempt,
    failed_at: Instant,
    /// Whether the check of the replica that the failure started is still running.
    is_being_checked: bool,
}

impl FailedAttempts {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    fn add(&self, attempt: FailedAttempt, is_being_checked: bool, now: Instant) {
        let mut inner = self.lock();
        inner.attempts.push_back(KeptAttempt { attempt, failed_at: now, is_being_checked });
        if inner.attempts.len() > MAX_ATTEMPTS {
            inner.attempts.pop_front();
        }
    }

    /// Removes and returns the attempts at replicas that ended; drops those that are too old.
    fn take_ended(&self, now: Instant, has_ended: impl Fn(&Replica) -> bool) -> Vec<FailedAttempt> {
        let mut inner = self.lock();
        let mut ended = vec![];
        inner.attempts.retain(|KeptAttempt { attempt, failed_at, .. }| {
            let retention = match attempt.replica.model {
                Some(_) => GROUP_RETENTION,
                None => PLAIN_RETENTION,
            };
            if now - *failed_at >= retention {
                return false;
            }
            let has_ended = has_ended(&attempt.replica);
            if has_ended {
                ended.push(attempt.clone());
            }
            !has_ended
        });
        ended
    }

    /// Returns the number of replicas at which attempts of a request failed just now and whose check is
    /// still running.
    fn count_being_checked(&self, fingerprint: u64, now: Instant) -> usize {
        let inner = self.lock();
        let is_being_checked = |kept: &&KeptAttempt| {
            kept.is_being_checked
                && kept.attempt.fingerprint == fingerprint
                && now - kept.failed_at < SETTLE_TIMEOUT
        };
        let replicas: HashSet<u64> = inner
            .attempts
            .iter()
            .filter(is_being_checked)
            .map(|k| k.attempt.replica.hash)
            .collect();
        replicas.len()
    }

    /// Records that the check of a replica has ended without showing that it crashed.
    fn end_check(&self, hash: u64) {
        let mut inner = self.lock();
        let at_replica = inner.attempts.iter_mut().filter(|k| k.attempt.replica.hash == hash);
        at_replica.for_each(|kept| kept.is_being_checked = false);
        inner.connecting.remove(&hash);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps an attempt whose caller disconnected, or records it at once if its replica is marked as down.
pub fn add_abandoned(cx: &ServingCx, attempt: FailedAttempt) {
    keep(cx, attempt, false);
}

/// Keeps an attempt that failed, or records it at once if its replica is marked as down. Of a plain
/// instance, finds out whether it still accepts connections; `replica_health` checks groups.
pub fn add_failed(cx: &ServingCx, attempt: FailedAttempt) {
    let replica = attempt.replica.clone();
    let is_kept = keep(cx, attempt, true);
    let is_plain = replica.model.is_none();
    if is_kept && is_plain && cx.failed_attempts.lock().connecting.insert(replica.hash) {
        tokio::spawn(connect(cx.clone(), replica));
    }
}

fn keep(cx: &ServingCx, attempt: FailedAttempt, is_being_checked: bool) -> bool {
    let now = Instant::now();
    if cx.loads.state(&attempt.replica, now).is_down {
        record(cx, attempt, now);
        return false;
    }
    cx.failed_attempts.add(attempt, is_being_checked, now);
    true
}

/// Records the attempts at a replica that is known to have ended.
pub fn replica_ended(cx: &ServingCx, hash: u64) {
    let now = Instant::now();
    for attempt in cx.failed_attempts.take_ended(now, |replica| replica.hash == hash) {
        record(cx, attempt, now);
    }
}

/// Records the attempts at plain instances that are no longer registered, and drops old attempts.
pub fn review(cx: &ServingCx) {
    let now = Instant::now();
    let replicas = cx.fleet.replicas();
    let has_ended = |replica: &Replica| {
        let is_known =
            || replicas.of_service(&replica.service).iter().any(|r| r.key == replica.key);
        let is_draining = || cx.fleet.instance(&replica.instance).is_some_and(|i| i.is_draining);
        replica.model.is_none() && !is_known() && !is_draining()
    };
    for attempt in cx.failed_attempts.take_ended(now, has_ended) {
        record(cx, attempt, now);
    }
}

/// Waits until it is known whether the replicas of a request's failed attempts crashed, if the request
/// would have to be refused then.
pub async fn settle(cx: &ServingCx, fingerprint: u64) {
    let end = Instant::now() + SETTLE_TIMEOUT;
    loop {
        let now = Instant::now();
        let unsettled = cx.failed_attempts.count_being_checked(fingerprint, now);
        let may_be_refused =
            cx.crashes.crash_count(fingerprint) + unsettled >= CRASH_REFUSAL_THRESHOLD;
        if unsettled == 0 || !may_be_refused || now >= end {
            return;
        }
        sleep(SETTLE_PERIOD).await;
    }
}

/// Opens a connection to a plain instance; if it is refused, the process has ended. An instance that
/// accepts it may have been started again, which its entry will show.
async fn connect(cx: ServingCx, replica: Arc<Replica>) {
    let opened = Connection::open(&cx.network, replica.address, CONNECT_TIMEOUT).await;
    if matches!(opened, Err(ConnectError::Refused)) {
        replica_ended(&cx, replica.hash);
    }
    cx.failed_attempts.end_check(replica.hash);
}

/// Records an attempt as running at a crash, unless its replica was down before the request was sent.
fn record(cx: &ServingCx, attempt: FailedAttempt, now: Instant) {
    let FailedAttempt { request, fingerprint, replica, cause, no_event_if_down_at } = attempt;
    let last_event = cx.loads.state(&replica, now).last_event;
    let was_down = no_event_if_down_at.is_some_and(|sent| last_event.is_none_or(|at| at < sent));
    if was_down && replica.model.is_some() {
        return;
    }
    let mark = CrashMark { fingerprint, replica: replica.hash };
    let crashes = cx.crashes.record_crash(mark, now);
    cx.metrics.crash_mark("own");
    cx.log.record(Event::CrashMarked {
        request,
        fingerprint: crash_record::format_fingerprint(fingerprint),
        replica: replica.key.clone(),
        cause,
        crashes: crashes as u64,
    });
}
