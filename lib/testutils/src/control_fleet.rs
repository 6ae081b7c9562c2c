//! A test fleet of nodes that run group control against the fake store and the fake engines.

use crate::engine_options::EngineOptions;
use crate::fake_instances::FakeInstances;
use crate::fake_store::FakeStore;
use crate::gate::Gate;
use crate::gate::GatedEngine;
use crate::gate::GatedStore;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::config_view::CONFIG_KEY;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::domain_control;
use guavaladder_lib::domain_records::DOMAINS_PREFIX;
use guavaladder_lib::generated::config::FleetConfig;
use guavaladder_lib::generated::groups::DomainRecord;
use guavaladder_lib::generated::groups::GroupRecord;
use guavaladder_lib::generated::groups::GroupState;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_lib::ids::NodeId;
use guavaladder_lib::member_view::Member;
use guavaladder_lib::member_view::MemberState;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::object_view::ViewedObject;
use guavaladder_lib::object_watch::ObjectWatch;
use guavaladder_lib::object_watch::WatchUpdate;
use guavaladder_lib::platform::InstanceList;
use guavaladder_lib::store_client::StoreClient;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Unix time at which the clocks start.
const UNIX_BASE: Duration = Duration::from_secs(1_800_000_000);
/// Long-poll timeout of a watch call.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Interval at which nodes read the instance list.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Delay before a failed watch is repeated.
const WATCH_RETRY: Duration = Duration::from_secs(1);

/// One node of the fleet.
pub struct ControlNode {
    /// Context of the node.
    pub cx: Cx,
    /// Holds back the node's calls while closed, to simulate a suspended process.
    pub gate: Gate,
    shutdown: CancellationToken,
    control: JoinHandle<()>,
    feeds: Vec<JoinHandle<()>>,
}

/// Nodes running group control, with the store and the engines that they use.
pub struct ControlFleet {
    /// Clock shared by nodes, store and engines.
    pub clock: Clock,
    /// Fake of the platform's store.
    pub store: FakeStore,
    /// Fake engines.
    pub fake_instances: FakeInstances,
    /// Running and suspended nodes by ID.
    pub nodes: BTreeMap<NodeId, ControlNode>,
}

impl ControlFleet {
    /// Creates a fleet without nodes and instances; must be called within a tokio runtime.
    pub fn new() -> Self {
        let clock = Clock::with_tokio_time(UNIX_BASE);
        let store = FakeStore::new(clock.clone());
        let fake_instances = FakeInstances::new(clock.clone());
        Self { clock, store, fake_instances, nodes: BTreeMap::new() }
    }

    /// Makes a configuration current without validating it.
    pub fn configure(&self, config: &FleetConfig) {
        let config = serde_json::to_value(config).expect("a configuration serializes");
        let version = self.store.peek(CONFIG_KEY).map_or(0, |object| object.version) + 1;
        let record = json!({
            "version": version, "change_id": "c", "author": "test", "reason": "test",
            "accepted_unix_ms": 0, "config": config,
        });
        self.store.seed(CONFIG_KEY, &record.to_string());
    }

    /// Adds `count` engine instances to a domain.
    pub fn add_domain(
        &self,
        domain: &str,
        data_centre: &str,
        count: usize,
        options: &EngineOptions,
    ) {
        for index in 0..count {
            self.fake_instances
                .add_instance(engine_info(domain, data_centre, index), options.clone());
        }
    }

    /// Starts a node and updates the member list of all nodes.
    pub fn start_node(&mut self, node: &str, data_centre: &str) {
        let settings = json!({
            "node": node, "data_centre": data_centre, "region": "r1", "platform": "127.0.0.1:1",
            "fleet_key_file": "/none", "caller_listen": "127.0.0.1:1",
            "operator_listen": "127.0.0.1:2", "peer_listen": "127.0.0.1:3",
        });
        let settings = serde_json::from_value(settings).expect("valid settings");
        let cx = Cx::new(settings, self.clock.clone(), Metrics::new());
        let gate = Gate::new();
        let store = GatedStore::new(self.store.clone(), gate.clone());
        let engine = GatedEngine::new(self.fake_instances.clone(), gate.clone());
        let client = StoreClient::new(cx.clone(), Arc::new(store));
        let feeds = vec![
            tokio::spawn(feed_objects(cx.clone(), client.clone(), CONFIG_KEY)),
            tokio::spawn(feed_objects(cx.clone(), client.clone(), DOMAINS_PREFIX)),
            tokio::spawn(feed_instances(cx.clone(), self.fake_instances.clone())),
        ];
        let shutdown = CancellationToken::new();
        let control = domain_control::start(cx.clone(), client, Arc::new(engine), shutdown.clone());
        let started = ControlNode { cx, gate, shutdown, control, feeds };
        self.nodes.insert(node.to_string(), started);
        self.publish_members();
    }

    /// Kills a node: its tasks are aborted or block at its closed gate.
    pub fn kill_node(&mut self, node: &str) {
        let Some(node) = self.nodes.remove(node) else { return };
        // Domain owners' tasks are not aborted; the closed gate blocks all their calls.
        node.gate.close();
        node.control.abort();
        node.feeds.iter().for_each(JoinHandle::abort);
        self.publish_members();
    }

