//! Stand-ins and scenarios of the second review. Usage: `standins SCENARIO FOLDER`, in the root of the repository.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the scenario could not run.

mod fleet;
mod http;
mod json;
mod scenario_failing_request;
mod scenario_forgotten_crashes;
mod scenario_paired_requests;
mod scenario_removed_entry;
mod scenario_unreadable_entry;
mod store;

use fleet::Record;
use std::io;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = || -> io::Result<bool> {
        let [_, scenario, folder] = &args[..] else {
            return Err(io::Error::other("usage: standins SCENARIO FOLDER"));
        };
        let record = Record::new(Path::new(folder))?;
        match scenario.as_str() {
            "unreadable-entry" => scenario_unreadable_entry::run(record, has_trouble),
            "failing-request" => scenario_failing_request::run(record, has_trouble),
            "paired-requests" => scenario_paired_requests::run(record, has_trouble),
            "forgotten-crashes" => scenario_forgotten_crashes::run(record, has_trouble),
            "removed-entry" => scenario_removed_entry::run(record, has_trouble),
            _ => Err(io::Error::other("unknown scenario")),
        }
    };
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the scenario could not run: {e}");
            ExitCode::from(2)
        }
    }
}
