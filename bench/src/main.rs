//! `guavaladder-bench`: benchmarks, soak tests and a fake platform with upstreams.

use anyhow::Result;
use guavaladder_bench::demo;
use guavaladder_bench::fleet_model;
use guavaladder_bench::groups;
use guavaladder_bench::load;
use guavaladder_bench::requests;
use guavaladder_bench::serving_soak;
use guavaladder_bench::soak;
use guavaladder_bench::standins;
use std::process::ExitCode;

/// Exit status for invalid arguments.
const EXIT_USAGE: u8 = 2;

const HELP: &str = "usage: guavaladder-bench SUBCOMMAND [OPTIONS]

  fleet      measures membership, configuration changes and control overhead of many nodes
  demo       runs requests end to end with real daemons and checks every response
  requests   measures real daemons under a burst of requests with faults
             [--seed N] [--json]
  groups     simulates a month of failures and measures downtime and stranded accelerators
  load       compares one daemon under load with direct streams [--seconds N] [--json]
  soak       runs daemons under traffic with seeded faults [--seed N] [--seconds S] [--json]
  serving-soak  runs daemons with `--serve` and fake instances, with seeded faults
             [--seed N] [--seconds S] [--nodes N] [--logs DIR] [--stops]
             [--notices] [--returns] [--daemon FILE]
  standins   runs a fake platform and upstreams on loopback until interrupted
";

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args).await {
        Ok(code) => code,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &[String]) -> Result<ExitCode> {
    let (name, rest) = match args {
        [name, rest @ ..] => (name.as_str(), rest),
        [] => ("help", args),
    };
    match name {
        "fleet" => fleet_model::run(rest).await,
        "demo" => demo::run(rest).await,
        "requests" => requests::run(rest).await,
        "groups" => groups::run(rest),
        "load" => load::run(rest).await,
        "soak" => soak::run(rest).await,
        "serving-soak" => serving_soak::run(rest).await,
        "standins" => standins::run(rest).await,
        "help" | "--help" | "-h" => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        other => {
            eprintln!("error: unknown subcommand {other}\n\n{HELP}");
            Ok(ExitCode::from(EXIT_USAGE))
        }
    }
}