    /// Suspends a node and removes it from the member list of the others.
    pub fn pause_node(&mut self, node: &str) {
        if let Some(node) = self.nodes.get(node) {
            node.gate.close();
        }
        self.publish_members();
    }

    /// Resumes a suspended node.
    pub fn resume_node(&mut self, node: &str) {
        if let Some(node) = self.nodes.get(node) {
            node.gate.open();
        }
        self.publish_members();
    }

    /// Shuts a node down gracefully.
    pub async fn stop_node(&mut self, node: &str) {
        let Some(node) = self.nodes.remove(node) else { return };
        self.publish_members();
        node.shutdown.cancel();
        let _ = node.control.await;
        node.feeds.iter().for_each(JoinHandle::abort);
    }

    /// Returns the domain records in the store.
    pub fn records(&self) -> Vec<DomainRecord> {
        let objects = self.store.peek_all(DOMAINS_PREFIX);
        let parse = |value: &str| serde_json::from_str(value).expect("a domain record");
        objects.iter().map(|object| parse(&object.value)).collect()
    }

    /// Returns the serving groups of a service according to the store.
    pub fn serving(&self, service: &str) -> Vec<GroupRecord> {
        let groups = self.records().into_iter().flat_map(|record| record.groups);
        let is_serving = |g: &GroupRecord| g.service == service && g.state == GroupState::Serving;
        groups.filter(is_serving).collect()
    }

    /// Waits until exactly `count` groups of a service serve and returns how long that took; `None` on
    /// timeout.
    pub async fn wait_serving(
        &self,
        service: &str,
        count: usize,
        timeout: Duration,
    ) -> Option<Duration> {
        let start = self.clock.now();
        while self.clock.now() - start <= timeout {
            if self.serving(service).len() == count {
                return Some(self.clock.now() - start);
            }
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        None
    }

    fn publish_members(&self) {
        let member = |node: &ControlNode| Member {
            node: node.cx.node().to_string(),
            incarnation: 1,
            state: MemberState::Live,
            data_centre: node.cx.settings.data_centre.clone(),
            region: node.cx.settings.region.clone(),
            peer_address: String::new(),
            caller_address: String::new(),
            operator_address: String::new(),
        };
        let running = || self.nodes.iter().filter(|(_, node)| node.gate.is_open());
        let members: BTreeMap<NodeId, Member> =
            running().map(|(id, node)| (id.clone(), member(node))).collect();
        running().for_each(|(_, node)| node.cx.members.replace(members.clone()));
    }
}

impl Default for ControlFleet {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the address of an engine instance.
pub fn engine_address(domain: &str, index: usize) -> String {
    format!("{domain}.{index}:1")
}

/// Returns the instance list entry of an engine instance of kind `engine`.
pub fn engine_info(domain: &str, data_centre: &str, index: usize) -> InstanceInfo {
    InstanceInfo {
        instance: format!("{domain}-i{index:02}"),
        address: engine_address(domain, index),
        role: InstanceRole::Engine,
        domain: domain.to_string(),
        data_centre: data_centre.to_string(),
        region: "r1".to_string(),
        accelerators: 1,
        kind: "engine".to_string(),
        service: None,
        state: InstanceState::Live,
    }
}

/// Returns a configuration with one upstream kind, `engine`, and no services.
pub fn bare_config(checks_fencing: bool) -> FleetConfig {
    let config = json!({
        "defaults": {},
        "upstream_kinds": {
            "engine": {"checks_fencing": checks_fencing, "order_timeout_ms": 2000},
        },
    });
    serde_json::from_value(config).expect("a valid configuration")
}

/// Adds an engine service to a configuration.
pub fn with_service(mut config: FleetConfig, id: &str, replicas: u32, size: u32) -> FleetConfig {
    let service = json!({
        "kind": "engine", "model": id, "version": "1",
        "replicas": replicas, "members_per_replica": size,
    });
    let service = serde_json::from_value(service).expect("a valid service");
    config.services.insert(id.to_string(), service);
    config
}

async fn feed_objects(cx: Cx, store: StoreClient, prefix: &'static str) {
    let mut watch = ObjectWatch::new(store, prefix);
    loop {
        match watch.next(WATCH_WAIT).await {
            Ok(WatchUpdate::Snapshot { objects, .. }) => {
                objects.iter().for_each(|object| {
                    cx.view.apply_stored(object);
                });
            }
            Ok(WatchUpdate::Changes(changes)) => {
                for change in changes {
                    let value = change.value.as_deref().map(Arc::from);
                    cx.view.apply(ViewedObject { key: change.key, version: change.version, value });
                }
            }
            Err(_) => tokio::time::sleep(WATCH_RETRY).await,
        }
    }
}

async fn feed_instances(cx: Cx, fake_instances: FakeInstances) {
    loop {
        if let Ok(instances) = fake_instances.instances().await {
            cx.instances.replace(instances);
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}
