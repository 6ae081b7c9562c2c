//! Detection of replicas that are down.
//!
//! Load pattern: a member of a group fails silently. The head of the group continues to accept requests
//! but makes no progress. The streams show this first: all of them stop at the same time, for much
//! longer than a pass takes. The replica is then suspected and every member is asked for its state. If
//! a member does not respond, or is not in the group, the replica is marked as down on all nodes.

use crate::connection;
use crate::connection::CallError;
use crate::failed_attempts;
use crate::instance::InstanceId;
use crate::instance::InstanceReport;
use crate::instance::MembershipState;
use crate::instance_notices;
use crate::instance_reach;
use crate::order_client::MAX_REPORT_AGE;
use crate::replica_set::Replica;
use crate::replica_set::group_key;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_peer::DownReplica;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Interval at which the replicas that run requests are checked.
const REVIEW_PERIOD: Duration = Duration::from_millis(40);
/// Number of passes without any event after which a replica with running streams is suspected.
const SILENT_PASSES: u32 = 4;
/// Minimum silence after which a replica with running streams is suspected.
pub const MIN_SILENCE: Duration = Duration::from_millis(160);
/// Silence after which a replica is suspected while all its requests still wait for their first event.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(320);
/// Time for which a replica is not suspected again after its members proved to be healthy.
const SUSPICION_COOLDOWN: Duration = Duration::from_millis(500);
/// Time that a member gets to respond before a replica is marked as down that another node reported.
const VERIFICATION_TIME: Duration = Duration::from_millis(25);
/// Lateness of a timer beyond which this process was delayed, so that a short timeout shows nothing.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(10);
/// Delay after a check of a replica that is marked as down until it may be checked again.
const RECHECK_DELAY: Duration = Duration::from_millis(150);
/// Timeout for a member's report; a healthy instance responds within one or two milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(110);
/// Maximum scheduling delay of this process; after a longer delay its timeouts are no evidence of a
/// failure.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(60);
/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Why a replica is suspected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspicionCause {
    /// No event arrived for this long.
    Silent(Duration),
    /// An attempt failed with this error.
    Failed(String),
    /// The replica named one of its members as the cause of a failure.
    Blamed(InstanceId),
}

impl SuspicionCause {
    fn name(&self) -> &'static str {
        match self {
            Self::Silent(_) => "silent",
            Self::Failed(_) => "failed",
            Self::Blamed(_) => "blamed",
        }
    }
}

/// Errors of a request for the state of an instance.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// Another instance now has the address.
    #[error("another instance has its address")]
    WrongInstance,
    /// The HTTP call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The response is not a valid report.
    #[error("invalid report: {0}")]
    Unusable(String),
}

impl ReportError {
    /// Returns whether the error shows that the instance does not run at the address, if the links of this
    /// node work.
    fn shows_not_running(&self) -> bool {
        let refused = CallError::NotSent(connection::ConnectError::Refused);
        matches!(self, Self::WrongInstance) || *self == Self::Call(refused)
    }

    /// Returns whether the error of a request that began at `since` proves that the instance does not run at
    /// the address.
    pub async fn proves_not_running(
        &self,
        cx: &ServingCx,
        address: SocketAddr,
        since: Instant,
    ) -> bool {
        self.shows_not_running() && self.counts_against(cx, &[address], since).await
    }

    /// Returns whether the error counts against the instances at these addresses. An answer does, whatever
    /// it says; a connection that failed only if the links of this node work.
    async fn counts_against(
        &self,
        cx: &ServingCx,
        suspects: &[SocketAddr],
        since: Instant,
    ) -> bool {
        match self {
            Self::WrongInstance | Self::Unusable(_) => true,
            Self::Call(_) => instance_reach::counts_against(cx, suspects, since).await,
        }
    }
}

