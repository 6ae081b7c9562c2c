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

/// Entries of the history that are shown, where the operator names no number.
const DEFAULT_HISTORY_LIMIT: u64 = 20;

/// Prints the configuration in force with its version, as `apply` takes it.
pub async fn get(client: &OperatorClient) -> Result<(), CliError> {
    let reply: ConfigReply = client.get("config").await?;
    match reply.record {
        Some(record) => output::print_json(&record),
        None => Err(CliError::Usage {
            message: "there is no configuration yet".to_string(),
            hint: "apply a first one with `guavaladder config apply FILE --reason TEXT`"
                .to_string(),
        }),
    }
}

/// Shows what a file would change and its problems.
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
    let (places, problems) = (reply.differences.len(), reply.problems.len());
    output::print(&format!(
        "{places} differences from version {}, {problems} problems",
        reply.version
    ))
}

/// Puts a configuration into force.
pub async fn apply(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let hint = "say why the change is made; it is kept in the history";
    let reason = invocation.value("reason");
    let reason = reason.ok_or(ArgsError::Required { option: "reason", hint })?;
    let (version, config) = read_file(&invocation.argument)?;
    let based_on = match invocation.number("based-on")?.or(version) {
        Some(based_on) => based_on,
        None => version_of_bare_file(client).await?,
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

/// Renders one difference on one line.
pub fn render_difference(difference: &ConfigDifference) -> String {
    let side = |value: &Option<String>| value.clone().unwrap_or_else(|| "(absent)".to_string());
    format!("{}: {} -> {}", difference.path, side(&difference.before), side(&difference.after))
}

/// A bare file may only be the first configuration, since it does not tell what it was read from.
async fn version_of_bare_file(client: &OperatorClient) -> Result<u64, CliError> {
    match change::read(client).await?.based_on {
        0 => Ok(0),
        version => Err(CliError::Usage {
            message: format!("the file has no version, and version {version} is in force"),
            hint: format!("edit the output of `config get`, or give --based-on {version}"),
        }),
    }
}

/// Reads a configuration, bare or as `config get` prints it with its version.
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
