//! Fleet of the demo, the soak and other benchmarks: the services of two customers in two data
//! centres.

use crate::daemon_process::DaemonPlan;
use crate::daemon_process::DaemonProcess;
use crate::daemon_process::RunDirectory;
use crate::daemon_process::daemon_program;
use crate::fake_fleet::DomainPlan;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::PlainPlan;
use crate::fake_fleet::REGION;
use anyhow::Result;
use guavaladder_lib::token_hash::hash_token;
use guavaladder_testutils::engine_options::EngineOptions;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;

/// Names of the data centres.
pub const DATA_CENTRES: [&str; 2] = ["norte", "sul"];

/// Node ids, each with the data centre of the node.
pub const NODES: [(&str, &str); 3] = [("norte-1", "norte"), ("norte-2", "norte"), ("sul-1", "sul")];

/// Number of instances in a group.
pub const MEMBERS: u32 = 4;

/// Number of engine instances in a fabric domain: two groups and two spare instances.
const DOMAIN_INSTANCES: u32 = 2 * MEMBERS + 2;

/// Number of groups of each engine service.
pub const REPLICAS: u32 = 2;

/// Customer of the benchmarks with the services that it uses.
#[derive(Debug, Clone, Copy)]
pub struct CustomerPlan {
    /// Id of the customer.
    pub customer: &'static str,
    /// Bearer token of the customer.
    pub token: &'static str,
    /// Engine service that the customer sends generations to.
    pub engine_service: &'static str,
    /// Plain service that the customer calls.
    pub plain_service: &'static str,
    /// Path of the customer's calls.
    pub path: &'static str,
}

/// Customers of the benchmarks.
pub const CUSTOMERS: [CustomerPlan; 2] = [
    CustomerPlan {
        customer: "caruaru",
        token: "caruaru-token",
        engine_service: "drafting",
        plain_service: "work-orders",
        path: "dispatch",
    },
    CustomerPlan {
        customer: "andina",
        token: "andina-token",
        engine_service: "serving-pool",
        plain_service: "filing",
        path: "payment",
    },
];

/// Returns the name of the model that an engine service runs.
pub fn model_of(service: &str) -> String {
    format!("{service}-model")
}

/// Version of every model.
pub const MODEL_VERSION: &str = "1";

/// Returns the configuration with the services of both customers.
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

/// Starts the fake platform and upstreams: a fabric domain and both plain services in each data
/// centre. The engines of only one domain check fencing.
pub async fn start_fakes(options: &EngineOptions) -> Result<FakeFleet> {
    let mut fleet = FakeFleet::start().await?;
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
                service: customer.plain_service.to_string(),
                data_centre: data_centre.to_string(),
                instances: 1,
                options: options.clone(),
            };
            fleet.add_plain(&plan).await?;
        }
    }
    Ok(fleet)
}

/// Prepares the daemons and registers them with the platform, without starting them.
pub fn make_daemons(
    fleet: &FakeFleet,
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
