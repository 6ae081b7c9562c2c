//! Tests of the start of all nodes of a fleet at once, on paused time and without a network.

use guavaladder_lib::clock::Clock;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_serving::config_sync;
use guavaladder_serving::instance_list_delta::InstanceListDelta;
use guavaladder_serving::instance_list_sync;
use guavaladder_serving::lease_manager::LeaseManager;
use guavaladder_serving::network::Network;
use guavaladder_serving::network::PipeNetwork;
use guavaladder_serving::node_registry;
use guavaladder_serving::serving_cx::ServingCx;
use guavaladder_serving::serving_settings;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

/// Number of entries, which the fake store lists in six pages.
const INSTANCES: usize = 120;
/// Time within which requests have to be served again.
const MAX_START: Duration = Duration::from_secs(15);

/// Nodes that start together and do not hear each other.
struct StartingFleet {
    store: FakeStore,
    network: Network,
    cxs: Vec<ServingCx>,
    deltas: Vec<mpsc::Receiver<InstanceListDelta>>,
}

impl StartingFleet {
    /// Returns nodes that an earlier run has registered, in the state before their start.
    async fn new(count: usize) -> Self {
        let network = Network::Pipes(PipeNetwork::new());
        let store = FakeStore::start_on(&network).await;
        store.set_page_size("guavaladder-nodes", 500);
        for i in 0..count {
            let node = json!({"address": address(i), "data_centre": "east", "incarnation": 1});
            store.put("guavaladder-nodes", &format!("n{i:03}"), node);
        }
        for i in 0..INSTANCES {
            put_entry(&store, i, false);
        }
        let lease = json!({
            "holder": "n000", "incarnation": 1, "term": 3, "released": false, "renewals": 9,
        });
        store.put("guavaladder-leases", "groups", lease);
        let cxs = (0..count).map(|i| cx(&store, &network, i)).collect();
        Self { store, network, cxs, deltas: vec![] }
    }

    /// Starts the tasks of all nodes that read from the store.
    fn start(&mut self) {
        for cx in &self.cxs {
            let (tx, rx) = mpsc::channel(1000);
            self.deltas.push(rx);
            tokio::spawn(instance_list_sync::run(cx.clone(), tx));
            tokio::spawn(node_registry::run(cx.clone()));
            tokio::spawn(config_sync::run(cx.clone()));
            tokio::spawn(LeaseManager::new(cx.clone()).run());
        }
    }

    /// Waits until all nodes have read the list; returns how long that took.
    async fn wait_until_listed(&self) -> Duration {
        let started = Instant::now();
        while !self.cxs.iter().all(|cx| cx.fleet.is_listed()) {
            assert!(started.elapsed() < MAX_START, "nodes have no list after {MAX_START:?}");
            sleep(Duration::from_millis(10)).await;
        }
        let listed = self.cxs.iter().all(|cx| cx.fleet.instances().len() == INSTANCES);
        assert!(listed, "the lists have to be complete");
        started.elapsed()
    }
}

fn address(node: usize) -> String {
    format!("10.1.{}.{}", node / 200, node % 200 + 1)
}

fn put_entry(store: &FakeStore, number: usize, is_draining: bool) {
    let state = if is_draining { "draining" } else { "ready" };
    let spec = json!({
        "stage": "prefill_decode", "models": [], "staged": [], "group": null, "domain": null,
        "sequence": number, "born": 1, "service": "orders", "zone": "east", "version": "v1",
        "address": format!("10.2.0.{}:7100", number % 250 + 1), "slots": 8, "state": state,
        "coldLeftMs": 0,
    });
    store.put("servers", &format!("i-{number:03}"), spec);
}

fn cx(store: &FakeStore, network: &Network, number: usize) -> ServingCx {
    let listen = |port: u16| format!("{}:{port}", address(number));
    let settings = json!({
        "node": format!("n{number:03}"), "data_centre": "east", "peer_port": 7004,
        "store": store.address.to_string(),
        "listen": {
            "callers": listen(7001), "readiness": listen(7002), "directory": listen(7003),
        },
    });
    let settings = serving_settings::parse(&settings.to_string()).expect("valid settings");
    let clock = Clock::with_tokio_time(Duration::from_secs(1_700_000_000));
    ServingCx::new(settings, Arc::new(PlatformDialect::new()), clock, network.clone())
}

