//! End-to-end tests of evacuated data centres, on loopback with nodes, a fake of the platform's store, fake
//! instances in two data centres, and callers.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::spec;
use crate::fleet::start_streams;
use guavaladder_lib::generated::serving_peer::NodePhase;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::StoreMode;
use guavaladder_platform_testutils::event_ids;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Bound of an evacuation. The platform's is 5 s.
const BOUND: Duration = Duration::from_secs(5);
/// Time within which an evacuation should take effect while nothing else fails.
const USUAL: Duration = Duration::from_secs(1);
/// Number of nodes of which only some follow the evacuations.
const LARGE_FLEET: usize = 15;
/// Interval at which each node gets a request. With shorter ones, groups refuse requests beside other load.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);

/// Starts fakes with two groups and two plain instances in the data centre `east`, and as many in `west`.
async fn start_platform(events: u64) -> Fleet {
    let mut fleet = Fleet::with_events(4, events).await;
    fleet.evacuate_s = Some(BOUND.as_secs_f64());
    for i in 0..4 {
        spawn_instance(&fleet.fake_platform, west(&format!("w-{i:02}"), "drafting", Some("d1")))
            .await;
    }
    for id in ["wp-00", "wp-01"] {
        spawn_instance(&fleet.fake_platform, west(id, "orders", None)).await;
    }
    fleet
}

fn west(id: &str, service: &str, domain: Option<&str>) -> InstanceSpec {
    InstanceSpec { data_centre: "west".to_string(), ..spec(id, service, domain) }
}

/// Starts a fleet of nodes that know all replicas.
async fn start_fleet(nodes: usize, events: u64) -> Fleet {
    let mut fleet = start_platform(events).await;
    for _ in 0..nodes {
        fleet.add_node().await;
    }
    for node in 0..nodes {
        fleet.wait_for_replicas(node, "drafting", 4).await;
        fleet.wait_for_replicas(node, "orders", 4).await;
    }
    fleet
}

/// Returns the times at which requests arrived at instances in `west`.
fn west_arrivals(platform: &FakePlatform) -> Vec<Instant> {
    let arrivals = platform.arrivals().into_iter();
    arrivals.filter(|arrival| arrival.instance.starts_with('w')).map(|arrival| arrival.at).collect()
}

/// Sends requests of both kinds to some nodes for a while and returns their statuses.
async fn send_requests(addresses: &[SocketAddr], length: Duration) -> Vec<u16> {
    let (mut calls, until) = (JoinSet::new(), Instant::now() + length);
    let mut number = 0;
    while Instant::now() < until {
        for to in addresses.iter().copied() {
            number += 1;
            let (method, path) = match number % 3 {
                0 => (Method::POST, "/book/x"),
                1 => (Method::GET, "/look/x"),
                _ => (Method::POST, "/draft/x"),
            };
            let call = Call::new(method, path);
            calls.spawn(async move { call.status(to).await });
        }
        sleep(REQUEST_PERIOD).await;
    }
    calls.join_all().await
}

fn addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    (0..fleet.nodes.len()).map(|node| fleet.callers(node)).collect()
}

fn knows(fleet: &Fleet, node: usize, data_centres: &[&str]) -> bool {
    fleet.nodes[node].cx.evacuations.current().keys().eq(data_centres)
}

fn all_know(fleet: &Fleet, data_centres: &[&str]) -> bool {
    (0..fleet.nodes.len()).all(|node| knows(fleet, node, data_centres))
}

