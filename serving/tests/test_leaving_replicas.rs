//! Tests of what a node knows of replicas that leave, where their answers come through another node or their
//! entries are older than what is known.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::spec;
use crate::util::config;
use crate::util::instance;
use crate::util::log;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::LinkMode;
use guavaladder_platform_testutils::StoreMode;
use guavaladder_platform_testutils::config as platform_config;
use guavaladder_platform_testutils::spawn_instance;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::fleet_view::FleetView;
use guavaladder_serving::rate_limits::run_hash;
use guavaladder_serving::replica_health;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Number of requests at the same time, which reach both replicas.
const AT_ONCE: usize = 8;
/// Number of nodes of which only some watch the list of instances.
const LARGE_FLEET: usize = 15;
/// Time that the store takes to respond to some reads.
const READ_DELAY: Duration = Duration::from_millis(800);

/// Time that a report may take.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends requests to the first node at the same time and returns the number of those that were served.
async fn send_requests(fleet: &Fleet, method: &Method, path: &str) -> usize {
    let mut requests = JoinSet::new();
    for _ in 0..AT_ONCE {
        let (call, to) = (Call::new(method.clone(), path), fleet.callers(0));
        requests.spawn(async move { call.status(to).await });
    }
    requests.join_all().await.into_iter().filter(|status| *status == 200).count()
}

/// Returns the ids of the plain instances that get requests.
fn plain_replicas(view: &FleetView) -> Vec<String> {
    let replicas = view.replicas();
    replicas.of_service("orders").iter().map(|replica| replica.instance.clone()).collect()
}

/// Returns the number of requests that arrived at an instance since a moment.
fn arrivals_since(fake_platform: &FakePlatform, id: &str, since: Instant) -> usize {
    let arrivals = fake_platform.arrivals();
    arrivals.iter().filter(|a| a.instance == id && a.at >= since).count()
}

/// The entry of the replica still shows it as ready. The answers that say that it leaves came through another
/// node, while the first one reached no replica.
#[rstest]
#[case::plain(Method::POST, "/book/x")]
#[case::head_of_a_group(Method::POST, "/draft/x")]
#[tokio::test]
async fn replica_whose_leaving_a_cut_node_passed_on_gets_requests_after_the_cut(
    #[case] method: Method,
    #[case] path: &str,
) {
    let is_stream = path.starts_with("/draft/");
    let mut fleet = Fleet::new(4).await;
    let links = fleet.add_linked_node().await;
    fleet.add_node().await;
    for node in [0, 1] {
        fleet.wait_for_replicas(node, if is_stream { "drafting" } else { "orders" }, 2).await;
    }
    let platform = fleet.fake_platform.clone();
    let leaving = match is_stream {
        true => platform.open_groups()[0][0].clone(),
        false => "p-00".to_string(),
    };
    let reach = fleet.nodes[0].cx.reach.clone();
    links.set_mode(LinkMode::Reset);
    while !reach.is_cut() {
        send_requests(&fleet, &method, path).await;
    }
    platform.set_leaving(&leaving);
    let since = Instant::now();
    while arrivals_since(&platform, &leaving, since) == 0 {
        assert_eq!(send_requests(&fleet, &method, path).await, AT_ONCE);
    }
    links.set_mode(LinkMode::Up);
    eventually(|| !reach.is_cut()).await;
    sleep(Duration::from_millis(200)).await;
    let returned = Instant::now();
    for _ in 0..4 {
        assert_eq!(send_requests(&fleet, &method, path).await, AT_ONCE);
    }
    assert_eq!(arrivals_since(&platform, &leaving, returned), 0);
}

