//! Estimate of the current load of a replica from reports of different ages and from the replica's own
//! statements.
//!
//! Load pattern handled here: many nodes send requests to the same replicas at the same moment, and each
//! knows the requests of the others as of their last heartbeats. Some of these requests have ended since,
//! and others have arrived. So an estimate names how many, and how far it may be wrong.

use crate::instance::ReportedLoad;
use crate::rate_limits::RunHash;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum age of the loads reported by other nodes and stated by replicas; older ones are ignored.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Time for which a node without recent reports counts as one that may have requests.
const SILENT_TTL: Duration = Duration::from_secs(20);
/// Mean time of a request before one of the model has ended.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Maximum load that a replica may state, as a multiple of its slots. More is not plausible, since all
/// nodes keep the queues of groups short.
const MAX_STATED_RATIO: u32 = 3;
/// Time after which a request counts by 1/e in the pressure.
const PRESSURE_PERIOD: Duration = Duration::from_secs(1);
/// Admitted requests that are added in the pressure, so that the first refusals of a node with few requests
/// don't stand for all nodes.
const PRESSURE_PRIOR: f64 = 2.0;
/// Maximum pressure.
const MAX_PRESSURE: f64 = 4.0;
/// Number of standard deviations by which a statement may be below the reports. A replica that states less
/// would attract the requests of all nodes.
const MAX_DEVIATIONS: f64 = 3.0;

/// Estimated number of requests at a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Expected number of running and queued requests of all nodes.
    pub load: f64,
    /// Standard deviation of `load`.
    pub error: f64,
    /// Requests of other nodes that are expected to have ended since they were reported. In a steady state,
    /// `load` contains as many that have arrived since.
    pub turnover: f64,
    /// Requests that other nodes are expected to have been offered since their reports.
    pub arrivals: f64,
}

/// Requests of the other nodes at the replicas, by their last reports, and the replicas' own statements.
#[derive(Debug)]
pub struct RemoteLoads {
    /// Reference point of `Sum::report_times_ms`.
    epoch: Instant,
    nodes: HashMap<String, NodeReport>,
    /// Number of nodes in `nodes` whose report is not older than `MAX_AGE`.
    live: usize,
    /// No report expires before.
    next_expiry: Instant,
    /// Arrival times of the reports of the last `MAX_AGE`, in ascending order.
    report_times: VecDeque<Instant>,
    sums: HashMap<u64, Sum>,
    statements: HashMap<u64, Statement>,
}

#[derive(Debug)]
struct NodeReport {
    at: Instant,
    /// Requests by replica; empty once the report has expired.
    loads: HashMap<u64, u32>,
    is_expired: bool,
}

/// Sums over the reported requests at one replica.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    running: u32,
    /// Sum of the arrival time of the report over all requests.
    report_times_ms: u64,
}

/// What a replica stated beyond the requests that were known.
#[derive(Debug, Clone, Copy)]
struct Statement {
    at: Instant,
    run: RunHash,
    unreported: f64,
}

/// What a node knows of a replica besides the reports of other nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnView {
    /// Hash of the replica's key.
    pub hash: u64,
    /// Run of the instance that accepts the requests.
    pub run: RunHash,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// This node's requests at the replica.
    pub own: u32,
    /// Mean time of a request at the replica; `None` if none has ended yet.
    pub request_time: Option<Duration>,
    /// Requests for the model that arrived at this node, as a multiple of those that were sent to a replica.
    pub pressure: f64,
}

/// Requests for a model that arrived at this node recently, and those of them that were sent to a replica.
#[derive(Debug, Clone, Copy)]
pub struct Pressure {
    at: Instant,
    offered: f64,
    admitted: f64,
}

impl Pressure {
    /// Returns the pressure at a node that got no requests yet.
    pub fn new(now: Instant) -> Self {
        Self { at: now, offered: 0.0, admitted: 0.0 }
    }

    /// Records a request.
    pub fn record(&mut self, is_admitted: bool, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-age / PRESSURE_PERIOD.as_secs_f64()).exp();
        self.at = now;
        self.offered = self.offered * kept + 1.0;
        self.admitted = self.admitted * kept + f64::from(u8::from(is_admitted));
    }

    /// Returns the requests that arrived as a multiple of those that were sent.
    pub fn ratio(&self) -> f64 {
        let ratio = (self.offered + PRESSURE_PRIOR) / (self.admitted + PRESSURE_PRIOR);
        ratio.min(MAX_PRESSURE)
    }
}

impl RemoteLoads {
    /// Returns the loads of a node that has heard no others.
    pub fn new(now: Instant) -> Self {
        Self {
            epoch: now,
            nodes: HashMap::new(),
            live: 0,
            next_expiry: now,
            report_times: VecDeque::new(),
            sums: HashMap::new(),
            statements: HashMap::new(),
        }
    }

    /// Returns the requests of the other nodes at a replica, as they were reported.
    pub fn reported(&self, hash: u64) -> u32 {
        self.sums.get(&hash).map_or(0, |sum| sum.running)
    }

