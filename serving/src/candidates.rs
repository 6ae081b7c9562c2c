//! The candidates for a request: the replicas of its service and model, with their load and health.

use crate::admission_sync;
use crate::attempt::Withheld;
use crate::cold_instances;
use crate::cold_instances::ColdPolicy;
use crate::cold_sync;
use crate::node_relay;
use crate::placement;
use crate::placement::Candidate;
use crate::placement::NoCapacity;
use crate::placement::Occupancy;
use crate::placement::PlacementInput;
use crate::placement::Timeliness;
use crate::rate_limits::RateAllowance;
use crate::rate_relay;
use crate::replica_set::Replica;
use crate::replica_set::ReplicaKey;
use crate::request_task::RequestTask;
use crate::serving_cx::ServingCx;
use std::sync::Arc;
use tokio::time::Instant;

/// Chooses a replica for a request among those that were not tried yet, or returns why there is none.
pub fn choose(
    cx: &ServingCx,
    task: &RequestTask,
    tried: &[ReplicaKey],
    timeliness: Timeliness,
) -> Result<Arc<Replica>, Withheld> {
    if cx.evacuations.is_outdated(Instant::now()) {
        return Err(Withheld::NoReplica(NoCapacity::NoReplica, Occupancy::default()));
    }
    if cx.reach.is_cut() {
        let node = node_relay::choose(cx, &task.service, tried, |_| true);
        let node = node.filter(|_| task.ticket.is_none());
        return node.ok_or(Withheld::NoReplica(NoCapacity::Unreachable, Occupancy::default()));
    }
    let now = Instant::now();
    let mut candidates = candidates(cx, task, tried, timeliness, now);
    let table = cx.config.get();
    let is_first = tried.is_empty();
    let decision = table.as_ref().and_then(|table| {
        admission_sync::decide(cx, task, table, is_first, timeliness, &candidates, now)
    });
    let capacity_ratio =
        decision.as_ref().map(|decision| decision.capacity_ratio(cx, now)).transpose()?;
    let input = PlacementInput {
        data_centre: &cx.settings.data_centre,
        engine: table.as_ref().and_then(|table| table.config.engine(&task.service)),
        timeliness,
        nodes: cx.sharing_nodes(),
        capacity_ratio,
    };
    let chosen = match cold_sync::policy(cx, &task.service) {
        None => placement::choose(&candidates, &input),
        Some(policy) => choose_beside_cold(cx, &policy, &mut candidates, &input, now),
    };
    if let Some(Candidate { replica, state, .. }) = candidates.first()
        && let Some(model) = replica.model.as_ref().filter(|_| state.estimate.is_some())
    {
        cx.loads.record_choice(model, chosen.is_ok(), now);
    }
    let chosen = chosen.or_else(|no_capacity| {
        let node = rate_relay::choose(cx, task, &candidates, no_capacity, tried);
        let occupancy = || placement::occupancy(&candidates);
        node.ok_or_else(|| Withheld::NoReplica(no_capacity, occupancy()))
    });
    match decision {
        Some(decision) => decision.record(cx, chosen, now),
        None => chosen,
    }
}

/// Chooses a replica of a service whose instances may be cold.
fn choose_beside_cold(
    cx: &ServingCx,
    policy: &ColdPolicy,
    candidates: &mut [Candidate],
    input: &PlacementInput<'_>,
    now: Instant,
) -> Result<Arc<Replica>, NoCapacity> {
    let light_below = cold_instances::light_below(candidates);
    let state = |c: &Candidate| {
        let requests = c.state.requests();
        cx.cold.state(policy, &c.replica, requests, light_below, c.state.is_down, now)
    };
    let states: Vec<_> = candidates.iter().map(state).collect();
    cold_instances::choose(candidates, &states, input)
}

fn candidates(
    cx: &ServingCx,
    task: &RequestTask,
    tried: &[ReplicaKey],
    timeliness: Timeliness,
    now: Instant,
) -> Vec<Candidate> {
    let replicas = cx.fleet.replicas();
    let serves = |replica: &&Arc<Replica>| match (&replica.model, &task.head.model) {
        (Some(model), Some(wanted)) => model == wanted,
        _ => true,
    };
    let is_measured = cx.settings.uses_load_estimate && cx.is_measured(&task.service);
    let is_untried = |replica: &&Arc<Replica>| !tried.contains(&replica.key);
    let evacuated = cx.evacuations.current();
    let is_allowed = |replica: &&Arc<Replica>| !evacuated.contains_key(&replica.data_centre);
    let candidate = |replica: &Arc<Replica>| Candidate {
        replica: replica.clone(),
        state: match is_measured {
            true => cx.loads.measured_state(replica, now),
            false => cx.loads.state(replica, now),
        },
        rate: match cx.deferrals.wait(replica.run, now) {
            Some(wait) => RateAllowance::Resting(wait),
            None => cx.rate_limits.allowance(replica.run, timeliness == Timeliness::Begun, now),
        },
    };
    let of_service = replicas.of_service(&task.service).iter().filter(is_allowed);
    of_service.filter(serves).filter(is_untried).map(candidate).collect()
}
