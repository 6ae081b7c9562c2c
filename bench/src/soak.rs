//! `soak` subcommand: runs real daemons under traffic and a seeded schedule of overlapping faults.

use crate::call_oracle::CallOracle;
use crate::call_record::CallRecord;
use crate::call_record::Outcome;
use crate::caller::Caller;
use crate::daemon_process::RunDirectory;
use crate::fleet_plan;
use crate::fleet_plan::CUSTOMERS;
use crate::fleet_plan::CustomerPlan;
use crate::fleet_plan::MODEL_VERSION;
use crate::fleet_plan::NODES;
use crate::fleet_plan::model_of;
use crate::operator::Operator;
use crate::soak_faults::SoakTarget;
use crate::soak_schedule;
use crate::store_oracle;
use anyhow::Result;
use anyhow::bail;
use getopts::Options;
use guavaladder_testutils::engine_options::EngineOptions;
use serde_json::json;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Number of callers that send generations, and of callers that call a plain service, per customer.
const CALLERS: usize = 4;

/// Number of tokens in a response.
const TOKENS: u32 = 60;

/// Time limit of a call, including retries.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two calls of a caller, and between two polls during recovery.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for all groups to be serving, at the start and after the last fault.
const SERVING_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of a daemon's graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Weight loading time of the fake engines.
const LOAD_TIME: Duration = Duration::from_millis(500);

/// Runs a soak and returns a failure if any guarantee was violated.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the fault schedule", "N");
    options.optopt("", "seconds", "time during which faults start", "S");
    options.optflag("", "json", "print JSON");
    let matches = options.parse(args)?;
    let seed = matches.opt_get_default("seed", 1)?;
    let seconds = Duration::from_secs(matches.opt_get_default("seconds", 30)?);
    let mut directory = RunDirectory::new("soak")?;
    let target = Arc::new(start(&directory).await?);
    let began = target.fleet.fake_instances.now();
    let stop = CancellationToken::new();
    let traffic = traffic(&target, &stop).await;
    let mut failures = run_schedule(&target, seed, seconds).await;
    target.clear_all();
    let recovery = recover(&target).await;
    stop.cancel();
    let mut records = vec![];
    for caller in traffic {
        records.extend(caller.await?);
    }
    if let Err(e) = &recovery {
        failures.push(format!("recovery: {e:#}"));
    }
    let violations = violations(&target, &records, failures, began);
    report(&matches, seed, &records, recovery.ok(), &violations)?;
    if violations.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    directory.keep();
    eprintln!("logs of the daemons are in {}", directory.path().display());
    Ok(ExitCode::FAILURE)
}

async fn start(directory: &RunDirectory) -> Result<SoakTarget> {
    let options = EngineOptions::default().with_load_time(LOAD_TIME);
    let fleet = fleet_plan::start_fakes(&options).await?;
    let mut daemons = fleet_plan::make_daemons(&fleet, directory, &NODES, SHUTDOWN_TIMEOUT)?;
    for daemon in &mut daemons {
        daemon.start().await?;
    }
    let endpoints: Vec<String> =
        daemons.iter().map(|d| d.settings.operator_listen.clone()).collect();
    let known = daemons.iter().map(|d| d.settings.caller_listen.clone()).collect();
    let operators = ["first", "second"].map(|name| Operator::new(endpoints.clone(), name));
    operators[0].wait_nodes(daemons.len(), SERVING_TIMEOUT).await?;
    operators[0].apply(0, &fleet_plan::config(), "both users' services").await?;
    operators[0].wait_serving(SERVING_TIMEOUT).await?;
    Ok(SoakTarget {
        fleet,
        daemons: daemons.into_iter().map(Mutex::new).collect(),
        daemon_fault_lock: Mutex::new(()),
        operators,
        caller: Arc::new(Caller::new(known, CUSTOMERS[0].token, CALL_TIMEOUT)),
        service: CUSTOMERS[0].engine_service,
        store_faults: std::sync::Mutex::default(),
    })
}

type Traffic = Vec<tokio::task::JoinHandle<Vec<CallRecord>>>;

async fn traffic(target: &Arc<SoakTarget>, stop: &CancellationToken) -> Traffic {
    let mut known = vec![];
    for daemon in &target.daemons {
        known.push(daemon.lock().await.settings.caller_listen.clone());
    }
    let mut traffic = vec![];
    for plan in CUSTOMERS {
        for index in 0..2 * CALLERS {
            let caller = Caller::new(known.clone(), plan.token, CALL_TIMEOUT);
            traffic.push(tokio::spawn(send(caller, plan, index, stop.clone())));
        }
    }
    traffic
}

