//! Finding replicas that are down.
//!
//! Load pattern: a member of a group vanishes without a word. The group's head goes on accepting
//! requests and nothing moves. The streams are the first to show it: all of them stop at once, for
//! much longer than a pass takes. Every member is then asked for its own state, and one that does
//! not answer, or is elsewhere, means that the replica is down. All nodes are told.

use crate::connection;
use crate::connection::CallError;
use crate::instance::InstanceId;
use crate::instance::InstanceReport;
use crate::instance::MembershipState;
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

/// Period in which the replicas that run requests are looked at.
const REVIEW_PERIOD: Duration = Duration::from_millis(40);
/// Passes without any event after which a replica with running streams is suspected.
const SILENT_PASSES: u32 = 4;
/// Shortest silence that makes a replica suspect.
const MIN_SILENCE: Duration = Duration::from_millis(160);
/// Silence that makes a replica suspect while its requests only wait for their first event.
const UNANSWERED_SILENCE: Duration = Duration::from_millis(320);
/// Pause between two suspicions of the same replica that came to nothing.
const SUSPICION_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for a member's report; an instance answers in a millisecond or two.
const REPORT_TIMEOUT: Duration = Duration::from_millis(110);
/// Lateness of this process from which on its own time-outs prove nothing.
const OWN_LATENESS: Duration = Duration::from_millis(60);
/// Largest report.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Why a replica is suspected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspicionCause {
    /// No event came for a while.
    Silent(Duration),
    /// An attempt failed.
    Failed(String),
    /// The replica blamed one of its members.
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

/// Errors of asking an instance for its state.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// Another instance has the address.
    #[error("another instance has its address")]
    WrongInstance,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The answer is no report.
    #[error("its answer is no report: {0}")]
    Unusable(String),
}

impl ReportError {
    /// Tells whether the instance's process certainly does not run there.
    pub fn is_proof_of_end(&self) -> bool {
        let refused = CallError::NotSent(connection::ConnectError::Refused);
        matches!(self, Self::WrongInstance) || *self == Self::Call(refused)
    }
}

/// Asks an instance for its state.
pub async fn ask_report(
    cx: &ServingCx,
    instance: &str,
    address: SocketAddr,
    cause: &'static str,
    bound: Duration,
) -> Result<InstanceReport, ReportError> {
    cx.metrics.report(cause);
    let req = Request::get(cx.dialect.report_path()).body(Full::new(Bytes::new()));
    let mut req = req.map_err(|e| ReportError::Unusable(e.to_string()))?;
    *req.headers_mut() = cx.dialect.instance_headers(instance);
    let answer =
        connection::call_once(&cx.network, address, req, bound, bound, MAX_REPORT_BYTES).await?;
    match answer.status() {
        StatusCode::OK => cx
            .dialect
            .decode_report(answer.body())
            .map_err(|e| ReportError::Unusable(e.to_string())),
        StatusCode::MISDIRECTED_REQUEST => Err(ReportError::WrongInstance),
        status => Err(ReportError::Unusable(format!("status {status}"))),
    }
}

/// Replicas that are being looked at, or were lately in vain.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    inner: Arc<Mutex<SuspectLists>>,
}

#[derive(Debug, Default)]
struct SuspectLists {
    running: HashSet<u64>,
    cleared: Vec<(u64, Instant)>,
}

impl Suspects {
    /// Returns empty lists.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether a replica is to be looked at now, and notes that it is.
    fn begin(&self, hash: u64, now: Instant) -> bool {
        let mut lists = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        lists.cleared.retain(|(_, at)| now - *at < SUSPICION_PAUSE);
        let is_cleared = lists.cleared.iter().any(|(cleared, _)| *cleared == hash);
        !is_cleared && lists.running.insert(hash)
    }

    fn end(&self, hash: u64, is_down: bool) {
        let mut lists = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        lists.running.remove(&hash);
        if !is_down {
            lists.cleared.push((hash, Instant::now()));
        }
    }
}