/// Requests the state of an instance.
pub async fn fetch_report(
    cx: &ServingCx,
    instance: &str,
    address: SocketAddr,
    cause: &'static str,
    timeout: Duration,
) -> Result<InstanceReport, ReportError> {
    cx.metrics.report(cause);
    let req = Request::get(cx.dialect.report_path()).body(Full::new(Bytes::new()));
    let mut req = req.map_err(|e| ReportError::Unusable(e.to_string()))?;
    *req.headers_mut() = cx.dialect.instance_headers(instance);
    let sent_at = Instant::now();
    let response =
        connection::call_once(&cx.network, address, req, timeout, timeout, MAX_REPORT_BYTES).await;
    if !matches!(response, Err(CallError::NotSent(_))) {
        cx.reach.record_connected();
    }
    let response = response?;
    let (headers, status) = (response.headers(), response.status());
    let report = match status {
        StatusCode::OK => cx
            .dialect
            .decode_report(response.body())
            .map_err(|e| ReportError::Unusable(e.to_string())),
        StatusCode::MISDIRECTED_REQUEST => Err(ReportError::WrongInstance),
        status => Err(ReportError::Unusable(format!("status {status}"))),
    };
    let born_ms = report.as_ref().ok().map(|report| report.engine.born_ms);
    instance_notices::record_call(cx, instance, born_ms, headers, status, sent_at);
    report
}

/// Replicas that are being checked, or were recently checked and found healthy.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    inner: Arc<Mutex<SuspectState>>,
}

#[derive(Debug, Default)]
struct SuspectState {
    checking: HashSet<u64>,
    cleared: Vec<(u64, Instant)>,
}

impl Suspects {
    /// Creates an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the check of a replica; returns false if one is running or was recently completed.
    fn begin(&self, hash: u64, now: Instant) -> bool {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.cleared.retain(|(_, at)| now - *at < SUSPICION_COOLDOWN);
        let is_cleared = state.cleared.iter().any(|(cleared, _)| *cleared == hash);
        !is_cleared && state.checking.insert(hash)
    }

    fn end(&self, hash: u64, is_down: bool) {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.checking.remove(&hash);
        if !is_down {
            state.cleared.push((hash, Instant::now()));
        }
    }
}

/// Starts a check of all members of a suspected replica, unless one is running or recently cleared it.
pub fn suspect(cx: &ServingCx, replica: &Arc<Replica>, cause: SuspicionCause) {
    if replica.model.is_none() || cx.reach.is_cut() {
        return;
    }
    if !cx.suspects.begin(replica.hash, Instant::now()) {
        return;
    }
    let (cx, replica) = (cx.clone(), replica.clone());
    tokio::spawn(async move {
        let is_down = check_members(&cx, &replica, &cause).await;
        cx.suspects.end(replica.hash, is_down);
    });
}

/// Asks every member for its state and marks the replica as down if one is missing.
async fn check_members(cx: &ServingCx, replica: &Arc<Replica>, cause: &SuspicionCause) -> bool {
    let silent_for = match cause {
        SuspicionCause::Silent(silent_for) => *silent_for,
        _ => Duration::ZERO,
    };
    let text = match cause {
        SuspicionCause::Silent(_) => cause.name().to_string(),
        SuspicionCause::Failed(reason) => format!("failed: {reason}"),
        SuspicionCause::Blamed(member) => format!("blamed {member}"),
    };
    let name = replica.key.clone();
    cx.log.record(Event::ReplicaSuspected { replica: name, cause: text, silent_for });
    let started = Instant::now();
    let Some((member, fault)) = missing_member(cx, replica, cause.name()).await else {
        return false;
    };
    if let MemberFault::NoReport(e) = &fault {
        let members: Vec<SocketAddr> =
            replica.members.iter().map(|(_, address)| *address).collect();
        if !e.counts_against(cx, &members, started).await {
            return false;
        }
    }
    mark_and_report_down(cx, replica, &member, &fault.to_string(), cause.name());
    true
}

/// Marks a replica as down and reports it to the other nodes.
pub fn mark_and_report_down(
    cx: &ServingCx,
    replica: &Arc<Replica>,
    member: &str,
    reason: &str,
    source: &'static str,
) {
    if mark_replica_down(cx, replica, member, reason, source) {
        cx.pauses.record_down(&replica.service, Instant::now());
        let report = DownReplica { replica: replica.hash, member: member.to_string() };
        cx.down_reports.add(report, Instant::now());
    }
}