/// Sends calls until `stop` is cancelled; callers with an index below `CALLERS` send generations,
/// the others call a plain service.
async fn send(
    caller: Caller,
    plan: CustomerPlan,
    index: usize,
    stop: CancellationToken,
) -> Vec<CallRecord> {
    let mut records = vec![];
    for count in 0.. {
        if stop.is_cancelled() {
            break;
        }
        let record = if index < CALLERS {
            let prompt = format!("{} {index} {count} length:{TOKENS}", plan.customer);
            caller.generate(plan.engine_service, &prompt, 2 * TOKENS).await
        } else {
            let body = format!("{{\"{index}\":{count}}}");
            caller.call(plan.plain_service, plan.path, &body, true).await
        };
        records.push(record);
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    records
}

/// Injects the faults of the schedule and returns the errors of the injection itself.
async fn run_schedule(target: &Arc<SoakTarget>, seed: u64, within: Duration) -> Vec<String> {
    let began = Instant::now();
    let mut running = vec![];
    for fault in soak_schedule::schedule(seed, within) {
        tokio::time::sleep_until(began + fault.at).await;
        eprintln!("{:8.2} s  {:?} for {:?}", fault.at.as_secs_f64(), fault.kind, fault.length);
        let target = target.clone();
        running.push(tokio::spawn(async move {
            let outcome = target.inject(fault).await;
            outcome.map_err(|e| format!("{:?} at {:?}: {e:#}", fault.kind, fault.at))
        }));
    }
    let mut failed = vec![];
    for fault in running {
        match fault.await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => failed.push(e),
            Err(e) => failed.push(e.to_string()),
        }
    }
    failed
}

/// Waits until all groups are complete and all nodes see each other as live.
async fn recover(target: &SoakTarget) -> Result<Duration> {
    let began = Instant::now();
    for plan in CUSTOMERS {
        while target.fleet.fake_instances.complete_groups(plan.engine_service)
            < fleet_plan::REPLICAS as usize
        {
            if began.elapsed() > SERVING_TIMEOUT {
                let complete = target.fleet.fake_instances.complete_groups(plan.engine_service);
                bail!(
                    "{} has {complete} complete groups after {SERVING_TIMEOUT:?}",
                    plan.engine_service
                );
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    }
    for daemon in &target.daemons {
        let endpoint = daemon.lock().await.settings.operator_listen.clone();
        let operator = Operator::new(vec![endpoint], "soak");
        operator.wait_nodes(target.daemons.len(), SERVING_TIMEOUT).await?;
        operator.wait_serving(SERVING_TIMEOUT).await?;
    }
    Ok(began.elapsed())
}

fn violations(
    target: &SoakTarget,
    records: &[CallRecord],
    failures: Vec<String>,
    began: Duration,
) -> Vec<String> {
    let mut oracle = CallOracle::new(&target.fleet.fake_instances.executions());
    for plan in CUSTOMERS {
        oracle =
            oracle.with_model(plan.engine_service, &model_of(plan.engine_service), MODEL_VERSION);
    }
    let since = |at: Duration| at.saturating_sub(began).as_secs_f64();
    let mut violations = failures;
    for found in oracle.check(records) {
        violations.push(format!("{:.2} s: {:?}: {}", since(found.at), found.kind, found.detail));
    }
    for found in target.fleet.fake_instances.violations() {
        violations.push(format!("{:.2} s: {:?}: {}", since(found.at), found.kind, found.detail));
    }
    for found in store_oracle::check(&target.fleet.store.writes()) {
        violations.push(format!("{:.2} s: {:?}: {}", since(found.at), found.kind, found.detail));
    }
    violations
}

fn report(
    matches: &getopts::Matches,
    seed: u64,
    records: &[CallRecord],
    recovery: Option<Duration>,
    violations: &[String],
) -> Result<()> {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for record in records {
        let name = match &record.outcome {
            Outcome::Complete(_) => "whole".to_string(),
            Outcome::NotRun(code) => format!("not_run {code}"),
            Outcome::Unknown(code) => format!("unknown {code}"),
            Outcome::Interrupted(_) => "cut".to_string(),
            Outcome::Malformed(_) => "malformed".to_string(),
        };
        *outcomes.entry(name).or_default() += 1;
    }
    let recovery = recovery.map(|took| took.as_secs_f64());
    if matches.opt_present("json") {
        let report = json!({
            "seed": seed, "requests": records.len(), "outcomes": outcomes,
            "recovery_seconds": recovery, "violations": violations,
        });
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    for violation in violations {
        println!("violation: {violation}");
    }
    println!("outcomes: {outcomes:?}, recovery {recovery:?} s");
    println!("soak: seed {seed}, {} requests, {} violations", records.len(), violations.len());
    Ok(())
}
