//! The candidates for a request: the replicas of its service and model, with their load and health.

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
) -> Result<Arc<Replica>, (NoCapacity, Occupancy)> {
    if cx.reach.is_cut() {
        let node = node_relay::choose(cx, &task.service, tried, |_| true);
        let node = node.filter(|_| task.ticket.is_none());
        return node.ok_or((NoCapacity::Unreachable, Occupancy::default()));
    }
    let now = Instant::now();
    let candidates = candidates(cx, task, tried, timeliness, now);
    let table = cx.config.get();
    let input = PlacementInput {
        data_centre: &cx.settings.data_centre,
        engine: table.as_ref().and_then(|table| table.config.engine(&task.service)),
        timeliness,
        nodes: cx.sharing_nodes(),
        capacity_ratio: None,
    };
    let chosen = placement::choose(&candidates, &input);
    if let Some(Candidate { replica, state, .. }) = candidates.first()
        && let Some(model) = replica.model.as_ref().filter(|_| state.estimate.is_some())
    {
        cx.loads.record_choice(model, chosen.is_ok(), now);
    }
    chosen.or_else(|no_capacity| {
        let node = rate_relay::choose(cx, task, &candidates, no_capacity, tried);
        node.ok_or_else(|| (no_capacity, placement::occupancy(&candidates)))
    })
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
    let is_measured = cx.is_measured(&task.service);
    let is_untried = |replica: &&Arc<Replica>| !tried.contains(&replica.key);
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
    let of_service = replicas.of_service(&task.service).iter();
    of_service.filter(serves).filter(is_untried).map(candidate).collect()
}
