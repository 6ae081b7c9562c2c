//! Connects admission to the requests of a node, and tells other nodes what its customers use.
//!
//! A node tells the others once a second, and only for a few seconds after it refused a request: while there is
//! capacity, nothing depends on what the customers use.

use crate::admission;
use crate::admission::Admission;
use crate::admission::AdmissionInput;
use crate::admission::AdmissionReason;
use crate::admission::Standing;
use crate::admission_stats::AdmissionStats;
use crate::admission_stats::Measured;
use crate::admission_stats::Outcome;
use crate::admission_stats::RequestKeys;
use crate::admission_stats::ShortageChange;
use crate::admission_stats::UseGuard;
use crate::attempt::Withheld;
use crate::customer_use;
use crate::customer_use::UseKey;
use crate::customer_use::UseReport;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::NoCapacity;
use crate::placement::Occupancy;
use crate::placement::Timeliness;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::route_match::RoutingTable;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which other nodes are told what the customers use.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Value of a token of the response in a size, relative to one of the prompt.
const RESPONSE_TOKEN_SIZE: f64 = 10.0;
/// Fraction of a replica's slots from which a late first event counts as caused by the load.
const NEARLY_FULL: f64 = 0.7;

/// Decision on a request of a measured service.
#[derive(Debug)]
pub enum Decision<'a> {
    /// The request was admitted before, or has begun: it may use the whole capacity.
    Earlier,
    /// A new request, with the input of the decision.
    First(FirstDecision<'a>),
}

/// Decision on a request that has not been sent to a replica.
#[derive(Debug)]
pub struct FirstDecision<'a> {
    keys: RequestKeys<'a>,
    input: AdmissionInput,
    measured: Measured,
    admission: Admission,
}

/// Decides on a request; `None` if its service is not measured.
pub fn decide<'a>(
    cx: &ServingCx,
    task: &'a RequestTask,
    table: &RoutingTable,
    is_first: bool,
    timeliness: Timeliness,
    candidates: &[Candidate],
    now: Instant,
) -> Option<Decision<'a>> {
    let is_measured = table.config.is_measured(&task.service, cx.settings.measured_from_size_ratio);
    if !is_measured || !cx.settings.uses_admission {
        return None;
    }
    let engine = table.config.engine(&task.service)?;
    let model = engine.model(task.head.model.as_deref()?)?;
    // A caller that resumes a stream has a part of the response.
    let is_resumed = task.head.last_event_id.is_some();
    if !is_first || timeliness == Timeliness::Begun || is_resumed {
        return Some(Decision::Earlier);
    }
    let keys = request_keys(task)?;
    let occupancy = placement::occupancy(candidates);
    let measured = cx.admission.measure(&keys, occupancy.slots, now);
    let timeout = table.config.routes.iter().find(|route| route.name == task.route);
    let timeout = timeout.map_or(task.deadline - task.received, |route| route.timeout);
    let standing = Standing::new(
        task.is_likely_retry,
        measured.is_early,
        task.deadline - task.received,
        timeout,
    );
    let (prompt, response) = (task.head.prompt_tokens, task.head.max_response_tokens);
    let (expected_first_event, expected_stream) =
        admission::expected_times(engine, model, prompt, response, candidates);
    let waited = now.saturating_duration_since(task.received);
    let input = AdmissionInput {
        occupancy,
        shortage: measured.shortage,
        fill_ratio: measured.fill_ratio,
        has_more_urgent: measured.has_more_urgent,
        urgency_rank: measured.urgency_rank,
        customer_use: measured.customer_use,
        served: measured.served,
        standing,
        size: measured.relative_size,
        expected_first_event,
        expected_stream,
        target_latency: task.target_latency.saturating_sub(waited),
        time_left: task.time_left(now),
    };
    let admission = admission::decide(&input);
    Some(Decision::First(FirstDecision { keys, input, measured, admission }))
}

impl Decision<'_> {
    /// Returns the fraction of each replica's capacity that the request may use, or the refusal.
    pub fn capacity_ratio(&self, cx: &ServingCx, now: Instant) -> Result<f64, Withheld> {
        let Self::First(first) = self else { return Ok(1.0) };
        match first.admission {
            Admission::Admit { capacity_ratio, .. } => Ok(capacity_ratio),
            Admission::Refuse { reason, retry_after } => {
                first.record(cx, false, now);
                Err(first.refuse(cx, reason, retry_after, now))
            }
        }
    }

    /// Records whether a replica had capacity, and returns the result for the request.
    pub fn record(
        &self,
        cx: &ServingCx,
        chosen: Result<Arc<Replica>, Withheld>,
        now: Instant,
    ) -> Result<Arc<Replica>, Withheld> {
        let Self::First(first) = self else { return chosen };
        let is_full = matches!(
            chosen,
            Err(Withheld::NoReplica(NoCapacity::AllBusy | NoCapacity::NoReplica, _))
        );
        first.record(cx, !is_full, now);
        match (&chosen, first.admission) {
            (
                Err(Withheld::NoReplica(NoCapacity::AllBusy, _)),
                Admission::Admit { limited_by, .. },
            ) => {
                let retry_after = admission::retry_after(&first.input);
                Err(first.refuse(cx, limited_by, retry_after, now))
            }
            _ => chosen,
        }
    }
}

