//! Tells other nodes of the rates that instances name.
//!
//! Only the elected senders of an instance get its answers, so the others learn from them that a limit
//! changes or ends. Each node tells a few random nodes what it knows; nothing is sent while no instance
//! names a limit.

use crate::instance::InstanceId;
use crate::rate_limits;
use crate::rate_limits::RateChange;
use crate::rate_limits::RateNews;
use crate::rate_limits::RunHash;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use rand::seq::IteratorRandom;
use std::collections::HashSet;
use std::net::IpAddr;
use tokio::time::Instant;

/// Number of nodes that are told each time.
const RECEIVERS: usize = 3;
/// Maximum number of statements in a message: the latest ones, and a sample of the others.
const MAX_LATEST: usize = 48;
const MAX_SAMPLED: usize = 16;

/// Updates the nodes that share the rates, and drops the limits of instances that are gone.
pub fn update(cx: &ServingCx) {
    let now = Instant::now();
    // Without the list of the nodes, this node can't know its part, and sends nothing to limited instances.
    let nodes = match cx.nodes.is_registry_known() {
        true => cx.nodes.sharers(now, cx.heartbeat_period()),
        false => vec![],
    };
    cx.rate_limits.set_nodes(cx.node(), nodes, now);
    if !cx.rate_limits.is_empty() {
        let known: HashSet<RunHash> = cx
            .fleet
            .instances()
            .values()
            .map(|instance| rate_limits::run_hash(&instance.id, instance.engine.born_ms))
            .collect();
        cx.rate_limits.retain(|run| known.contains(&run), now);
    }
}

/// Returns the statements to send and the nodes to send them to; `None` if there are none.
pub fn next_news(cx: &ServingCx) -> Option<(Vec<RateNews>, Vec<IpAddr>)> {
    let mut news = cx.rate_limits.news(Instant::now());
    if news.is_empty() {
        return None;
    }
    let mut rng = rand::rng();
    let others = news.split_off(news.len().min(MAX_LATEST));
    news.extend(others.into_iter().sample(&mut rng, MAX_SAMPLED));
    let receivers = cx.nodes.addresses().into_iter().sample(&mut rng, RECEIVERS);
    Some((news, receivers))
}

/// Applies the statements of another node.
pub fn apply(cx: &ServingCx, news: &[RateNews], from: &str) {
    for (run, change) in cx.rate_limits.merge(news, Instant::now()) {
        log_change(cx, run, change, from);
    }
}

/// Logs a change of the rate of an instance, learned from `source`.
pub fn log_change(cx: &ServingCx, run: RunHash, change: RateChange, source: &str) {
    let instance = instance_of(cx, run);
    let source = source.to_string();
    cx.metrics.rate_limit(if source == "answer" { "own" } else { "learned" });
    cx.log.record(match change {
        RateChange::Named { per_second, own_per_second, senders } => Event::RateLimitNamed {
            instance,
            per_second: format!("{per_second:.3}"),
            own_part: format!("{own_per_second:.3}"),
            senders: senders as u64,
            source,
        },
        RateChange::Ended { lasted } => Event::RateLimitEnded { instance, lasted, source },
    });
}

/// Returns the id of the instance with this run, for the log.
pub fn instance_of(cx: &ServingCx, run: RunHash) -> InstanceId {
    let instances = cx.fleet.instances().into_values();
    let mut with_run = instances.filter(|i| rate_limits::run_hash(&i.id, i.engine.born_ms) == run);
    with_run.next().map_or_else(|| format!("run {run:016x}"), |instance| instance.id)
}