/// Evacuates `west` under requests and takes it back. Guards against requests to plain instances and groups there
/// after the usual time, against requests that fail by it, and against instances that stay unused afterwards.
#[tokio::test]
async fn evacuated_data_centre_gets_no_requests_until_it_is_taken_back() {
    let fleet = start_fleet(3, 20).await;
    let to = addresses(&fleet);
    send_requests(&to, Duration::from_millis(300)).await;
    assert!(!west_arrivals(&fleet.fake_platform).is_empty());
    let evacuated = Instant::now();
    fleet.store.put("evacuations", "west", json!({}));
    let statuses = send_requests(&to, Duration::from_secs(2)).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 100 >= statuses.len() * 95, "{served} of {} served", statuses.len());
    let last = west_arrivals(&fleet.fake_platform).into_iter().max().unwrap_or(evacuated);
    let effect = last.saturating_duration_since(evacuated);
    println!("last request {effect:?} after the evacuation, {} requests", statuses.len());
    assert!(effect < USUAL, "{effect:?}");
    let text = fleet.nodes[0].cx.metrics.render();
    assert!(text.contains("guavaladder_evacuated_since_seconds{data_centre=\"west\"}"), "{text}");
    fleet.store.remove("evacuations", "west");
    let taken_back = Instant::now();
    eventually(|| all_know(&fleet, &[])).await;
    send_requests(&to, Duration::from_millis(300)).await;
    assert!(west_arrivals(&fleet.fake_platform).into_iter().any(|at| at > taken_back));
    for node in &fleet.nodes {
        let since = node.cx.evacuations.taken_back_since(taken_back);
        assert_eq!(since.len(), 1, "{since:?}");
    }
    assert_eq!(fleet.fake_platform.violations(), []);
}

/// Streams run in a data centre when it is evacuated. Guards against ending them, and against resuming there those
/// that fail.
#[tokio::test]
async fn running_streams_finish_and_are_resumed_elsewhere() {
    let fleet = start_fleet(1, 60).await;
    let streams = start_streams(fleet.callers(0), 8);
    eventually(|| fleet.fake_platform.running_streams() == 8).await;
    assert!(!west_arrivals(&fleet.fake_platform).is_empty());
    fleet.store.put("evacuations", "west", json!({}));
    eventually(|| all_know(&fleet, &["west"])).await;
    let evacuated = Instant::now();
    let groups = fleet.fake_platform.open_groups();
    let lost = groups.iter().map(|group| &group[0]).find(|head| head.starts_with('w'));
    fleet.fake_platform.kill(lost.expect("a group in the data centre"));
    for stream in streams {
        let response = stream.await.unwrap().expect("a complete stream");
        assert_eq!(event_ids(&response), (1..=60).collect::<Vec<u64>>());
    }
    assert!(west_arrivals(&fleet.fake_platform).into_iter().all(|at| at < evacuated));
}

/// Most nodes of a large fleet don't follow the evacuations; the store refuses one of them altogether. Guards
/// against nodes that learn late, and against a call of each node for an evacuation.
#[tokio::test]
async fn nodes_learn_from_each_other() {
    let mut fleet = start_platform(20).await;
    let mut stores = vec![];
    for _ in 0..LARGE_FLEET {
        stores.push(fleet.add_node_with_own_store_address().await);
    }
    for node in 0..LARGE_FLEET {
        fleet.wait_for_replicas(node, "orders", 4).await;
    }
    sleep(Duration::from_secs(2)).await;
    let is_holder = |node: &usize| fleet.nodes[*node].cx.lease.term().is_some();
    let refused = (0..LARGE_FLEET).rev().find(|node| !is_holder(node)).expect("another node");
    fleet.store.set_mode_at(stores[refused], StoreMode::Busy);
    let before = fleet.store.calls("GET", "evacuations");
    let evacuated = Instant::now();
    fleet.store.put("evacuations", "west", json!({}));
    eventually(|| all_know(&fleet, &["west"])).await;
    let effect = evacuated.elapsed();
    send_requests(&addresses(&fleet), Duration::from_secs(1)).await;
    let last = west_arrivals(&fleet.fake_platform).into_iter().max().unwrap_or(evacuated);
    assert!(last.saturating_duration_since(evacuated) < USUAL);
    let calls = fleet.store.calls("GET", "evacuations") - before;
    println!("all nodes know after {effect:?}, {calls} calls of {LARGE_FLEET} nodes");
    assert!(effect < USUAL, "{effect:?}");
    // Three nodes watch for a third of the bound each, and each change ends a watch.
    assert!(calls <= 12, "{calls} calls");
    fleet.store.remove("evacuations", "west");
    eventually(|| all_know(&fleet, &[])).await;
}

