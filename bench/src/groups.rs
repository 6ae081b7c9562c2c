//! `guavaladder-bench groups`: simulates a month of failures and reports the downtime of groups and
//! the stranded accelerators under each planning policy.

use crate::groups_meter::RunReport;
use crate::groups_sim::Policy;
use crate::groups_sim::Simulation;
use crate::groups_trace::FleetShape;
use crate::groups_trace::TARGET;
use crate::groups_trace::TODAY;
use crate::groups_trace::trace;
use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use serde::Serialize;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Debug, Serialize)]
struct SizeReport {
    size: &'static str,
    days: u32,
    seed: u64,
    faults: usize,
    /// Which parts of the system the simulation covers.
    simulated: &'static str,
    runs: Vec<RunReport>,
}

const SIMULATED: &str = "real planner, allocation, load ranking, member history and order decisions; \
    event-driven instead of periodic polls; leases, ownership and region splits are not simulated; \
    no planning during a store outage";

/// Runs the subcommand `groups`.
pub fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the failures (default 1)", "N");
    options.optopt("", "days", "simulated days (default 30)", "N");
    options.optopt("", "size", "today, target or both (default both)", "SIZE");
    options.optflag("", "json", "print JSON");
    let matches = options.parse(args).context("wrong arguments")?;
    let seed = matches.opt_get_default("seed", 1)?;
    let days = matches.opt_get_default("days", 30)?;
    let size = matches.opt_str("size").unwrap_or_else(|| "both".to_string());
    let shapes = [TODAY, TARGET].into_iter().filter(|shape| size == "both" || size == shape.name);
    let reports: Vec<SizeReport> = shapes.map(|shape| measure(&shape, days, seed)).collect();
    match matches.opt_present("json") {
        true => println!("{}", serde_json::to_string_pretty(&reports)?),
        false => reports.iter().for_each(print),
    }
    Ok(ExitCode::SUCCESS)
}

fn measure(shape: &FleetShape, days: u32, seed: u64) -> SizeReport {
    let faults = trace(shape, days, seed);
    let policies = [
        ("naive", Policy::Naive),
        ("stranded", Policy::Weighted(0.0)),
        ("balanced", Policy::Weighted(0.5)),
        ("downtime", Policy::Weighted(1.0)),
    ];
    let duration = Duration::from_secs(86_400) * days;
    let run = |(name, policy): (&str, Policy)| {
        Simulation::new(shape, policy).run(name, &faults, duration)
    };
    let runs = policies.into_iter().map(run).collect();
    SizeReport { size: shape.name, days, seed, faults: faults.len(), simulated: SIMULATED, runs }
}

fn print(report: &SizeReport) {
    println!(
        "{}: {} days, seed {}, {} faults",
        report.size, report.days, report.seed, report.faults
    );
    println!("  simulated: {SIMULATED}");
    println!(
        "  policy    downtime min/group  stranded h (bound)  repair p50/p95 s  writes/s  loads  TB  plan p50/max ms"
    );
    for run in &report.runs {
        println!(
            "  {:9} {:18.2}  {:9.0} ({:.0})  {:.1}/{:.1}  {:.1}  {}  {:.1}  {:.2}/{:.2}",
            run.policy,
            run.downtime_minutes_per_group,
            run.stranded_hours,
            run.stranded_bound_hours,
            run.repair_p50_seconds,
            run.repair_p95_seconds,
            run.store_writes_per_second,
            run.shard_loads,
            run.loaded_terabytes,
            run.planning_p50_ms,
            run.planning_max_ms,
        );
    }
}
