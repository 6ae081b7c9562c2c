//! A fleet of entry nodes over an in-memory network and a fake store.

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

/// Calendar time at which the fleet starts.
pub const UNIX_BASE: Duration = Duration::from_secs(1_800_000_000);
/// Key of the fleet.
pub const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// An instance list that tests set.
#[derive(Clone, Default)]
pub struct FixedList {
    instances: Arc<Mutex<Vec<InstanceInfo>>>,
}

impl FixedList {
    /// Replaces the list.
    pub fn set(&self, instances: Vec<InstanceInfo>) {
        *self.instances.lock().unwrap_or_else(PoisonError::into_inner) = instances;
    }
}

#[async_trait]
impl InstanceList for FixedList {
    async fn instances(&self) -> Result<Vec<InstanceInfo>, PlatformError> {
        Ok(self.instances.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }
}

/// One running node.
pub struct FleetNode {
    /// Context.
    pub cx: Cx,
    /// Handle to its part in the fleet.
    pub handle: FleetHandle,
    /// Client of the store.
    pub store: StoreClient,
    /// Address.
    pub address: SocketAddr,
    shutdown: CancellationToken,
}

/// A fleet of nodes.
pub struct NodeFleet {
    /// Network.
    pub network: PeerNetwork,
    /// Store.
    pub store: FakeStore,
    /// Instance list.
    pub list: FixedList,
    /// Running nodes by id.
    pub nodes: BTreeMap<String, FleetNode>,
    clock: Clock,
}

impl NodeFleet {
    /// Returns a fleet without nodes.
    pub fn new(seed: u64) -> Self {
        let clock = Clock::with_tokio_time(UNIX_BASE);
        Self {
            network: PeerNetwork::new(seed),
            store: FakeStore::new(clock.clone()),
            list: FixedList::default(),
            nodes: BTreeMap::new(),
            clock,
        }
    }

    /// Starts nodes `n1`, `n2`, ... of which each data centre gets `per_data_centre` in turn.
    ///
    /// The first half of the data centres belongs to region `r1`, the rest to `r2`.
    pub fn start(&mut self, data_centres: usize, per_data_centre: usize) {
        for index in 0..data_centres * per_data_centre {
            let data_centre = index / per_data_centre;
            let region = if data_centre < data_centres.div_ceil(2) { "r1" } else { "r2" };
            self.start_node(index + 1, &format!("dc{}", data_centre + 1), region);
        }
    }

    /// Starts or restarts one node; the first two nodes are the seeds of all.
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

    /// Kills a node without a word.
    pub fn kill(&mut self, node: &str) {
        if let Some(gone) = self.nodes.remove(node) {
            self.network.remove(gone.address);
            gone.shutdown.cancel();
        }
    }

    /// Returns the context of a node.
    pub fn cx(&self, node: &str) -> &Cx {
        &self.nodes[node].cx
    }

    /// Returns the state of a member as a node sees it.
    pub fn state(&self, viewer: &str, node: &str) -> Option<MemberState> {
        self.cx(viewer).members.get().get(node).map(|member| member.state)
    }

    /// Returns the addresses of the nodes of some data centres.
    pub fn addresses(&self, is_wanted: impl Fn(&DaemonSettings) -> bool) -> Vec<SocketAddr> {
        let wanted = self.nodes.values().filter(|node| is_wanted(&node.cx.settings));
        wanted.map(|node| node.address).collect()
    }

    /// Tells whether every node sees exactly the running nodes as live.
    pub fn is_agreed(&self) -> bool {
        self.nodes.values().all(|viewer| {
            let members = viewer.cx.members.get();
            let live = members.values().filter(|member| member.state == MemberState::Live);
            let live: Vec<&String> = live.map(|member| &member.node).collect();
            live == self.nodes.keys().collect::<Vec<_>>()
        })
    }

    /// Waits until a condition holds, and returns how long that took; `None` after `bound`.
    pub async fn wait_until(
        &self,
        bound: Duration,
        is_met: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(50);
        let start = tokio::time::Instant::now();
        while !is_met(self) {
            if start.elapsed() >= bound {
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