/// Marks a replica as down that another node found to be down, unless streams of this node make progress
/// there, or the member that the other node misses serves by its own report to this one.
pub fn mark_reported_down(cx: &ServingCx, replica: &Arc<Replica>, member: &str, node: &str) {
    let now = Instant::now();
    let state = cx.loads.state(replica, now);
    let is_progressing = state.last_event.is_some_and(|at| now - at < MIN_SILENCE);
    if state.is_down || is_progressing || cx.reach.is_cut() {
        return;
    }
    if !cx.suspects.begin(replica.hash, now) {
        return;
    }
    let (cx, replica, member) = (cx.clone(), replica.clone(), member.to_string());
    let reason = format!("reported by {node}");
    tokio::spawn(async move {
        let serves = {
            let serves = member_serves(&cx, &replica, &member);
            let mut serves = std::pin::pin!(serves);
            loop {
                let started = Instant::now();
                match timeout(VERIFICATION_TIME, &mut serves).await {
                    Ok(serves) => break serves,
                    Err(_) if started.elapsed() > VERIFICATION_TIME + MAX_TIMER_DELAY => {}
                    Err(_) => {
                        mark_replica_down(&cx, &replica, &member, &reason, "peer");
                        break serves.await;
                    }
                }
            }
        };
        match serves {
            true => record_return(&cx, &replica),
            false => drop(mark_replica_down(&cx, &replica, &member, &reason, "peer")),
        }
        cx.suspects.end(replica.hash, !serves);
    });
}

/// Returns whether a member of a replica responds to this node and serves in the group.
async fn member_serves(cx: &ServingCx, replica: &Replica, member: &str) -> bool {
    let mut members = replica.members.iter().enumerate();
    let Some((rank, (id, address))) = members.find(|(_, (id, _))| id == member) else {
        return false;
    };
    let (_, report) = query_member(cx, id, *address, "reported").await;
    report.is_ok_and(|report| membership_mismatch(replica, rank, &report).is_none())
}

/// Asks the members of a replica that is marked as down again, and removes the mark if all of them serve.
pub fn recheck(cx: &ServingCx, replica: &Arc<Replica>) {
    if !cx.suspects.begin(replica.hash, Instant::now()) {
        return;
    }
    let (cx, replica) = (cx.clone(), replica.clone());
    tokio::spawn(async move {
        let is_serving = all_members_serve(&cx, &replica, "recheck").await;
        match is_serving {
            true => record_return(&cx, &replica),
            false => sleep(RECHECK_DELAY).await,
        }
        cx.suspects.end(replica.hash, !is_serving);
    });
}

/// Marks a replica as down on this node; returns false if it was already marked.
pub fn mark_replica_down(
    cx: &ServingCx,
    replica: &Arc<Replica>,
    member: &str,
    reason: &str,
    source: &'static str,
) -> bool {
    if !cx.loads.mark_down(replica.hash, member, Instant::now()) {
        return false;
    }
    cx.metrics.replica_down(source);
    cx.log.record(Event::ReplicaDown {
        replica: replica.key.clone(),
        member: member.to_string(),
        cause: reason.to_string(),
        source: source.to_string(),
    });
    failed_attempts::replica_down(cx, replica, member);
    cx.down_reports.wake_group_control();
    true
}

/// Records that a replica made progress although it had fallen silent, so that it is no longer down.
pub fn record_return(cx: &ServingCx, replica: &Arc<Replica>) {
    if let Some(silent_for) = cx.loads.clear_down(replica.hash, Instant::now()) {
        cx.down_reports.remove(replica.hash);
        cx.metrics.replica_returned();
        cx.log.record(Event::ReplicaReturned { replica: replica.key.clone(), silent_for });
    }
}

/// Why a member of a replica is missing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum MemberFault {
    /// It does not serve in the group, by its own report.
    #[error("{0}")]
    Mismatch(String),
    /// It gave no report.
    #[error(transparent)]
    NoReport(ReportError),
}

/// Returns the silence after which a replica of a service with running streams is suspected.
fn min_silence(cx: &ServingCx, service: &str, now: Instant) -> Duration {
    match cx.is_measured(service) {
        true => cx.pauses.min_silence(service, now),
        false => MIN_SILENCE,
    }
}

/// Returns whether a report without a response is asked for again: its packets may have been lost.
fn is_asked_again(cx: &ServingCx, service: &str) -> bool {
    cx.is_measured(service) && cx.pauses.links_lose_packets(service, Instant::now())
}

