//! `soak`: real daemons under traffic and a seeded schedule of overlapping faults.

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

/// Callers that generate, and callers that call, for each customer.
const CALLERS: usize = 4;

/// Tokens of an answer.
const TOKENS: u32 = 60;

/// Longest time for a call, retries included.
const PATIENCE: Duration = Duration::from_secs(30);

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(100);

/// Longest time until everything serves, at the start and after the last fault.
const SERVICE_BOUND: Duration = Duration::from_secs(30);

/// Bound on a daemon's graceful shutdown.
const SHUTDOWN_BOUND: Duration = Duration::from_secs(10);

/// Weight loading time of the stand-ins.
const LOAD_TIME: Duration = Duration::from_millis(500);

/// Runs a soak.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the schedule", "N");
    options.optopt("", "seconds", "time in which faults start", "S");
    options.optflag("", "json", "print JSON");
    let matches = options.parse(args)?;
    let seed = matches.opt_get_default("seed", 1)?;
    let seconds = Duration::from_secs(matches.opt_get_default("seconds", 30)?);
    let mut directory = RunDirectory::new("soak")?;
    let target = Arc::new(start(&directory).await?);
    let began = target.fleet.fake_instances.now();
    let stop = CancellationToken::new();
    let traffic = traffic(&target, &stop).await;
    let mut faults = carry_out(&target, seed, seconds).await;
    target.lift_all();
    let recovery = recover(&target).await;
    stop.cancel();
    let mut records = vec![];
    for caller in traffic {
        records.extend(caller.await?);
    }
    if let Err(e) = &recovery {
        faults.push(format!("recovery: {e:#}"));
    }
    let violations = violations(&target, &records, faults, began);
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
    let fleet = fleet_plan::start_standins(&options).await?;
    let mut daemons = fleet_plan::make_daemons(&fleet, directory, &NODES, SHUTDOWN_BOUND)?;
    for daemon in &mut daemons {
        daemon.start().await?;
    }
    let endpoints: Vec<String> =
        daemons.iter().map(|d| d.settings.operator_listen.clone()).collect();
    let known = daemons.iter().map(|d| d.settings.caller_listen.clone()).collect();
    let operators = ["first", "second"].map(|name| Operator::new(endpoints.clone(), name));
    operators[0].wait_nodes(daemons.len(), SERVICE_BOUND).await?;
    operators[0].apply(0, &fleet_plan::config(), "both users' services").await?;
    operators[0].wait_serving(SERVICE_BOUND).await?;
    Ok(SoakTarget {
        fleet,
        daemons: daemons.into_iter().map(Mutex::new).collect(),
        daemon_turn: Mutex::new(()),
        operators,
        caller: Arc::new(Caller::new(known, CUSTOMERS[0].token, PATIENCE)),
        service: CUSTOMERS[0].generates,
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
            let caller = Caller::new(known.clone(), plan.token, PATIENCE);
            traffic.push(tokio::spawn(send(caller, plan, index, stop.clone())));
        }
    }
    traffic
}

/// Half of the callers generate, the others call a plain service.
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
            caller.generate(plan.generates, &prompt, 2 * TOKENS).await
        } else {
            let body = format!("{{\"{index}\":{count}}}");
            caller.call(plan.calls, plan.path, &body, true).await
        };
        records.push(record);
        tokio::time::sleep(CALL_PAUSE).await;
    }
    records
}

/// Carries out the schedule and returns what went wrong in doing so.
async fn carry_out(target: &Arc<SoakTarget>, seed: u64, within: Duration) -> Vec<String> {
    let began = Instant::now();
    let mut running = vec![];
    for fault in soak_schedule::schedule(seed, within) {
        tokio::time::sleep_until(began + fault.at).await;
        eprintln!("{:8.2} s  {:?} for {:?}", fault.at.as_secs_f64(), fault.kind, fault.length);
        let target = target.clone();
        running.push(tokio::spawn(async move {
            let outcome = target.carry_out(fault).await;
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

/// Waits until all groups are whole and all nodes know each other.
async fn recover(target: &SoakTarget) -> Result<Duration> {
    let began = Instant::now();
    for plan in CUSTOMERS {
        while target.fleet.fake_instances.complete_groups(plan.generates)
            < fleet_plan::REPLICAS as usize
        {
            if began.elapsed() > SERVICE_BOUND {
                let whole = target.fleet.fake_instances.complete_groups(plan.generates);
                bail!("{} has {whole} whole groups after {SERVICE_BOUND:?}", plan.generates);
            }
            tokio::time::sleep(CALL_PAUSE).await;
        }
    }
    for daemon in &target.daemons {
        let endpoint = daemon.lock().await.settings.operator_listen.clone();
        let operator = Operator::new(vec![endpoint], "soak");
        operator.wait_nodes(target.daemons.len(), SERVICE_BOUND).await?;
        operator.wait_serving(SERVICE_BOUND).await?;
    }
    Ok(began.elapsed())
}

fn violations(
    target: &SoakTarget,
    records: &[CallRecord],
    faults: Vec<String>,
    began: Duration,
) -> Vec<String> {
    let mut oracle = CallOracle::new(&target.fleet.fake_instances.executions());
    for plan in CUSTOMERS {
        oracle = oracle.with_model(plan.generates, &model_of(plan.generates), MODEL_VERSION);
    }
    let since = |at: Duration| at.saturating_sub(began).as_secs_f64();
    let mut violations = faults;
    for found in oracle.check(records) {
        violations.push(format!("{:.2} s: {:?}: {}", since(found.at), found.promise, found.detail));
    }
    for found in target.fleet.fake_instances.violations() {
        violations.push(format!("{:.2} s: {:?}: {}", since(found.at), found.kind, found.detail));
    }
    for found in store_oracle::check(&target.fleet.store.writes()) {
        violations.push(format!("{:.2} s: {:?}: {}", since(found.at), found.promise, found.detail));
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
            Outcome::Whole(_) => "whole".to_string(),
            Outcome::NotRun(code) => format!("not_run {code}"),
            Outcome::Unknown(code) => format!("unknown {code}"),
            Outcome::Cut(_) => "cut".to_string(),
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