    /// Records the loads that another node reported, and drops reports that are too old.
    pub fn record_report(&mut self, node: &str, loads: HashMap<u64, u32>, now: Instant) {
        let report = NodeReport { at: now, loads, is_expired: false };
        self.add(&report);
        self.live += 1;
        if let Some(last) = self.nodes.insert(node.to_string(), report) {
            self.live -= usize::from(!last.is_expired);
            self.subtract(&last);
        }
        self.report_times.push_back(now);
        if now >= self.next_expiry {
            self.expire(now);
        }
        while self.report_times.front().is_some_and(|at| now - *at >= MAX_AGE) {
            self.report_times.pop_front();
        }
    }

    /// Drops what is too old.
    fn expire(&mut self, now: Instant) {
        let mut nodes = std::mem::take(&mut self.nodes);
        nodes.retain(|_, report| {
            if now - report.at >= MAX_AGE && !report.is_expired {
                self.subtract(report);
                report.loads = HashMap::new();
                report.is_expired = true;
            }
            now - report.at < SILENT_TTL
        });
        let expiry =
            |report: &NodeReport| report.at + if report.is_expired { SILENT_TTL } else { MAX_AGE };
        self.next_expiry = nodes.values().map(expiry).min().unwrap_or(now + MAX_AGE);
        self.live = nodes.values().filter(|report| !report.is_expired).count();
        self.nodes = nodes;
    }

    fn add(&mut self, report: &NodeReport) {
        let at_ms = self.since_epoch_ms(report.at);
        for (hash, running) in &report.loads {
            let sum = self.sums.entry(*hash).or_default();
            sum.running = sum.running.saturating_add(*running);
            sum.report_times_ms =
                sum.report_times_ms.saturating_add(at_ms.saturating_mul(u64::from(*running)));
        }
    }

    fn subtract(&mut self, report: &NodeReport) {
        let at_ms = self.since_epoch_ms(report.at);
        for (hash, running) in &report.loads {
            let Some(sum) = self.sums.get_mut(hash) else { continue };
            sum.running = sum.running.saturating_sub(*running);
            sum.report_times_ms =
                sum.report_times_ms.saturating_sub(at_ms.saturating_mul(u64::from(*running)));
            if sum.running == 0 {
                self.sums.remove(hash);
            }
        }
    }

    fn since_epoch_ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.epoch).as_millis() as u64
    }

    /// Records the load that a replica stated in a response to this node. Returns false if the statement
    /// is not plausible and changes nothing.
    pub fn record_statement(&mut self, view: &OwnView, stated: ReportedLoad, now: Instant) -> bool {
        let load = stated.running.saturating_add(stated.waiting);
        let is_bounded = stated.slots == view.slots
            && stated.running <= stated.slots
            && load <= stated.slots.saturating_mul(MAX_STATED_RATIO);
        let reported = self.estimate_reported(view, now);
        let lowest = reported.load - MAX_DEVIATIONS * reported.error.max(1.0);
        if !is_bounded || f64::from(load) < lowest {
            return false;
        }
        let unreported = f64::from(load) - reported.load;
        self.statements.insert(view.hash, Statement { at: now, run: view.run, unreported });
        true
    }

    /// Removes the statements of replicas for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(u64) -> bool) {
        self.statements.retain(|hash, _| is_known(*hash));
    }

    /// Returns the estimated load of a replica.
    pub fn estimate(&self, view: &OwnView, now: Instant) -> LoadEstimate {
        let mut estimate = self.estimate_reported(view, now);
        let statement = self.statements.get(&view.hash).filter(|s| s.run == view.run);
        let Some(statement) = statement.filter(|s| now - s.at < MAX_AGE) else { return estimate };
        let request_time = view.request_time.unwrap_or(DEFAULT_REQUEST_TIME).as_secs_f64();
        let kept = (-(now - statement.at).as_secs_f64() / request_time).exp();
        let unreported = statement.unreported * self.unreported_fraction(statement.at) * kept;
        estimate.load = (estimate.load + unreported).max(f64::from(view.own));
        estimate
    }

    /// Returns the estimate without the replica's statement.
    fn estimate_reported(&self, view: &OwnView, now: Instant) -> LoadEstimate {
        let sum = self.sums.get(&view.hash).copied().unwrap_or_default();
        let now_ms = self.since_epoch_ms(now);
        let age_sum_ms = (now_ms * u64::from(sum.running)).saturating_sub(sum.report_times_ms);
        let request_time = view.request_time.unwrap_or(DEFAULT_REQUEST_TIME).as_secs_f64();
        let turnover = age_sum_ms as f64 / 1e3 / request_time.max(1e-3);
        let turnover = turnover.min(f64::from(sum.running));
        LoadEstimate {
            load: f64::from(view.own.saturating_add(sum.running)),
            error: (2.0 * turnover).sqrt(),
            turnover,
            arrivals: turnover * view.pressure,
        }
    }

    /// Returns the fraction of the nodes whose requests at that time are not contained in the reports.
    fn unreported_fraction(&self, at: Instant) -> f64 {
        if self.nodes.is_empty() {
            return 1.0;
        }
        let before = self.report_times.partition_point(|report| *report <= at);
        let reported = (self.report_times.len() - before).min(self.live);
        1.0 - reported as f64 / self.nodes.len() as f64
    }
}
