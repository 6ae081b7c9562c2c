//! Fake platform and upstream instances on loopback, with fault injection.

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
use guavaladder_testutils::fake_instances::FakeInstances;
use guavaladder_testutils::fake_store::FakeStore;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

/// Number of accelerators of an engine instance.
const ACCELERATORS: u32 = 8;

/// Delay until the instance list reflects a change.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Region of all fake instances.
pub const REGION: &str = "andes";

/// Engine instances of a fabric domain.
#[derive(Debug, Clone)]
pub struct DomainPlan {
    /// Domain id.
    pub domain: String,
    /// Data centre of the instances.
    pub data_centre: String,
    /// Upstream kind of the instances.
    pub kind: String,
    /// Number of instances.
    pub instances: u32,
    /// Options of each instance.
    pub options: EngineOptions,
}

/// Instances of a plain service in a data centre.
#[derive(Debug, Clone)]
pub struct PlainPlan {
    /// Service that they run.
    pub service: String,
    /// Data centre of the instances.
    pub data_centre: String,
    /// Number of instances.
    pub instances: u32,
    /// Options of each instance.
    pub options: EngineOptions,
}

/// Fake platform and upstream instances, each with an HTTP server on loopback.
pub struct FakeFleet {
    /// Store of the platform.
    pub store: FakeStore,
    /// State of the instances.
    pub fake_instances: FakeInstances,
    platform: FakeServer,
    servers: BTreeMap<String, FakeServer>,
}

impl FakeFleet {
    /// Starts the platform on a free port.
    pub async fn start() -> Result<Self> {
        Self::start_on("127.0.0.1:0").await
    }

    /// Starts the platform on an address.
    pub async fn start_on(address: &str) -> Result<Self> {
        let store = FakeStore::new(Clock::new());
        let fake_instances = FakeInstances::new(Clock::new()).with_list_lag(LIST_LAG);
        let answer = fake_platform::request_handler(store.clone(), fake_instances.clone());
        let platform = FakeServer::start_on(address, answer).await?;
        Ok(Self { store, fake_instances, platform, servers: BTreeMap::new() })
    }

    /// Starts the engine instances of a fabric domain.
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

    /// Adds an entry node with its peer address to the instance list.
    pub fn add_entry(&self, node: &str, data_centre: &str, peer_address: &str) {
        self.fake_instances.add_entry(InstanceInfo {
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

    /// Stalls the open connections to the platform.
    pub fn stall_platform_connections(&self) {
        self.platform.stall_connections();
    }

    /// Returns the address of an instance.
    pub fn address_of(&self, instance: &str) -> Option<String> {
        let mut all = self.fake_instances.all_instances().into_iter();
        all.find(|info| info.instance == instance).map(|info| info.address)
    }

    /// Kills an instance: its group fails and its port refuses connections.
    pub fn kill(&self, address: &str) {
        self.fake_instances.kill(address);
        if let Some(server) = self.servers.get(address) {
            server.kill();
        }
    }

    /// Restarts a killed instance.
    pub async fn revive(&self, address: &str) -> Result<()> {
        let server = self.servers.get(address).context("there is no instance with this address")?;
        server.revive().await?;
        self.fake_instances.revive(address);
        Ok(())
    }

    /// Stalls the open connections to an instance permanently.
    pub fn stall_connections(&self, address: &str) {
        if let Some(server) = self.servers.get(address) {
            server.stall_connections();
        }
    }

    async fn add(&mut self, mut info: InstanceInfo, options: &EngineOptions) -> Result<()> {
        let address = Arc::new(OnceLock::new());
        let fake_instances = self.fake_instances.clone();
        let answer = match info.role {
            InstanceRole::Plain => {
                fake_plain_service::request_handler(fake_instances, address.clone())
            }
            InstanceRole::Engine | InstanceRole::Entry => {
                fake_engine::request_handler(fake_instances, address.clone())
            }
        };
        let server = FakeServer::start(answer).await?;
        info.address = server.address().to_string();
        // Cannot fail: the cell was created above and is set only here.
        let _ = address.set(info.address.clone());
        self.fake_instances.add_instance(info.clone(), options.clone());
        self.servers.insert(info.address, server);
        Ok(())
    }
}
