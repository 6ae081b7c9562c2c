//! End-to-end tests of attempts that fail while no listed instance accepts a connection: all of them may have
//! crashed, or the links of a node are broken.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::spec;
use guavaladder_platform_testutils::CRASH_MARKER;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::LinkMode;
use guavaladder_platform_testutils::NodeLinks;
use guavaladder_platform_testutils::spawn_instance;
use guavaladder_serving::request_task::fingerprint;
use guavaladder_serving::serving_cx::ServingCx;
use http::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Number of crashes after which a request is refused.
const CRASHES: usize = 3;
/// Number of nodes.
const NODES: usize = 2;
/// Number of plain instances, or of groups of two engines.
const REPLICAS: usize = 3;
/// Time from the end of an instance to the removal of its entry, shortened.
const EXPIRY: Duration = Duration::from_millis(700);
/// Time within which the entry of an instance that ended is removed: three heartbeats and the delay of the list.
const MAX_EXPIRY: Duration = Duration::from_secs(6);
/// Time for which a request runs before it crashes its instance. A connection that was established more recently shows
/// that the links of the node work.
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Time after which instances that crashed are started again; longer than a test.
const NEVER: Duration = Duration::from_secs(3600);
/// Time for which an instance serves after it has announced that it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Name of a request that runs for long, and the time until it certainly runs.
const LONG: &str = "work-1500";
const START: Duration = Duration::from_millis(300);

/// Kind of the request that crashes replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Idempotent,
    RunsOnce,
    Stream,
}

impl Kind {
    fn method(self) -> Method {
        match self {
            Self::Idempotent => Method::GET,
            Self::RunsOnce | Self::Stream => Method::POST,
        }
    }

    fn path(self, name: &str) -> String {
        match self {
            Self::Idempotent => format!("/look/{name}"),
            Self::RunsOnce => format!("/book/{name}"),
            Self::Stream => format!("/draft/{name}"),
        }
    }

    fn call(self, name: &str) -> Call {
        Call::new(self.method(), &self.path(name))
    }

    fn service(self) -> &'static str {
        match self {
            Self::Idempotent | Self::RunsOnce => "orders",
            Self::Stream => "drafting",
        }
    }

    /// Returns the number of crashes under a request that a node knows.
    fn crash_count(self, cx: &ServingCx, name: &str) -> usize {
        let uri = self.path(name).parse().expect("a path");
        let body: &[u8] = if self == Self::Idempotent { b"" } else { b"a body" };
        cx.crashes.crash_count(fingerprint(&self.method(), &uri, Some("baker"), body))
    }
}

/// Starts the fakes without an instance, and with none that is started again after a crash.
async fn start_platform() -> Fleet {
    let fleet = Fleet::with_platform(0, |platform| {
        platform.restart_delay = NEVER;
        platform.event_interval = CRASH_DELAY;
    });
    let fleet = fleet.await;
    for id in ["p-00", "p-01"] {
        fleet.fake_platform.kill(id);
    }
    fleet.fake_platform.expire_ended();
    fleet
}

/// Starts instances of one service; `round` is a part of their ids.
async fn start_instances(fleet: &Fleet, kind: Kind, round: usize) -> Vec<String> {
    let (count, domain) = match kind {
        Kind::Idempotent | Kind::RunsOnce => (REPLICAS, None),
        Kind::Stream => (2 * REPLICAS, Some("d0")),
    };
    let ids: Vec<String> = (0..count).map(|i| format!("x-{round}-{i}")).collect();
    for id in &ids {
        spawn_instance(&fleet.fake_platform, spec(id, kind.service(), domain)).await;
    }
    ids
}

/// Lets the request crash the last replica that is up, while the entries of all others are still listed.
async fn crash_last_replica(fleet: &Fleet, kind: Kind, round: usize) {
    let platform = &fleet.fake_platform;
    let ids = start_instances(fleet, kind, round).await;
    for node in 0..NODES {
        fleet.wait_for_replicas(node, kind.service(), REPLICAS).await;
        eventually(|| !fleet.nodes[node].cx.reach.is_cut()).await;
    }
    let last = match kind {
        Kind::Idempotent | Kind::RunsOnce => ids[0].clone(),
        Kind::Stream => platform.open_groups()[0][0].clone(),
    };
    ids.iter().filter(|id| **id != last).for_each(|id| platform.kill(id));
    // A node may try the replicas that are down first, and take its links for broken.
    while platform.is_up(&last) {
        kind.call(CRASH_MARKER).status(fleet.callers(round % NODES)).await;
    }
    assert_eq!(platform.crash_runs().len(), round);
    sleep(EXPIRY).await;
    platform.expire_ended();
}

