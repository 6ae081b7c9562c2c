//! Test fixture: a fleet of nodes of this crate, each on its own loopback address, together with fakes
//! of the platform's store and instances.

use bytes::Bytes;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::NodeLinks;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::spawn_instance;
use guavaladder_serving::network::Network;
use guavaladder_serving::retry_budget::MAX_SEND_DELAY;
use guavaladder_serving::serving_node::ServingNode;
use guavaladder_serving::serving_settings;
use http::Method;
use http::Response;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// Maximum time for which `eventually` waits.
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(20);
/// Window of the nodes' retry budgets.
const RETRY_WINDOW: Duration = Duration::from_secs(1);
/// Port for messages between nodes.
const PEER_PORT: u16 = 7004;
/// Last octet of the next node's loopback address.
static NEXT_HOST: AtomicU8 = AtomicU8::new(10);

/// Running nodes together with the fakes of their platform.
pub struct Fleet {
    pub store: FakeStore,
    pub fake_platform: FakePlatform,
    pub nodes: Vec<ServingNode>,
    /// When each node ever started, in order.
    started: Vec<Instant>,
    /// Retries beyond the ratio that the nodes started from now on may make together.
    pub retry_slack: u64,
    /// Bound of an evacuation at the nodes started from now on, in seconds.
    pub evacuate_s: Option<f64>,
    /// Descriptors that the nodes started from now on may use; `None` for the default.
    pub max_descriptors: Option<u32>,
    /// Memory of the nodes started from now on, in MiB.
    pub memory_mb: Option<u32>,
}

impl Fleet {
    /// Starts the fakes: `engines` model engines in one domain and two plain instances.
    pub async fn new(engines: usize) -> Self {
        Self::with_platform(engines, |_| {}).await
    }

    /// Like `new`, with streams of `events` events.
    pub async fn with_events(engines: usize, events: u64) -> Self {
        Self::with_platform(engines, |platform| platform.events = events).await
    }

    /// Like `new`, with changed properties of the fake instances.
    pub async fn with_platform(engines: usize, change: impl FnOnce(&mut FakePlatform)) -> Self {
        let store = FakeStore::start().await;
        store.put("config", "main", config(5));
        let mut fake_platform = FakePlatform::new(store.clone());
        change(&mut fake_platform);
        for i in 0..engines {
            spawn_instance(&fake_platform, spec(&format!("i-{i:02}"), "drafting", Some("d0")))
                .await;
        }
        for id in ["p-00", "p-01"] {
            spawn_instance(&fake_platform, spec(id, "orders", None)).await;
        }
        Self {
            store,
            fake_platform,
            nodes: vec![],
            started: vec![],
            retry_slack: 100,
            evacuate_s: None,
            max_descriptors: None,
            memory_mb: None,
        }
    }

    /// Starts a node and waits until it knows `replicas` replicas of a service.
    pub async fn add_first_node(&mut self, service: &str, replicas: usize) {
        self.add_node().await;
        self.wait_for_replicas(0, service, replicas).await;
    }

    /// Starts another node.
    pub async fn add_node(&mut self) {
        self.add_node_at(PEER_PORT, self.store.address).await;
    }

    /// Starts another node, whose links to the instances can be cut.
    pub async fn add_linked_node(&mut self) -> NodeLinks {
        let links = NodeLinks::new();
        let store = self.store.serve_with_links(&links).await;
        self.add_node_at(PEER_PORT, store).await;
        links
    }

    /// Starts another node, for which the store has an address of its own, and returns this address. Refuses
    /// the requests for a kind of objects there.
    pub async fn add_node_without_kind(&mut self, kind: &str) -> SocketAddr {
        let store = self.store.serve_at_new_address(&Network::Tcp).await;
        self.store.set_kind_refused_at(store, kind, true);
        self.add_node_at(PEER_PORT, store).await;
        store
    }

    /// Starts another node, for which the store has an address of its own, and returns this address.
    pub async fn add_node_with_own_store_address(&mut self) -> SocketAddr {
        let store = self.store.serve_at_new_address(&Network::Tcp).await;
        self.add_node_at(PEER_PORT, store).await;
        store
    }

    /// Starts another node, which exchanges no messages with the others.
    pub async fn add_cut_off_node(&mut self) {
        self.add_node_at(PEER_PORT + 1, self.store.address).await;
    }

    async fn add_node_at(&mut self, peer_port: u16, store: SocketAddr) {
        let host = next_host();
        let listen = |port: u16| SocketAddr::from((host, port)).to_string();
        let mut settings = json!({
            "node": format!("n{}", self.nodes.len()), "data_centre": "east",
            "peer_port": peer_port, "store": store.to_string(),
            "listen": {
                "callers": listen(7001), "readiness": listen(7002), "directory": listen(7003),
            },
            "bounds": {
                "shutdown_s": 2, "retry_slack": self.retry_slack,
                "retry_window_s": RETRY_WINDOW.as_secs(),
            },
        });
        if let Some(evacuate_s) = self.evacuate_s {
            settings["bounds"]["evacuate_s"] = json!(evacuate_s);
            settings["data_centres"] = json!(["east", "west"]);
        }
        if let Some(max_descriptors) = self.max_descriptors {
            settings["max_descriptors"] = json!(max_descriptors);
        }
        if let Some(memory_mb) = self.memory_mb {
            settings["memory_mb"] = json!(memory_mb);
        }
        let settings = serving_settings::parse(&settings.to_string()).expect("valid settings");
        let dialect = Arc::new(PlatformDialect::new());
        self.nodes.push(ServingNode::start(settings, dialect).await.expect("a node"));
        self.started.push(Instant::now());
    }

    /// Waits until a node knows exactly `count` replicas of a service and may use its part of the retry
    /// slack.
    pub async fn wait_for_replicas(&self, node: usize, service: &str, count: usize) {
        sleep_until(self.started[node] + RETRY_WINDOW + MAX_SEND_DELAY).await;
        let fleet = self.nodes[node].cx.fleet.clone();
        eventually(|| fleet.replicas().of_service(service).len() == count).await;
    }

    /// Returns the address on which a node accepts requests of callers.
    pub fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].cx.settings.callers
    }
}

/// Starts `count` concurrent streaming requests; each task returns the response.
pub fn start_streams(to: SocketAddr, count: usize) -> Vec<JoinHandle<Option<Response<Bytes>>>> {
    let start = |_| tokio::spawn(async move { Call::new(Method::POST, "/draft/x").send(to).await });
    (0..count).map(start).collect()
}

/// Returns an unused loopback address for a node. Outgoing connections use other addresses, so their
/// ephemeral ports cannot collide with the node's listening ports.
fn next_host() -> [u8; 4] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    [127, 1 + high % 250, low, NEXT_HOST.fetch_add(1, Ordering::Relaxed)]
}

pub fn spec(id: &str, service: &str, domain: Option<&str>) -> InstanceSpec {
    InstanceSpec {
        id: id.to_string(),
        service: service.to_string(),
        domain: domain.map(str::to_string),
        data_centre: "east".to_string(),
    }
}

/// Waits until a condition holds, and panics if it does not within `EVENTUALLY_TIMEOUT`.
pub async fn eventually(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < EVENTUALLY_TIMEOUT,
            "the condition did not hold within {EVENTUALLY_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}
