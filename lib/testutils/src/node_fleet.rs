//! A test fleet of entry nodes on an in-memory network and a fake store.

use crate::fake_store::FakeStore;
use crate::peer_network::PeerNetwork;
use async_trait::async_trait;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::fleet_handle;
use guavaladder_lib::fleet_handle::FleetHandle;
use guavaladder_lib::fleet_key::FleetKey;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::member_view::MemberState;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::platform::InstanceList;
use guavaladder_lib::platform::PlatformError;
use guavaladder_lib::store_client::StoreClient;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Unix time at which the fleet's clock starts.
pub const UNIX_BASE: Duration = Duration::from_secs(1_800_000_000);
/// Fleet key shared by all nodes.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// An instance list whose content is set by tests.
#[derive(Clone, Default)]
pub struct FakeInstanceList {
    instances: Arc<Mutex<Vec<InstanceInfo>>>,
}

impl FakeInstanceList {
    /// Replaces the listed instances.
    pub fn set(&self, instances: Vec<InstanceInfo>) {
        *self.instances.lock().unwrap_or_else(PoisonError::into_inner) = instances;
    }
}

#[async_trait]
impl InstanceList for FakeInstanceList {
    async fn instances(&self) -> Result<Vec<InstanceInfo>, PlatformError> {
        Ok(self.instances.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }
}

/// One running node.
pub struct FleetNode {
    /// Context of the node.
    pub cx: Cx,
    /// Handle to the node's membership tasks.
    pub handle: FleetHandle,
    /// The node's store client.
    pub store: StoreClient,
    /// Peer address.
    pub address: SocketAddr,
    shutdown: CancellationToken,
}

/// Nodes with the network, store and instance list that they use.
pub struct NodeFleet {
    /// Network between the nodes.
    pub network: PeerNetwork,
    /// Fake of the platform's store.
    pub store: FakeStore,
    /// Instance list that all nodes read.
    pub list: FakeInstanceList,
    /// Running nodes by ID.
    pub nodes: BTreeMap<String, FleetNode>,
    clock: Clock,
}

impl NodeFleet {
    /// Creates a fleet without nodes; `seed` determines the random network faults.
    pub fn new(seed: u64) -> Self {
        let clock = Clock::with_tokio_time(UNIX_BASE);
        Self {
            network: PeerNetwork::new(seed),
            store: FakeStore::new(clock.clone()),
            list: FakeInstanceList::default(),
            nodes: BTreeMap::new(),
            clock,
        }
    }

    /// Starts nodes `n1`, `n2`, ...: the first `per_data_centre` in `dc1`, the next in `dc2` and so on.
    ///
    /// The first half of the data centres, rounded up, is in region `r1`, the rest in `r2`.
    pub fn start(&mut self, data_centres: usize, per_data_centre: usize) {
        for index in 0..data_centres * per_data_centre {
            let data_centre = index / per_data_centre;
            let region = if data_centre < data_centres.div_ceil(2) { "r1" } else { "r2" };
            self.start_node(index + 1, &format!("dc{}", data_centre + 1), region);
        }
    }

    /// Starts or restarts a node; the first two nodes are the seed peers of all nodes.
    pub fn start_node(&mut self, number: usize, data_centre: &str, region: &str) {
        let node = format!("n{number}");
        self.kill(&node);
        let settings = settings(&node, number, data_centre, region);
        let cx = Cx::new(settings, self.clock.clone(), Metrics::new());
        let store = StoreClient::new(cx.clone(), Arc::new(self.store.clone()));
        let shutdown = CancellationToken::new();
        let address = address(number);
        let handle = fleet_handle::start_with_key(
            cx.clone(),
            store.clone(),
            Arc::new(self.list.clone()),
            self.network.socket(address),
            FleetKey::parse(KEY).expect("the test key is valid"),
            shutdown.clone(),
        );
        self.nodes.insert(node, FleetNode { cx, handle, store, address, shutdown });
    }

    /// Kills a node without notifying the others.
    pub fn kill(&mut self, node: &str) {
        if let Some(removed) = self.nodes.remove(node) {
            self.network.remove(removed.address);
            removed.shutdown.cancel();
        }
    }

    /// Returns the context of a node.
    pub fn cx(&self, node: &str) -> &Cx {
        &self.nodes[node].cx
    }

    /// Returns the state of a member in the member list of `viewer`.
    pub fn state(&self, viewer: &str, node: &str) -> Option<MemberState> {
        self.cx(viewer).members.get().get(node).map(|member| member.state)
    }

    /// Returns the addresses of the nodes whose settings match.
    pub fn addresses(&self, is_wanted: impl Fn(&DaemonSettings) -> bool) -> Vec<SocketAddr> {
        let wanted = self.nodes.values().filter(|node| is_wanted(&node.cx.settings));
        wanted.map(|node| node.address).collect()
    }

    /// Returns whether every node's member list has exactly the running nodes as live.
    pub fn has_converged(&self) -> bool {
        self.nodes.values().all(|viewer| {
            let members = viewer.cx.members.get();
            let live = members.values().filter(|member| member.state == MemberState::Live);
            let live: Vec<&String> = live.map(|member| &member.node).collect();
            live == self.nodes.keys().collect::<Vec<_>>()
        })
    }

    /// Waits until a condition holds and returns how long that took; `None` on timeout.
    pub async fn wait_until(
        &self,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(50);
        let start = tokio::time::Instant::now();
        while !condition(self) {
            if start.elapsed() >= timeout {
                return None;
            }
            tokio::time::sleep(STEP).await;
        }
        Some(start.elapsed())
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 200) as u8, (number % 200 + 1) as u8], 7000))
}

fn settings(node: &str, number: usize, data_centre: &str, region: &str) -> DaemonSettings {
    let ip = address(number).ip();
    let peers = [address(1).to_string(), address(2).to_string()];
    let text = serde_json::json!({
        "node": node, "data_centre": data_centre, "region": region,
        "platform": "10.9.9.9:80", "fleet_key_file": "unused",
        "caller_listen": format!("{ip}:80"), "operator_listen": format!("{ip}:81"),
        "peer_listen": address(number).to_string(), "peers": peers,
    });
    serde_json::from_value(text).expect("the test settings are valid")
}
