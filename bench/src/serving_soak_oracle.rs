//! Checks of the serving soak that are made at the end of a run.

use crate::serving_soak_callers::KINDS;
use crate::serving_soak_callers::ONCE;
use crate::serving_soak_callers::Outcome;
use crate::serving_soak_callers::Purpose;
use crate::serving_soak_callers::RequestRecord;
use crate::serving_soak_callers::STREAM;
use crate::serving_soak_cuts;
use crate::serving_soak_nodes::Cause;
use crate::serving_soak_nodes::Disturbances;
use crate::serving_soak_notices;
use guavaladder_platform_testutils::Arrival;
use guavaladder_platform_testutils::ArrivalEnd;
use guavaladder_platform_testutils::CrashRun;
use guavaladder_platform_testutils::LimitPeriod;
use guavaladder_platform_testutils::Violation;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which all daemons know of a crash, and for which a daemon must have been undisturbed: the
/// platform's `stableWindowMs`.
pub const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Number of crashes after which a request must not be sent on.
const MAX_CRASHES: usize = 3;
/// Number of crashes after which requests with a part must not be sent on.
const MAX_PART_CRASHES: usize = 5;
/// Maximum number of later arrivals from undisturbed daemons, according to the platform's rules.
const MAX_LATER_ARRIVALS: usize = 3;
/// Minimum number of sound requests of which a share is taken, according to the platform's rules.
const MIN_SOUND: usize = 20;
/// Maximum number of requests that fail at partitioned daemons, besides one in 50, according to the platform's
/// rules.
const MAX_FAILED_AT_CUT: usize = 10;
/// Time after the end of a partition within which a daemon uses the instances again.
const RETURN_TIME: Duration = Duration::from_millis(500);
/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Retries that are allowed per request.
const BUDGET_RATIO: f64 = 0.2;

/// All that is known about a run at its end.
#[derive(Debug)]
pub struct Evidence {
    /// When the traffic began.
    pub start: Instant,
    /// When the fleet must have recovered.
    pub recovered: Instant,
    /// Requests of all callers, in order of their end.
    pub requests: Vec<RequestRecord>,
    /// Arrivals at the instances by request.
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    /// Limits that instances named on their rates.
    pub limit_periods: Vec<LimitPeriod>,
    /// Violations that instances detected.
    pub violations: Vec<Violation>,
    /// Whether there were engines.
    pub has_engines: bool,
    /// Runs of requests that crash replicas, in order.
    pub crash_runs: Vec<CrashRun>,
    /// Ids of the requests that were executed.
    pub executions: BTreeMap<String, usize>,
    /// Disturbances of the daemons and of the store.
    pub disturbances: Disturbances,
    /// Number of daemons.
    pub nodes: usize,
    /// Times of the changes of the configuration.
    pub changes: Vec<Instant>,
    /// Slack of the retry budgets.
    pub retry_slack: usize,
}

