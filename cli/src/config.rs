//! The `config` subcommands.

use crate::args::ArgsError;
use crate::args::Invocation;
use crate::change;
use crate::change::Draft;
use crate::error::CliError;
use crate::output;
use guavaladder_lib::generated::config::ConfigRecord;
use guavaladder_lib::generated::operator::ConfigDiffReply;
use guavaladder_lib::generated::operator::ConfigDifference;
use guavaladder_lib::generated::operator::ConfigHistoryReply;
use guavaladder_lib::generated::operator::ConfigReply;
use guavaladder_lib::operator_client::OperatorClient;
use serde_json::Value;
use std::fs;

/// Default of `--limit`: number of history entries that are shown.
const DEFAULT_HISTORY_LIMIT: u64 = 20;

/// Prints the configuration in force with its version, in the format that `apply` reads.
pub async fn get(client: &OperatorClient) -> Result<(), CliError> {
    let reply: ConfigReply = client.get("config").await?;
    match reply.record {
        Some(record) => output::print_json(&record),
        None => Err(CliError::Usage {
            message: "there is no configuration yet".to_string(),
            hint: "create one with `guavaladder config apply FILE --reason TEXT`".to_string(),
        }),
    }
}

/// Shows the changes that a file would make, and its problems.
pub async fn diff(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let (_, config) = read_file(&invocation.argument)?;
    let reply: ConfigDiffReply = client.post("config/diff", &config).await?;
    if invocation.has("json") {
        return output::print_json(&reply);
    }
    for problem in &reply.problems {
        output::print(&format!("problem: {problem}"))?;
    }
    for difference in &reply.differences {
        output::print(&render_difference(difference))?;
    }
    let (differences, problems) = (reply.differences.len(), reply.problems.len());
    output::print(&format!(
        "{differences} differences from version {}, {problems} problems",
        reply.version
    ))
}

/// Puts a configuration into force.
pub async fn apply(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let hint = "state the reason for the change; it is recorded in the history";
    let reason = invocation.value("reason");
    let reason = reason.ok_or(ArgsError::Required { option: "reason", hint })?;
    let (version, config) = read_file(&invocation.argument)?;
    let based_on = match invocation.number("based-on")?.or(version) {
        Some(based_on) => based_on,
        None => base_of_unversioned_file(client).await?,
    };
    change::submit(client, invocation, &Draft { based_on, config }, reason).await
}

/// Lists the changes, newest first.
pub async fn history(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let limit = invocation.number("limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
    let reply: ConfigHistoryReply = client.get(&format!("config/history?limit={limit}")).await?;
    if invocation.has("json") {
        return output::print_json(&reply);
    }
    let row = |record: &ConfigRecord| {
        vec![
            record.version.to_string(),
            output::age(record.accepted_unix),
            record.author.clone(),
            record.change_id.clone(),
            record.reason.clone(),
        ]
    };
    let rows: Vec<Vec<String>> = reply.records.iter().map(row).collect();
    output::print(&output::table(&["VERSION", "AGE", "AUTHOR", "CHANGE", "REASON"], &rows))
}

/// Renders a difference as one line.
pub fn render_difference(difference: &ConfigDifference) -> String {
    let value_text =
        |value: &Option<String>| value.clone().unwrap_or_else(|| "(absent)".to_string());
    format!(
        "{}: {} -> {}",
        difference.path,
        value_text(&difference.before),
        value_text(&difference.after)
    )
}

/// Returns 0, the version before the first configuration, or an error if there is a configuration:
/// a file without a version does not say which configuration it was edited from.
async fn base_of_unversioned_file(client: &OperatorClient) -> Result<u64, CliError> {
    match change::read(client).await?.based_on {
        0 => Ok(0),
        version => Err(CliError::Usage {
            message: format!("the file has no version, and version {version} is in force"),
            hint: format!("edit the output of `config get`, or give --based-on {version}"),
        }),
    }
}

/// Reads a configuration with its version from the output of `config get`, or without a version.
fn read_file(path: &str) -> Result<(Option<u64>, Value), CliError> {
    let text = fs::read_to_string(path)
        .map_err(|source| CliError::File { path: path.to_string(), source })?;
    let document: Value = serde_json::from_str(&text).map_err(|e| CliError::Usage {
        message: format!("{path}: found a syntax error ({e}); allowed: JSON"),
        hint: "look for a missing comma, quote or bracket there".to_string(),
    })?;
    match document.get("config") {
        Some(config) => Ok((document["version"].as_u64(), config.clone())),
        None => Ok((None, document)),
    }
}
