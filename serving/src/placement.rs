//! Load balancing: choice of the replica for a request, and load shedding if none has capacity.
//!
//! Load patterns handled here:
//! - Replicas fail one after the other while the load stays the same. The remaining ones must take over
//!   without any of them being overloaded, so each request is sent to the replica that is expected to
//!   make progress first, based on the requests of all nodes at each replica.
//! - For seconds, more requests arrive than all replicas can start in time. A queue would not increase
//!   the throughput, it would only delay every request by the same wait. So a group receives about as
//!   many requests as it runs concurrently, and the others are refused immediately.
//! - Many nodes choose by loads that are some tenths of a second old. If each chose the best of all
//!   replicas, all would choose the same one. So in a large fleet each node compares a small random
//!   sample.
//! - Refused callers retry while the load stays high. Their responses can no longer be on time, so the
//!   last free slots are reserved for requests whose responses still can.

use crate::fleet_config::Engine;
use crate::load_table::ReplicaState;
use crate::rate_limits::RateAllowance;
use crate::replica_set::Replica;
use std::sync::Arc;
use std::time::Duration;

/// Requests that may be queued at a group, as a fraction of its slots. They compensate for the delay with
/// which nodes learn of each other's requests.
const GROUP_QUEUE_RATIO: f64 = 0.04;
/// Slots that are left free for requests that the estimate misses, in standard deviations of the estimate.
/// With none, groups at 300 nodes hold over 4 % more requests than slots for a third of the time; with one
/// deviation, up to 8 in 100 requests are refused while slots are free.
const CAPACITY_MARGIN: f64 = 0.5;
/// Fraction of the slots in use up to which no request is refused by the expected requests of other nodes.
/// Refusing a request while under half of the slots are in use is a fault.
const CERTAIN_LOAD_RATIO: f64 = 0.6;
/// Number of bisections by which the common level of the replicas is found.
const LEVEL_STEPS: usize = 20;
/// Candidates that a node compares, as a multiple of the number of candidates per node of the fleet.
const COMPARED_RATIO: f64 = 4.0;
/// Minimum number of candidates that a node compares.
const MIN_COMPARED: usize = 2;
/// Fraction of the capacity that is available to requests whose responses can no longer be on time.
const LATE_CAPACITY_RATIO: f64 = 0.85;
/// Requests that may be queued at a plain instance, as a fraction of its slots.
const PLAIN_QUEUE_RATIO: f64 = 1.5;
/// Factor on the cost of a replica in another data centre.
const REMOTE_DATA_CENTRE_PENALTY: f64 = 1.15;
/// Slowness from which a replica is used only if no healthy one has capacity.
const SLOW_THRESHOLD: f64 = 3.0;
/// Failure rate from which a replica is used only if no healthy one has capacity.
const FAILING_THRESHOLD: f64 = 0.5;
/// Delay after which a refused caller should retry, as a fraction of the time left until its deadline.
/// Callers honour up to a third. A response after a refusal is late in any case, and the later the
/// retry, the more likely it is that a group has been repaired or a burst has ended.
const RETRY_AFTER_RATIO: f64 = 0.32;
/// Random fraction of the retry delay, so that callers that were refused together do not retry at the
/// same time.
const RETRY_AFTER_JITTER: f64 = 0.25;

/// A replica with its state.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Replica that the request may be sent to.
    pub replica: Arc<Replica>,
    /// Its load and health.
    pub state: ReplicaState,
    /// Whether the rate that its instance names, and the rest that it asks for, allow another request of this node.
    pub rate: RateAllowance,
}

/// Input of the choice besides the candidates.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// Data centre of this node.
    pub data_centre: &'a str,
    /// Model engine of the service; `None` for a plain service.
    pub engine: Option<&'a Engine>,
    /// Whether the response can still be on time.
    pub timeliness: Timeliness,
    /// Number of nodes that send requests to the same replicas.
    pub nodes: usize,
    /// Fraction of each replica's capacity that the request may use. `None` if its timeliness alone decides.
    pub capacity_ratio: Option<f64>,
}

/// Whether the response to a request can still be on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeliness {
    /// The response can be on time.
    OnTime,
    /// The response will be late: the caller was refused before, or an attempt failed.
    Late,
    /// Part of the response has been sent to the caller, so the request must not be refused.
    Begun,
}

/// Why no replica can accept a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCapacity {
    /// No replica is available.
    NoReplica,
    /// Every replica has as many requests as it can start in time, or its rate is used up.
    AllBusy,
    /// This node reaches no instance, and no other node that does.
    Unreachable,
    /// The rate of every replica is used up.
    RateLimited {
        /// Time after which this node may send the next request to one of them; `None` if other nodes send
        /// to all of them.
        next: Option<Duration>,
    },
}