/// The only replicas of a fleet are down together, as a request crashes each one that is back. No node can connect
/// to any instance then, as if its links were broken.
#[rstest]
#[case::idempotent(Kind::Idempotent)]
#[case::runs_once(Kind::RunsOnce)]
#[case::stream(Kind::Stream)]
#[tokio::test]
async fn request_that_crashes_the_last_replica_each_time_is_never_refused(#[case] kind: Kind) {
    let mut fleet = start_platform().await;
    for _ in 0..NODES {
        fleet.add_node().await;
    }
    for round in 1..=CRASHES {
        crash_last_replica(&fleet, kind, round).await;
        eventually(|| fleet.nodes.iter().all(|n| kind.crash_count(&n.cx, CRASH_MARKER) == round))
            .await;
    }
    start_instances(&fleet, kind, CRASHES + 1).await;
    for node in 0..NODES {
        fleet.wait_for_replicas(node, kind.service(), REPLICAS).await;
        let to = fleet.callers(node);
        eventually(|| !fleet.nodes[node].cx.reach.is_cut()).await;
        assert_eq!(kind.call(CRASH_MARKER).status(to).await, 503);
        assert_eq!(kind.call("harmless").status(to).await, 200);
    }
    assert_eq!(fleet.fake_platform.crash_runs().len(), CRASHES);
}

/// Entry of an instance at a given address.
fn entry_at(address: &str, born_ms: u64) -> Value {
    json!({
        "service": "orders", "address": address, "zone": "east", "version": "v1", "slots": 8,
        "state": "ready", "coldLeftMs": 0, "sequence": 0, "born": born_ms,
    })
}

/// Replicas are back before their earlier entries are removed, at the same addresses and under other ids.
#[tokio::test]
async fn crash_is_not_counted_before_the_entry_is_removed() {
    let kind = Kind::Idempotent;
    let mut fleet = start_platform().await;
    let ids = start_instances(&fleet, kind, 1).await;
    fleet.add_first_node(kind.service(), REPLICAS).await;
    let platform = &fleet.fake_platform;
    ids[1..].iter().for_each(|id| platform.kill(id));
    while platform.is_up(&ids[0]) {
        kind.call(CRASH_MARKER).status(fleet.callers(0)).await;
    }
    let cx = fleet.nodes[0].cx.clone();
    eventually(|| cx.reach.is_cut()).await;
    sleep(START).await;
    assert_eq!(kind.crash_count(&cx, CRASH_MARKER), 0);
    // An instance of before at the address proves nothing.
    let address = platform.address(&ids[0]).expect("an address").to_string();
    let born_ms = cx.fleet.instance(&ids[0]).expect("an entry").engine.born_ms;
    fleet.store.put("servers", "x-earlier", entry_at(&address, born_ms - 1));
    eventually(|| cx.fleet.instance("x-earlier").is_some()).await;
    sleep(START).await;
    assert_eq!(kind.crash_count(&cx, CRASH_MARKER), 0);
    fleet.store.put("servers", "x-later", entry_at(&address, born_ms + 1));
    eventually(|| kind.crash_count(&cx, CRASH_MARKER) == 1).await;
    assert!(cx.fleet.instance(&ids[0]).is_some(), "its entry is still listed");
}

/// The instances of another service are listed but silent to the node, while all replicas of the first one refuse.
#[tokio::test]
async fn crash_of_the_last_replica_is_forgotten_beside_silent_instances() {
    let kind = Kind::Idempotent;
    let mut fleet = start_platform().await;
    let ids = start_instances(&fleet, kind, 1).await;
    spawn_instance(&fleet.fake_platform, spec("silent", "stock", None)).await;
    let links = fleet.add_linked_node().await;
    fleet.wait_for_replicas(0, kind.service(), REPLICAS).await;
    let platform = &fleet.fake_platform;
    links.set_mode_to(platform.address("silent").expect("an address"), LinkMode::Hanging);
    for id in &ids[1..] {
        platform.kill(id);
        // The link learns that its instance has ended by the first connection.
        let address = links.address_of(platform.address(id).expect("an address"));
        let learned = async || while TcpStream::connect(address).await.is_ok() {};
        timeout(MAX_EXPIRY, learned()).await.expect("a link that refuses");
    }
    while platform.is_up(&ids[0]) {
        kind.call(CRASH_MARKER).status(fleet.callers(0)).await;
    }
    assert_eq!(platform.crash_runs().len(), 1);
    sleep(EXPIRY).await;
    platform.expire_ended();
    let cx = fleet.nodes[0].cx.clone();
    eventually(|| kind.crash_count(&cx, CRASH_MARKER) == 1).await;
}

