//! Test setup for the request path: several nodes that share fake engines in ready groups.

use crate::engine_options::EngineOptions;
use crate::fake_instances::FakeInstances;
use crate::fake_store::FakeStore;
use bytes::Bytes;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::generated::config::ConfigRecord;
use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::FinishReason;
use guavaladder_lib::generated::engine::GroupRole;
use guavaladder_lib::generated::engine::Order;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::groups::DomainRecord;
use guavaladder_lib::generated::groups::GroupMember;
use guavaladder_lib::generated::groups::GroupRecord;
use guavaladder_lib::generated::groups::GroupState;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::generation::GenerationEvent;
use guavaladder_lib::member_view::Member;
use guavaladder_lib::member_view::MemberState;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::object_view::ViewedObject;
use guavaladder_lib::prefix_hash::prefix_hash;
use guavaladder_lib::request::Request;
use guavaladder_lib::request::RequestError;
use guavaladder_lib::request::fingerprint;
use guavaladder_lib::request_path::RequestPath;
use guavaladder_lib::store_client::StoreClient;
use guavaladder_lib::token_hash::hash_token;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Epoch of every group.
pub const EPOCH: u64 = 1;
/// Engine service that the groups serve.
pub const DRAFTING: &str = "drafting";
/// Plain service whose calls are executed at most once.
pub const FILING: &str = "filing";
/// Plain service with idempotent calls, which may be repeated.
pub const LOOKUP: &str = "lookup";
/// Unix time at which the clock starts.
const UNIX_BASE: Duration = Duration::from_secs(1_700_000_000);

/// One node of the rig.
pub struct RigNode {
    /// Context of the node.
    pub cx: Cx,
    /// Request path under test.
    pub path: RequestPath,
    /// Cancelled to stop the node's tasks.
    pub shutdown: CancellationToken,
}

/// Nodes with the engines, plain services and store that they use.
pub struct RequestRig {
    /// Clock shared by nodes, engines and store.
    pub clock: Clock,
    /// Fake engines and plain services.
    pub fake_instances: FakeInstances,
    /// Fake of the platform's store.
    pub store: FakeStore,
    /// Running nodes.
    pub nodes: Vec<RigNode>,
    replicas: u32,
    members: u32,
    version: u64,
    config: serde_json::Value,
}

impl RequestRig {
    /// Creates a rig with `nodes` nodes and `replicas` ready groups of `members` instances each.
    pub async fn new(nodes: usize, replicas: u32, members: u32, options: EngineOptions) -> Self {
        let clock = Clock::with_tokio_time(UNIX_BASE);
        let fake_instances = FakeInstances::new(clock.clone());
        let store = FakeStore::new(clock.clone());
        let config = json!({
            "version": 1, "change_id": "c", "author": "a", "reason": "r", "accepted_unix_ms": 0,
            "config": {
                "defaults": {},
                "services": {
                    DRAFTING: {"kind": "engine", "model": "m", "version": "1"},
                    FILING: {"kind": "plain", "idempotent": false},
                    LOOKUP: {"kind": "plain"},
                    "once": {"kind": "engine", "idempotent": false},
                },
                "customers": {
                    "c0": {"tokens": [hash_token("t0")]},
                    "c1": {"tokens": [hash_token("t1")]},
                },
            },
        });
        let mut rig = Self {
            clock,
            fake_instances,
            store,
            nodes: vec![],
            replicas,
            members,
            version: 0,
            config,
        };
        for replica in 0..replicas {
            for shard in 0..members {
                rig.fake_instances.add_instance(engine_info(replica, shard), options.clone());
            }
        }
        for (index, service) in [FILING, FILING, FILING, LOOKUP].into_iter().enumerate() {
            rig.fake_instances.add_instance(plain_info(index, service), options.clone());
        }
        for replica in 0..replicas {
            rig.assemble(replica).await;
        }
        tokio::time::sleep(options.load_time + Duration::from_secs(1)).await;
        for index in 0..nodes {
            rig.add_node(index);
        }
        rig.publish();
        tokio::time::sleep(Duration::from_millis(10)).await;
        rig
    }