impl NoCapacity {
    /// Returns the name of the reason as it appears in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::AllBusy => "all_busy",
            Self::RateLimited { .. } => "rate_limited",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Returns the delay after which a refused caller with `time_left` until its deadline should retry.
pub fn retry_after(time_left: Duration) -> Duration {
    time_left.mul_f64(RETRY_AFTER_RATIO * (1.0 - rand::random_range(0.0..RETRY_AFTER_JITTER)))
}

/// Returns the delay for a caller that was refused for this reason. Where only rates are used up, the next
/// request can be sent at a known time; callers are spread over as long again.
pub fn retry_after_refusal(no_capacity: NoCapacity, time_left: Duration) -> Duration {
    let latest = retry_after(time_left);
    match no_capacity {
        NoCapacity::RateLimited { next: Some(next) } => {
            latest.min(next.mul_f64(rand::random_range(1.0..2.0)))
        }
        NoCapacity::RateLimited { next: None }
        | NoCapacity::AllBusy
        | NoCapacity::NoReplica
        | NoCapacity::Unreachable => latest,
    }
}

/// Total slots and requests of the candidates, for the log entry of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Occupancy {
    /// Running and queued requests.
    pub running: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Replicas that accept requests.
    pub replicas: u32,
}

/// Sums the slots and requests of the candidates that are not marked as down.
pub fn occupancy(candidates: &[Candidate]) -> Occupancy {
    let mut sum = Occupancy::default();
    for candidate in candidates.iter().filter(|c| !c.state.is_down) {
        sum.running += candidate.state.requests();
        sum.slots += candidate.replica.slots;
        sum.replicas += 1;
    }
    sum
}

/// Chooses the replica with the lowest expected cost, preferring healthy ones.
pub fn choose(
    candidates: &[Candidate],
    input: &PlacementInput<'_>,
) -> Result<Arc<Replica>, NoCapacity> {
    let usable: Vec<&Candidate> = candidates.iter().filter(|c| !c.state.is_down).collect();
    let is_healthy = |c: &&Candidate| {
        !c.state.is_ejected
            && c.state.slowness < SLOW_THRESHOLD
            && c.state.failure_rate < FAILING_THRESHOLD
    };
    let healthy: Vec<&Candidate> = usable.iter().copied().filter(is_healthy).collect();
    if usable.is_empty() {
        return Err(NoCapacity::NoReplica);
    }
    let best = best_with_capacity(&healthy, input).or_else(|| best_with_capacity(&usable, input));
    best.map(|candidate| candidate.replica.clone()).ok_or_else(|| no_capacity(&usable))
}

/// Returns why none of the replicas can accept a request.
fn no_capacity(usable: &[&Candidate]) -> NoCapacity {
    let mut next: Option<Duration> = None;
    for candidate in usable {
        match candidate.rate {
            RateAllowance::Available => return NoCapacity::AllBusy,
            RateAllowance::After(wait) | RateAllowance::Resting(wait) => {
                next = Some(next.map_or(wait, |next| next.min(wait)));
            }
            RateAllowance::NotElected => {}
        }
    }
    NoCapacity::RateLimited { next }
}

fn best_with_capacity<'a>(
    candidates: &[&'a Candidate],
    input: &PlacementInput<'_>,
) -> Option<&'a Candidate> {
    let capacity_ratio = input.capacity_ratio.unwrap_or(match input.timeliness {
        Timeliness::OnTime | Timeliness::Begun => 1.0,
        Timeliness::Late => LATE_CAPACITY_RATIO,
    });
    let has_capacity = |c: &&&Candidate| match input.timeliness {
        _ if c.rate != RateAllowance::Available => false,
        Timeliness::Begun => true,
        Timeliness::OnTime | Timeliness::Late => {
            f64::from(c.state.requests()) < f64::from(max_requests(c)) * capacity_ratio
        }
    };
    if candidates.iter().any(|c| c.state.estimate.is_some()) {
        return best_by_estimate(candidates, input, capacity_ratio);
    }
    let mut available: Vec<&&Candidate> = candidates.iter().filter(has_capacity).collect();
    let sample_size = available.len() as f64 * COMPARED_RATIO / input.nodes.max(1) as f64;
    let compared = (sample_size.ceil() as usize).max(MIN_COMPARED);
    while available.len() > compared {
        available.swap_remove(rand::random_range(0..available.len()));
    }
    let cost = |c: &Candidate| expected_cost(c, input) * rand::random_range(0.97..1.03);
    let costs = available.into_iter().map(|c| (cost(c), *c));
    costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, candidate)| candidate)
}

