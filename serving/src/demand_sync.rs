//! Counts the demand of this node's callers for the models of measured services, and tells other nodes of
//! it once a second.
//!
//! In a fleet of up to 64 nodes all are told, so that any of them knows the demand when it takes over the
//! lease on the groups. In a larger one only the holder is told, to keep the number of messages down.

use crate::key_hash::key_hash;
use crate::model_demand::DemandEvent;
use crate::model_demand::DemandNews;
use crate::model_demand::ModelHash;
use crate::model_demand::WorkGuard;
use crate::model_demand::model_hash;
use crate::replica_set::Replica;
use crate::request_task::RequestTask;
use crate::serving_cx::ServingCx;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the demand is told.
pub const NEWS_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of known nodes up to which all of them are told.
const MAX_TOLD: usize = 64;

/// Counts the arrival of a caller's request. Requests that another node passed on are counted there, and
/// resumed streams when they began.
pub fn count_arrival(cx: &ServingCx, task: &RequestTask) {
    let event = DemandEvent::Arrived { is_repeat: task.is_likely_retry };
    count(cx, task, event);
}

/// Counts the refusal of a caller's request.
pub fn count_refusal(cx: &ServingCx, task: &RequestTask) {
    count(cx, task, DemandEvent::Refused);
}

fn count(cx: &ServingCx, task: &RequestTask, event: DemandEvent) {
    if task.ticket.is_some() || task.head.last_event_id.is_some() {
        return;
    }
    if let Some((model, kind)) = model_and_kind(cx, task) {
        cx.demand.counter().count(model, kind, event, Instant::now());
    }
}

/// Returns the guard that measures an attempt at a replica; `None` for services that are not measured.
pub fn begin_work(cx: &ServingCx, task: &RequestTask, replica: &Replica) -> Option<WorkGuard> {
    if replica.is_node {
        return None;
    }
    let (model, kind) = model_and_kind(cx, task)?;
    Some(WorkGuard::new(cx.demand.clone(), model, kind))
}

fn model_and_kind(cx: &ServingCx, task: &RequestTask) -> Option<(ModelHash, u64)> {
    let model = task.head.model.as_deref()?;
    if !cx.settings.uses_demand_allocation || !cx.is_measured(&task.service) {
        return None;
    }
    let table = cx.config.get()?;
    table.config.engine(&task.service)?.model(model)?;
    // 0 stands for several kinds.
    Some((model_hash(&task.service, model), key_hash(task.route.as_bytes()).max(1)))
}

/// Returns whether any service is scheduled by measurements.
fn is_any_measured(cx: &ServingCx) -> bool {
    let ratio = cx.settings.measured_from_size_ratio;
    let Some(ratio) = ratio.filter(|_| cx.settings.uses_demand_allocation) else { return false };
    let table = cx.config.get();
    table.is_some_and(|table| {
        table.config.services.keys().any(|name| table.config.is_measured(name, Some(ratio)))
    })
}

/// Returns the next message with its receivers, and updates the demand of the fleet; `None` if no service is
/// measured.
pub fn next_news(cx: &ServingCx) -> Option<(DemandNews, Vec<IpAddr>)> {
    if !is_any_measured(cx) {
        return None;
    }
    let now = Instant::now();
    let news = cx.demand.counter().next_news(cx.node(), cx.incarnation, now);
    let nodes = cx.sharing_nodes();
    let mut fleet = cx.demand.fleet();
    fleet.record(news.clone(), now);
    fleet.update(nodes, now);
    drop(fleet);
    Some((news, receivers(cx, now)))
}

fn receivers(cx: &ServingCx, now: Instant) -> Vec<IpAddr> {
    if cx.nodes.count_known() <= MAX_TOLD {
        return cx.nodes.addresses();
    }
    let period = cx.heartbeat_period();
    let Some(renewal) = cx.nodes.lease_holder(now, period * 6) else { return vec![] };
    let live = cx.nodes.serving(now, period).into_iter();
    live.filter(|live| live.node == renewal.holder).map(|live| live.address).collect()
}

/// Applies the message of another node.
pub fn apply(cx: &ServingCx, news: DemandNews) {
    if news.node != cx.node() {
        cx.demand.fleet().record(news, Instant::now());
    }
}
