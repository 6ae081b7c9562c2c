//! Tests of what a node does when the store returns from an older copy of its objects: what was written since
//! is gone, and revisions are given out again.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::util;
use crate::util::log;
use crate::util::serving_cx;
use guavaladder_lib::generated::events::Event;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::StoreCopy;
use guavaladder_platform_testutils::config;
use guavaladder_serving::dialect::ObjectKind;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::network::Network;
use guavaladder_serving::network::PipeNetwork;
use guavaladder_serving::serving_metrics::ServingMetrics;
use guavaladder_serving::store::Store;
use guavaladder_serving::store::StoreError;
use guavaladder_serving::store_era::EraChange;
use guavaladder_serving::store_era::Revision;
use guavaladder_serving::store_era::StoreEra;
use guavaladder_serving::unproven_instances;
use http::Method;
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Maximum wait of the watches.
const WAIT: Duration = Duration::from_secs(15);
/// Kind of the objects that the client writes, as the store names it.
const KIND: &str = "guavaladder-leases";

async fn store_and_client() -> (FakeStore, Store) {
    let network = Network::Pipes(PipeNetwork::new());
    let store = FakeStore::start_on(&network).await;
    store.name_era(4);
    let dialect = Arc::new(PlatformDialect::new());
    let client = Store::new(dialect, network, store.address, log(), ServingMetrics::new());
    (store, client)
}

#[test]
fn observe_tells_returns_from_first_and_late_answers() {
    let (era, now) = (StoreEra::new(), Instant::now());
    assert_eq!((era.current(), era.named()), (0, None));
    assert_eq!(era.observe(4, now), EraChange::None);
    assert_eq!((era.current(), era.risen_at()), (4, None));
    assert_eq!(era.observe(4, now), EraChange::None);
    assert_eq!(era.observe(6, now), EraChange::Risen(4));
    assert_eq!(era.observe(5, now), EraChange::Earlier);
    assert_eq!((era.current(), era.risen_at()), (6, Some(now)));
}

#[test]
fn revision_of_a_later_era_is_larger() {
    assert!(Revision { era: 2, number: 5 } > Revision { era: 1, number: 500 });
    assert!(Revision { era: 1, number: 500 } > Revision { era: 1, number: 5 });
}

/// The object has the revision again that the client has read, with other content.
#[tokio::test(start_paused = true)]
async fn write_with_a_revision_that_was_given_out_again_is_not_made() {
    let (store, client) = store_and_client().await;
    let copy = store.copy();
    store.put(KIND, "groups", json!({"holder": "n1"}));
    let read = client.get(ObjectKind::Leases, "groups").await.unwrap().expect("an object");
    store.restore(copy);
    store.put(KIND, "groups", json!({"holder": "n2"}));
    assert_eq!(store.revision(KIND, "groups"), Some(read.revision.number));
    // The first answer in the new era.
    assert_eq!(client.get(ObjectKind::Nodes, "n1").await, Err(StoreError::Restored));
    let calls = store.calls("PUT", KIND);
    assert_eq!(client.replace(ObjectKind::Leases, &read).await, Err(StoreError::Restored));
    let deleted = client.delete(ObjectKind::Leases, "groups", read.revision).await;
    assert_eq!(deleted, Err(StoreError::Restored));
    assert_eq!(store.calls("PUT", KIND), calls);
    assert_eq!(store.get(KIND, "groups"), Some(json!({"holder": "n2"})));
}

/// A write that meets the return of the store has no outcome that can be relied on.
#[tokio::test(start_paused = true)]
async fn write_that_the_return_overtakes_is_void() {
    let (store, client) = store_and_client().await;
    store.put(KIND, "groups", json!({"holder": "n1"}));
    let read = client.get(ObjectKind::Leases, "groups").await.unwrap().expect("an object");
    store.restore(store.copy());
    assert_eq!(client.replace(ObjectKind::Leases, &read).await, Err(StoreError::Restored));
    assert_eq!(client.era().current(), 5);
    assert!(client.health().recovered_at.is_some());
}

#[tokio::test(start_paused = true)]
async fn late_answer_of_an_earlier_era_changes_nothing() {
    let (store, client) = store_and_client().await;
    store.put("servers", "i-1", json!({}));
    assert!(client.list(ObjectKind::Instances).await.is_ok());
    store.set_read_delay_at(store.address, Duration::from_millis(500));
    let (late, answered) = (client.clone(), client.clone());
    let late = tokio::spawn(async move { late.list(ObjectKind::Instances).await });
    sleep(Duration::from_millis(100)).await;
    store.restore(store.copy());
    assert_eq!(answered.get(ObjectKind::Leases, "groups").await, Err(StoreError::Restored));
    assert_eq!(late.await.unwrap(), Err(StoreError::Restored));
    assert_eq!(client.era().current(), 5);
}

