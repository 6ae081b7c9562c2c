//! Admission of requests while the groups of a model are nearly full.
//!
//! Load pattern: for seconds, more requests arrive than the groups of a model can start in time. Each request that
//! is admitted then takes the slot of another one. Slots are left to requests with more value by the order of
//! urgency, share of the customer, and whether the response can be on time: a request of a lower rank may fill the
//! replicas less than one of a higher rank. While there is capacity, all requests may fill them alike.

use crate::fleet_config::Engine;
use crate::fleet_config::Model;
use crate::placement::Candidate;
use crate::placement::Occupancy;
use std::time::Duration;

/// Fraction of the slots in use below which no request is refused.
const FREE_OCCUPANCY: f64 = 0.5;
/// Lowest fraction of a replica's capacity that any request may use. It is above `FREE_OCCUPANCY`, so that
/// requests which other nodes have just sent don't lead to a refusal while under half of the slots are in use.
const MIN_CAPACITY_RATIO: f64 = 0.6;
/// Fraction of new requests refused at which the reserves have their whole size. More urgent requests may be
/// served less often than others by 0.05 at most.
const WHOLE_RESERVE_SHORTAGE: f64 = 0.03;
/// Reserve for more urgent requests.
const URGENCY_RESERVE: f64 = 0.2;
/// Reserve for customers that have no more than their share.
const CUSTOMER_RESERVE: f64 = 0.12;
/// Reserve for requests whose response can be on time.
const LATE_RESERVE: f64 = 0.15;
/// Additional reserve against callers that come back before the time that they were told.
const EARLY_RESERVE: f64 = 0.1;
/// Reserve against requests with less value for each slot second than others of their kind.
const SIZE_RESERVE: f64 = 0.04;
/// Size relative to the mean of the kind above which a request has clearly less value for each slot second.
const LARGE_SIZE: f64 = 1.5;
/// Fraction of the rate at which all are served, from which a kind or customer that is served less often is exempt
/// from its reserve. The reserve applies in full from `STARVING_RATIO + STARVING_RANGE`. A quarter is required.
const STARVING_RATIO: f64 = 0.35;
/// The same for the largest requests of a kind, of which half is required.
const STARVING_SIZE_RATIO: f64 = 0.6;
/// Range over which a reserve grows from nothing to its whole size.
const STARVING_RANGE: f64 = 0.2;
/// Least fraction of the time left that a refused caller is told to wait.
const MIN_RETRY_AFTER_RATIO: f64 = 0.22;
/// Greatest one. Callers honour up to a third.
const MAX_RETRY_AFTER_RATIO: f64 = 0.32;
/// Part of the range of waiting times over which the callers of one urgency are spread.
const RETRY_AFTER_SPREAD: f64 = 0.3;
/// Fraction refused at which callers are told to wait the longest: the shortage will last longer than that.
const LONG_SHORTAGE: f64 = 0.3;
/// Fraction of the route's timeout after which a caller has waited as told. It is below `MIN_RETRY_AFTER_RATIO`
/// because callers count from another moment than the node.
const WAITED_RATIO: f64 = 0.2;
/// Longest time that is expected for prompts; a configuration may name any prefill rate.
const MAX_PREFILL: Duration = Duration::from_secs(600);

/// What is known of earlier attempts of the caller at this request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// None is known; the response can be on time.
    New,
    /// The caller was probably refused and has waited as told.
    Returned,
    /// The caller has probably sent it before, and did not wait.
    Repeated,
    /// This node refused it, and the caller came back before the time that it was told.
    Early,
}

impl Standing {
    /// Returns the standing of a request by the time that its caller has left. `is_early` is set if this node refused
    /// it and the time that the caller was told is not over.
    pub fn new(
        is_likely_retry: bool,
        is_early: bool,
        time_limit: Duration,
        timeout: Duration,
    ) -> Self {
        let waited = timeout.saturating_sub(time_limit);
        match is_likely_retry {
            _ if is_early => Self::Early,
            false => Self::New,
            true if waited >= timeout.mul_f64(WAITED_RATIO) => Self::Returned,
            true => Self::Repeated,
        }
    }
}

