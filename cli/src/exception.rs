//! The `exception` subcommands.

use crate::args::ArgsError;
use crate::args::Invocation;
use crate::change;
use crate::error::CliError;
use crate::output;
use guavaladder_lib::generated::config::Exception;
use guavaladder_lib::generated::config::ExceptionKind;
use guavaladder_lib::generated::operator::ConfigReply;
use guavaladder_lib::operator_client::OperatorClient;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Adds an exception, which needs a reason.
pub async fn add(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let hint = "an exception must state why it is needed";
    let reason = invocation.value("reason");
    let reason = reason.ok_or(ArgsError::Required { option: "reason", hint })?;
    let id = &invocation.argument;
    let mut exception = json!({"id": id, "reason": reason, "what": kind(invocation)?});
    if let Some(seconds) = invocation.number("expires-in")? {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let expires = now + Duration::from_secs(seconds);
        exception["expires_unix_ms"] = json!(expires.as_millis() as u64);
    }
    let mut draft = change::read(client).await?;
    let exceptions = exceptions_mut(&mut draft.config);
    if exceptions.iter().any(|existing| existing["id"] == json!(id)) {
        return Err(CliError::Usage {
            message: format!("exception {id} already exists"),
            hint: format!(
                "remove it with `guavaladder exception remove {id}` or choose another id"
            ),
        });
    }
    exceptions.push(exception);
    change::submit(client, invocation, &draft, format!("add exception {id}: {reason}")).await
}

/// Removes an exception.
pub async fn remove(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let id = &invocation.argument;
    let mut draft = change::read(client).await?;
    let exceptions = exceptions_mut(&mut draft.config);
    let count = exceptions.len();
    exceptions.retain(|existing| existing["id"] != json!(id));
    if exceptions.len() == count {
        return Err(CliError::Usage {
            message: format!("exception {id} does not exist"),
            hint: "see `guavaladder exception list`".to_string(),
        });
    }
    let reason = invocation.value("reason").unwrap_or_else(|| format!("remove exception {id}"));
    change::submit(client, invocation, &draft, reason).await
}

/// Lists the exceptions.
pub async fn list(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let reply: ConfigReply = client.get("config").await?;
    let exceptions = reply.record.map(|record| record.config.exceptions).unwrap_or_default();
    if invocation.has("json") {
        return output::print_json(&exceptions);
    }
    let rows: Vec<Vec<String>> = exceptions.iter().map(row).collect();
    output::print(&output::table(&["EXCEPTION", "WHAT", "EXPIRES IN", "REASON"], &rows))
}

fn row(exception: &Exception) -> Vec<String> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let remaining = exception.expires_unix.map(|at| match at.saturating_sub(now) {
        Duration::ZERO => "expired".to_string(),
        remaining => format!("{} s", remaining.as_secs()),
    });
    let kind = describe_kind(&exception.what);
    vec![exception.id.clone(), kind, output::or_dash(remaining), exception.reason.clone()]
}

fn describe_kind(kind: &ExceptionKind) -> String {
    match kind {
        ExceptionKind::ExcludeInstance(id) => format!("exclude instance {id}"),
        ExceptionKind::CordonInstance(id) => format!("cordon instance {id}"),
        ExceptionKind::PinInstance(pin) => format!("pin {} to {}", pin.instance, pin.service),
        ExceptionKind::CordonDomain(id) => format!("cordon domain {id}"),
        ExceptionKind::ServiceReplicas(replica_override) => {
            format!("{} replicas of {}", replica_override.replicas, replica_override.service)
        }
    }
}

/// Builds the kind of the exception from its option; exactly one kind must be given.
fn kind(invocation: &Invocation) -> Result<Value, CliError> {
    let mut kinds = vec![];
    let id_options = [
        ("exclude-instance", "exclude_instance"),
        ("cordon-instance", "cordon_instance"),
        ("cordon-domain", "cordon_domain"),
    ];
    for (option, key) in id_options {
        kinds.extend(invocation.value(option).map(|id| json!({key: id})));
    }
    let service = invocation.value("service");
    if let Some(instance) = invocation.value("pin-instance") {
        kinds.push(json!({"pin_instance": {"instance": instance, "service": service}}));
    }
    if let Some(replicas) = invocation.number("replicas")? {
        kinds.push(json!({"service_replicas": {"service": service, "replicas": replicas}}));
    }
    match kinds.len() {
        1 => Ok(kinds.remove(0)),
        _ => Err(CliError::Usage {
            message: format!("found {} kinds of exception; allowed: exactly one", kinds.len()),
            hint: "see `guavaladder help exception add`".to_string(),
        }),
    }
}

/// Returns the list of exceptions in a configuration, inserting an empty list if there is none.
fn exceptions_mut(config: &mut Value) -> &mut Vec<Value> {
    if !config["exceptions"].is_array() {
        config["exceptions"] = json!([]);
    }
    match &mut config["exceptions"] {
        Value::Array(exceptions) => exceptions,
        _ => unreachable!("the value was set to an array"),
    }
}
