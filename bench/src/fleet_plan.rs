//! The fleet that the demo and the soak run: two users' services in two data centres.

use crate::daemon_process::DaemonPlan;
use crate::daemon_process::DaemonProcess;
use crate::daemon_process::RunDirectory;
use crate::daemon_process::daemon_program;
use crate::standin_fleet::DomainPlan;
use crate::standin_fleet::PlainPlan;
use crate::standin_fleet::REGION;
use crate::standin_fleet::StandinFleet;
use anyhow::Result;
use guavaladder_lib::token_hash::hash_token;
use guavaladder_testutils::engine_options::EngineOptions;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;

/// Data centres.
pub const DATA_CENTRES: [&str; 2] = ["norte", "sul"];

/// Nodes with the data centres that they are in.
pub const NODES: [(&str, &str); 3] = [("norte-1", "norte"), ("norte-2", "norte"), ("sul-1", "sul")];

/// Instances of one group.
pub const MEMBERS: u32 = 4;

/// Engine instances of a fabric domain: two groups, and two instances to spare.
const DOMAIN_INSTANCES: u32 = 2 * MEMBERS + 2;

/// Groups of each engine service.
pub const REPLICAS: u32 = 2;

/// One customer of the benches.
#[derive(Debug, Clone, Copy)]
pub struct CustomerPlan {
    /// Id of the customer.
    pub customer: &'static str,
    /// Its bearer token.
    pub token: &'static str,
    /// Engine service that it uses.
    pub generates: &'static str,
    /// Plain service that it uses.
    pub calls: &'static str,
    /// Path of its calls.
    pub path: &'static str,
}

/// The two users.
pub const CUSTOMERS: [CustomerPlan; 2] = [
    CustomerPlan {
        customer: "caruaru",
        token: "caruaru-token",
        generates: "drafting",
        calls: "work-orders",
        path: "dispatch",
    },
    CustomerPlan {
        customer: "andina",
        token: "andina-token",
        generates: "serving-pool",
        calls: "filing",
        path: "payment",
    },
];

/// Returns the model of an engine service.
pub fn model_of(service: &str) -> String {
    format!("{service}-model")
}

/// Version of all models.
pub const MODEL_VERSION: &str = "1";

/// Returns the configuration with both users' services.
pub fn config() -> Value {
    let engine = |service: &str, downtime_weight: f64| {
        json!({
            "kind": "engine", "model": model_of(service), "version": MODEL_VERSION,
            "replicas": REPLICAS, "members_per_replica": MEMBERS,
            "downtime_weight": downtime_weight,
        })
    };
    let plain = json!({"kind": "plain", "replicas": 2, "idempotent": false});
    let customer =
        |token: &str| json!({"weight": 10, "burst": 1000, "tokens": [hash_token(token)]});
    json!({
        "defaults": {"lease_ms": 3000, "silence_ms": 600},
        "services": {
            "drafting": engine("drafting", 0.9), "serving-pool": engine("serving-pool", 0.2),
            "work-orders": plain, "filing": plain,
        },
        "customers": {
            "caruaru": customer("caruaru-token"), "andina": customer("andina-token"),
        },
        "upstream_kinds": {
            "fenced": {"checks_fencing": true, "order_timeout_ms": 1000},
            "unfenced": {"checks_fencing": false, "order_timeout_ms": 1000},
            "plain": {},
        },
    })
}

/// Starts the stand-ins: one domain of each kind and both plain services in each data centre.
pub async fn start_standins(options: &EngineOptions) -> Result<StandinFleet> {
    let mut fleet = StandinFleet::start().await?;
    for (data_centre, kind) in DATA_CENTRES.into_iter().zip(["fenced", "unfenced"]) {
        let plan = DomainPlan {
            domain: format!("fabric-{data_centre}"),
            data_centre: data_centre.to_string(),
            kind: kind.to_string(),
            instances: DOMAIN_INSTANCES,
            options: options.clone().with_fencing(kind == "fenced"),
        };
        fleet.add_domain(&plan).await?;
        for customer in CUSTOMERS {
            let plan = PlainPlan {
                service: customer.calls.to_string(),
                data_centre: data_centre.to_string(),
                instances: 1,
                options: options.clone(),
            };
            fleet.add_plain(&plan).await?;
        }
    }
    Ok(fleet)
}

/// Makes the daemons and lists them with the platform; they are started separately.
pub fn make_daemons(
    fleet: &StandinFleet,
    directory: &RunDirectory,
    nodes: &[(&str, &str)],
    shutdown: Duration,
) -> Result<Vec<DaemonProcess>> {
    let program = daemon_program()?;
    let mut daemons = vec![];
    for (node, data_centre) in nodes {
        let plan = DaemonPlan {
            node: node.to_string(),
            data_centre: data_centre.to_string(),
            region: REGION.to_string(),
            platform: fleet.platform_address().to_string(),
            peers: vec![],
            shutdown,
        };
        let daemon = DaemonProcess::new(&program, directory, plan)?;
        fleet.add_entry(node, data_centre, &daemon.settings.peer_listen);
        daemons.push(daemon);
    }
    Ok(daemons)
}
