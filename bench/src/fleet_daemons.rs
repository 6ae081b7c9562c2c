//! `fleet --daemons`: measures daemon processes on loopback that use a fake platform.

use crate::daemon_process::DaemonPlan;
use crate::daemon_process::DaemonProcess;
use crate::daemon_process::OPERATOR_TOKEN;
use crate::daemon_process::RunDirectory;
use crate::fake_fleet::FakeFleet;
use crate::operator::Operator;
use anyhow::Context;
use anyhow::Result;
use guavaladder_lib::generated::operator::ConfigReply;
use guavaladder_lib::operator_client::OperatorClient;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for joining, for a configuration to reach all nodes and for the detection of a dead
/// node.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between joining and the first measurement, in which the fleet reaches a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Interval between two polls of the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;
/// Gossip period, equal to the default of the settings.
const GOSSIP_PERIOD: Duration = Duration::from_millis(500);

/// Measures join time, steady load, configuration propagation and failure detection of a fleet.
pub async fn measure(program: &Path, nodes: usize, changes: u64, seconds: u64) -> Result<Value> {
    let directory = RunDirectory::new("fleet")?;
    let platform = FakeFleet::start().await?;
    let mut daemons = start_daemons(program, &directory, &platform, nodes).await?;
    let clients: Vec<OperatorClient> = daemons.iter().map(client).collect();
    let began = Instant::now();
    wait_for_live(&clients, nodes as i64).await?;
    let join = began.elapsed();
    tokio::time::sleep(SETTLE_TIME).await;
    let steady = measure_steady(&daemons, &clients, Duration::from_secs(seconds)).await?;
    let config = measure_config(&daemons, &clients, changes).await?;
    let last = daemons.len() - 1;
    daemons[last].kill();
    let began = Instant::now();
    wait_for_live(&clients[..last], last as i64).await?;
    let detection = began.elapsed();
    Ok(json!({
        "form": "daemons on loopback", "nodes": nodes,
        "join_ms": join.as_millis() as u64,
        "steady": steady,
        "config": config,
        "out_of_answers_everywhere_ms": detection.as_millis() as u64,
    }))
}

async fn start_daemons(
    program: &Path,
    directory: &RunDirectory,
    platform: &FakeFleet,
    nodes: usize,
) -> Result<Vec<DaemonProcess>> {
    let mut daemons: Vec<DaemonProcess> = vec![];
    for number in 0..nodes {
        let peers = daemons.iter().take(2).map(|daemon| daemon.settings.peer_listen.clone());
        let plan = DaemonPlan {
            node: format!("n{number}"),
            data_centre: format!("dc{}", number % 3),
            region: "r1".to_string(),
            platform: platform.platform_address().to_string(),
            peers: peers.collect(),
            shutdown: Duration::from_secs(1),
        };
        let mut daemon =
            DaemonProcess::new(program, directory, plan)?.with_gossip(GOSSIP_PERIOD)?;
        daemon.start().await?;
        daemons.push(daemon);
    }
    Ok(daemons)
}

fn client(daemon: &DaemonProcess) -> OperatorClient {
    OperatorClient::new(vec![daemon.settings.operator_listen.clone()], OPERATOR_TOKEN.to_string())
}

async fn metric(client: &OperatorClient, name: &str) -> Result<i64> {
    let metrics: BTreeMap<String, i64> = client.get("metrics").await?;
    Ok(metrics.get(name).copied().unwrap_or(0))
}

/// Waits until every node sees `live` live members.
async fn wait_for_live(clients: &[OperatorClient], live: i64) -> Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut waiting: Vec<&OperatorClient> = clients.iter().collect();
    while let Some(client) = waiting.last() {
        if metric(client, "members.live").await? == live {
            waiting.pop();
            continue;
        }
        anyhow::ensure!(
            Instant::now() < deadline,
            "{} nodes do not see {live} live members",
            waiting.len()
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn measure_steady(
    daemons: &[DaemonProcess],
    clients: &[OperatorClient],
    time: Duration,
) -> Result<Value> {
    let names = ["peer.bytes_sent", "peer.bytes_received", "control.cpu_us", "store.calls"];
    let before = sample(daemons, clients, &names).await?;
    tokio::time::sleep(time).await;
    let after = sample(daemons, clients, &names).await?;
    let rates = |index: usize| -> Vec<f64> {
        let pairs = after.iter().zip(&before);
        pairs
            .map(|(a, b)| (a.metrics[index] - b.metrics[index]) as f64 / time.as_secs_f64())
            .collect()
    };
    let cpu = after.iter().zip(&before).map(|(a, b)| (a.cpu - b.cpu) / time.as_secs_f64() * 100.0);
    Ok(json!({
        "bytes_sent_per_second": summarize(rates(0)),
        "bytes_received_per_second": summarize(rates(1)),
        "protocol_cpu_percent": summarize(rates(2).into_iter().map(|us| us / 10_000.0).collect()),
        "process_cpu_percent": summarize(cpu.collect()),
        "resident_mb": summarize(after.iter().map(|sample| sample.resident as f64 / 1e6).collect()),
        "store_calls_per_second_in_all": rates(3).iter().sum::<f64>(),
    }))
}

struct Sample {
    metrics: Vec<i64>,
    /// CPU time in seconds.
    cpu: f64,
    /// Resident memory in bytes.
    resident: u64,
}

async fn sample(
    daemons: &[DaemonProcess],
    clients: &[OperatorClient],
    names: &[&str],
) -> Result<Vec<Sample>> {
    let mut samples = vec![];
    for (daemon, client) in daemons.iter().zip(clients) {
        let values: BTreeMap<String, i64> = client.get("metrics").await?;
        let pid = daemon.pid().context("a daemon is not running")?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
        let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
        samples.push(Sample {
            metrics: names.iter().map(|name| values.get(*name).copied().unwrap_or(0)).collect(),
            cpu: (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND,
            resident: pages.unwrap_or(0) * PAGE_BYTES,
        });
    }
    Ok(samples)
}

/// Measures the time from the operator's call until each node has the new version.
async fn measure_config(
    daemons: &[DaemonProcess],
    clients: &[OperatorClient],
    changes: u64,
) -> Result<Value> {
    let operator = Operator::new(vec![daemons[0].settings.operator_listen.clone()], "bench");
    let mut times = vec![];
    for number in 1..=changes {
        let config = json!({"defaults": {"queue_wait_ms": 1000 + number}});
        let began = Instant::now();
        let accepted = operator.apply(number - 1, &config, "measurement").await?;
        let mut waiting: Vec<&OperatorClient> = clients.iter().collect();
        while !waiting.is_empty() {
            anyhow::ensure!(
                began.elapsed() < WAIT_TIMEOUT,
                "{} nodes do not have the new version",
                waiting.len()
            );
            let mut remaining = vec![];
            for client in waiting {
                let reply: ConfigReply = client.get("config").await?;
                match reply.record.is_some_and(|record| record.version >= accepted.version) {
                    true => times.push(began.elapsed().as_secs_f64() * 1000.0),
                    false => remaining.push(client),
                }
            }
            waiting = remaining;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(json!({"changes": changes, "in_force_ms_with_polling": summarize(times)}))
}

/// Returns the mean, median and maximum of the values, or null if there are none.
pub fn summarize(mut values: Vec<f64>) -> Value {
    if values.is_empty() {
        return Value::Null;
    }
    values.sort_by(f64::total_cmp);
    let round = |value: f64| (value * 1000.0).round() / 1000.0;
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let (median, max) = (values[values.len() / 2], values[values.len() - 1]);
    json!({"mean": round(mean), "p50": round(median), "max": round(max)})
}