impl Evidence {
    /// Returns the arrivals of a request.
    pub fn arrivals_of(&self, request: &RequestRecord) -> &[Arrival] {
        self.arrivals.get(&request.id).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns whether the daemon of a request was undisturbed for long enough at a moment.
    fn is_in_touch(&self, request: &RequestRecord, at: Instant) -> bool {
        self.disturbances.are_absent(request.node, at - STABLE_WINDOW, at)
    }

    /// Returns whether nothing could serve a request: no replica took requests freely, or its daemon was
    /// partitioned from the instances and had no sound one to turn to.
    fn is_unservable(&self, request: &RequestRecord) -> bool {
        let (from, until) = (request.sent - RETURN_TIME, request.ended);
        let disturbances = self.disturbances.between(request.node, from, until);
        let is_partitioned = disturbances.iter().any(|d| d.cause == Cause::Partition);
        request.is_unservable || (is_partitioned && !self.has_sound_daemon(request))
    }

    /// Returns whether some daemon reached the instances and was undisturbed during a request and for long
    /// enough before: the daemons that are cut off have no other to compare with, and to turn to.
    fn has_sound_daemon(&self, request: &RequestRecord) -> bool {
        let (from, until) = (request.sent - STABLE_WINDOW, request.ended);
        (0..self.nodes).any(|node| self.disturbances.between(node, from, until).is_empty())
    }

    /// Describes a moment.
    pub fn time(&self, at: Instant) -> String {
        format!("{:.3} s", at.saturating_duration_since(self.start).as_secs_f64())
    }
}

/// Returns all violations.
pub fn check(evidence: &Evidence) -> Vec<String> {
    let mut found: Vec<String> = evidence.violations.iter().map(|v| format!("{v:?}")).collect();
    found.extend(serving_soak_cuts::check(evidence));
    found.extend(check_rate_limits(evidence));
    found.extend(check_partitions(evidence));
    found.extend(serving_soak_notices::check(evidence));
    found.extend(check_retry_budgets(evidence));
    found.extend(check_crashing_requests(evidence));
    for part in crashing_parts(evidence) {
        found.extend(check_crashing_part(evidence, part));
    }
    found.extend(check_refused(evidence));
    for (_, kind, _) in KINDS.iter().filter(|(_, kind, _)| evidence.has_engines || *kind != STREAM)
    {
        let is_served = |r: &&RequestRecord| {
            r.kind == *kind && r.outcome == Outcome::Answered && r.sent >= evidence.recovered
        };
        if !evidence.requests.iter().any(|request| is_served(&request)) {
            found.push(format!("no response to {kind} during the recovery"));
        }
    }
    found
}

/// A request that was refused and may run only once must not have run afterwards.
fn check_refused(evidence: &Evidence) -> Vec<String> {
    let is_refused =
        |r: &&RequestRecord| matches!(r.outcome, Outcome::Refused | Outcome::RefusedAsCrashing);
    let refused = evidence.requests.iter().filter(is_refused).filter(|r| r.kind == ONCE);
    let executed = refused.filter(|r| evidence.executions.contains_key(&r.id));
    executed
        .map(|r| format!("{}: refused at {}, but executed", r.id, evidence.time(r.ended)))
        .collect()
}

/// An instance must not get more requests from undisturbed daemons than the rate that it names allows.
fn check_rate_limits(evidence: &Evidence) -> Vec<String> {
    let mut found = vec![];
    for period in &evidence.limit_periods {
        let mut arrivals = vec![];
        for request in &evidence.requests {
            let there = evidence.arrivals_of(request).iter();
            let there = there.filter(|a| a.instance == period.instance);
            arrivals.extend(there.filter(|a| evidence.is_in_touch(request, a.at)).map(|a| a.at));
        }
        arrivals.sort();
        let excess = period.excess(&arrivals).map(|excess| {
            format!(
                "LIMIT: {} takes {} a second and got {} in 4 s until {}, {:.0} allowed",
                period.instance,
                period.per_second,
                excess.requests,
                evidence.time(excess.until),
                excess.allowed
            )
        });
        found.extend(excess);
    }
    found
}

/// Requests at undisturbed daemons that are partitioned from all instances must be served like those at the
/// others at the same time, according to the platform's rules.
fn check_partitions(evidence: &Evidence) -> Vec<String> {
    let partitions = evidence.disturbances.partitions();
    let is_cut = |node: usize, at: Instant| {
        partitions.iter().any(|d| {
            let is_over = d.until.is_some_and(|until| until <= at);
            d.node == Some(node) && d.from + STABLE_WINDOW <= at && !is_over
        })
    };
    let is_partitioned = |at: Instant| {
        partitions
            .iter()
            .any(|d| d.from + STABLE_WINDOW <= at && d.until.is_none_or(|until| until > at))
    };
    let (mut cut, mut others) = (Shares::default(), Shares::default());
    for request in &evidence.requests {
        let at = request.sent;
        let counts = request.purpose.is_harmless() && is_partitioned(at);
        if !counts
            || !evidence.has_sound_daemon(request)
            || !evidence.is_in_touch(request, request.ended)
        {
            continue;
        }
        let shares = if is_cut(request.node, at) { &mut cut } else { &mut others };
        shares.sent += 1;
        shares.served += usize::from(request.outcome == Outcome::Answered);
    }
    // A share of less than two thirds: cut / all cut < others / all others * 2 / 3.
    let is_worse = 3 * cut.served * others.sent < 2 * others.served * cut.sent;
    let failed = cut.sent - cut.served;
    let is_many = failed > MAX_FAILED_AT_CUT + cut.sent / 50;
    (is_worse && is_many)
        .then(|| {
            format!(
                "RECOVER: partitioned daemons served {} of {}, the others {} of {}",
                cut.served, cut.sent, others.served, others.sent
            )
        })
        .into_iter()
        .collect()
}

/// Requests that were sent and served.
#[derive(Debug, Default)]
struct Shares {
    sent: usize,
    served: usize,
}

/// In any window, a service must not get more arrivals beyond the first of each request than its budget.
fn check_retry_budgets(evidence: &Evidence) -> Vec<String> {
    let mut services: Vec<&str> = KINDS.iter().map(|(_, _, service)| *service).collect();
    services.dedup();
    services.iter().filter_map(|service| check_retry_budget(evidence, service)).collect()
}

fn check_retry_budget(evidence: &Evidence, service: &str) -> Option<String> {
    let requests: Vec<Instant> =
        evidence.requests.iter().filter(|r| r.service == service).map(|r| r.sent).collect();
    let mut repeats: Vec<Instant> = vec![];
    for arrivals in evidence.arrivals.values() {
        let at_service = arrivals.iter().filter(|a| a.service == service);
        repeats.extend(at_service.skip(1).map(|arrival| arrival.at));
    }
    repeats.sort();
    let requests_until = |end: Instant| {
        requests.iter().filter(|at| **at <= end && **at + BUDGET_WINDOW > end).count()
    };
    let mut worst: Option<(usize, f64, Instant)> = None;
    for (number, end) in repeats.iter().enumerate() {
        let first = repeats.partition_point(|at| *at + BUDGET_WINDOW <= *end);
        let count = number + 1 - first;
        let windows = [*end, *end - BUDGET_WINDOW / 2, *end - BUDGET_WINDOW];
        let most = windows.into_iter().map(requests_until).max().unwrap_or(0);
        let allowed = BUDGET_RATIO * most as f64 + evidence.retry_slack as f64;
        let excess = count as f64 - allowed;
        if excess > 0.0 && worst.is_none_or(|(c, a, _)| excess > c as f64 - a) {
            worst = Some((count, allowed, *end));
        }
    }
    let (count, allowed, end) = worst?;
    let until = evidence.time(end);
    Some(format!("BUDGET: {service} got {count} repeats until {until}, {allowed:.0} allowed"))
}

/// An undisturbed daemon must not send on a request that has crashed replicas.
fn check_crashing_requests(evidence: &Evidence) -> Vec<String> {
    let mut crashes: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for run in evidence.crash_runs.iter().filter(|run| run.part.is_none()) {
        crashes.entry(&run.path).or_default().push(run.at);
    }
    let mut found = vec![];
    for (path, crashes) in crashes {
        let Some(third) = crashes.get(MAX_CRASHES - 1) else { continue };
        let late = late_arrivals(evidence, *third, |request| request.path == path);
        if late.len() > MAX_LATER_ARRIVALS {
            found.push(format!("BUDGET: {path}: arrivals after the third crash: {late:?}"));
        }
    }
    found
}

/// Returns the arrivals of requests from undisturbed daemons later than a crash should be known.
fn late_arrivals(
    evidence: &Evidence,
    crash: Instant,
    is_meant: impl Fn(&RequestRecord) -> bool,
) -> Vec<String> {
    let mut late = vec![];
    for request in evidence.requests.iter().filter(|request| is_meant(request)) {
        let arrivals = evidence.arrivals_of(request).iter();
        let is_late =
            |a: &&Arrival| a.at > crash + STABLE_WINDOW && evidence.is_in_touch(request, a.at);
        let at = |a: &Arrival| format!("{} n{} {}", request.id, request.node, evidence.time(a.at));
        late.extend(arrivals.filter(is_late).map(at));
    }
    late
}

fn crashing_parts(evidence: &Evidence) -> Vec<&str> {
    let mut parts: Vec<&str> =
        evidence.crash_runs.iter().filter_map(|run| run.part.as_deref()).collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

/// Requests with a part that crashed replicas must not be sent on, and sound requests that share their
/// customer and first part must be served.
fn check_crashing_part(evidence: &Evidence, part: &str) -> Vec<String> {
    let has_part = |request: &RequestRecord| matches!(&request.purpose, Purpose::CrashingPart(other) if other == part);
    let crashes: Vec<Instant> = evidence
        .crash_runs
        .iter()
        .filter(|run| run.part.as_deref() == Some(part))
        .map(|run| run.at)
        .collect();
    let Some(last) = crashes.get(MAX_PART_CRASHES - 1).or(crashes.last()) else { return vec![] };
    let mut found = vec![];
    if crashes.len() >= MAX_PART_CRASHES {
        let late = late_arrivals(evidence, *last, has_part);
        if late.len() > MAX_LATER_ARRIVALS {
            let (count, all) = (late.len(), crashes.len());
            let known = evidence.time(*last);
            found.push(format!(
                "BUDGET: {part}: {count} arrivals after the fifth crash at {known}, {all} crashes, \
                 first {:?}",
                &late[..MAX_LATER_ARRIVALS]
            ));
        }
    }
    let sent = || evidence.requests.iter().filter(|request| has_part(request)).map(|r| r.sent);
    let (Some(first_sent), Some(last_sent)) = (sent().min(), sent().max()) else { return found };
    let share = |is_meant: &dyn Fn(&RequestRecord) -> bool| {
        let sound = evidence.requests.iter().filter(|request| {
            request.purpose == Purpose::Sound
                && is_meant(request)
                && evidence.is_in_touch(request, request.sent)
                && !evidence.is_unservable(request)
        });
        let all: Vec<bool> = sound.map(|r| begins_at_once(evidence, r)).collect();
        (all.iter().filter(|begins| **begins).count(), all.len())
    };
    let outside = share(&|r| r.sent < first_sent || r.sent >= evidence.recovered);
    let during = share(&|r| r.sent > *last + 2 * STABLE_WINDOW && r.sent < last_sent);
    let are_enough = outside.1 >= MIN_SOUND && during.1 >= MIN_SOUND;
    // A share of less than half: during / all during < outside / all outside / 2.
    if are_enough && 2 * during.0 * outside.1 < outside.0 * during.1 {
        found.push(format!(
            "LOST: sound requests beside {part}: {} of {} served, {} of {} before and after",
            during.0, during.1, outside.0, outside.1
        ));
    }
    found
}

/// Returns whether a replica began a request.
fn begins_at_once(evidence: &Evidence, request: &RequestRecord) -> bool {
    let is_rejected = |a: &Arrival| matches!(a.end, Some((_, ArrivalEnd::Rejected)));
    request.outcome == Outcome::Answered
        || (request.outcome == Outcome::Cut
            && !evidence.arrivals_of(request).iter().all(is_rejected))
}
