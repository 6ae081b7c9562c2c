//! Submits a changed configuration and waits until it is in force on every node.

use crate::args::Invocation;
use crate::error::CliError;
use crate::output;
use guavaladder_lib::generated::config::ConfigChangeReply;
use guavaladder_lib::generated::config::ConfigChangeRequest;
use guavaladder_lib::generated::config::InForceReport;
use guavaladder_lib::generated::operator::ConfigReply;
use guavaladder_lib::operator_client::OperatorClient;
use guavaladder_lib::token_hash::hash_token;
use serde_json::Value;
use serde_json::json;
use std::env;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use tokio::time::Instant;

/// Default of `--wait`: maximum wait until a change is in force on every node.
const DEFAULT_WAIT_SECONDS: u64 = 10;
/// Interval between two polls of the nodes on which a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Length of a generated change id, in characters.
const CHANGE_ID_CHARS: usize = 16;

/// A configuration to be submitted, with the version that it is based on.
pub struct Draft {
    /// Version that was in force when the configuration was read; 0 if there was none.
    pub based_on: u64,
    /// The configuration as JSON.
    pub config: Value,
}

/// Reads the configuration in force as a draft, or returns an empty draft if there is none.
pub async fn read(client: &OperatorClient) -> Result<Draft, CliError> {
    let reply: ConfigReply = client.get("config").await?;
    Ok(match reply.record {
        Some(record) => Draft {
            based_on: record.version,
            config: serde_json::to_value(&record.config).unwrap_or_default(),
        },
        None => Draft { based_on: 0, config: json!({"defaults": {}}) },
    })
}

/// Submits a draft and waits until it is in force on every node or `--wait` has elapsed.
pub async fn submit(
    client: &OperatorClient,
    invocation: &Invocation,
    draft: &Draft,
    reason: String,
) -> Result<(), CliError> {
    let wait = Duration::from_secs(invocation.number("wait")?.unwrap_or(DEFAULT_WAIT_SECONDS));
    let req = ConfigChangeRequest {
        change_id: invocation.value("change-id").unwrap_or_else(|| new_change_id(&draft.config)),
        author: author(invocation),
        reason,
        based_on: draft.based_on,
        config: draft.config.to_string(),
    };
    let reply: ConfigChangeReply = client.post("config/apply", &req).await?;
    let started = Instant::now();
    let report = wait_in_force(client, reply.version, started + wait).await?;
    if report.in_force < report.members || report.members == 0 {
        return Err(CliError::NotInForceEverywhere(report));
    }
    if invocation.has("json") {
        return output::print_json(&report);
    }
    let repeated = if reply.repeated { " (this change had been accepted before)" } else { "" };
    output::print(&format!(
        "version {} accepted, in force on {} of {} after {:.1} s{repeated}",
        reply.version,
        report.in_force,
        report.members,
        started.elapsed().as_secs_f64()
    ))
}

async fn wait_in_force(
    client: &OperatorClient,
    version: u64,
    deadline: Instant,
) -> Result<InForceReport, CliError> {
    loop {
        let path = format!("config/in-force?version={version}");
        let report: InForceReport = client.get(&path).await?;
        let is_in_force_everywhere = report.members > 0 && report.in_force == report.members;
        if is_in_force_everywhere || Instant::now() >= deadline {
            return Ok(report);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn author(invocation: &Invocation) -> String {
    let user_name = || env::var("USER").ok().filter(|name| !name.is_empty());
    let author = invocation.value("author").or_else(user_name);
    author.unwrap_or_else(|| "unknown".to_string())
}

/// Returns a unique change id: a hash of the draft, the current time and the process id.
fn new_change_id(config: &Value) -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let hash = hash_token(&format!("{} {} {config}", time.as_nanos(), std::process::id()));
    let hex_digits = hash.trim_start_matches("blake3:");
    hex_digits.chars().take(CHANGE_ID_CHARS).collect()
}
