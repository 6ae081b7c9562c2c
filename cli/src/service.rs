//! The `service` subcommands.

use crate::args::Invocation;
use crate::change;
use crate::error::CliError;
use crate::output;
use guavaladder_lib::generated::groups::GroupRecord;
use guavaladder_lib::generated::operator::ServiceStatus;
use guavaladder_lib::generated::operator::ServicesReply;
use guavaladder_lib::operator_client::OperatorClient;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Options with a text value, and the key of the service's configuration that each sets.
const TEXT_OPTIONS: [(&str, &str); 3] =
    [("model", "model"), ("model-version", "version"), ("adapter", "adapter")];
/// Options with a number, and the key of the service's configuration that each sets.
const NUMBER_OPTIONS: [(&str, &str); 3] =
    [("replicas", "replicas"), ("members", "members_per_replica"), ("priority", "priority")];

/// Adds a service to the configuration.
pub async fn create(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let id = &invocation.argument;
    let service = service(invocation)?;
    let mut draft = change::read(client).await?;
    if !draft.config["services"][id].is_null() {
        return Err(CliError::Usage {
            message: format!("service {id} already exists"),
            hint: "change it with `guavaladder config get` and `config apply`".to_string(),
        });
    }
    draft.config["services"][id] = service;
    let reason = invocation.value("reason").unwrap_or_else(|| format!("create service {id}"));
    change::submit(client, invocation, &draft, reason).await
}

/// Lists the services.
pub async fn list(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let reply: ServicesReply = client.get("services").await?;
    if invocation.has("json") {
        return output::print_json(&reply);
    }
    output::print(&table(&reply.services))
}

/// Shows one service with its groups.
pub async fn show(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let reply: ServicesReply = client.get("services").await?;
    let id = &invocation.argument;
    let service_ids =
        || reply.services.iter().map(|s| s.service.as_str()).collect::<Vec<_>>().join(", ");
    let Some(service) = reply.services.iter().find(|service| service.service == *id) else {
        return Err(CliError::Usage {
            message: format!("service {id} does not exist"),
            hint: format!("the services are: {}", service_ids()),
        });
    };
    if invocation.has("json") {
        return output::print_json(service);
    }
    output::print(&table(std::slice::from_ref(service)))?;
    let rows: Vec<Vec<String>> = service.groups.iter().map(group_row).collect();
    output::print(&format!("\n{}", output::table(&["GROUP", "STATE", "EPOCH", "MEMBERS"], &rows)))
}

/// Renders the table of services for `service list`, `service show` and `status`.
pub fn table(services: &[ServiceStatus]) -> String {
    let row = |s: &ServiceStatus| {
        let numbers = [s.wanted, s.serving, s.assembling, s.draining, s.instances];
        let mut row = vec![s.service.clone(), s.kind.name().to_string()];
        row.extend(numbers.iter().map(u32::to_string));
        row
    };
    let rows: Vec<Vec<String>> = services.iter().map(row).collect();
    let headers = ["SERVICE", "KIND", "WANTED", "SERVING", "ASSEMBLING", "DRAINING", "INSTANCES"];
    output::table(&headers, &rows)
}

fn group_row(group: &GroupRecord) -> Vec<String> {
    let members: Vec<&str> = group.members.iter().map(|m| m.instance.as_str()).collect();
    vec![
        group.group.clone(),
        group.state.name().to_string(),
        group.epoch.to_string(),
        members.join(" "),
    ]
}

/// Builds the service's configuration from the options. The node validates it against the schema.
fn service(invocation: &Invocation) -> Result<Value, CliError> {
    let mut service = Map::new();
    let kind = invocation.value("kind").unwrap_or_else(|| "engine".to_string());
    service.insert("kind".to_string(), json!(kind));
    for (option, key) in TEXT_OPTIONS {
        if let Some(value) = invocation.value(option) {
            service.insert(key.to_string(), json!(value));
        }
    }
    for (option, key) in NUMBER_OPTIONS {
        if let Some(value) = invocation.number(option)? {
            service.insert(key.to_string(), json!(value));
        }
    }
    if let Some(weight) = invocation.decimal("downtime-weight")? {
        service.insert("downtime_weight".to_string(), json!(weight));
    }
    if invocation.has("not-idempotent") {
        service.insert("idempotent".to_string(), json!(false));
    }
    Ok(Value::Object(service))
}
