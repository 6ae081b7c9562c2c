//! Choice of the replica for a request, and the decision to refuse it.
//!
//! Load patterns answered here:
//! - Replicas are lost one after the other while the load stays: the rest must take over without
//!   one of them being overrun, so each request goes where the next event is expected first, by the
//!   requests of all nodes there.
//! - More requests come than all replicas can begin in time, for seconds. A queue would not raise the
//!   rate at which requests end, it would only make every one of them late by the same wait. So a
//!   group gets as many requests as it runs at once, and the others are refused at once.
//! - Many nodes place requests by loads that are some tenths of a second old. If all chose the best
//!   replica of all, they would choose the same one; so in a large fleet each compares a few that it
//!   draws at random.
//! - Refused callers come back while the load stays. Their answers can no longer be on time, so they
//!   leave the last places to requests whose answers can.

use crate::fleet_config::Engine;
use crate::load_table::ReplicaState;
use crate::replica_set::Replica;
use std::sync::Arc;
use std::time::Duration;

/// Requests that may wait at a group, as a part of its slots: they cover the lag with which the nodes
/// learn of each other's requests.
const GROUP_QUEUE_PART: f64 = 0.04;
/// Candidates that a node compares, as a multiple of all candidates for each node of the fleet.
const COMPARED_FACTOR: f64 = 4.0;
/// Candidates that a node compares at least.
const MIN_COMPARED: usize = 2;
/// Part of the places that requests may fill whose answers can no longer be on time.
const LATE_PART: f64 = 0.85;
/// Requests that may wait at a plain instance, as a part of its slots.
const PLAIN_QUEUE_PART: f64 = 1.5;
/// Factor by which a replica in another data centre must be better.
const FAR_FACTOR: f64 = 1.15;
/// Slowness from which on a replica is used only when no other has room.
const SLOW: f64 = 3.0;
/// Failure rate from which on a replica is used only when no other has room.
const FAILING: f64 = 0.5;
/// Part of the time that is left after which a refused caller comes back. Callers honour up to a third,
/// and an answer that begins after a refusal is late in any case; the later they come, the more likely a
/// group was repaired or a burst has passed.
const RETRY_PART: f64 = 0.32;
/// Part of the time after which a caller comes back that is drawn at random, so that callers who
/// were refused together do not return together.
const RETRY_SPREAD: f64 = 0.25;

/// A replica with its state.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The replica.
    pub replica: Arc<Replica>,
    /// Its state.
    pub state: ReplicaState,
}

/// What a placement depends on besides the candidates.
#[derive(Debug, Clone, Copy)]
pub struct PlacementInput<'a> {
    /// Data centre of this node.
    pub data_centre: &'a str,
    /// Engine of the service; `None` for a plain service.
    pub engine: Option<&'a Engine>,
    /// What the answer can still be.
    pub prospect: Prospect,
    /// Nodes that place requests.
    pub nodes: usize,
}

/// What the answer to a request can still be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prospect {
    /// On time.
    OnTime,
    /// Late: the caller was refused before, or an attempt failed.
    Late,
    /// The caller holds its beginning, so the request must not be refused.
    Begun,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// No replica takes requests.
    NoReplica,
    /// Every replica has as many requests as it can begin in time.
    AllBusy,
}

impl Shortage {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::AllBusy => "all_busy",
        }
    }
}

/// Returns when a refused caller should come back that has so much time left.
pub fn retry_after(time_left: Duration) -> Duration {
    time_left.mul_f64(RETRY_PART * (1.0 - rand::random_range(0.0..RETRY_SPREAD)))
}

/// Places and requests of the candidates together, for the log of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Occupancy {
    /// Requests.
    pub running: u32,
    /// Requests that can run at once.
    pub places: u32,
    /// Replicas that take requests.
    pub replicas: u32,
}

/// Sums the places and requests of the candidates.
pub fn occupancy(candidates: &[Candidate]) -> Occupancy {
    let mut sum = Occupancy::default();
    for candidate in candidates.iter().filter(|c| !c.state.is_down) {
        sum.running += candidate.state.requests();
        sum.places += candidate.replica.slots;
        sum.replicas += 1;
    }
    sum
}

/// Chooses the replica that is expected to answer first.
pub fn choose(
    candidates: &[Candidate],
    input: &PlacementInput<'_>,
) -> Result<Arc<Replica>, Shortage> {
    let usable: Vec<&Candidate> = candidates.iter().filter(|c| !c.state.is_down).collect();
    let is_sound = |c: &&Candidate| {
        !c.state.is_ejected && c.state.slowness < SLOW && c.state.failure_rate < FAILING
    };
    let sound: Vec<&Candidate> = usable.iter().copied().filter(is_sound).collect();
    if usable.is_empty() {
        return Err(Shortage::NoReplica);
    }
    let best = best_with_room(&sound, input).or_else(|| best_with_room(&usable, input));
    best.map(|candidate| candidate.replica.clone()).ok_or(Shortage::AllBusy)
}

fn best_with_room<'a>(
    candidates: &[&'a Candidate],
    input: &PlacementInput<'_>,
) -> Option<&'a Candidate> {
    let has_room = |c: &&&Candidate| match input.prospect {
        Prospect::Begun => true,
        Prospect::OnTime => c.state.requests() < limit(c),
        Prospect::Late => f64::from(c.state.requests()) < f64::from(limit(c)) * LATE_PART,
    };
    let mut with_room: Vec<&&Candidate> = candidates.iter().filter(has_room).collect();
    let share = with_room.len() as f64 * COMPARED_FACTOR / input.nodes.max(1) as f64;
    let compared = (share.ceil() as usize).max(MIN_COMPARED);
    while with_room.len() > compared {
        with_room.swap_remove(rand::random_range(0..with_room.len()));
    }
    let cost = |c: &Candidate| expected_cost(c, input) * rand::random_range(0.97..1.03);
    let costs = with_room.into_iter().map(|c| (cost(c), *c));
    costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, candidate)| candidate)
}

/// Returns the requests that a replica may have, those that wait included.
fn limit(candidate: &Candidate) -> u32 {
    let slots = f64::from(candidate.replica.slots);
    let part = match candidate.replica.model {
        Some(_) => GROUP_QUEUE_PART,
        None => PLAIN_QUEUE_PART,
    };
    (slots * (1.0 + part)).ceil() as u32
}

/// Returns a measure of the time in which a replica makes progress with one request more.
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
    let distance = if replica.data_centre == input.data_centre { 1.0 } else { FAR_FACTOR };
    time * distance * candidate.state.slowness.max(1.0) * (1.0 + candidate.state.failure_rate)
}
