//! `guavaladder-bench load`: measures streams through one daemon and the same streams sent directly
//! to the fake engines, for comparison.

use crate::daemon_process::DaemonProcess;
use crate::daemon_process::RunDirectory;
use crate::fake_fleet::DomainPlan;
use crate::fake_fleet::FakeFleet;
use crate::fleet_plan;
use crate::load_client::LoadClient;
use crate::load_client::LoadSample;
use crate::load_client::StreamTarget;
use crate::operator::Operator;
use crate::process_usage;
use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use guavaladder_lib::engine_http::HttpEngine;
use guavaladder_lib::generated::groups::GroupRecord;
use guavaladder_lib::http_client::HttpClient;
use guavaladder_lib::token_hash::hash_token;
use guavaladder_testutils::engine_options::EngineOptions;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

/// Name of the model of the measured service.
pub const MODEL: &str = "load-model";

/// Version of the model.
pub const MODEL_VERSION: &str = "1";

/// Name of the measured service.
const SERVICE: &str = "load";

/// Bearer token of the customer that sends the streams.
const TOKEN: &str = "load-token";

/// Number of groups, each with one instance.
const GROUPS: u32 = 8;

/// Number of requests that a group runs concurrently.
const CAPACITY: u32 = 512;

/// Number of tokens in one record of the fake engines.
const TOKENS_PER_RECORD: u32 = 8;

/// Interval between tokens in the latency phases.
const PACED_INTERVAL: Duration = Duration::from_millis(5);

/// Tokens per second of one stream at `PACED_INTERVAL`.
const PACED_RATE: u64 = 1000 / PACED_INTERVAL.as_millis() as u64;

/// Number of tokens of a response in the latency phases.
const PACED_LENGTH: u32 = 400;

/// Number of tokens of a response in the phases that measure tokens per second.
const LONG_LENGTH: u32 = 4000;

/// Number of tokens of a response in the phases that measure requests per second.
const SHORT_LENGTH: u32 = 8;

/// Tokens per second in the latency phases: half of the target for one daemon.
const HALF_TARGET_RATE: u64 = 150_000;

/// Number of concurrent streams in the phases that measure tokens or requests per second.
const FULL_STREAMS: usize = 64;

/// Fraction of a phase over which the starts of its streams are spread.
const RAMP_FRACTION: f64 = 0.2;