    /// Starts a node; [`RequestRig::publish`] gives it records, instances and members.
    pub fn add_node(&mut self, index: usize) {
        let settings: DaemonSettings = serde_json::from_value(json!({
            "node": format!("n{index}"), "data_centre": "dc1", "region": "r1",
            "platform": "127.0.0.1:1", "fleet_key_file": "/dev/null",
            "caller_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
        }))
        .unwrap_or_else(|e| panic!("settings: {e}"));
        let cx = Cx::new(settings, self.clock.clone(), Metrics::new());
        let shutdown = CancellationToken::new();
        let path = RequestPath::start(
            cx.clone(),
            StoreClient::new(cx.clone(), Arc::new(self.store.clone())),
            Arc::new(self.fake_instances.clone()),
            Arc::new(self.fake_instances.clone()),
            shutdown.clone(),
        );
        self.nodes.push(RigNode { cx, path, shutdown });
    }

    /// Edits the configuration and publishes it to all nodes.
    pub fn edit_config(&mut self, edit: impl FnOnce(&mut serde_json::Value)) {
        edit(&mut self.config["config"]);
        self.publish();
    }

    /// Publishes the current records, instances and members to all nodes.
    pub fn publish(&mut self) {
        self.version += 1;
        let record: ConfigRecord = serde_json::from_value(self.config.clone())
            .unwrap_or_else(|e| panic!("configuration: {e}"));
        let domain = serde_json::to_string(&self.domain_record()).unwrap_or_default();
        let config = serde_json::to_string(&record).unwrap_or_default();
        let members = self.member_map();
        for node in &self.nodes {
            for (key, value) in [("config/current", &config), ("domains/d1", &domain)] {
                let value = Some(Arc::from(value.as_str()));
                let object = ViewedObject { key: key.to_string(), version: self.version, value };
                node.cx.view.apply(object);
            }
            node.cx.instances.replace(self.fake_instances.all_instances());
            node.cx.members.replace(members.clone());
        }
    }

    /// Merges every node's facts into all nodes, as gossip does.
    pub fn gossip(&self) {
        for from in &self.nodes {
            for fact in from.cx.facts.snapshot() {
                for to in &self.nodes {
                    to.cx.facts.merge(fact.clone());
                }
            }
        }
        for node in &self.nodes {
            node.path.refresh();
        }
    }

    fn member_map(&self) -> std::collections::BTreeMap<String, Member> {
        let member = |node: &RigNode| Member {
            node: node.cx.node().to_string(),
            incarnation: node.cx.incarnation,
            state: MemberState::Live,
            data_centre: "dc1".to_string(),
            region: "r1".to_string(),
            peer_address: "127.0.0.1:1".to_string(),
            caller_address: "127.0.0.1:2".to_string(),
            operator_address: "127.0.0.1:3".to_string(),
        };
        self.nodes.iter().map(|node| (node.cx.node().to_string(), member(node))).collect()
    }

    fn domain_record(&self) -> DomainRecord {
        let group = |replica: u32| GroupRecord {
            group: group_id(replica),
            service: DRAFTING.to_string(),
            epoch: EPOCH,
            state: GroupState::Serving,
            members: (0..self.members).map(|shard| member(replica, shard)).collect(),
            standbys: vec![],
            model: "m".to_string(),
            version: "1".to_string(),
            adapter: None,
            role: GroupRole::Full,
            generation: 0,
            ..serde_json::from_value(json!({
                "group": "", "service": "", "epoch": 0, "state": "serving", "members": [],
                "model": "", "version": "", "role": "full", "generation": 0,
            }))
            .unwrap_or_else(|e| panic!("group record: {e}"))
        };
        let mut record: DomainRecord = serde_json::from_value(json!({
            "domain": "d1", "data_centre": "dc1", "region": "r1", "owner": "n0", "epoch": EPOCH,
            "lease_ms": 10000, "renewals": 0, "write_id": "w", "groups": [],
        }))
        .unwrap_or_else(|e| panic!("domain record: {e}"));
        record.groups = (0..self.replicas).map(group).collect();
        record
    }

