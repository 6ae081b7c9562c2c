//! The `log` subcommands: `explain` builds the timeline of a request from the logs of several nodes, `account`
//! counts how requests ended.

use crate::args::ArgsError;
use crate::args::Invocation;
use crate::error::CliError;
use crate::output;
use guavaladder_lib::log_account;
use guavaladder_lib::log_account::Account;
use guavaladder_lib::log_explain;
use guavaladder_lib::log_explain::LogLine;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Prints the timeline of a request.
pub fn explain(invocation: &Invocation) -> Result<(), CliError> {
    let lines = read_logs(invocation)?;
    let request = invocation.argument.clone();
    let timeline = log_explain::explain(&request, &lines);
    if timeline.lines.is_empty() {
        return Err(CliError::Usage {
            message: format!("request {request:?} not found in the log files"),
            hint: "events of successful requests are rate-limited and may be missing; give the \
                   logs of all nodes"
                .to_string(),
        });
    }
    if invocation.has("json") {
        return output::print_json(&timeline);
    }
    for line in &timeline.lines {
        output::print(&line.text())?;
    }
    if timeline.sources.len() > 1 {
        let nodes = timeline.sources.join(", ");
        output::print(&format!("note: each node's times come from its own clock ({nodes})"))?;
    }
    Ok(())
}

/// Prints how the requests in the logs ended.
pub fn account(invocation: &Invocation) -> Result<(), CliError> {
    let limits = first_limits(&invocation.values("late"))?;
    let account = log_account::account(&read_logs(invocation)?, &limits);
    if invocation.has("json") {
        return output::print_json(&account);
    }
    print_account(&account)
}

fn print_account(account: &Account) -> Result<(), CliError> {
    let rows = account.rows.iter().map(|row| {
        let seconds = row.worst_seconds.iter().map(|(second, n)| format!("{second}s:{n}"));
        vec![
            row.route.clone(),
            row.outcome.name().to_string(),
            row.requests.to_string(),
            seconds.collect::<Vec<_>>().join(" "),
            counts(&row.reasons),
        ]
    });
    let headers = ["ROUTE", "OUTCOME", "REQUESTS", "WORST SECONDS", "REASONS"];
    output::print(&output::table(&headers, &rows.collect::<Vec<_>>()))?;
    output::print(&format!(
        "failed attempts of requests that went on: {}",
        counts(&account.moves)
    ))?;
    let left_out = counts(&account.left_out);
    output::print(&format!("{} nodes; lines left out of the logs: {left_out}", account.nodes))
}

/// Formats counts by name, the largest first.
fn counts(by_name: &BTreeMap<String, u64>) -> String {
    let mut counts: Vec<(&String, &u64)> = by_name.iter().collect();
    counts.sort_by_key(|(_, count)| u64::MAX - **count);
    let texts: Vec<String> = counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    if texts.is_empty() { "none".to_string() } else { texts.join(", ") }
}

/// Parses the values of `--late`, each `ROUTE=MS`.
fn first_limits(values: &[String]) -> Result<BTreeMap<String, Duration>, CliError> {
    let parse = |value: &String| {
        let (route, millis) = value.split_once('=')?;
        let millis = millis.parse().ok()?;
        (!route.is_empty()).then(|| (route.to_string(), Duration::from_millis(millis)))
    };
    let invalid = |value: &String| ArgsError::Value {
        option: "late",
        found: value.clone(),
        allowed: "ROUTE=MS, the name of a route and a whole number of milliseconds",
    };
    values.iter().map(|value| parse(value).ok_or_else(|| invalid(value).into())).collect()
}

/// Reads the lines of the log files that are given.
fn read_logs(invocation: &Invocation) -> Result<Vec<LogLine>, CliError> {
    let files = invocation.values("log");
    if files.is_empty() {
        return Err(CliError::Usage {
            message: "no log file given".to_string(),
            hint: "give --log FILE once for each node".to_string(),
        });
    }
    let mut lines = vec![];
    for file in &files {
        let bytes =
            fs::read(file).map_err(|source| CliError::File { path: file.clone(), source })?;
        let text = String::from_utf8_lossy(&bytes);
        let source = Path::new(file).file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|line| log_explain::parse(line, &source)));
    }
    Ok(lines)
}