/// How often requests are served, relative to all requests of the model; 1 if it is not known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServedRatios {
    /// Requests of the same urgency.
    pub kind: f64,
    /// Requests of the same customer.
    pub customer: f64,
    /// Requests of the kind with a similar size, relative to the kind.
    pub size: f64,
}

impl ServedRatios {
    /// Returns the ratios without any observations.
    pub fn unknown() -> Self {
        Self { kind: 1.0, customer: 1.0, size: 1.0 }
    }
}

/// Input of the decision on one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionInput {
    /// Slots and requests of the replicas that serve its model.
    pub occupancy: Occupancy,
    /// Fraction refused of the latest requests of the model to which no reserve applied.
    pub shortage: f64,
    /// Fraction of the capacity up to which first events are on time.
    pub fill_ratio: f64,
    /// Whether the model is asked for by more urgent requests.
    pub has_more_urgent: bool,
    /// How urgent it is among the requests of the model, from 0 for the most urgent to 1.
    pub urgency_rank: f64,
    /// Running requests of the customer, relative to its share.
    pub customer_use: f64,
    /// How often requests like it are served.
    pub served: ServedRatios,
    /// What is known of earlier attempts of the caller.
    pub standing: Standing,
    /// Size relative to the mean of the kind.
    pub size: f64,
    /// Time until its first event is expected.
    pub expected_first_event: Duration,
    /// Time from the first to the last event that is expected.
    pub expected_stream: Duration,
    /// Target latency of the route, less the time since the request was received.
    pub target_latency: Duration,
    /// Time left until the deadline.
    pub time_left: Duration,
}

/// Why a request may not use the whole capacity, or is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionReason {
    /// All replicas have as many requests as they can start in time.
    AllBusy,
    /// The rest of the capacity is left to more urgent requests.
    LessUrgent,
    /// The rest of the capacity is left to customers with less than their share.
    OverShare,
    /// The rest of the capacity is left to requests whose responses can be on time.
    Late,
    /// The rest of the capacity is left to smaller requests.
    Large,
    /// The first event is expected after the deadline.
    Overdue,
}

impl AdmissionReason {
    /// Returns the name of the reason as it appears in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::AllBusy => "all_busy",
            Self::LessUrgent => "less_urgent",
            Self::OverShare => "over_share",
            Self::Late => "late",
            Self::Large => "large",
            Self::Overdue => "overdue",
        }
    }
}

