//! Failed attempts whose replica may have crashed.
//!
//! A failed attempt does not show by itself that its replica crashed: responses are lost and
//! connections are reset while the replica lives on, and a replica that does not respond may only be
//! unreachable from this node. Nor does the error tell: a group that lost a member ends the attempt when
//! it is marked as down, and a caller may leave before anything is noticed. So each attempt without a
//! complete response is kept for a while, and is recorded as running at a crash once an instance of its
//! replica turns out to have ended: its address refuses connections or belongs to another run, its entry
//! is gone or shows another run, or a later run is registered at its address.
//!
//! A response without a length ends with its connection, as does one that a crash cuts off between two
//! events. Its attempt is kept likewise, and counts as a completed run if its replica goes on.

use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::crash_keys::CrashKeys;
use crate::crash_keys::CrashSubject;
use crate::crash_record;
use crate::crash_record::CRASH_REFUSAL_THRESHOLD;
use crate::instance::InstanceId;
use crate::instance_reach;
use crate::replica_health;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::CrashMark;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time for which an attempt is kept: within it the entry of an instance that ended is removed or
/// replaced, after three missed heartbeats and the delay of the instance list.
const RETENTION: Duration = Duration::from_secs(6);
/// Time after which a response that ended with its connection is complete, unless its replica has ended.
const UNFRAMED_RETENTION: Duration = Duration::from_secs(2);
/// Maximum number of attempts that are kept.
const MAX_ATTEMPTS: usize = 4096;
/// Time within which a live instance accepts a connection or reports its state.
const CHECK_TIMEOUT: Duration = Duration::from_millis(110);
/// Maximum time for which a request waits until it is known whether its last replica crashed.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a waiting request checks that.
const SETTLE_PERIOD: Duration = Duration::from_millis(10);

/// An attempt without a complete response.
#[derive(Debug, Clone)]
pub struct FailedAttempt {
    /// Id of the request.
    pub request: String,
    /// Fingerprints of the request and of the parts of its prompt.
    pub crash_keys: CrashKeys,
    /// Replica that it was sent to.
    pub replica: Arc<Replica>,
    /// Why there was no complete response.
    pub cause: String,
    /// When the request was sent, if other streams of this node were running at the replica then and no
    /// event of this one has arrived. If the others have had no event since, the replica was down already.
    pub sent_beside_others: Option<Instant>,
}

/// Shared list of the failed attempts whose replica may have crashed.
#[derive(Debug, Clone, Default)]
pub struct FailedAttempts {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    attempts: VecDeque<KeptAttempt>,
    /// Hashes of the replicas that are being checked.
    checking: HashSet<u64>,
    /// Hashes of the replicas that have ended, with the time at which this was found out.
    ended: HashMap<u64, Instant>,
}

#[derive(Debug)]
struct KeptAttempt {
    attempt: FailedAttempt,
    failed_at: Instant,
    /// Members that were registered when the attempt failed, and have not announced that they leave.
    members: Vec<MemberRun>,
    /// Whether the check of the replica that the failure started is still running.
    is_being_checked: bool,
    /// Whether the response ended with its connection and may be complete.
    is_unframed: bool,
}

/// Run of a member of a replica.
#[derive(Debug)]
struct MemberRun {
    id: InstanceId,
    address: SocketAddr,
    /// Start of its process, in milliseconds since the Unix epoch.
    born_ms: u64,
}

impl FailedAttempts {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether an instance of a replica is known to have ended.
    pub fn has_ended(&self, hash: u64) -> bool {
        self.lock().ended.contains_key(&hash)
    }

    /// Removes the attempts that failed since a moment, or all: the links of this node were broken. Returns
    /// their number.
    pub fn forget_since(&self, since: Option<Instant>) -> usize {
        let is_before = |kept: &KeptAttempt| since.is_some_and(|since| kept.failed_at < since);
        let mut inner = self.lock();
        let before = inner.attempts.len();
        inner.attempts.retain(is_before);
        before - inner.attempts.len()
    }

    /// Forgets the members that announced that they leave after attempts at them had failed: they have not
    /// ended with these attempts.
    fn forget_leaving(&self, is_leaving: impl Fn(&MemberRun) -> bool) {
        for kept in &mut self.lock().attempts {
            kept.members.retain(|run| !is_leaving(run));
        }
    }

    /// Removes and returns the attempts at replicas that ended; drops those that are too old.
    fn take_ended(
        &self,
        now: Instant,
        has_ended: impl Fn(&KeptAttempt) -> bool,
    ) -> Vec<FailedAttempt> {
        let mut inner = self.lock();
        inner.ended.retain(|_, at| now - *at < RETENTION);
        let mut ended = vec![];
        inner.attempts.retain(|kept| {
            if now - kept.failed_at >= RETENTION {
                return false;
            }
            let has_ended = has_ended(kept);
            if has_ended {
                ended.push(kept.attempt.clone());
            }
            !has_ended
        });
        ended
    }