/// A node hears no other node. Guards against one that relies on watchers that it does not hear.
#[tokio::test]
async fn node_that_is_cut_off_from_the_others_learns_from_the_store() {
    let mut fleet = start_fleet(3, 20).await;
    fleet.add_cut_off_node().await;
    fleet.wait_for_replicas(3, "orders", 4).await;
    let evacuated = Instant::now();
    fleet.store.put("evacuations", "west", json!({}));
    eventually(|| knows(&fleet, 3, &["west"])).await;
    assert!(evacuated.elapsed() < USUAL, "{:?}", evacuated.elapsed());
}

/// A node starts while `west` is evacuated, and the store refuses its reads of the evacuations. Guards against
/// requests before another node has told it.
#[tokio::test]
async fn node_that_starts_hears_of_the_evacuation_from_others() {
    let mut fleet = start_fleet(2, 20).await;
    fleet.store.put("evacuations", "west", json!({}));
    eventually(|| all_know(&fleet, &["west"])).await;
    let started = Instant::now();
    fleet.add_node_without_kind("evacuations").await;
    let to = [fleet.callers(2)];
    send_requests(&to, Duration::from_secs(2)).await;
    assert!(west_arrivals(&fleet.fake_platform).into_iter().all(|at| at < started));
    assert!(knows(&fleet, 2, &["west"]));
    assert_eq!(fleet.nodes[2].cx.phase(), NodePhase::Serving);
    assert!(send_requests(&to, Duration::from_millis(200)).await.iter().all(|s| *s == 200));
}

/// A node starts alone, and the store refuses its reads of the evacuations. It refuses requests until it could have
/// heard of them, and serves then. Once the store answers, what it says counts.
#[tokio::test]
async fn node_that_nobody_tells_serves_after_the_bound() {
    let mut fleet = start_platform(20).await;
    fleet.store.put("evacuations", "west", json!({}));
    let store = fleet.add_node_without_kind("evacuations").await;
    eventually(|| fleet.nodes[0].cx.fleet.replicas().of_service("orders").len() == 4).await;
    let known = Instant::now();
    sleep(Duration::from_millis(500)).await;
    let to = fleet.callers(0);
    let response = Call::new(Method::GET, "/look/x").send(to).await.expect("a response");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(fleet.fake_platform.arrivals(), []);
    eventually(|| fleet.nodes[0].cx.phase() == NodePhase::Serving).await;
    assert!(known.elapsed() > BOUND - USUAL && known.elapsed() < BOUND + USUAL);
    assert_eq!(Call::new(Method::GET, "/look/x").status(to).await, 200);
    fleet.store.set_kind_refused_at(store, "evacuations", false);
    eventually(|| knows(&fleet, 0, &["west"])).await;
}

/// The store loses the answers to all watches while it is changed. Guards against nodes that wait for them for
/// longer than the bound.
#[tokio::test]
async fn evacuation_takes_effect_although_the_store_loses_the_answers() {
    let fleet = start_fleet(3, 20).await;
    fleet.store.set_mode(StoreMode::Unresponsive);
    // Watches that wait are lost as soon as they are sent again.
    sleep(BOUND / 2).await;
    fleet.store.put("evacuations", "west", json!({}));
    fleet.store.set_mode(StoreMode::Up);
    let answering = Instant::now();
    eventually(|| all_know(&fleet, &["west"])).await;
    println!("all nodes know {:?} after the store answers again", answering.elapsed());
    assert!(answering.elapsed() < BOUND, "{:?}", answering.elapsed());
    // While the store is away, the last state holds.
    fleet.store.set_mode(StoreMode::Busy);
    sleep(Duration::from_secs(3)).await;
    assert!(all_know(&fleet, &["west"]));
}