impl FirstDecision<'_> {
    fn record(&self, cx: &ServingCx, is_served: bool, now: Instant) {
        let is_unreserved = match self.admission {
            Admission::Admit { limited_by, .. } => limited_by == AdmissionReason::AllBusy,
            Admission::Refuse { .. } => false,
        };
        // A response that can only be late says nothing of the capacity for those on time.
        let is_unreserved = is_unreserved && self.input.standing == Standing::New;
        let outcome = Outcome { is_served, is_unreserved };
        let change = cx.admission.record(&self.keys, outcome, now);
        if let Some(change) = change {
            log_change(cx, self, change);
        }
    }

    fn refuse(
        &self,
        cx: &ServingCx,
        reason: AdmissionReason,
        retry_after: Duration,
        now: Instant,
    ) -> Withheld {
        cx.metrics.admission_refusal(self.keys.route, reason.name());
        cx.admission.record_refused(self.keys.fingerprint, retry_after, now);
        if reason == AdmissionReason::OverShare {
            cx.log.record(Event::CustomerOverShare {
                customer: format!("{:08x}", self.keys.customer),
                route: self.keys.route.to_string(),
                running: self.measured.customer_running.round() as u64,
                share: self.measured.customer_share.round() as u64,
            });
        }
        Withheld::NotAdmitted { reason, retry_after, occupancy: self.input.occupancy }
    }
}

/// Returns what the measurements for a request depend on; `None` if it names no model.
fn request_keys(task: &RequestTask) -> Option<RequestKeys<'_>> {
    let (model, customer) = use_keys(task)?;
    let head = &task.head;
    Some(RequestKeys {
        model,
        customer,
        urgency: task.urgency,
        route: &task.route,
        size: f64::from(head.prompt_tokens)
            + f64::from(head.max_response_tokens) * RESPONSE_TOKEN_SIZE,
        fingerprint: task.crash_keys.request(),
    })
}

fn use_keys(task: &RequestTask) -> Option<(UseKey, UseKey)> {
    let model = customer_use::use_key(&[&task.service, task.head.model.as_deref()?]);
    Some((model, customer_use::use_key(&[task.customer.as_deref().unwrap_or_default()])))
}

fn log_change(cx: &ServingCx, decision: &FirstDecision<'_>, change: ShortageChange) {
    let model = format!("{:08x}", decision.keys.model);
    let route = decision.keys.route.to_string();
    let Occupancy { running, slots, .. } = decision.input.occupancy;
    cx.log.record(match change {
        ShortageChange::Began => Event::ModelScarce {
            model,
            route,
            running: u64::from(running),
            slots: u64::from(slots),
            fill_ratio: format!("{:.2}", decision.input.fill_ratio),
        },
        ShortageChange::Ended { lasted } => Event::ModelScarceEnded { model, route, lasted },
    });
}

/// A request of a measured service while it is served.
#[derive(Debug)]
pub struct MeasuredRequest {
    stats: AdmissionStats,
    model: UseKey,
    customer: UseKey,
    target_latency: Duration,
    /// Whether the response can be on time.
    is_new: bool,
    /// Counts the request as running from its first attempt.
    guard: Option<UseGuard>,
    attempts: u32,
    /// Whether the replica of the last attempt had few free slots.
    was_nearly_full: bool,
}

impl MeasuredRequest {
    /// Returns the measurements of a request; `None` if its service is not measured.
    pub fn new(cx: &ServingCx, task: &RequestTask) -> Option<Self> {
        if !cx.settings.uses_admission || !cx.is_measured(&task.service) {
            return None;
        }
        let (model, customer) = use_keys(task)?;
        Some(Self {
            stats: cx.admission.clone(),
            model,
            customer,
            target_latency: task.target_latency,
            is_new: !task.is_likely_retry && task.head.last_event_id.is_none(),
            guard: None,
            attempts: 0,
            was_nearly_full: false,
        })
    }

    /// Records an attempt at a replica with this many requests. One at another node is counted there.
    pub fn record_attempt(&mut self, replica: &Replica, requests: u32, now: Instant) {
        self.attempts += 1;
        self.was_nearly_full = f64::from(requests) >= f64::from(replica.slots) * NEARLY_FULL;
        if self.guard.is_none() && !replica.is_node {
            self.guard = Some(self.stats.begin(self.model, self.customer, now));
        }
    }

    /// Records the time to the first event. One after a failed attempt says nothing of the load.
    pub fn record_first_event(&self, took: Duration, now: Instant) {
        if self.is_new && self.attempts == 1 && self.was_nearly_full {
            self.stats.record_first_event(self.model, took <= self.target_latency, now);
        }
    }
}

/// Returns what to tell the other nodes; `None` while there is capacity.
pub fn next_report(cx: &ServingCx) -> Option<UseReport> {
    let report = cx.admission.report(cx.node(), Instant::now())?;
    cx.metrics.customer_use_report("sent");
    Some(report)
}

/// Records what another node tells.
pub fn apply(cx: &ServingCx, report: UseReport) {
    if report.node != cx.node() {
        cx.metrics.customer_use_report("received");
        cx.admission.apply(report, Instant::now());
    }
}