    /// Removes the attempts whose response ended with its connection while their replica went on, and
    /// returns their keys.
    fn take_completed(&self, now: Instant) -> Vec<CrashKeys> {
        let mut completed = vec![];
        self.lock().attempts.retain(|kept| {
            let is_completed = kept.is_unframed && now - kept.failed_at >= UNFRAMED_RETENTION;
            if is_completed {
                completed.push(kept.attempt.crash_keys.clone());
            }
            !is_completed
        });
        completed
    }

    /// Returns the number of replicas at which attempts with a key failed just now and whose check is still
    /// running.
    fn count_being_checked(&self, fingerprint: u64, now: Instant) -> usize {
        let inner = self.lock();
        let is_being_checked = |kept: &&KeptAttempt| {
            kept.is_being_checked
                && kept.attempt.crash_keys.contains(fingerprint)
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
        inner.checking.remove(&hash);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps an attempt without a complete response. Checks the missing member if its group is marked as
/// down.
pub fn add(cx: &ServingCx, attempt: FailedAttempt) {
    let replica = attempt.replica.clone();
    let missing = cx.loads.down_members(Instant::now()).remove(&replica.hash);
    keep(cx, attempt, missing.is_some(), false);
    if let Some(down) = missing {
        check_member(cx, &replica, &down.member);
    }
}

/// Like `add`, for an attempt whose connection failed. Checks a plain instance; a group is checked by
/// `replica_health`.
pub fn add_and_check(cx: &ServingCx, attempt: FailedAttempt) {
    let replica = attempt.replica.clone();
    keep(cx, attempt, true, false);
    if replica.model.is_none() && cx.failed_attempts.lock().checking.insert(replica.hash) {
        tokio::spawn(connect(cx.clone(), replica));
    }
}

/// Keeps an attempt whose response ended with its connection and is complete unless its replica crashed.
pub fn add_unframed(cx: &ServingCx, task: &RequestTask, replica: &Arc<Replica>) {
    let attempt = FailedAttempt {
        request: task.head.id.clone(),
        crash_keys: task.crash_keys.clone(),
        replica: replica.clone(),
        cause: "the response ended with its connection".to_string(),
        sent_beside_others: None,
    };
    keep(cx, attempt, false, true);
}

/// Checks the missing member of a group that was marked as down, if attempts at the group are kept.
pub fn replica_down(cx: &ServingCx, replica: &Arc<Replica>, member: &str) {
    let is_kept = {
        let inner = cx.failed_attempts.lock();
        inner.attempts.iter().any(|kept| kept.attempt.replica.hash == replica.hash)
    };
    if is_kept {
        check_member(cx, replica, member);
    }
}

/// Records the attempts at replicas of which an instance is no longer registered, or whose address a later run has
/// taken over, and drops old attempts.
pub fn review(cx: &ServingCx) {
    let now = Instant::now();
    let instances = cx.fleet.instances();
    let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
    for instance in instances.values() {
        let born_ms = latest.entry(instance.address).or_default();
        *born_ms = instance.engine.born_ms.max(*born_ms);
    }
    let entry_of = |run: &MemberRun| {
        instances.get(&run.id).filter(|instance| instance.engine.born_ms == run.born_ms)
    };
    cx.failed_attempts
        .forget_leaving(|run| entry_of(run).is_some_and(|instance| instance.is_draining));
    let is_followed =
        |run: &MemberRun| latest.get(&run.address).is_some_and(|born_ms| *born_ms > run.born_ms);
    let has_ended = |kept: &KeptAttempt| {
        kept.members.iter().any(|run| entry_of(run).is_none() || is_followed(run))
    };
    for attempt in cx.failed_attempts.take_ended(now, has_ended) {
        record(cx, attempt, now);
    }
    for crash_keys in cx.failed_attempts.take_completed(now) {
        cx.crashes.record_completion(&crash_keys, now);
    }
}

fn keep(cx: &ServingCx, attempt: FailedAttempt, is_being_checked: bool, is_unframed: bool) {
    // An attempt that ends while the links of this node are broken says nothing about its replica.
    if cx.reach.has_broken_links() {
        return;
    }
    let now = Instant::now();
    let registered = |(id, _): &(InstanceId, SocketAddr)| {
        let instance = cx.fleet.instance(id).filter(|instance| !instance.is_draining)?;
        let (address, born_ms) = (instance.address, instance.engine.born_ms);
        Some(MemberRun { id: id.clone(), address, born_ms })
    };
    let members = attempt.replica.members.iter().filter_map(registered).collect();
    let mut inner = cx.failed_attempts.lock();
    if inner.ended.contains_key(&attempt.replica.hash) {
        drop(inner);
        return record(cx, attempt, now);
    }
    let kept = KeptAttempt { attempt, failed_at: now, members, is_being_checked, is_unframed };
    inner.attempts.push_back(kept);
    if inner.attempts.len() > MAX_ATTEMPTS {
        inner.attempts.pop_front();
    }
}

/// Records the attempts at a replica that has ended.
fn replica_ended(cx: &ServingCx, hash: u64) {
    let now = Instant::now();
    cx.failed_attempts.lock().ended.insert(hash, now);
    let at_replica = |kept: &KeptAttempt| kept.attempt.replica.hash == hash;
    for attempt in cx.failed_attempts.take_ended(now, at_replica) {
        record(cx, attempt, now);
    }
}

/// Returns whether a replica is known to have ended: its process, or the group that it was.
pub fn has_ended(cx: &ServingCx, replica: &Replica) -> bool {
    let is_known = cx.failed_attempts.lock().ended.contains_key(&replica.hash);
    is_known || !cx.fleet.replicas().all().any(|r| r.hash == replica.hash)
}

/// Waits until it is known whether the replicas of a request's failed attempts crashed, if the request
/// would have to be refused then.
pub async fn settle(cx: &ServingCx, crash_keys: &CrashKeys) {
    let end = Instant::now() + SETTLE_TIMEOUT;
    loop {
        let now = Instant::now();
        let is_open = |(key, _): (u64, CrashSubject)| may_be_refused(cx, key, now);
        if now >= end || !crash_keys.all().any(is_open) {
            return;
        }
        sleep(SETTLE_PERIOD).await;
    }
}

/// Returns whether requests with a key would have to be refused if the replicas that are being checked
/// crashed.
fn may_be_refused(cx: &ServingCx, key: u64, now: Instant) -> bool {
    let unsettled = cx.failed_attempts.count_being_checked(key, now);
    unsettled > 0
        && cx.crashes.crash_count(key) + unsettled >= CRASH_REFUSAL_THRESHOLD
        && !cx.crashes.has_just_completed(key, now)
}

/// Opens a connection to a plain instance; if it is refused, the process has ended. An instance that
/// accepts it may have been started again, which its entry will show.
async fn connect(cx: ServingCx, replica: Arc<Replica>) {
    let started = Instant::now();
    let opened = Connection::open(&cx.network, replica.address, CHECK_TIMEOUT).await;
    if opened.is_ok() {
        cx.reach.record_connected();
    }
    if matches!(opened, Err(ConnectError::Refused))
        && instance_reach::counts_against(&cx, &[replica.address], started).await
    {
        replica_ended(&cx, replica.hash);
    }
    cx.failed_attempts.end_check(replica.hash);
}

/// Starts a check of whether a member of a group has ended, unless the group is being checked.
fn check_member(cx: &ServingCx, replica: &Arc<Replica>, member: &str) {
    let address = replica.members.iter().find(|(id, _)| id == member).map(|(_, address)| *address);
    let Some(address) = address else { return cx.failed_attempts.end_check(replica.hash) };
    if !cx.failed_attempts.lock().checking.insert(replica.hash) {
        return;
    }
    let (cx, hash, member) = (cx.clone(), replica.hash, member.to_string());
    tokio::spawn(async move {
        if member_has_ended(&cx, &member, address).await {
            replica_ended(&cx, hash);
        }
        cx.failed_attempts.end_check(hash);
    });
}

/// Returns whether a member is known to have ended: nothing listens at its address, or another run does.
async fn member_has_ended(cx: &ServingCx, member: &str, address: SocketAddr) -> bool {
    let born = cx.fleet.instance(member).map(|instance| instance.engine.born_ms);
    let started = Instant::now();
    match replica_health::fetch_report(cx, member, address, "crash", CHECK_TIMEOUT).await {
        Ok(report) => born.is_some_and(|born| born != report.engine.born_ms),
        Err(e) => e.proves_not_running(cx, address, started).await,
    }
}

/// Records an attempt as running at a crash, unless its replica was down before the request was sent.
fn record(cx: &ServingCx, attempt: FailedAttempt, now: Instant) {
    let FailedAttempt { request, crash_keys, replica, cause, sent_beside_others } = attempt;
    let last_event = cx.loads.state(&replica, now).last_event;
    let was_down = sent_beside_others.is_some_and(|sent| last_event.is_none_or(|at| at < sent));
    if was_down && replica.model.is_some() {
        return;
    }
    for (fingerprint, subject) in crash_keys.all() {
        let mark = CrashMark { fingerprint, replica: replica.hash };
        let crashes = cx.crashes.record_crash(mark, now);
        // Most parts are shared by requests that complete, and need no line.
        if crashes == 0 && subject != CrashSubject::Request {
            continue;
        }
        cx.metrics.crash_mark("own", subject.name());
        cx.log.record(Event::CrashMarked {
            request: request.clone(),
            fingerprint: crash_record::format_fingerprint(fingerprint),
            kind: subject.name().to_string(),
            position: subject.position(),
            replica: replica.key.clone(),
            cause: cause.clone(),
            crashes: crashes as u64,
        });
    }
}