/// Returns a member that does not respond or does not serve in the group, with the reason.
async fn missing_member(
    cx: &ServingCx,
    replica: &Arc<Replica>,
    cause: &'static str,
) -> Option<(InstanceId, MemberFault)> {
    let mut queries = JoinSet::new();
    for (rank, (id, address)) in replica.members.iter().cloned().enumerate() {
        let (cx, replica) = (cx.clone(), replica.clone());
        queries.spawn(async move {
            let (mut requested_at, mut report) = query_member(&cx, &id, address, cause).await;
            let is_unanswered = report.as_ref().is_err_and(|e| !e.shows_not_running());
            if is_unanswered && is_asked_again(&cx, &replica.service) {
                (requested_at, report) = query_member(&cx, &id, address, cause).await;
            }
            // Reports lag behind: a head that has just opened may still be reported as ready.
            if rank == 0 && report.as_ref().is_ok_and(|report| is_ready(&replica, report)) {
                sleep(MAX_REPORT_AGE).await;
                (requested_at, report) = query_member(&cx, &id, address, cause).await;
            }
            let was_delayed = requested_at.elapsed() > REPORT_TIMEOUT + MAX_SCHEDULING_DELAY;
            let fault = match report {
                Ok(report) => {
                    membership_mismatch(&replica, rank, &report).map(MemberFault::Mismatch)
                }
                Err(e) => Some(MemberFault::NoReport(e)),
            };
            fault.filter(|_| !was_delayed).map(|fault| (id, fault))
        });
    }
    while let Some(found) = queries.join_next().await {
        if let Ok(Some(missing)) = found {
            return Some(missing);
        }
    }
    None
}

/// Returns whether every member responds and serves in the group.
async fn all_members_serve(cx: &ServingCx, replica: &Arc<Replica>, cause: &'static str) -> bool {
    let mut queries = JoinSet::new();
    for (rank, (id, address)) in replica.members.iter().cloned().enumerate() {
        let (cx, replica) = (cx.clone(), replica.clone());
        queries.spawn(async move {
            let (_, report) = query_member(&cx, &id, address, cause).await;
            report.is_ok_and(|report| membership_mismatch(&replica, rank, &report).is_none())
        });
    }
    queries.join_all().await.into_iter().all(|serves| serves)
}

/// Requests the state of a member; returns the time of the request with the result.
async fn query_member(
    cx: &ServingCx,
    id: &str,
    address: SocketAddr,
    cause: &'static str,
) -> (Instant, Result<InstanceReport, ReportError>) {
    let requested_at = Instant::now();
    (requested_at, fetch_report(cx, id, address, cause, REPORT_TIMEOUT).await)
}

/// Returns whether a report shows a member of the replica in the state `Ready`.
fn is_ready(replica: &Replica, report: &InstanceReport) -> bool {
    report.engine.membership.as_ref().is_some_and(|membership| {
        let is_member = group_key(&membership.group, membership.epoch) == replica.key;
        is_member && membership.state == MembershipState::Ready
    })
}

/// Returns the reason if a member's report shows that the replica cannot serve.
fn membership_mismatch(replica: &Replica, rank: usize, report: &InstanceReport) -> Option<String> {
    let Some(membership) = &report.engine.membership else {
        return Some("it is in no group".to_string());
    };
    let key = group_key(&membership.group, membership.epoch);
    if key != replica.key {
        return Some(format!("it is in group {key}"));
    }
    let is_serving = match membership.state {
        MembershipState::Open => true,
        MembershipState::Ready => rank > 0,
        MembershipState::Joining | MembershipState::Closing | MembershipState::Broken => false,
    };
    (!is_serving).then(|| format!("its state is {:?}", membership.state).to_lowercase())
}

/// Checks the replicas that run requests of this node until the task is cancelled.
pub async fn run(cx: ServingCx) {
    let mut ticks = tokio::time::interval(REVIEW_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let was_delayed = now - last > REVIEW_PERIOD + MAX_SCHEDULING_DELAY;
        last = now;
        // After a pause of this process, every replica appears silent.
        if !was_delayed {
            review(&cx, now);
        }
    }
}

fn review(cx: &ServingCx, now: Instant) {
    let Some(table) = cx.config.get() else { return };
    let replicas = cx.fleet.replicas();
    for replica in replicas.all() {
        let Some(engine) = table.config.engine(&replica.service) else { continue };
        let state = cx.loads.state(replica, now);
        let Some(pass) = engine.pass_time_of(replica.model.as_deref(), state.requests()) else {
            continue;
        };
        let Some(last_activity) = state.last_activity.filter(|_| state.own > 0 && !state.is_down)
        else {
            continue;
        };
        let silent_for = now - last_activity;
        let max_silence = match state.own > state.unanswered {
            true => {
                let passes = (pass * SILENT_PASSES).mul_f64(state.slowness.max(1.0));
                passes.max(min_silence(cx, &replica.service, now))
            }
            false => FIRST_EVENT_SILENCE,
        };
        if silent_for >= max_silence {
            suspect(cx, replica, SuspicionCause::Silent(silent_for));
        }
    }
}