/// Decision on one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// The request may be sent to a replica with capacity.
    Admit {
        /// Fraction of each replica's capacity that it may use.
        capacity_ratio: f64,
        /// Reserve that takes most of the rest, or `AllBusy` if none applies.
        limited_by: AdmissionReason,
    },
    /// The request is refused.
    Refuse {
        /// Why it is refused.
        reason: AdmissionReason,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// Decides on a request that has not been sent to a replica.
pub fn decide(input: &AdmissionInput) -> Admission {
    if is_mostly_free(&input.occupancy) {
        return Admission::Admit { capacity_ratio: 1.0, limited_by: AdmissionReason::AllBusy };
    }
    if input.expected_first_event >= input.time_left {
        let reason = AdmissionReason::Overdue;
        return Admission::Refuse { reason, retry_after: retry_after(input) };
    }
    let reserves = reserves(input);
    let largest = reserves.iter().max_by(|(_, a), (_, b)| a.total_cmp(b));
    let limited_by = largest.filter(|(_, size)| *size > 0.0);
    let reserved: f64 = reserves.iter().map(|(_, size)| size).sum();
    Admission::Admit {
        capacity_ratio: (input.fill_ratio - reserved).clamp(MIN_CAPACITY_RATIO, 1.0),
        limited_by: limited_by.map_or(AdmissionReason::AllBusy, |(reason, _)| *reason),
    }
}

/// Returns whether so many slots are free that refusing a request is a fault.
fn is_mostly_free(occupancy: &Occupancy) -> bool {
    f64::from(occupancy.running) < f64::from(occupancy.slots) * FREE_OCCUPANCY
}

/// Returns the parts of the capacity that the request leaves to others.
fn reserves(input: &AdmissionInput) -> [(AdmissionReason, f64); 4] {
    let shortage = (input.shortage / WHOLE_RESERVE_SHORTAGE).clamp(0.0, 1.0);
    let is_late = input.expected_first_event > input.target_latency;
    let late = match input.standing {
        Standing::New if is_late => LATE_RESERVE,
        Standing::New => 0.0,
        // Before all others whose response can only be late.
        Standing::Returned => LATE_RESERVE * 0.9,
        Standing::Repeated => LATE_RESERVE + EARLY_RESERVE / 2.0,
        Standing::Early => LATE_RESERVE + EARLY_RESERVE,
    };
    let if_true = |condition, size| if condition { size } else { 0.0 };
    let urgency = if_true(input.has_more_urgent, URGENCY_RESERVE);
    let customer = if_true(input.customer_use > 1.0, CUSTOMER_RESERVE);
    let size = if_true(input.size > LARGE_SIZE, SIZE_RESERVE);
    let served = input.served;
    [
        (AdmissionReason::LessUrgent, urgency * exempt(served.kind, STARVING_RATIO) * shortage),
        (AdmissionReason::OverShare, customer * exempt(served.customer, STARVING_RATIO) * shortage),
        (AdmissionReason::Late, late * shortage),
        (AdmissionReason::Large, size * exempt(served.size, STARVING_SIZE_RATIO) * shortage),
    ]
}

/// Returns the part of a reserve that applies to requests that are served this often, relative to all.
fn exempt(served: f64, starving: f64) -> f64 {
    ((served - starving) / STARVING_RANGE).clamp(0.0, 1.0)
}

/// Returns the delay after which a refused caller should retry: the longer, the greater the shortage and the less
/// urgent the request. A response after a refusal is late in any case, so that a longer delay costs nothing as
/// long as the response can end before the deadline.
pub fn retry_after(input: &AdmissionInput) -> Duration {
    let shortage = (input.shortage / LONG_SHORTAGE).clamp(0.0, 1.0);
    let spread = rand::random_range(0.0..RETRY_AFTER_SPREAD);
    let place = (1.0 - RETRY_AFTER_SPREAD) * shortage.max(input.urgency_rank) + spread;
    let range = MAX_RETRY_AFTER_RATIO - MIN_RETRY_AFTER_RATIO;
    let response = input.expected_first_event + input.expected_stream;
    let latest = input.time_left.saturating_sub(response);
    let earliest = input.time_left.mul_f64(MIN_RETRY_AFTER_RATIO);
    input.time_left.mul_f64(MIN_RETRY_AFTER_RATIO + range * place).min(latest).max(earliest)
}

/// Returns the times that are expected to the first event of a response, and from there to the last one, at the
/// replica that would begin soonest. Ahead of a request are the prompts of this node that have no first event yet, at
/// the prefill rate, and the requests for which no slot is free. Prompts of one model count as equally long.
pub fn expected_times(
    engine: &Engine,
    model: &Model,
    prompt_tokens: u32,
    response_tokens: u32,
    candidates: &[Candidate],
) -> (Duration, Duration) {
    let times = candidates.iter().filter(|c| !c.state.is_down).map(|candidate| {
        let (slots, running) = (candidate.replica.slots, candidate.state.requests() + 1);
        let pass = engine.pass_time(model, running.min(slots));
        let stream = pass * (response_tokens / engine.steps_per_pass.max(1));
        let queued = stream / slots.max(1) * running.saturating_sub(slots);
        let prompts = f64::from(candidate.state.unanswered + 1) * f64::from(prompt_tokens);
        (prefill_time(engine, model, prompts) + pass + queued, stream)
    });
    times.min().unwrap_or_default()
}

fn prefill_time(engine: &Engine, model: &Model, prompt_tokens: f64) -> Duration {
    let rate = engine.prefill_tokens_per_second;
    let seconds = if rate > 0.0 { prompt_tokens / rate * model.pace.max(0.01) } else { 0.0 };
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PREFILL).min(MAX_PREFILL)
}