/// The holder of the lease ends just before a data centre is evacuated. Guards against an evacuation that only the
/// holder would have seen in time.
#[tokio::test]
async fn evacuation_takes_effect_while_the_holder_of_the_lease_is_lost() {
    let mut fleet = start_fleet(4, 20).await;
    let is_holder = |node: &usize| fleet.nodes[*node].cx.lease.term().is_some();
    let holder = (0..4).find(is_holder).expect("a holder");
    let lost = fleet.nodes.remove(holder);
    let stopping = tokio::spawn(lost.stop());
    let evacuated = Instant::now();
    fleet.store.put("evacuations", "west", json!({}));
    eventually(|| all_know(&fleet, &["west"])).await;
    assert!(evacuated.elapsed() < USUAL, "{:?}", evacuated.elapsed());
    stopping.await.expect("a node that stops");
}

/// Guards against requests to instances if no data centre is left, and against holding them.
#[tokio::test]
async fn requests_are_refused_while_all_data_centres_are_evacuated() {
    let fleet = start_fleet(2, 20).await;
    for data_centre in ["east", "west"] {
        fleet.store.put("evacuations", data_centre, json!({}));
    }
    eventually(|| all_know(&fleet, &["east", "west"])).await;
    let since = Instant::now();
    for (method, path) in [(Method::POST, "/draft/x"), (Method::POST, "/book/x")] {
        let started = Instant::now();
        let response = Call::new(method, path).send(fleet.callers(0)).await.expect("a response");
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        assert!(started.elapsed() < Duration::from_millis(200), "{:?}", started.elapsed());
    }
    assert!(fleet.fake_platform.arrivals().iter().all(|arrival| arrival.at < since));
    fleet.store.remove("evacuations", "east");
    eventually(|| all_know(&fleet, &["west"])).await;
    assert_eq!(Call::new(Method::POST, "/draft/x").status(fleet.callers(0)).await, 200);
}

/// Entries of unknown data centres and damaged ones are among the valid ones. Guards against skipping all of them,
/// and against ending an evacuation whose entry is damaged later.
#[tokio::test]
async fn damaged_entry_changes_nothing() {
    let mut fleet = start_platform(20).await;
    fleet.store.put("evacuations", "north", json!({}));
    fleet.store.put("evacuations", "east", json!("damaged"));
    fleet.store.put("evacuations", "west", json!({}));
    fleet.add_first_node("orders", 4).await;
    eventually(|| knows(&fleet, 0, &["west"])).await;
    fleet.store.put("evacuations", "west", json!(7));
    sleep(Duration::from_millis(300)).await;
    assert!(knows(&fleet, 0, &["west"]));
    // Also where the complete list is read again.
    fleet.store.compact();
    sleep(BOUND / 2).await;
    assert!(knows(&fleet, 0, &["west"]));
    fleet.store.remove("evacuations", "west");
    eventually(|| knows(&fleet, 0, &[])).await;
}

/// The store returns from a copy without the evacuation, which is written again a second later. Guards against
/// requests to the data centre in between.
#[tokio::test]
async fn evacuation_holds_while_the_store_returns_from_an_older_copy() {
    let fleet = {
        let mut fleet = start_platform(20).await;
        fleet.store.name_era(1);
        fleet.add_node().await;
        fleet.add_node().await;
        fleet.wait_for_replicas(1, "orders", 4).await;
        fleet
    };
    let copy = fleet.store.copy();
    fleet.store.put("evacuations", "west", json!({}));
    eventually(|| all_know(&fleet, &["west"])).await;
    let evacuated = Instant::now();
    fleet.store.restore(copy);
    send_requests(&addresses(&fleet), Duration::from_secs(1)).await;
    fleet.store.put("evacuations", "west", json!({}));
    send_requests(&addresses(&fleet), Duration::from_secs(1)).await;
    assert!(west_arrivals(&fleet.fake_platform).into_iter().all(|at| at < evacuated));
    fleet.store.remove("evacuations", "west");
    eventually(|| all_know(&fleet, &[])).await;
}