/// A replica in the choice by estimates. The unit of the level is requests per slot, weighted by cost.
struct ReplicaRoom<'a> {
    candidate: &'a Candidate,
    /// Level of one request.
    scale: f64,
    /// Requests that are expected to be left of those that are known.
    base: f64,
    /// Maximum number of requests.
    max: f64,
}

impl ReplicaRoom<'_> {
    /// Returns the number of further requests up to a level.
    fn room(&self, level: f64) -> f64 {
        ((level / self.scale).min(self.max) - self.base).max(0.0)
    }
}

/// Chooses a replica by estimated loads.
///
/// The other nodes choose by reports of about the same age. Their requests within that age are expected to
/// fill the replicas to a common level. Each node sends to a replica with a probability in proportion to
/// its room below that level, so that all of them together fill it, and none is overrun. If the expected
/// requests exceed the room of all replicas, the request is refused with the corresponding probability.
fn best_by_estimate<'a>(
    candidates: &[&'a Candidate],
    input: &PlacementInput<'_>,
    capacity_ratio: f64,
) -> Option<&'a Candidate> {
    let is_begun = input.timeliness == Timeliness::Begun;
    let mut expected = 1.0;
    let (mut load, mut slots) = (0.0, 0.0);
    let mut replicas = Vec::with_capacity(candidates.len());
    for candidate in candidates.iter().filter(|c| c.rate == RateAllowance::Available) {
        let replica_slots = f64::from(candidate.replica.slots.max(1));
        let Some(estimate) = candidate.state.estimate else { continue };
        expected += estimate.arrivals;
        load += estimate.load;
        slots += replica_slots;
        let max = match is_begun {
            true => f64::INFINITY,
            false => (replica_slots - CAPACITY_MARGIN * estimate.error) * capacity_ratio,
        };
        let scale = cost_factor(candidate, input) / replica_slots;
        replicas.push(ReplicaRoom {
            candidate,
            scale,
            base: estimate.load - estimate.turnover,
            max,
        });
    }
    let room: f64 = replicas.iter().map(|replica| replica.room(f64::INFINITY)).sum();
    let is_scarce = load > slots * capacity_ratio * CERTAIN_LOAD_RATIO;
    if room <= 0.0 || (is_scarce && room < expected * rand::random_range(0.0..1.0)) {
        return None;
    }
    let level = common_level(&replicas, expected.min(room));
    let total: f64 = replicas.iter().map(|replica| replica.room(level)).sum();
    let mut left = total * rand::random_range(0.0..1.0);
    let with_room = replicas.iter().filter(|replica| replica.room(level) > 0.0);
    let mut last = None;
    for replica in with_room {
        last = Some(replica.candidate);
        left -= replica.room(level);
        if left < 0.0 {
            break;
        }
    }
    last
}

/// Returns the level to which a number of requests fills the replicas.
fn common_level(replicas: &[ReplicaRoom<'_>], requests: f64) -> f64 {
    let level_of = |replica: &ReplicaRoom<'_>| (replica.base.max(0.0) + requests) * replica.scale;
    let (mut low, mut high) = (0.0, replicas.iter().map(level_of).fold(0.0, f64::max));
    for _ in 0..LEVEL_STEPS {
        let middle = 0.5 * (low + high);
        let room: f64 = replicas.iter().map(|replica| replica.room(middle)).sum();
        match room < requests {
            true => low = middle,
            false => high = middle,
        }
    }
    high
}

/// Returns the maximum number of requests at a replica, including queued ones.
fn max_requests(candidate: &Candidate) -> u32 {
    let slots = f64::from(candidate.replica.slots);
    let queue_ratio = match candidate.replica.model {
        Some(_) => GROUP_QUEUE_RATIO,
        None => PLAIN_QUEUE_RATIO,
    };
    (slots * (1.0 + queue_ratio)).ceil() as u32
}

/// Returns a relative measure of how slowly a replica would make progress with one more request.
fn expected_cost(candidate: &Candidate, input: &PlacementInput<'_>) -> f64 {
    let replica = &candidate.replica;
    let running = candidate.state.requests() + 1;
    let pass =
        input.engine.and_then(|engine| engine.pass_time_of(replica.model.as_deref(), running));
    let load = f64::from(running) / f64::from(replica.slots);
    let time = match pass {
        Some(pass) => pass.as_secs_f64() * (1.0 + load),
        None => load,
    };
    time * cost_factor(candidate, input)
}

/// Returns the factor on the cost of a replica for its distance, slowness and failures.
fn cost_factor(candidate: &Candidate, input: &PlacementInput<'_>) -> f64 {
    let is_local = candidate.replica.data_centre == input.data_centre;
    let distance = if is_local { 1.0 } else { REMOTE_DATA_CENTRE_PENALTY };
    distance * candidate.state.slowness.max(1.0) * (1.0 + candidate.state.failure_rate)
}