/// Nodes that start together take each other for silent, so that each watched the list and forwarded every change to
/// all others. With 300 nodes, their links were full, and they went on not hearing each other.
#[tokio::test(start_paused = true)]
async fn run_few_nodes_forward_changes_before_nodes_are_heard() {
    let mut fleet = StartingFleet::new(60).await;
    fleet.start();
    fleet.wait_until_listed().await;
    sleep(Duration::from_millis(500)).await;
    for i in 0..20 {
        put_entry(&fleet.store, i, true);
        sleep(Duration::from_millis(100)).await;
    }
    let forwarders = fleet.deltas.iter_mut().filter_map(|deltas| deltas.try_recv().ok()).count();
    assert!((1..=3).contains(&forwarders), "{forwarders} of 60 nodes forward changes");
    println!("forwarders: {forwarders}");
}

/// A refused page discarded the pages before it, so that reads beyond the rate caused further reads.
#[tokio::test(start_paused = true)]
async fn run_list_is_read_within_the_rate_of_reads() {
    let mut fleet = StartingFleet::new(300).await;
    fleet.store.set_read_delay_at(fleet.store.address, Duration::from_millis(120));
    fleet.store.limit_reads(1500);
    fleet.start();
    let took = fleet.wait_until_listed().await;
    let (reads, refused) = fleet.store.counted_reads();
    println!("listed after {took:?}, {reads} reads, {refused} of them refused");
    assert!(took < Duration::from_secs(3), "the last list was read after {took:?}");
}

/// Pages that may be stale lack the latest changes. A node that served by them would send requests to instances that
/// have left.
#[tokio::test(start_paused = true)]
async fn run_stale_pages_are_brought_up_to_date_before_use() {
    let mut fleet = StartingFleet::new(60).await;
    fleet.store.list_stale_from(fleet.store.copy());
    fleet.store.remove("servers", "i-119");
    put_entry(&fleet.store, 200, false);
    fleet.store.set_read_delay_at(fleet.store.address, Duration::from_millis(120));
    fleet.start();
    let first = loop {
        if let Some(cx) = fleet.cxs.iter().find(|cx| cx.fleet.is_listed()) {
            break cx;
        }
        sleep(Duration::from_millis(1)).await;
    };
    assert!(first.fleet.instance("i-119").is_none(), "the entry was removed");
    assert!(first.fleet.instance("i-200").is_some(), "the entry was added");
    assert_eq!(first.fleet.instances().len(), INSTANCES);
}

/// A node that lacks changes reads these, and not the complete list.
#[tokio::test(start_paused = true)]
async fn run_node_without_watchers_reads_only_changes() {
    let mut fleet = StartingFleet::new(60).await;
    fleet.start();
    fleet.wait_until_listed().await;
    // Nodes that hear each other, but no watcher.
    sleep(Duration::from_secs(1)).await;
    let beats: Vec<_> = fleet
        .cxs
        .iter()
        .map(|cx| {
            let handler = guavaladder_serving::peer_exchange::HeartbeatHandler::new(cx.clone());
            (cx.settings.callers.ip(), handler)
        })
        .collect();
    let beat = || {
        for (from, sender) in &beats {
            let mut heartbeat = sender.next_heartbeat();
            (heartbeat.instances_revision, heartbeat.lease_term) = (0, 0);
            for (to, receiver) in &beats {
                if to != from {
                    receiver.apply_heartbeat(*from, heartbeat.clone());
                }
            }
        }
    };
    beat();
    sleep(Duration::from_millis(500)).await;
    let listed = fleet.store.calls("GET", "servers");
    let lists_before: Vec<_> = fleet.cxs.iter().map(|cx| cx.fleet.sync_state().revision).collect();
    for _ in 0..10 {
        beat();
        sleep(Duration::from_millis(300)).await;
    }
    put_entry(&fleet.store, 1, true);
    let revision = fleet.store.revision("servers", "i-001").expect("an entry");
    for _ in 0..10 {
        beat();
        sleep(Duration::from_millis(300)).await;
    }
    let behind = fleet.cxs.iter().filter(|cx| cx.fleet.sync_state().revision < revision).count();
    assert_eq!(behind, 0, "nodes are behind; before: {lists_before:?}");
    let reads = fleet.store.calls("GET", "servers") - listed;
    assert!(reads < 60 * 10, "{reads} reads");
    let _ = &fleet.network;
}
