//! Read-only subcommands: `status`, `instance list`, `why` and `report burn`.

use crate::args::Invocation;
use crate::error::CliError;
use crate::output;
use crate::service;
use guavaladder_lib::burn_report_html;
use guavaladder_lib::burn_report_text;
use guavaladder_lib::generated::burn::BurnReport;
use guavaladder_lib::generated::operator::InstanceStatus;
use guavaladder_lib::generated::operator::InstancesReply;
use guavaladder_lib::generated::operator::NodeStatus;
use guavaladder_lib::generated::operator::StatusReply;
use guavaladder_lib::generated::operator::WhyReply;
use guavaladder_lib::operator_client::OperatorClient;

/// Shows an overview of the fleet.
pub async fn status(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let reply: StatusReply = client.get("status").await?;
    if invocation.has("json") {
        return output::print_json(&reply);
    }
    let store = match reply.store_available {
        Some(true) => "available",
        Some(false) => "unavailable",
        None => "unknown",
    };
    let config = output::or_dash(reply.config_version);
    output::print(&format!(
        "queried {}: configuration version {config}, store {store}",
        reply.node
    ))?;
    output::print(&format!(
        "instances: {} live, {} leaving, {} in no group; {} accelerators stranded",
        reply.instances_live,
        reply.instances_leaving,
        reply.instances_unassigned,
        reply.accelerators_stranded
    ))?;
    let rows: Vec<Vec<String>> = reply.nodes.iter().map(node_row).collect();
    let headers = ["NODE", "STATE", "DATA CENTRE", "REGION", "CALLERS", "OPERATORS", "CONFIG"];
    output::print(&format!("\n{}", output::table(&headers, &rows)))?;
    output::print(&format!("\n{}", service::table(&reply.services)))
}

/// Lists the instances with their groups.
pub async fn instances(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let mut reply: InstancesReply = client.get("instances").await?;
    if let Some(service) = invocation.value("service") {
        reply.instances.retain(|instance| {
            [&instance.service, &instance.info.service].contains(&&Some(service.clone()))
        });
    }
    if invocation.has("json") {
        return output::print_json(&reply);
    }
    let rows: Vec<Vec<String>> = reply.instances.iter().map(instance_row).collect();
    let headers = [
        "INSTANCE",
        "ROLE",
        "STATE",
        "DOMAIN",
        "DATA CENTRE",
        "SERVICE",
        "GROUP",
        "GROUP STATE",
        "EXCEPTION",
    ];
    output::print(&output::table(&headers, &rows))
}

/// Lists the events about a group, request, upstream or node.
pub async fn why(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let path = format!("why?id={}", percent_encode(&invocation.argument));
    let reply: WhyReply = client.get(&path).await?;
    if invocation.has("json") {
        return output::print_json(&reply);
    }
    for event in &reply.events {
        let time = output::time_of_day(event.unix);
        output::print(&format!("{time} {} {}", event.node, event.text))?;
    }
    if reply.events.is_empty() {
        output::print(&format!("no node has an event about {}", reply.id))?;
    }
    for missing in &reply.missing {
        output::print(&format!("no events from {missing}"))?;
    }
    Ok(())
}

/// Reports the burn rates of the error budgets as a table, JSON or an HTML page.
pub async fn report_burn(client: &OperatorClient, invocation: &Invocation) -> Result<(), CliError> {
    let report: BurnReport = client.get("report/burn").await?;
    if invocation.has("json") {
        return output::print_json(&report);
    }
    if let Some(path) = invocation.value("html") {
        let written = std::fs::write(&path, burn_report_html::render(&report));
        written.map_err(|source| CliError::File { path: path.clone(), source })?;
        return output::print(&format!("wrote {path}"));
    }
    output::print(burn_report_text::render(&report).trim_end())
}

/// Percent-encodes a query value; every byte is encoded.
fn percent_encode(text: &str) -> String {
    text.bytes().map(|byte| format!("%{byte:02X}")).collect()
}

fn node_row(node: &NodeStatus) -> Vec<String> {
    vec![
        node.node.clone(),
        node.state.clone(),
        node.data_centre.clone(),
        node.region.clone(),
        node.caller_address.clone(),
        node.operator_address.clone(),
        output::or_dash(node.config_version),
    ]
}

fn instance_row(instance: &InstanceStatus) -> Vec<String> {
    let info = &instance.info;
    let service = instance.service.as_ref().or(info.service.as_ref());
    vec![
        info.instance.clone(),
        info.role.name().to_string(),
        info.state.name().to_string(),
        info.domain.clone(),
        info.data_centre.clone(),
        output::or_dash(service),
        output::or_dash(instance.group.as_ref()),
        output::or_dash(instance.group_state.map(|state| state.name())),
        output::or_dash(instance.exception.as_ref()),
    ]
}