/// Timeout for the configuration to be in force and the groups to serve.
const SERVING_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of the daemon's shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Results of one phase, as printed in the report.
#[derive(Debug, Serialize)]
struct PhaseReport {
    phase: &'static str,
    streams: usize,
    seconds: f64,
    whole_answers: u64,
    failures: usize,
    first_failure: Option<String>,
    tokens_per_second: f64,
    requests_per_second: f64,
    first_token_us: Percentiles,
    between_records_us: Percentiles,
    daemon_cores: Option<f64>,
    tokens_per_second_per_core: Option<f64>,
    requests_per_second_per_core: Option<f64>,
    daemon_memory_kb: Option<u64>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Percentiles {
    p50: u64,
    p95: u64,
    p99: u64,
}

/// Load of one phase.
#[derive(Debug, Clone, Copy)]
struct Phase {
    name: &'static str,
    streams: usize,
    length: u32,
    interval: Duration,
}

struct LoadBench {
    fleet: FakeFleet,
    daemon: DaemonProcess,
    groups: Vec<GroupRecord>,
    seconds: Duration,
}

/// Runs the subcommand `load`.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optflag("", "json", "print JSON");
    options.optopt("", "seconds", "length of each of the six phases", "N");
    options.optopt(
        "",
        "seed",
        "accepted for consistency with other subcommands; has no effect, as nothing is random",
        "N",
    );
    let matches = options.parse(args)?;
    let seconds = Duration::from_secs(matches.opt_get_default("seconds", 5)?);
    let directory = RunDirectory::new("load")?;
    let load = LoadBench::start(&directory, seconds).await?;
    let reports = load.phases().await?;
    let failures: usize = reports.iter().map(|report| report.failures).sum();
    let summary = summary(&reports);
    if matches.opt_present("json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&json!({"summary": summary, "phases": reports}))?
        );
    } else {
        for report in &reports {
            println!("{report:?}");
        }
        println!("{summary}");
    }
    Ok(if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

impl LoadBench {
    async fn start(directory: &RunDirectory, seconds: Duration) -> Result<Self> {
        let mut fleet = FakeFleet::start().await?;
        let plan = DomainPlan {
            domain: "fabric".to_string(),
            data_centre: "norte".to_string(),
            kind: "fenced".to_string(),
            instances: GROUPS,
            options: options(PACED_INTERVAL),
        };
        fleet.add_domain(&plan).await?;
        let nodes = [("norte-1", "norte")];
        let mut daemons = fleet_plan::make_daemons(&fleet, directory, &nodes, SHUTDOWN_TIMEOUT)?;
        let mut daemon = daemons.pop().context("no daemon")?;
        daemon.start().await?;
        let operator = Operator::new(vec![daemon.settings.operator_listen.clone()], "load");
        let accepted = operator.apply(0, &config(), "load measurement").await?;
        operator.wait_in_force(accepted.version, 1, SERVING_TIMEOUT).await?;
        operator.wait_serving(SERVING_TIMEOUT).await?;
        let services = operator.services().await?.services;
        let groups = services.into_iter().flat_map(|service| service.groups).collect();
        Ok(Self { fleet, daemon, groups, seconds })
    }

    /// Runs each phase first directly and then through the daemon.
    async fn phases(&self) -> Result<Vec<PhaseReport>> {
        let shapes = [
            Phase {
                name: "half load",
                streams: (HALF_TARGET_RATE / PACED_RATE) as usize,
                length: PACED_LENGTH,
                interval: PACED_INTERVAL,
            },
            Phase {
                name: "long answers",
                streams: FULL_STREAMS,
                length: LONG_LENGTH,
                interval: Duration::ZERO,
            },
            Phase {
                name: "short answers",
                streams: FULL_STREAMS,
                length: SHORT_LENGTH,
                interval: Duration::ZERO,
            },
        ];
        let mut reports = vec![];
        for shape in shapes {
            reports.push(self.phase(shape, false).await?);
            reports.push(self.phase(shape, true).await?);
        }
        Ok(reports)
    }

    async fn phase(&self, shape: Phase, uses_daemon: bool) -> Result<PhaseReport> {
        for info in self.fleet.fake_instances.all_instances() {
            self.fleet.fake_instances.set_options(&info.address, options(shape.interval));
        }
        let target = if uses_daemon {
            self.daemon_target()
        } else {
            StreamTarget::Direct { groups: self.groups.clone() }
        };
        let pid = self.daemon.pid().context("the daemon does not run")?;
        let cpu_before = process_usage::cpu_time(pid)?;
        let began = Instant::now();
        let sample = self.run_streams(shape, target, began + self.seconds).await?;
        let elapsed = began.elapsed().as_secs_f64();
        let cores = (process_usage::cpu_time(pid)? - cpu_before).as_secs_f64() / elapsed;
        let tokens = sample.tokens as f64 / elapsed;
        let requests = sample.completed as f64 / elapsed;
        let daemon_only = |value: f64| uses_daemon.then_some(value);
        Ok(PhaseReport {
            phase: if uses_daemon { shape.name } else { direct_name(shape.name) },
            streams: shape.streams,
            seconds: elapsed,
            whole_answers: sample.completed,
            failures: sample.failures.len(),
            first_failure: sample.failures.first().cloned(),
            tokens_per_second: tokens,
            requests_per_second: requests,
            first_token_us: percentiles(&sample.first_token),
            between_records_us: percentiles(&sample.record_interval),
            daemon_cores: daemon_only(cores),
            tokens_per_second_per_core: daemon_only(tokens / cores),
            requests_per_second_per_core: daemon_only(requests / cores),
            daemon_memory_kb: uses_daemon.then(|| process_usage::memory_kb(pid).ok()).flatten(),
        })
    }

    async fn run_streams(
        &self,
        shape: Phase,
        target: StreamTarget,
        until: Instant,
    ) -> Result<LoadSample> {
        let (http, engine) = (HttpClient::new(), HttpEngine::new());
        let mut clients = vec![];
        for index in 0..shape.streams {
            let client = LoadClient::new(target.clone(), http.clone(), engine.clone(), index);
            let delay = self.seconds.mul_f64(RAMP_FRACTION * index as f64 / shape.streams as f64);
            clients.push(tokio::spawn(client.run(shape.length, delay, until)));
        }
        let mut all = LoadSample::new()?;
        for client in clients {
            all.add(client.await??)?;
        }
        Ok(all)
    }

    fn daemon_target(&self) -> StreamTarget {
        StreamTarget::Daemon {
            entry: self.daemon.settings.caller_listen.clone(),
            token: TOKEN.to_string(),
            service: SERVICE.to_string(),
        }
    }
}

fn direct_name(name: &str) -> &'static str {
    match name {
        "half load" => "half load, direct",
        "long answers" => "long answers, direct",
        _ => "short answers, direct",
    }
}

fn options(interval: Duration) -> EngineOptions {
    EngineOptions {
        load_time: Duration::from_millis(100),
        prefill: Duration::ZERO,
        token_interval: interval,
        tokens_per_record: TOKENS_PER_RECORD,
        capacity: CAPACITY,
        queue_limit: CAPACITY,
        state_retention: Duration::from_millis(100),
        ..EngineOptions::default()
    }
}

fn config() -> serde_json::Value {
    json!({
        "defaults": {},
        "services": {SERVICE: {
            "kind": "engine", "model": MODEL, "version": MODEL_VERSION,
            "replicas": GROUPS, "members_per_replica": 1,
        }},
        "customers": {"measuring": {
            "weight": 100, "burst": 100_000, "tokens": [hash_token(TOKEN)],
        }},
        "upstream_kinds": {"fenced": {"checks_fencing": true, "order_timeout_ms": 1000}},
    })
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    Percentiles {
        p50: histogram.value_at_quantile(0.5),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
    }
}

/// Returns the latency that the daemon adds at half load, and the rates of the other phases through
/// it.
fn summary(reports: &[PhaseReport]) -> serde_json::Value {
    let added = |via_daemon: Percentiles, direct: Percentiles| {
        json!({
            "p50": via_daemon.p50 as i64 - direct.p50 as i64,
            "p95": via_daemon.p95 as i64 - direct.p95 as i64,
            "p99": via_daemon.p99 as i64 - direct.p99 as i64,
        })
    };
    let [direct, via_daemon, _, long, _, short] = reports else { return json!(null) };
    json!({
        "added_first_token_us": added(via_daemon.first_token_us, direct.first_token_us),
        "added_between_records_us": added(via_daemon.between_records_us, direct.between_records_us),
        "tokens_per_second": long.tokens_per_second,
        "tokens_per_second_per_core": long.tokens_per_second_per_core,
        "requests_per_second": short.requests_per_second,
        "requests_per_second_per_core": short.requests_per_second_per_core,
    })
}