#[tokio::test(start_paused = true)]
async fn watch_ends_when_the_store_returns_and_is_not_continued() {
    let (store, client) = store_and_client().await;
    let (_, revision) = client.list(ObjectKind::Config).await.unwrap();
    let watching = client.clone();
    let watch =
        tokio::spawn(async move { watching.watch(ObjectKind::Config, revision, WAIT).await });
    sleep(Duration::from_millis(100)).await;
    store.restore(store.copy());
    // A second watch was started before this node noticed.
    assert!(timeout(Duration::from_secs(1), watch).await.expect("an end").unwrap().is_err());
    assert_eq!(client.get(ObjectKind::Config, "main").await, Err(StoreError::Restored));
    let calls = store.calls("GET", "config");
    let again = client.watch(ObjectKind::Config, revision, WAIT).await;
    assert_eq!(again, Err(StoreError::Restored));
    assert_eq!(store.calls("GET", "config"), calls);
    let (_, listed) = client.list(ObjectKind::Config).await.unwrap();
    assert_eq!(listed.era, 5);
}

/// Two nodes, started before the copy's objects of their own existed.
async fn start_fleet() -> (Fleet, StoreCopy) {
    let mut fleet = Fleet::new(5).await;
    fleet.store.name_era(1);
    let copy = fleet.store.copy();
    for node in 0..2 {
        fleet.add_node().await;
        fleet.wait_for_replicas(node, "drafting", 2).await;
        fleet.wait_for_replicas(node, "orders", 2).await;
    }
    eventually(|| fleet.nodes.iter().all(|node| node.cx.nodes.addresses().len() == 1)).await;
    (fleet, copy)
}

/// The copy holds neither the nodes' key and objects nor the lease, an older configuration, and instances
/// without groups. Requests are served throughout, and all of it is there again.
#[tokio::test]
async fn nodes_write_again_what_the_store_lost_and_serve_on() {
    let (fleet, copy) = start_fleet().await;
    let key = fleet.store.get("guavaladder-keys", "peers").expect("a key");
    fleet.store.put("config", "main", config(6));
    let versions = || fleet.nodes.iter().map(|node| node.cx.config.version());
    eventually(|| versions().all(|version| version == Some(6))).await;
    let groups = fleet.fake_platform.open_groups();
    let terms: Vec<u64> = fleet.nodes.iter().filter_map(|node| node.cx.lease.term()).collect();
    fleet.store.restore(copy);
    let platform = fleet.fake_platform.clone();
    let registered = tokio::spawn(async move {
        sleep(Duration::from_secs(1)).await;
        platform.register_all();
    });
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        for node in 0..2 {
            let to = fleet.callers(node);
            assert_eq!(Call::new(Method::POST, "/draft/x").status(to).await, 200);
            assert_eq!(Call::new(Method::GET, "/look/x").status(to).await, 200);
            assert_eq!(fleet.nodes[node].cx.config.version(), Some(6));
        }
    }
    registered.await.expect("the instances register");
    assert_eq!(fleet.store.get("guavaladder-keys", "peers"), Some(key));
    for node in &fleet.nodes {
        assert!(fleet.store.get("guavaladder-nodes", node.cx.node()).is_some());
    }
    let holder = || fleet.nodes.iter().find_map(|node| node.cx.lease.term());
    eventually(|| holder().is_some()).await;
    assert!(holder() > terms.first().copied(), "{:?} after {terms:?}", holder());
    assert_eq!(fleet.fake_platform.open_groups(), groups);
    assert_eq!(fleet.fake_platform.violations(), vec![]);
    let is_return = |event: &Event| {
        matches!(event, Event::StoreRestored { before: 1, era: 2, last_revision, revision }
            if last_revision > revision)
    };
    for node in &fleet.nodes {
        let events = node.cx.log.events().recent();
        assert_eq!(events.iter().filter(|event| is_return(&event.event)).count(), 1);
    }
}

/// Another node found no key in the store that had returned, and made one, before the others wrote theirs.
#[tokio::test]
async fn nodes_take_over_the_key_that_the_store_holds() {
    let (fleet, copy) = start_fleet().await;
    fleet.store.restore(copy);
    fleet.store.put("guavaladder-keys", "peers", json!({"key": "5a".repeat(32)}));
    eventually(|| fleet.nodes.iter().all(|node| node.cx.peer_key.get() == Some([0x5a; 32]))).await;
    sleep(Duration::from_millis(500)).await;
    let now = Instant::now();
    for node in &fleet.nodes {
        assert_eq!(node.cx.nodes.live(now, Duration::from_millis(100)).len(), 1);
    }
}

