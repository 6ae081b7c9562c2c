//! Learns which instances are cold, from entries, answers and other nodes, and tells other nodes.
//!
//! Only a few nodes read entries from the store, and the changes that they forward do not say whether an instance
//! is cold. So a node that reads such a statement sends it to all others at once. While any instance is cold, each
//! node also tells a few random nodes what it knows, for those that missed a message or have just started.

use crate::cold_instances::ColdChange;
use crate::cold_instances::ColdNews;
use crate::cold_instances::ColdPolicy;
use crate::cold_instances::Warmth;
use crate::dialect::StoredObject;
use crate::instance::Instance;
use crate::rate_limit_sync;
use crate::rate_limits;
use crate::rate_limits::RunHash;
use crate::replica_set::Replica;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use rand::seq::IteratorRandom;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Number of nodes that are told in each heartbeat period.
const RECEIVERS: usize = 3;
/// Maximum number of statements in a message.
const MAX_NEWS: usize = 512;
/// Time for which statements are gathered before they are sent to all nodes: a data centre that comes back has
/// many cold instances at once.
pub const GATHER_PERIOD: Duration = Duration::from_millis(10);

/// Minimum interval between two updates of the known instances. What a request finds earlier counts as new then.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// Returns how requests to cold instances of a service are bounded; `None` if they are never cold.
pub fn policy(cx: &ServingCx, service: &str) -> Option<ColdPolicy> {
    if !cx.cold.is_active() {
        return None;
    }
    let table = cx.config.get()?;
    let cold_start = table.config.services.get(service)?.cold_start?;
    Some(ColdPolicy::new(cold_start, cx.settings.cold_over, cx.settings.cold_slack))
}

/// Follows the nodes, the instances and the configuration until the task is cancelled.
pub async fn run(cx: ServingCx) {
    let mut changes = cx.fleet.subscribe();
    loop {
        update(&cx);
        sleep(UPDATE_PERIOD).await;
        tokio::select! {
            _ = changes.changed() => {}
            () = sleep(cx.heartbeat_period()) => {}
        }
    }
}

/// Updates the nodes that share the rates, and the known instances and replicas.
pub fn update(cx: &ServingCx) {
    let Some(table) = cx.config.get() else { return };
    let services = &table.config.services;
    cx.cold.set_active(services.values().any(|service| service.cold_start.is_some()));
    if !cx.cold.is_active() || !cx.fleet.is_listed() {
        return;
    }
    let now = Instant::now();
    // Without the list of the nodes, this node can't know its part, and sends nothing to cold instances.
    let nodes = match cx.nodes.is_registry_known() {
        true => cx.nodes.sharers(now, cx.heartbeat_period()),
        false => vec![],
    };
    cx.cold.set_nodes(cx.node(), &nodes, now);
    let is_concerned =
        |service: &str| services.get(service).is_some_and(|s| s.cold_start.is_some());
    let instances = cx.fleet.instances();
    let unix = cx.clock.unix();
    let runs = instances.values().filter(|i| is_concerned(&i.service)).map(|instance| {
        let age = unix.checked_sub(Duration::from_millis(instance.engine.born_ms));
        (run_of(instance), age)
    });
    let replicas = cx.fleet.replicas();
    let replicas = replicas.all().filter(|r| is_concerned(&r.service)).map(|r| r.hash);
    for run in cx.cold.observe(runs, replicas, now) {
        let service = instances.values().find(|i| run_of(i) == run).map(|i| &i.service);
        let cold_start = service.and_then(|name| services.get(name)?.cold_start);
        let left = cold_start.map_or(Duration::ZERO, |cold_start| cold_start.period);
        log_change(cx, ColdChange { run, left }, "new");
    }
}

fn run_of(instance: &Instance) -> RunHash {
    rate_limits::run_hash(&instance.id, instance.engine.born_ms)
}

/// Records what the entry of an instance states. `is_watched` tells whether it was read as a change.
pub fn record_entry(cx: &ServingCx, object: &StoredObject, instance: &Instance, is_watched: bool) {
    // Before the configuration is known, any service may have a cold rate.
    if cx.config.get().is_some() && !cx.cold.is_active() {
        return;
    }
    let Some(left) = cx.dialect.decode_cold_left(object) else { return };
    let run = run_of(instance);
    let change = cx.cold.record_entry(run, left, object.revision, is_watched, Instant::now());
    if let Some(change) = change {
        log_change(cx, change, "entry");
    }
}

/// Records what an answer of an instance to a request that was sent at `sent_at` states.
pub fn record_answer(cx: &ServingCx, run: RunHash, left: Duration, sent_at: Instant) {
    if !cx.cold.is_active() {
        return;
    }
    if let Some(change) = cx.cold.record_answer(run, left, sent_at, Instant::now()) {
        log_change(cx, change, "answer");
    }
}

/// Returns the statements to send; `None` if there are none.
pub fn next_news(cx: &ServingCx) -> Option<Vec<ColdNews>> {
    if !cx.cold.is_active() {
        return None;
    }
    let mut news = cx.cold.news(Instant::now());
    news.truncate(MAX_NEWS);
    (!news.is_empty()).then_some(news)
}

/// Returns a few random nodes to be told.
pub fn receivers(cx: &ServingCx) -> Vec<IpAddr> {
    cx.nodes.addresses().into_iter().sample(&mut rand::rng(), RECEIVERS)
}

/// Applies the statements of another node.
pub fn apply(cx: &ServingCx, news: &[ColdNews], from: &str) {
    if !cx.cold.is_active() {
        return;
    }
    for change in cx.cold.merge(news, Instant::now()) {
        log_change(cx, change, from);
    }
}

/// Withdraws a request from this node's part of what a replica gets; returns false if none is left.
pub fn withdraw(cx: &ServingCx, replica: &Replica, now: Instant) -> bool {
    if replica.is_node {
        return true;
    }
    let Some(policy) = policy(cx, &replica.service) else { return true };
    let Some(warmth) = cx.cold.withdraw(&policy, replica, now) else { return false };
    match warmth {
        Warmth::Cold => cx.metrics.cold_send(&replica.service, "cold"),
        Warmth::Filling => cx.metrics.cold_send(&replica.service, "filling"),
        Warmth::Warm | Warmth::Light => {}
    }
    true
}

/// Returns the nodes that are elected to send to a replica while it is cold.
pub fn senders(cx: &ServingCx, replica: &Replica) -> Vec<String> {
    let Some(policy) = policy(cx, &replica.service) else { return vec![] };
    let nodes = cx.nodes.sharers(Instant::now(), cx.heartbeat_period());
    cx.cold.senders(&policy, replica.run, nodes)
}

fn log_change(cx: &ServingCx, change: ColdChange, source: &str) {
    cx.metrics.cold_instance(match source {
        "entry" | "answer" | "new" => source,
        _ => "learned",
    });
    let instance = rate_limit_sync::instance_of(cx, change.run);
    let source = source.to_string();
    cx.log.record(Event::InstanceCold { instance, left: change.left, source });
}