/// The store was silent for a moment to one node only, and never answers the watch that began then. Other nodes know
/// of what leaves afterwards; requests may reach it for two seconds.
#[tokio::test]
async fn replica_that_leaves_after_a_lost_watch_gets_requests() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    let store = fleet.add_node_with_own_store_address().await;
    fleet.wait_for_replicas(1, "orders", 2).await;
    fleet.store.set_mode_at(store, StoreMode::Unresponsive);
    // The watch in progress returns with this change, and the next one is lost.
    spawn_instance(&fleet.fake_platform, spec("p-02", "orders", None)).await;
    fleet.wait_for_replicas(1, "orders", 3).await;
    sleep(Duration::from_secs(1)).await;
    fleet.store.set_mode_at(store, StoreMode::Up);
    sleep(Duration::from_millis(100)).await;
    fleet.fake_platform.drain("p-02");
    sleep(Duration::from_secs(2)).await;
    let view = &fleet.nodes[1].cx.fleet;
    assert_eq!(plain_replicas(view), ["p-00", "p-01"]);
}

/// Starts two nodes, lets the watches of the second one get lost, and stops the first one, which holds the lease.
async fn stop_holder_after_lost_watches() -> Fleet {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    let store = fleet.add_node_with_own_store_address().await;
    fleet.wait_for_replicas(1, "orders", 2).await;
    fleet.store.set_mode_at(store, StoreMode::Unresponsive);
    // The watches in progress return with these changes, and the next ones are lost.
    spawn_instance(&fleet.fake_platform, spec("p-02", "orders", None)).await;
    fleet.store.put("config", "main", platform_config(6));
    fleet.wait_for_replicas(1, "orders", 3).await;
    sleep(Duration::from_secs(1)).await;
    fleet.store.set_mode_at(store, StoreMode::Up);
    sleep(Duration::from_millis(100)).await;
    assert!(fleet.nodes[0].cx.lease.term().is_some());
    fleet.nodes.remove(0).stop().await;
    fleet
}

/// The node that would have told the others of what leaves has stopped; requests may reach it for two seconds.
#[tokio::test]
async fn replica_that_leaves_after_a_lost_watch_gets_requests_once_the_holder_has_stopped() {
    let fleet = stop_holder_after_lost_watches().await;
    fleet.fake_platform.drain("p-02");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(plain_replicas(&fleet.nodes[0].cx.fleet), ["p-00", "p-01"]);
}

/// The node that would have told the others of a newer configuration has stopped; that has to be in force within
/// three seconds.
#[tokio::test]
async fn configuration_after_a_lost_watch_is_not_used_once_the_holder_has_stopped() {
    let fleet = stop_holder_after_lost_watches().await;
    fleet.store.put("config", "main", platform_config(7));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.nodes[0].cx.config.version(), Some(7));
}

/// Starts a fleet of which only some nodes watch the list of instances, with one plain replica, and returns a
/// node that does not watch and one that does.
async fn start_large_fleet() -> (Fleet, usize, usize) {
    let mut fleet = Fleet::new(0).await;
    for _ in 0..LARGE_FLEET {
        fleet.add_linked_node().await;
    }
    for node in 0..LARGE_FLEET {
        fleet.wait_for_replicas(node, "orders", 2).await;
    }
    // The nodes that were started first watch the list until it changes.
    fleet.fake_platform.drain("p-01");
    let view = |node: usize| &fleet.nodes[node].cx.fleet;
    eventually(|| (0..LARGE_FLEET).all(|node| plain_replicas(view(node)) == ["p-00"])).await;
    sleep(Duration::from_secs(1)).await;
    let (watchers, followers): (Vec<usize>, Vec<usize>) =
        (0..LARGE_FLEET).partition(|node| view(*node).watched_revision() > 0);
    assert!(watchers.len() > 1, "{watchers:?}");
    (fleet, followers[0], watchers[0])
}

