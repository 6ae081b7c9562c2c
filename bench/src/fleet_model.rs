//! `fleet` subcommand: many nodes in one process over an in-memory network, in simulated time.
//!
//! The nodes run the daemon's code for fleet membership; only the sockets, the store and the
//! instance list are replaced by in-memory fakes. Counts of bytes and messages are exact. CPU time
//! covers the protocol's own work only and is measured with the thread's CPU clock.

use crate::daemon_process::daemon_program;
use crate::fleet_daemons;
use crate::fleet_daemons::summarize;
use crate::fleet_load::FleetLoad;
use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use guavaladder_lib::config_change;
use guavaladder_lib::generated::config::ConfigChangeRequest;
use guavaladder_lib::member_view::MemberState;
use guavaladder_lib::metric_names;
use guavaladder_testutils::node_fleet::NodeFleet;
use serde_json::Value;
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// Timeout for all nodes to see each other as live.
const JOIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between joining and the first measurement, in which the fleet reaches a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Timeout for a configuration to reach all nodes and for the detection of a dead node.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two polls of the nodes' views, in simulated time.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Command-line options of a run.
struct RunOptions {
    nodes: usize,
    replicas: usize,
    data_centres: usize,
    seconds: u64,
    changes: u64,
    seed: u64,
}

/// Runs the measurement.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "nodes", "number of entry nodes", "N");
    options.optopt("", "replicas", "number of groups of eight instances", "N");
    options.optopt("", "data-centres", "number of data centres, in two regions", "N");
    options.optopt("", "seconds", "duration of the steady-state measurement", "N");
    options.optopt("", "changes", "number of configuration changes", "N");
    options.optopt("", "seed", "seed of the network", "N");
    options.optflag("", "daemons", "run daemon processes on loopback, in real time");
    options.optflag("", "json", "print JSON");
    let matches = options.parse(args)?;
    let plan = RunOptions {
        nodes: matches.opt_get_default("nodes", 8)?,
        replicas: matches.opt_get_default("replicas", 50)?,
        data_centres: matches.opt_get_default("data-centres", 3)?,
        seconds: matches.opt_get_default("seconds", 60)?,
        changes: matches.opt_get_default("changes", 5)?,
        seed: matches.opt_get_default("seed", 1)?,
    };
    let report = match matches.opt_present("daemons") {
        true => {
            let program = daemon_program()?;
            fleet_daemons::measure(&program, plan.nodes, plan.changes, plan.seconds).await?
        }
        false => run_model(plan).await?,
    };
    match matches.opt_present("json") {
        true => println!("{report}"),
        false => println!("{report:#}"),
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs the simulation on a thread with its own runtime, which uses simulated time.
async fn run_model(plan: RunOptions) -> Result<Value> {
    let thread = std::thread::spawn(move || -> Result<Value> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()?;
        runtime.block_on(measure(&plan))
    });
    let report = tokio::task::spawn_blocking(move || thread.join()).await?;
    report.map_err(|_| anyhow::anyhow!("the measurement panicked"))?
}

async fn measure(plan: &RunOptions) -> Result<Value> {
    let memory_before = resident_bytes();
    let mut fleet = NodeFleet::new(plan.seed);
    let load = FleetLoad::new(plan.replicas, plan.data_centres);
    load.fill(&fleet);
    start_nodes(&mut fleet, plan);
    let join = fleet.wait_until(JOIN_TIMEOUT, NodeFleet::has_converged).await;
    let join = join.context("not all nodes saw each other before the timeout")?;
    load.start(&fleet);
    tokio::time::sleep(SETTLE_TIME).await;
    let steady = measure_steady(&fleet, Duration::from_secs(plan.seconds)).await;
    let memory = resident_bytes().saturating_sub(memory_before) / plan.nodes as u64;
    let config = measure_config(&fleet, plan.changes).await?;
    let detection = measure_detection(&mut fleet, plan.nodes).await;
    Ok(json!({
        "form": "one process, simulated time",
        "nodes": plan.nodes, "replicas": plan.replicas, "data_centres": plan.data_centres,
        "seed": plan.seed,
        "join_ms": join.as_millis() as u64,
        "steady": steady,
        "memory_bytes_per_node_with_fakes": memory,
        "config": config,
        "detection": detection,
    }))
}

fn start_nodes(fleet: &mut NodeFleet, plan: &RunOptions) {
    for number in 1..=plan.nodes {
        let data_centre = (number - 1) % plan.data_centres;
        let region = if data_centre < plan.data_centres.div_ceil(2) { "r1" } else { "r2" };
        fleet.start_node(number, &format!("dc{}", data_centre + 1), region);
    }
}

