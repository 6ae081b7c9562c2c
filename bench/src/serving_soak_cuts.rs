//! Requests of the serving soak whose connections ended without a complete response.

use crate::serving_soak_callers::Outcome;
use crate::serving_soak_callers::RequestRecord;
use crate::serving_soak_nodes::Cause;
use crate::serving_soak_nodes::Disturbance;
use crate::serving_soak_nodes::GRACE;
use crate::serving_soak_oracle::Evidence;
use crate::serving_soak_oracle::STABLE_WINDOW;
use guavaladder_platform_testutils::Arrival;
use guavaladder_platform_testutils::ArrivalEnd;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Deadline of the callers' requests, which is also the shortest timeout of their routes.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Time after which an open connection counts as read: the platform's `lossSlackMs`.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after which a configuration applies: the platform's `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Time after planned work in which connections that end still count.
const AFTERMATH: Duration = Duration::from_secs(1);
/// Maximum number of requests that are cut without planned work, according to the platform's rules.
const MAX_UNPROVOKED: usize = 3;

/// What a daemon was doing when it cut a request, or why the cut is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CutKind {
    /// The daemon was stopping.
    Stopping,
    /// The daemon had got SIGHUP.
    HungUp,
    /// The configuration had changed.
    Configured,
    /// None of them.
    Unprovoked,
    /// Allowed: the daemon or the store was disturbed otherwise.
    Disturbed,
    /// Allowed: the deadline was reached.
    Expired,
    /// Allowed: the replicas broke off or had lost a member.
    BrokenOff,
    /// Allowed: a later attempt delivered, so that the earlier one was ended, and its replica broke off.
    Replaced,
    /// Allowed: the request crossed the closing of the connection and was not passed on.
    Crossed,
    /// Allowed: the replica was still at work in the last sixth of the time to stop.
    StillAtWork,
}

impl CutKind {
    /// Returns whether a request may be cut for this reason.
    pub fn is_allowed(self) -> bool {
        self >= Self::Disturbed
    }
}

/// Returns the harmless requests that were cut, by kind.
pub fn cuts(evidence: &Evidence) -> BTreeMap<CutKind, Vec<&RequestRecord>> {
    let mut cuts: BTreeMap<CutKind, Vec<&RequestRecord>> = BTreeMap::new();
    let is_cut = |r: &&RequestRecord| r.outcome == Outcome::Cut && r.purpose.is_harmless();
    for request in evidence.requests.iter().filter(is_cut) {
        cuts.entry(classify(evidence, request)).or_default().push(request);
    }
    cuts
}

/// Returns the violations by cut requests: any beside planned work, several otherwise.
pub fn check(evidence: &Evidence) -> Vec<String> {
    let cuts = cuts(evidence);
    let is_violation =
        |kind: CutKind, count: usize| kind != CutKind::Unprovoked || count > MAX_UNPROVOKED;
    let mut found = vec![];
    for (kind, requests) in cuts {
        if !kind.is_allowed() && is_violation(kind, requests.len()) {
            found.extend(requests.iter().map(|request| describe(evidence, kind, request)));
        }
    }
    found
}

fn describe(evidence: &Evidence, kind: CutKind, request: &RequestRecord) -> String {
    let arrivals: Vec<String> = evidence
        .arrivals_of(request)
        .iter()
        .map(|a| {
            let end = a.end.map(|(at, end)| format!("{end:?} at {}", evidence.time(at)));
            format!("{} at {}, {}", a.instance, evidence.time(a.at), end.unwrap_or_default())
        })
        .collect();
    format!(
        "LOST: {kind:?}: {} {} at n{} sent {} ended {}; arrivals: {arrivals:?}",
        request.id,
        request.kind,
        request.node,
        evidence.time(request.sent),
        evidence.time(request.ended)
    )
}

fn classify(evidence: &Evidence, request: &RequestRecord) -> CutKind {
    let (sent, ended) = (request.sent, request.ended);
    let disturbances = evidence.disturbances.between(request.node, sent - STABLE_WINDOW, ended);
    let arrivals = evidence.arrivals_of(request);
    if disturbances.iter().any(|d| matches!(d.cause, Cause::Unplanned | Cause::Partition)) {
        return CutKind::Disturbed;
    }
    if ended - sent >= DEADLINE {
        return CutKind::Expired;
    }
    let was_passed_on =
        arrivals.iter().any(|arrival| end_of(arrival) != Some(ArrivalEnd::Rejected));
    if !was_passed_on && ended - sent <= LOSS_SLACK {
        return CutKind::Crossed;
    }
    if was_passed_on && arrivals.iter().all(is_lost_by_replica) {
        return CutKind::BrokenOff;
    }
    let is_excused = |a: &Arrival| is_lost_by_replica(a) || is_replaced(a, arrivals);
    if was_passed_on && arrivals.iter().all(is_excused) {
        return CutKind::Replaced;
    }
    planned_work(evidence, request, &disturbances)
}

/// Returns whether an attempt was ended after the replica of a later one had begun its response, which then
/// broke off.
fn is_replaced(arrival: &Arrival, all: &[Arrival]) -> bool {
    let Some((ended, ArrivalEnd::Abandoned)) = arrival.end else { return false };
    let has_begun =
        |other: &Arrival| other.at > arrival.at && other.begun.is_some_and(|begun| begun <= ended);
    all.iter().any(|other| has_begun(other) && is_lost_by_replica(other))
}

/// Returns the planned work beside which a request was cut.
fn planned_work(
    evidence: &Evidence,
    request: &RequestRecord,
    disturbances: &[Disturbance],
) -> CutKind {
    let (sent, ended) = (request.sent, request.ended);
    let stop = disturbances.iter().filter(|d| d.cause == Cause::Stop).map(|d| d.from).max();
    if let Some(stop) = stop.filter(|stop| ended <= *stop + GRACE + AFTERMATH) {
        let was_at_work = evidence
            .arrivals_of(request)
            .iter()
            .any(|arrival| arrival.end.is_none_or(|(at, _)| at >= stop + GRACE * 5 / 6));
        let is_in_time = sent <= stop + STABLE_WINDOW;
        return match was_at_work && is_in_time {
            true => CutKind::StillAtWork,
            false => CutKind::Stopping,
        };
    }
    let is_hang_up = |d: &Disturbance| d.cause == Cause::HangUp && sent <= d.from + CONFIG_APPLY;
    if disturbances.iter().any(is_hang_up) {
        return CutKind::HungUp;
    }
    let is_beside =
        |change: &Instant| *change <= ended && ended <= *change + CONFIG_APPLY + AFTERMATH;
    match evidence.changes.iter().any(is_beside) && ended - sent < DEADLINE * 7 / 10 {
        true => CutKind::Configured,
        false => CutKind::Unprovoked,
    }
}

fn end_of(arrival: &Arrival) -> Option<ArrivalEnd> {
    arrival.end.map(|(_, end)| end)
}

fn is_lost_by_replica(arrival: &Arrival) -> bool {
    matches!(
        end_of(arrival),
        Some(ArrivalEnd::Rejected | ArrivalEnd::BrokenOff | ArrivalEnd::AbandonedAfterLoss)
    )
}