/// Most nodes of a large fleet follow the list of instances by changes that others forward. One of them reads
/// the list meanwhile, and the response takes its time.
#[rstest]
#[case::draining(FakePlatform::drain)]
#[case::removed(FakePlatform::expire_entry)]
#[tokio::test]
async fn instance_that_left_returns_with_an_older_list(#[case] leave: fn(&FakePlatform, &str)) {
    let (fleet, follower, _) = start_large_fleet().await;
    let cx = &fleet.nodes[follower].cx;
    fleet.store.set_read_delay_at(cx.settings.store, READ_DELAY);
    let requested = Instant::now();
    cx.fleet.request_relist();
    sleep(Duration::from_millis(100)).await;
    leave(&fleet.fake_platform, "p-00");
    eventually(|| plain_replicas(&cx.fleet).is_empty()).await;
    assert!(requested.elapsed() < READ_DELAY, "the change was forwarded");
    while requested.elapsed() < 2 * READ_DELAY {
        sleep(Duration::from_millis(20)).await;
        assert_eq!(plain_replicas(&cx.fleet), [""; 0], "{:?}", requested.elapsed());
    }
}

/// A watcher learns from another one that an instance is draining. The response of its own watch, which shows
/// the instance as ready, arrives later.
#[tokio::test]
async fn draining_instance_returns_with_an_older_change() {
    let (fleet, _, watcher) = start_large_fleet().await;
    let cx = &fleet.nodes[watcher].cx;
    fleet.store.set_read_delay_at(cx.settings.store, READ_DELAY);
    let changed = Instant::now();
    // Another change of the same entry.
    fleet.fake_platform.expire_entry("p-00");
    fleet.fake_platform.register("p-00");
    sleep(Duration::from_millis(100)).await;
    fleet.fake_platform.drain("p-00");
    eventually(|| plain_replicas(&cx.fleet).is_empty()).await;
    assert!(changed.elapsed() < READ_DELAY, "the change was forwarded");
    while changed.elapsed() < 2 * READ_DELAY {
        sleep(Duration::from_millis(20)).await;
        assert_eq!(plain_replicas(&cx.fleet), [""; 0], "{:?}", changed.elapsed());
    }
}

/// The entry lapses for a moment, long after the instance first said that it leaves.
#[rstest]
#[case::removed(false)]
#[case::not_back_after_an_outage(true)]
#[tokio::test(start_paused = true)]
async fn leaving_replica_returns_with_its_entry_after_a_minute(#[case] is_held: bool) {
    let view = FleetView::new(log());
    view.set_config(config(1));
    let x = instance("x", "orders");
    let put = || vec![EntryChange::Put(Box::new(x.clone()))];
    view.apply(put(), None);
    view.mark_leaving(run_hash(&x.id, x.engine.born_ms));
    tokio::time::advance(Duration::from_secs(100)).await;
    let hold_until = is_held.then(|| Instant::now() + Duration::from_secs(2));
    view.apply(vec![EntryChange::Removed(x.id.clone())], hold_until);
    tokio::time::advance(Duration::from_secs(5)).await;
    view.expire_held(Instant::now());
    assert!(view.instances().is_empty());
    tokio::time::advance(Duration::from_secs(10)).await;
    view.apply(put(), None);
    assert_eq!(plain_replicas(&view), [""; 0]);
}

/// The entry lapses, and returns as ready.
#[tokio::test]
async fn instance_that_said_in_a_report_that_it_leaves_returns_with_its_entry() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    let (platform, cx) = (fleet.fake_platform.clone(), fleet.nodes[0].cx.clone());
    let address = platform.address("p-00").expect("an instance");
    platform.expire_entry("p-00");
    eventually(|| plain_replicas(&cx.fleet) == ["p-01"]).await;
    platform.set_leaving("p-00");
    let report = replica_health::fetch_report(&cx, "p-00", address, "test", REPORT_TIMEOUT);
    report.await.expect("a report");
    platform.register("p-00");
    eventually(|| cx.fleet.instance("p-00").is_some()).await;
    assert_eq!(plain_replicas(&cx.fleet), ["p-01"]);
}