/// A node that starts before the operators have written the newest configuration again.
#[tokio::test]
async fn node_without_the_newest_configuration_takes_no_requests() {
    let (mut fleet, copy) = start_fleet().await;
    fleet.store.put("config", "main", config(9));
    let first = fleet.nodes[0].cx.clone();
    eventually(|| first.config.version() == Some(9)).await;
    fleet.store.restore(copy);
    fleet.fake_platform.register_all();
    fleet.add_node().await;
    let late = fleet.nodes[2].cx.clone();
    eventually(|| late.awaits_config()).await;
    let look = Call::new(Method::GET, "/look/x");
    assert_eq!(look.status(fleet.callers(2)).await, 503);
    assert_eq!(look.status(fleet.callers(0)).await, 200);
    fleet.store.put("config", "main", config(9));
    eventually(|| late.config.version() == Some(9)).await;
    fleet.wait_for_replicas(2, "orders", 2).await;
    assert_eq!(Call::new(Method::GET, "/look/x").status(fleet.callers(2)).await, 200);
}

/// The operators do not write it again: the node serves with what it has.
#[tokio::test]
async fn node_that_waited_for_the_newest_configuration_serves_with_an_older_one() {
    let (mut fleet, copy) = start_fleet().await;
    fleet.store.put("config", "main", config(9));
    let first = fleet.nodes[0].cx.clone();
    eventually(|| first.config.version() == Some(9)).await;
    fleet.store.restore(copy);
    fleet.fake_platform.register_all();
    fleet.add_node().await;
    let late = fleet.nodes[2].cx.clone();
    eventually(|| late.awaits_config()).await;
    eventually(|| !late.awaits_config()).await;
    fleet.wait_for_replicas(2, "orders", 2).await;
    assert_eq!(Call::new(Method::GET, "/look/x").status(fleet.callers(2)).await, 200);
}

/// An instance that ended after the copy was made is listed again, at an address that another one uses now.
/// No request reaches that address for it.
#[rstest]
#[case::ended(true)]
#[case::still_works(false)]
#[tokio::test]
async fn entry_of_an_instance_that_was_gone_is_used_once_it_answers(#[case] has_ended: bool) {
    let (fleet, _) = start_fleet().await;
    let copy = fleet.store.copy();
    let cx = fleet.nodes[0].cx.clone();
    let members: Vec<String> = fleet.fake_platform.open_groups().into_iter().flatten().collect();
    let is_spare = |id: &String| !members.contains(id);
    let spare = (0..5).map(|i| format!("i-{i:02}")).find(is_spare).expect("a spare");
    if has_ended {
        fleet.fake_platform.kill(&spare);
    }
    fleet.fake_platform.expire_entry(&spare);
    eventually(|| cx.fleet.instance(&spare).is_none()).await;
    fleet.store.restore(copy);
    let is_asked = |event: &Event| matches!(event, Event::InstanceUnproven { .. });
    let events = || cx.log.events().recent();
    eventually(|| events().iter().any(|event| is_asked(&event.event))).await;
    if has_ended {
        assert_eq!(cx.fleet.instance(&spare), None);
    } else {
        eventually(|| cx.fleet.instance(&spare).is_some()).await;
    }
}

/// An instance of a service without an engine cannot be asked; the store removes its entry if it is silent.
#[tokio::test(start_paused = true)]
async fn entry_without_reports_is_used_once_it_has_stayed() {
    let cx = serving_cx(1);
    cx.fleet.set_config(util::config(1));
    let listed = || vec![util::instance("x", "orders"), util::instance("y", "orders")];
    cx.fleet.replace_all(listed(), 1, None);
    let removed = ["x", "y"].map(|id| EntryChange::Removed(id.to_string()));
    cx.fleet.apply(removed.to_vec(), None);
    cx.fleet.enter_era(1, Instant::now());
    let checks = tokio::spawn(unproven_instances::run(cx.clone()));
    cx.fleet.replace_all(listed(), 1, None);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(cx.fleet.instances().len(), 0);
    cx.fleet.apply(vec![EntryChange::Removed("y".to_string())], None);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(cx.fleet.instances().into_keys().collect::<Vec<_>>(), ["x"]);
    checks.abort();
}
