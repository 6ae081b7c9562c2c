//! `load`: one daemon under load against the same streams straight to the stand-ins.

use crate::daemon_process::DaemonProcess;
use crate::daemon_process::RunDirectory;
use crate::fake_fleet::DomainPlan;
use crate::fake_fleet::FakeFleet;
use crate::fleet_plan;
use crate::load_client::LoadClient;
use crate::load_client::LoadSample;
use crate::load_client::Way;
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

/// Model of the measured service.
pub const MODEL: &str = "load-model";

/// Version of the model.
pub const MODEL_VERSION: &str = "1";

/// Service that is measured.
const SERVICE: &str = "load";

/// Token of the measuring customer.
const TOKEN: &str = "load-token";

/// Groups, each of one instance.
const GROUPS: u32 = 8;

/// Largest batch of a group.
const CAPACITY: u32 = 512;

/// Tokens in one record of the stand-ins.
const TOKENS_PER_RECORD: u32 = 8;

/// Time between tokens while latency is measured.
const PACED_INTERVAL: Duration = Duration::from_millis(5);

/// Tokens a second that one stream gives at that pace.
const PACED_RATE: u64 = 1000 / PACED_INTERVAL.as_millis() as u64;

/// Tokens of an answer while latency is measured.
const PACED_LENGTH: u32 = 400;

/// Tokens of an answer while throughput is measured.
const LONG_LENGTH: u32 = 4000;

/// Tokens of an answer while requests are counted.
const SHORT_LENGTH: u32 = 8;

/// Half of the target of tokens a second through one daemon.
const HALF_LOAD: u64 = 150_000;

/// Streams at once while throughput or requests are measured.
const FULL_STREAMS: usize = 64;

/// Part of a phase over which its streams start.
const RAMP: f64 = 0.2;

/// Longest time until the groups serve.
const ASSEMBLY_BOUND: Duration = Duration::from_secs(20);

/// Bound on the daemon's shutdown.
const SHUTDOWN_BOUND: Duration = Duration::from_secs(2);

/// One phase as it is printed.
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

/// Shape of one phase.
#[derive(Debug, Clone, Copy)]
struct Phase {
    name: &'static str,
    streams: usize,
    length: u32,
    interval: Duration,
}

struct Load {
    fleet: FakeFleet,
    daemon: DaemonProcess,
    groups: Vec<GroupRecord>,
    seconds: Duration,
}

/// Runs the measurement.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optflag("", "json", "print JSON");
    options.optopt("", "seconds", "length of each of the six phases", "N");
    options.optopt("", "seed", "accepted for uniformity; the load has no random choices", "N");
    let matches = options.parse(args)?;
    let seconds = Duration::from_secs(matches.opt_get_default("seconds", 5)?);
    let directory = RunDirectory::new("load")?;
    let load = Load::start(&directory, seconds).await?;
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

impl Load {
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
        let mut daemons = fleet_plan::make_daemons(&fleet, directory, &nodes, SHUTDOWN_BOUND)?;
        let mut daemon = daemons.pop().context("no daemon")?;
        daemon.start().await?;
        let operator = Operator::new(vec![daemon.settings.operator_listen.clone()], "load");
        let accepted = operator.apply(0, &config(), "load measurement").await?;
        operator.wait_in_force(accepted.version, 1, ASSEMBLY_BOUND).await?;
        operator.wait_serving(ASSEMBLY_BOUND).await?;
        let services = operator.services().await?.services;
        let groups = services.into_iter().flat_map(|service| service.groups).collect();
        Ok(Self { fleet, daemon, groups, seconds })
    }

    /// Runs each shape straight and through the daemon, one after the other.
    async fn phases(&self) -> Result<Vec<PhaseReport>> {
        let shapes = [
            Phase {
                name: "half load",
                streams: (HALF_LOAD / PACED_RATE) as usize,
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

    async fn phase(&self, shape: Phase, is_through: bool) -> Result<PhaseReport> {
        for info in self.fleet.fake_instances.all_instances() {
            self.fleet.fake_instances.set_options(&info.address, options(shape.interval));
        }
        let way =
            if is_through { self.through() } else { Way::Direct { groups: self.groups.clone() } };
        let pid = self.daemon.pid().context("the daemon does not run")?;
        let cpu_before = process_usage::cpu_time(pid)?;
        let began = Instant::now();
        let sample = self.streams(shape, way, began + self.seconds).await?;
        let took = began.elapsed().as_secs_f64();
        let cores = (process_usage::cpu_time(pid)? - cpu_before).as_secs_f64() / took;
        let tokens = sample.tokens as f64 / took;
        let requests = sample.whole as f64 / took;
        let of_daemon = |value: f64| is_through.then_some(value);
        Ok(PhaseReport {
            phase: if is_through { shape.name } else { direct_name(shape.name) },
            streams: shape.streams,
            seconds: took,
            whole_answers: sample.whole,
            failures: sample.failures.len(),
            first_failure: sample.failures.first().cloned(),
            tokens_per_second: tokens,
            requests_per_second: requests,
            first_token_us: percentiles(&sample.first_token),
            between_records_us: percentiles(&sample.gap),
            daemon_cores: of_daemon(cores),
            tokens_per_second_per_core: of_daemon(tokens / cores),
            requests_per_second_per_core: of_daemon(requests / cores),
            daemon_memory_kb: is_through.then(|| process_usage::memory_kb(pid).ok()).flatten(),
        })
    }

    async fn streams(&self, shape: Phase, way: Way, until: Instant) -> Result<LoadSample> {
        let (http, engine) = (HttpClient::new(), HttpEngine::new());
        let mut clients = vec![];
        for index in 0..shape.streams {
            let client = LoadClient::new(way.clone(), http.clone(), engine.clone(), index);
            let delay = self.seconds.mul_f64(RAMP * index as f64 / shape.streams as f64);
            clients.push(tokio::spawn(client.run(shape.length, delay, until)));
        }
        let mut all = LoadSample::new()?;
        for client in clients {
            all.add(client.await??)?;
        }
        Ok(all)
    }

    fn through(&self) -> Way {
        Way::Daemon {
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

/// Compares the phases of half load and repeats the highest rates.
fn summary(reports: &[PhaseReport]) -> serde_json::Value {
    let added = |through: Percentiles, direct: Percentiles| {
        json!({
            "p50": through.p50 as i64 - direct.p50 as i64,
            "p95": through.p95 as i64 - direct.p95 as i64,
            "p99": through.p99 as i64 - direct.p99 as i64,
        })
    };
    let [direct, through, _, long, _, short] = reports else { return json!(null) };
    json!({
        "added_first_token_us": added(through.first_token_us, direct.first_token_us),
        "added_between_records_us": added(through.between_records_us, direct.between_records_us),
        "tokens_per_second": long.tokens_per_second,
        "tokens_per_second_per_core": long.tokens_per_second_per_core,
        "requests_per_second": short.requests_per_second,
        "requests_per_second_per_core": short.requests_per_second_per_core,
    })
}