    /// Sends join orders to all members of a group.
    pub async fn assemble(&self, replica: u32) {
        let members: Vec<String> = (0..self.members).map(|s| instance_id(replica, s)).collect();
        for shard in 0..self.members {
            let assignment = Assignment {
                group: group_id(replica),
                epoch: EPOCH,
                shard,
                members: members.clone(),
                service: DRAFTING.to_string(),
                model: "m".to_string(),
                version: "1".to_string(),
                adapter: None,
                role: GroupRole::Full,
            };
            let order = Order {
                order: format!("join {replica} {shard} {:?}", self.clock.now()),
                domain: "d1".to_string(),
                epoch: EPOCH,
                deadline_unix: self.clock.unix() + Duration::from_secs(60),
                action: OrderAction::Join(assignment),
            };
            let reply = self.fake_instances.order(&address(replica, shard), &order).await;
            assert!(reply.is_ok(), "{reply:?}");
        }
    }
}

/// Returns the ID of a group.
pub fn group_id(replica: u32) -> String {
    format!("g{replica}")
}

/// Returns the ID of an instance.
pub fn instance_id(replica: u32, shard: u32) -> String {
    format!("i{replica}-{shard}")
}

/// Returns the address of an instance.
pub fn address(replica: u32, shard: u32) -> String {
    format!("10.{}.{}.{shard}:80", replica / 256, replica % 256)
}

fn member(replica: u32, shard: u32) -> GroupMember {
    GroupMember { instance: instance_id(replica, shard), address: address(replica, shard) }
}

fn engine_info(replica: u32, shard: u32) -> InstanceInfo {
    InstanceInfo {
        instance: instance_id(replica, shard),
        address: address(replica, shard),
        role: InstanceRole::Engine,
        domain: "d1".to_string(),
        data_centre: "dc1".to_string(),
        region: "r1".to_string(),
        accelerators: 8,
        kind: "gpu".to_string(),
        service: None,
        state: InstanceState::Live,
    }
}

fn plain_info(index: usize, service: &str) -> InstanceInfo {
    InstanceInfo {
        instance: format!("p{index}"),
        address: plain_address(index),
        role: InstanceRole::Plain,
        domain: String::new(),
        accelerators: 0,
        service: Some(service.to_string()),
        ..engine_info(0, 0)
    }
}

/// Returns a request for the drafting service.
pub fn drafting(id: &str, customer: &str, prompt: &str, max_tokens: u32) -> Request {
    Request {
        id: id.to_string(),
        customer: customer.to_string(),
        service_id: DRAFTING.to_string(),
        prompt: prompt.to_string(),
        path: String::new(),
        max_tokens,
        priority: Priority::Normal,
        adapter: None,
        key: None,
        is_first_send: false,
        deadline: Instant::now() + Duration::from_secs(60),
        fingerprint: fingerprint(DRAFTING, None, "", prompt),
        prefix: prefix_hash(prompt),
        received: Bytes::new(),
    }
}

/// Returns the address of an instance of a plain service.
pub fn plain_address(index: usize) -> String {
    format!("10.255.0.{index}:80")
}

/// Returns a call of the filing service with an idempotency key.
pub fn filing(id: &str, key: &str, body: &str) -> Request {
    Request {
        id: id.to_string(),
        service_id: FILING.to_string(),
        path: "pay".to_string(),
        key: Some(key.to_string()),
        fingerprint: fingerprint(FILING, None, "pay", body),
        ..drafting(id, "c0", body, 0)
    }
}

/// Runs a request on a node and returns the complete text and the finish reason.
pub async fn generate_text(
    path: &RequestPath,
    req: Request,
) -> Result<(String, FinishReason), RequestError> {
    let limits = path.limits(&req.customer, &req.service_id)?;
    let mut generation = path.generate(Arc::new(req), limits, vec![]).await?;
    loop {
        match generation.next().await? {
            GenerationEvent::Tokens(_) => {}
            GenerationEvent::End(reason) => return Ok((generation.emitted().concat(), reason)),
            GenerationEvent::Moved => panic!("the stream was resumed on another replica"),
        }
    }
}
