//! `guavaladder-bench standins`: runs a fake platform and fake upstream instances until
//! interrupted, for manual tests.

use crate::fake_fleet::DomainPlan;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::PlainPlan;
use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use guavaladder_testutils::engine_options::EngineOptions;
use std::process::ExitCode;

/// Data centres of the fake instances.
const DATA_CENTRES: [&str; 2] = ["norte", "sul"];

/// Runs the subcommand `standins`.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "platform", "address of the platform (default 127.0.0.1:8600)", "IP:PORT");
    options.optopt("", "domains", "number of fabric domains (default 2)", "N");
    options.optopt("", "instances", "number of engines in each domain (default 8)", "N");
    let matches = options.parse(args)?;
    let platform = matches.opt_str("platform").unwrap_or_else(|| "127.0.0.1:8600".to_string());
    let domains: usize = matches.opt_get_default("domains", 2)?;
    let instances = matches.opt_get_default("instances", 8)?;
    let mut fleet = FakeFleet::start_on(&platform).await.context("cannot start the platform")?;
    for index in 0..domains {
        let plan = DomainPlan {
            domain: format!("fabric-{index}"),
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_string(),
            kind: "fenced".to_string(),
            instances,
            options: EngineOptions::default(),
        };
        fleet.add_domain(&plan).await?;
    }
    for data_centre in DATA_CENTRES {
        let plan = PlainPlan {
            service: "work-orders".to_string(),
            data_centre: data_centre.to_string(),
            instances: 2,
            options: EngineOptions::default(),
        };
        fleet.add_plain(&plan).await?;
    }
    println!("platform at {}", fleet.platform_address());
    for info in fleet.fake_instances.all_instances() {
        println!("{} {} at {}", info.role.name(), info.instance, info.address);
    }
    tokio::signal::ctrl_c().await?;
    Ok(ExitCode::SUCCESS)
}