/// Measures bytes, CPU time and store calls while there are only facts and lease renewals.
async fn measure_steady(fleet: &NodeFleet, time: Duration) -> Value {
    let sum = |name: &str| -> Vec<i64> {
        fleet.nodes.values().map(|node| node.cx.metrics.value(name)).collect()
    };
    let names = [
        metric_names::PEER_BYTES_SENT,
        metric_names::PEER_BYTES_RECEIVED,
        metric_names::PEER_DATAGRAMS_SENT,
        metric_names::PEER_EXCHANGES,
        metric_names::CONTROL_CPU_MICROSECONDS,
    ];
    let before: Vec<Vec<i64>> = names.iter().map(|name| sum(name)).collect();
    let calls = fleet.store.calls();
    tokio::time::sleep(time).await;
    let rates = |index: usize| -> Vec<f64> {
        let after = sum(names[index]);
        let deltas = after.iter().zip(&before[index]).map(|(a, b)| (a - b) as f64);
        deltas.map(|delta| delta / time.as_secs_f64()).collect()
    };
    let store_calls = fleet.store.calls();
    let reads = (store_calls.reads() - calls.reads()) as f64 / time.as_secs_f64();
    let writes = (store_calls.writes() - calls.writes()) as f64 / time.as_secs_f64();
    json!({
        "bytes_sent_per_second": summarize(rates(0)),
        "bytes_received_per_second": summarize(rates(1)),
        "datagrams_per_second": summarize(rates(2)),
        "exchanges_per_second": summarize(rates(3)),
        "cpu_percent": summarize(rates(4).into_iter().map(|micros| micros / 10_000.0).collect()),
        "store_reads_per_second": round(reads),
        "store_writes_per_second": round(writes),
    })
}

/// Measures the time from the operator's call until each node has the version, and until it is
/// confirmed, over several changes.
async fn measure_config(fleet: &NodeFleet, changes: u64) -> Result<Value> {
    let mut times: Vec<f64> = vec![];
    let mut confirmed: Vec<f64> = vec![];
    for number in 1..=changes {
        let config = json!({"defaults": {"queue_wait_ms": 1000 + number}}).to_string();
        let req = ConfigChangeRequest {
            change_id: format!("change-{number}"),
            author: "bench".to_string(),
            reason: "measurement".to_string(),
            based_on: number - 1,
            config,
        };
        let start = tokio::time::Instant::now();
        let at = &fleet.nodes[&format!("n{}", 1 + number as usize % fleet.nodes.len())];
        config_change::apply(&at.cx, &at.store, &req)
            .await
            .context("the configuration change was refused")?;
        let mut missing: Vec<&String> = fleet.nodes.keys().collect();
        let handle = at.handle.clone();
        let confirmation = tokio::spawn(async move {
            let report = handle.confirm_in_force(number, WAIT_TIMEOUT).await;
            report.missing.is_empty().then(|| start.elapsed().as_secs_f64() * 1000.0)
        });
        while start.elapsed() < WAIT_TIMEOUT && !missing.is_empty() {
            missing.retain(|node| {
                let record = fleet.cx(node).config.get();
                let is_in_force = record.is_some_and(|record| record.version >= number);
                if is_in_force {
                    times.push(start.elapsed().as_secs_f64() * 1000.0);
                }
                !is_in_force
            });
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        anyhow::ensure!(missing.is_empty(), "version {number} is missing on {missing:?}");
        confirmed.extend(confirmation.await?);
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    Ok(json!({
        "changes": changes,
        "in_force_ms": summarize(times),
        "confirmed_ms": summarize(confirmed),
    }))
}

/// Kills a node and measures when the nodes of its data centre, and all nodes, no longer regard it
/// as live.
async fn measure_detection(fleet: &mut NodeFleet, nodes: usize) -> Value {
    let victim = format!("n{nodes}");
    let data_centre = fleet.cx(&victim).settings.data_centre.clone();
    fleet.kill(&victim);
    let is_excluded = |fleet: &NodeFleet, viewer: &str| {
        !matches!(fleet.state(viewer, &victim), Some(MemberState::Live))
    };
    let local = |fleet: &NodeFleet| {
        let viewers = fleet.nodes.iter().filter(|(_, n)| n.cx.settings.data_centre == data_centre);
        viewers.into_iter().all(|(id, _)| is_excluded(fleet, id))
    };
    let start = tokio::time::Instant::now();
    let local = fleet.wait_until(WAIT_TIMEOUT, local).await;
    let all = |fleet: &NodeFleet| fleet.nodes.keys().all(|viewer| is_excluded(fleet, viewer));
    let all = fleet.wait_until(WAIT_TIMEOUT, all).await.map(|_| start.elapsed());
    let is_dead = |fleet: &NodeFleet| {
        let dead = Some(MemberState::Dead);
        fleet.nodes.keys().all(|viewer| fleet.state(viewer, &victim) == dead)
    };
    let dead = fleet.wait_until(WAIT_TIMEOUT, is_dead).await.map(|_| start.elapsed());
    let ms = |time: Option<Duration>| time.map(|time| time.as_millis() as u64);
    json!({
        "out_of_answers_in_its_data_centre_ms": ms(local),
        "out_of_answers_everywhere_ms": ms(all),
        "dead_everywhere_ms": ms(dead),
    })
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
