//! A platform and upstream instances as stand-ins on loopback, with faults on demand.

use crate::fake_engine;
use crate::fake_plain_service;
use crate::fake_platform;
use crate::fake_server::FakeServer;
use anyhow::Context;
use anyhow::Result;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::engine_world::EngineWorld;
use guavaladder_testutils::fake_store::FakeStore;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

/// Accelerators of one instance.
const ACCELERATORS: u32 = 8;

/// Time after which the instance list shows a change.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Region of all stand-ins.
pub const REGION: &str = "andes";

/// Engines of one fabric domain.
#[derive(Debug, Clone)]
pub struct DomainPlan {
    /// Id of the domain.
    pub domain: String,
    /// Data centre.
    pub data_centre: String,
    /// Upstream kind.
    pub kind: String,
    /// Number of instances.
    pub instances: u32,
    /// Options of each.
    pub options: EngineOptions,
}

/// Instances of one plain service.
#[derive(Debug, Clone)]
pub struct PlainPlan {
    /// Service that they run.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Number of instances.
    pub instances: u32,
    /// Options of each.
    pub options: EngineOptions,
}

/// The stand-ins.
pub struct StandinFleet {
    /// State of the platform's store.
    pub store: FakeStore,
    /// State of the instances.
    pub world: EngineWorld,
    platform: FakeServer,
    servers: BTreeMap<String, FakeServer>,
}

impl StandinFleet {
    /// Starts the platform on a free port.
    pub async fn start() -> Result<Self> {
        Self::start_on("127.0.0.1:0").await
    }

    /// Starts the platform on an address.
    pub async fn start_on(address: &str) -> Result<Self> {
        let store = FakeStore::new(Clock::new());
        let world = EngineWorld::new(Clock::new()).with_list_lag(LIST_LAG);
        let answer = fake_platform::request_handler(store.clone(), world.clone());
        let platform = FakeServer::start_on(address, answer).await?;
        Ok(Self { store, world, platform, servers: BTreeMap::new() })
    }

    /// Starts the engines of a fabric domain.
    pub async fn add_domain(&mut self, plan: &DomainPlan) -> Result<()> {
        for index in 0..plan.instances {
            let info = InstanceInfo {
                instance: format!("{}-i{index}", plan.domain),
                address: String::new(),
                role: InstanceRole::Engine,
                domain: plan.domain.clone(),
                data_centre: plan.data_centre.clone(),
                region: REGION.to_string(),
                accelerators: ACCELERATORS,
                kind: plan.kind.clone(),
                service: None,
                state: InstanceState::Live,
            };
            self.add(info, &plan.options).await?;
        }
        Ok(())
    }

    /// Starts the instances of a plain service.
    pub async fn add_plain(&mut self, plan: &PlainPlan) -> Result<()> {
        for index in 0..plan.instances {
            let info = InstanceInfo {
                instance: format!("{}-{}-{index}", plan.service, plan.data_centre),
                address: String::new(),
                role: InstanceRole::Plain,
                domain: String::new(),
                data_centre: plan.data_centre.clone(),
                region: REGION.to_string(),
                accelerators: 0,
                kind: "plain".to_string(),
                service: Some(plan.service.clone()),
                state: InstanceState::Live,
            };
            self.add(info, &plan.options).await?;
        }
        Ok(())
    }

    /// Lists an entry instance by its peer address.
    pub fn add_entry(&self, node: &str, data_centre: &str, peer_address: &str) {
        self.world.add_entry(InstanceInfo {
            instance: node.to_string(),
            address: peer_address.to_string(),
            role: InstanceRole::Entry,
            domain: String::new(),
            data_centre: data_centre.to_string(),
            region: REGION.to_string(),
            accelerators: 0,
            kind: "entry".to_string(),
            service: None,
            state: InstanceState::Live,
        });
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> &str {
        self.platform.address()
    }

    /// Lets the open connections to the platform go silent.
    pub fn silence_platform(&self) {
        self.platform.stall_connections();
    }

    /// Returns the address of an instance.
    pub fn address_of(&self, instance: &str) -> Option<String> {
        let mut all = self.world.all_instances().into_iter();
        all.find(|info| info.instance == instance).map(|info| info.address)
    }

    /// Kills an instance: its group breaks and its port refuses connections.
    pub fn kill(&self, address: &str) {
        self.world.kill(address);
        if let Some(server) = self.servers.get(address) {
            server.kill();
        }
    }

    /// Starts a killed instance again.
    pub async fn revive(&self, address: &str) -> Result<()> {
        let server = self.servers.get(address).context("no such instance")?;
        server.revive().await?;
        self.world.revive(address);
        Ok(())
    }

    /// Lets the open connections to an instance go silent for good.
    pub fn go_silent(&self, address: &str) {
        if let Some(server) = self.servers.get(address) {
            server.stall_connections();
        }
    }

    async fn add(&mut self, mut info: InstanceInfo, options: &EngineOptions) -> Result<()> {
        let address = Arc::new(OnceLock::new());
        let world = self.world.clone();
        let answer = match info.role {
            InstanceRole::Plain => fake_plain_service::request_handler(world, address.clone()),
            InstanceRole::Engine | InstanceRole::Entry => {
                fake_engine::request_handler(world, address.clone())
            }
        };
        let server = FakeServer::start(answer).await?;
        info.address = server.address().to_string();
        // The cell was made above and is set once.
        let _ = address.set(info.address.clone());
        self.world.add_instance(info.clone(), options.clone());
        self.servers.insert(info.address, server);
        Ok(())
    }
}