/// Starts a single node with running requests at each of its replicas, which are alike.
async fn start_running(kind: Kind) -> (Fleet, NodeLinks, Vec<String>) {
    let mut fleet = start_platform().await;
    let ids = start_instances(&fleet, kind, 1).await;
    let links = fleet.add_linked_node().await;
    fleet.wait_for_replicas(0, kind.service(), REPLICAS).await;
    for _ in 0..2 * REPLICAS {
        let (call, to) = (kind.call(LONG), fleet.callers(0));
        tokio::spawn(async move { call.status(to).await });
    }
    sleep(START).await;
    let arrivals = fleet.fake_platform.arrivals();
    assert!(ids.iter().all(|id| arrivals.iter().any(|arrival| arrival.instance == *id)));
    (fleet, links, ids)
}

/// Checks that no crash counts at a node that was cut off, and that it serves the request afterwards.
async fn assert_not_crashing(fleet: &Fleet, links: &NodeLinks, kind: Kind) {
    sleep(MAX_EXPIRY).await;
    let cx = &fleet.nodes[0].cx;
    assert_eq!(kind.crash_count(cx, LONG), 0);
    links.set_mode(LinkMode::Up);
    let ids = start_instances(fleet, kind, 2).await;
    eventually(|| ids.iter().all(|id| cx.fleet.instance(id).is_some())).await;
    eventually(|| !cx.reach.is_cut()).await;
    assert_eq!(kind.call(LONG).status(fleet.callers(0)).await, 200);
}

/// The links of a node break under running requests, and its replicas leave by plan in the meantime. They announce it
/// after the requests have failed, so that they did not end with them.
#[rstest]
#[tokio::test]
async fn failed_requests_count_as_crashing_replicas_that_leave_later(
    #[values(Kind::Idempotent, Kind::RunsOnce)] kind: Kind,
    #[values(LinkMode::Hanging, LinkMode::Reset, LinkMode::RefusingNew)] mode: LinkMode,
) {
    let (fleet, links, ids) = start_running(kind).await;
    links.set_mode(mode);
    sleep(START).await;
    for id in &ids {
        fleet.fake_platform.drain(id);
    }
    sleep(DRAIN_TIME).await;
    for id in &ids {
        fleet.fake_platform.kill(id);
        fleet.fake_platform.expire_entry(id);
    }
    assert_not_crashing(&fleet, &links, kind).await;
}

/// The links of a node break under running requests, and its replicas stay.
#[rstest]
#[tokio::test]
async fn requests_of_a_cut_node_count_as_crashing_replicas(
    #[values(LinkMode::Hanging, LinkMode::Reset, LinkMode::RefusingNew)] mode: LinkMode,
) {
    let kind = Kind::RunsOnce;
    let (fleet, links, _) = start_running(kind).await;
    links.set_mode(mode);
    assert_not_crashing(&fleet, &links, kind).await;
    assert_eq!(fleet.nodes[0].cx.metrics.sum("crash_marks_total"), 0);
}

/// No instance answers the node, so that its links are broken, whatever becomes of the replicas behind them.
#[tokio::test]
async fn requests_of_a_node_behind_silent_links_count_as_crashing_replicas() {
    let kind = Kind::RunsOnce;
    let (fleet, links, ids) = start_running(kind).await;
    links.set_mode(LinkMode::Hanging);
    // The node notices by the requests that it gets.
    while !fleet.nodes[0].cx.reach.is_cut() {
        kind.call("x").status(fleet.callers(0)).await;
    }
    for id in &ids {
        fleet.fake_platform.expire_entry(id);
    }
    assert_not_crashing(&fleet, &links, kind).await;
}