/// Asks the members of a suspected replica for their state, unless that is under way.
pub fn suspect(cx: &ServingCx, replica: &Arc<Replica>, cause: SuspicionCause) {
    if replica.model.is_none() {
        return;
    }
    if !cx.suspects.begin(replica.hash, Instant::now()) {
        return;
    }
    let (cx, replica) = (cx.clone(), replica.clone());
    tokio::spawn(async move {
        let is_down = examine(&cx, &replica, &cause).await;
        cx.suspects.end(replica.hash, is_down);
    });
}

/// Asks every member for its state and marks the replica as down where one is missing.
async fn examine(cx: &ServingCx, replica: &Arc<Replica>, cause: &SuspicionCause) -> bool {
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
    if let Some((member, reason)) = missing_member(cx, replica, cause.name()).await {
        declare_down(cx, replica, &member, &reason, cause.name());
        return true;
    }
    false
}

/// Marks a replica as down, and tells the other nodes.
pub fn declare_down(
    cx: &ServingCx,
    replica: &Replica,
    member: &str,
    reason: &str,
    source: &'static str,
) {
    if note_down(cx, replica, member, reason, source) {
        let report = DownReplica { replica: replica.hash, member: member.to_string() };
        cx.down_reports.add(report, Instant::now());
    }
}

/// Marks a replica as down; tells whether it was not marked before.
pub fn note_down(
    cx: &ServingCx,
    replica: &Replica,
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
    cx.down_reports.wake_control();
    true
}

/// Returns a member that is not in its place, with the reason.
async fn missing_member(
    cx: &ServingCx,
    replica: &Arc<Replica>,
    cause: &'static str,
) -> Option<(InstanceId, String)> {
    let mut questions = JoinSet::new();
    for (rank, (id, address)) in replica.members.iter().cloned().enumerate() {
        let (cx, replica) = (cx.clone(), replica.clone());
        questions.spawn(async move {
            let (mut asked, mut report) = ask_now(&cx, &id, address, cause).await;
            // The report of a head that has just opened is older than that.
            if rank == 0 && report.as_ref().is_ok_and(|report| is_ready(&replica, report)) {
                sleep(MAX_REPORT_AGE).await;
                (asked, report) = ask_now(&cx, &id, address, cause).await;
            }
            let was_late = asked.elapsed() > REPORT_TIMEOUT + OWN_LATENESS;
            let misplaced = match report {
                Ok(report) => misplaced(&replica, rank, &report),
                Err(e) => Some(e.to_string()),
            };
            misplaced.filter(|_| !was_late).map(|reason| (id, reason))
        });
    }
    while let Some(found) = questions.join_next().await {
        if let Ok(Some(missing)) = found {
            return Some(missing);
        }
    }
    None
}

/// Asks a member for its state; returns the answer with the time of the question.
async fn ask_now(
    cx: &ServingCx,
    id: &str,
    address: SocketAddr,
    cause: &'static str,
) -> (Instant, Result<InstanceReport, ReportError>) {
    let asked = Instant::now();
    (asked, ask_report(cx, id, address, cause, REPORT_TIMEOUT).await)
}

/// Tells whether a report shows a member of the replica that is ready.
fn is_ready(replica: &Replica, report: &InstanceReport) -> bool {
    report.engine.membership.as_ref().is_some_and(|place| {
        let is_member = group_key(&place.group, place.epoch) == replica.key;
        is_member && place.state == MembershipState::Ready
    })
}

/// Returns why a member's report shows that the replica cannot serve.
fn misplaced(replica: &Replica, rank: usize, report: &InstanceReport) -> Option<String> {
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

/// Looks at the replicas that run requests of this node until the task is ended.
pub async fn run(cx: ServingCx) {
    let mut ticks = tokio::time::interval(REVIEW_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let was_late = now - last > REVIEW_PERIOD + OWN_LATENESS;
        last = now;
        // After a pause of this process every replica looks silent.
        if !was_late {
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
        let Some(last_sign) = state.last_sign.filter(|_| state.own > 0 && !state.is_down) else {
            continue;
        };
        let silent_for = now - last_sign;
        let bound = match state.own > state.unanswered {
            true => (pass * SILENT_PASSES).mul_f64(state.slowness.max(1.0)).max(MIN_SILENCE),
            false => UNANSWERED_SILENCE,
        };
        if silent_for >= bound {
            suspect(cx, replica, SuspicionCause::Silent(silent_for));
        }
    }
}
