//! Stand-ins of the platform's store, plain replicas and clients, and the scenarios of the review's scripts.
//! Only the standard library is used. `standins SCENARIO DAEMON FOLDER` plays a scenario; `standins replica
//! ADDRESS ID` is one process of a replica.

mod clients;
mod fleet;
mod http;
mod json;
mod replica;
mod scenario_crashes;
mod scenario_keys;
mod scenario_leaving;
mod scenario_memory;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// Result of a scenario.
pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match args[1..] {
        ["replica", address, id] => replica::run(address, id, false),
        ["slow-replica", address, id] => replica::run(address, id, true),
        ["keys", daemon, folder] => scenario_keys::run(daemon, Path::new(folder), with_trouble),
        ["crashes", daemon, folder] => {
            scenario_crashes::run(daemon, Path::new(folder), with_trouble)
        }
        ["leaving", daemon, folder] => {
            scenario_leaving::run(daemon, Path::new(folder), with_trouble)
        }
        ["memory", daemon, folder] => scenario_memory::run(daemon, Path::new(folder), with_trouble),
        _ => Outcome::CouldNotRun("usage: standins SCENARIO DAEMON FOLDER".to_string()),
    };
    match outcome {
        Outcome::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Outcome::Broken(how) => {
            println!("broken: {how}");
            ExitCode::from(1)
        }
        Outcome::CouldNotRun(reason) => {
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
