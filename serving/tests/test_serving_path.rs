//! End-to-end tests on loopback with nodes, a fake of the platform's store, fake instances and callers.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::spec;
use crate::fleet::start_streams;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_platform_testutils::StoreMode;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::event_ids;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

#[tokio::test]
async fn fleet_without_faults_serves_every_kind_of_request() {
    let mut fleet = Fleet::new(5).await;
    fleet.add_node().await;
    fleet.add_node().await;
    fleet.wait_for_replicas(0, "drafting", 2).await;
    fleet.wait_for_replicas(1, "drafting", 2).await;
    for node in 0..2 {
        let to = fleet.callers(node);
        let response = Call::new(Method::POST, "/draft/x").send(to).await.expect("a stream");
        assert_eq!(event_ids(&response), (1..=20).collect::<Vec<u64>>());
        assert_eq!(response.headers()["x-response-stamp"], "stamp");
        let response = Call::new(Method::POST, "/book/x").send(to).await.expect("a response");
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"a body"[..]));
        assert_eq!(Call::new(Method::GET, "/look/x").status(to).await, 200);
        assert_eq!(Call::new(Method::GET, "/nowhere/").status(to).await, 404);
        assert_eq!(Call::new(Method::GET, "/look/x").with_key(None).status(to).await, 401);
        assert_eq!(Call::new(Method::GET, "/look/x").with_key(Some("x")).status(to).await, 401);
    }
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

/// A group member becomes unreachable while streams run: each stream is resumed after its last event,
/// and the group is formed again with another member.
#[tokio::test]
async fn streams_of_a_lost_member_are_resumed_and_its_group_is_repaired() {
    let mut fleet = Fleet::new(5).await;
    fleet.add_first_node("drafting", 2).await;
    let to = fleet.callers(0);
    let streams = start_streams(to, 6);
    sleep(Duration::from_millis(100)).await;
    let lost = fleet.fake_platform.open_groups()[0][1].clone();
    fleet.fake_platform.set_mode(&lost, InstanceMode::Unresponsive);
    for stream in streams {
        let response = stream.await.unwrap().expect("a complete stream");
        assert_eq!(event_ids(&response), (1..=20).collect::<Vec<u64>>());
    }
    eventually(|| {
        let groups = fleet.fake_platform.open_groups();
        groups.len() == 2 && !groups.iter().flatten().any(|member| *member == lost)
    })
    .await;
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

/// A group head stops responding and its entry expires, as when it is partitioned from the store: its
/// members must leave its group before they join another one, even if the head responds again later.
#[tokio::test]
async fn members_leave_a_lost_head_before_they_join_another_group() {
    let mut fleet = Fleet::new(5).await;
    fleet.add_first_node("drafting", 2).await;
    let head = fleet.fake_platform.open_groups()[0][0].clone();
    fleet.fake_platform.set_mode(&head, InstanceMode::Unresponsive);
    fleet.fake_platform.expire_entry(&head);
    eventually(|| {
        let others = fleet.fake_platform.open_groups().into_iter().filter(|group| group[0] != head);
        others.count() == 2
    })
    .await;
    fleet.fake_platform.set_mode(&head, InstanceMode::Up);
    fleet.fake_platform.register(&head);
    eventually(|| fleet.fake_platform.orders(&head).last().is_some_and(|order| order == "leave"))
        .await;
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

/// A planned change must not interrupt streams, even if the instances' reports lag behind the order to
/// close the group.
#[tokio::test]
async fn draining_member_is_replaced_after_its_group_has_finished() {
    let mut fleet = Fleet::with_events(5, 40).await;
    fleet.add_first_node("drafting", 2).await;
    let to = fleet.callers(0);
    let streams = start_streams(to, 6);
    sleep(Duration::from_millis(150)).await;
    let group = fleet.fake_platform.open_groups()[0].clone();
    fleet.fake_platform.drain(&group[1]);
    for stream in streams {
        let response = stream.await.unwrap().expect("a complete stream");
        assert_eq!(event_ids(&response).len(), 40);
    }
    let failovers = fleet.nodes[0].cx.metrics.sum("moves_total");
    assert_eq!(failovers, 0, "streams were interrupted and resumed on another replica");
    eventually(|| fleet.fake_platform.orders(&group[0]).contains(&"close".to_string())).await;
    eventually(|| {
        let groups = fleet.fake_platform.open_groups();
        groups.len() == 2 && !groups.iter().flatten().any(|member| *member == group[1])
    })
    .await;
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

#[rstest]
#[case::response_lost(InstanceMode::LosesResponses, Method::POST, "/book/x", 502)]
#[case::failed(InstanceMode::Fails, Method::POST, "/book/x", 500)]
#[case::refused(InstanceMode::Refuses, Method::POST, "/book/x", 503)]
#[case::response_lost_idempotent(InstanceMode::LosesResponses, Method::GET, "/look/x", 502)]
#[case::refused_idempotent(InstanceMode::Refuses, Method::GET, "/look/x", 503)]
#[tokio::test]
async fn status_tells_whether_the_request_may_have_run(
    #[case] mode: InstanceMode,
    #[case] method: Method,
    #[case] path: &str,
    #[case] expected: u16,
) {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    for id in ["p-00", "p-01"] {
        fleet.fake_platform.set_mode(id, mode);
    }
    let call = Call::new(method, path);
    let response = call.send(fleet.callers(0)).await.expect("a response");
    assert_eq!(response.status().as_u16(), expected);
    // `Retry-After` states that the request did not run, so it must be absent if it may have run.
    assert_eq!(response.headers().contains_key("retry-after"), expected == 503);
    assert_eq!(fleet.fake_platform.execution_count(&call.id) == 0, expected == 503);
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

#[tokio::test]
async fn refused_request_is_served_by_another_instance() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    fleet.fake_platform.set_mode("p-00", InstanceMode::Refuses);
    for _ in 0..10 {
        let call = Call::new(Method::POST, "/book/x");
        assert_eq!(call.status(fleet.callers(0)).await, 200);
        assert_eq!(fleet.fake_platform.execution_count(&call.id), 1);
    }
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

#[rstest]
#[case::busy(StoreMode::Busy)]
#[case::unresponsive(StoreMode::Unresponsive)]
#[tokio::test]
async fn serving_continues_without_the_store_and_changes_apply_after_it_recovers(
    #[case] mode: StoreMode,
) {
    let mut fleet = Fleet::new(2).await;
    fleet.add_first_node("drafting", 1).await;
    fleet.store.set_mode(mode);
    fleet.store.compact();
    sleep(Duration::from_millis(500)).await;
    fleet.fake_platform.expire_entry("p-00");
    let to = fleet.callers(0);
    assert_eq!(Call::new(Method::GET, "/look/x").status(to).await, 200);
    assert!(Call::new(Method::POST, "/draft/x").send(to).await.is_some());
    fleet.store.put("config", "main", config(9));
    fleet.store.set_mode(StoreMode::Up);
    let cx = fleet.nodes[0].cx.clone();
    eventually(|| cx.config.version() == Some(9)).await;
    // An entry that expired in the meantime is kept for a grace period and removed if it is not
    // registered again.
    eventually(|| cx.fleet.instance("p-00").is_none()).await;
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

#[tokio::test]
async fn lost_store_responses_leave_one_lease_holder() {
    let mut fleet = Fleet::new(3).await;
    fleet.store.set_mode(StoreMode::LosesResponses);
    fleet.add_node().await;
    fleet.add_node().await;
    sleep(Duration::from_millis(1500)).await;
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait_for_replicas(0, "drafting", 1).await;
    let holders = fleet.nodes.iter().filter(|node| node.cx.lease.term().is_some()).count();
    assert_eq!(holders, 1);
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

#[tokio::test]
async fn stopping_node_finishes_running_requests_and_is_no_longer_listed() {
    let mut fleet = Fleet::new(2).await;
    fleet.add_node().await;
    fleet.add_node().await;
    fleet.wait_for_replicas(0, "drafting", 1).await;
    fleet.wait_for_replicas(1, "drafting", 1).await;
    eventually(|| fleet.nodes.iter().all(|node| !node.cx.nodes.addresses().is_empty())).await;
    let to = fleet.callers(0);
    let stream = tokio::spawn(async move { Call::new(Method::POST, "/draft/x").send(to).await });
    sleep(Duration::from_millis(100)).await;
    let stopping = fleet.nodes.remove(0);
    let other = fleet.nodes[0].cx.clone();
    let stop = tokio::spawn(stopping.stop());
    let response = stream.await.unwrap().expect("a complete stream");
    assert_eq!(event_ids(&response).len(), 20);
    stop.await.unwrap();
    let now = tokio::time::Instant::now();
    assert_eq!(other.nodes.entry_nodes(now, other.heartbeat_period()), vec![]);
    assert_eq!(fleet.store.get("guavaladder-nodes", "n0"), None);
    // The other node acquires the lease and forms a group from the new instances.
    eventually(|| other.lease.term().is_some()).await;
    for id in ["i-08", "i-09"] {
        spawn_instance(&fleet.fake_platform, spec(id, "drafting", Some("d0"))).await;
    }
    eventually(|| fleet.fake_platform.open_groups().len() == 2).await;
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}

#[tokio::test]
async fn malformed_instance_entries_are_ignored() {
    let mut fleet = Fleet::new(0).await;
    for (name, entry) in [
        ("x-1", serde_json::json!({"service": "orders"})),
        ("x-2", serde_json::json!("bytes")),
        ("x-3", serde_json::Value::Null),
    ] {
        fleet.store.put("servers", name, entry);
    }
    fleet.add_first_node("orders", 2).await;
    assert_eq!(Call::new(Method::GET, "/look/x").status(fleet.callers(0)).await, 200);
}

/// A node without a configuration can neither accept a key nor reject it for good, so it returns a 503
/// with `Retry-After`.
#[tokio::test]
async fn node_without_a_configuration_asks_callers_to_retry() {
    let mut fleet = Fleet::new(0).await;
    fleet.store.remove("config", "main");
    fleet.add_node().await;
    let to = fleet.callers(0);
    for key in [Some("key-1"), Some("unknown"), None] {
        let response = Call::new(Method::GET, "/look/x").with_key(key).send(to).await;
        let response = response.expect("a response");
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
    }
    fleet.store.put("config", "main", config(7));
    fleet.wait_for_replicas(0, "orders", 2).await;
    assert_eq!(Call::new(Method::GET, "/look/x").status(to).await, 200);
    assert_eq!(Call::new(Method::GET, "/look/x").with_key(None).status(to).await, 401);
}

/// The platform's rules require that a caller that disconnects frees its slot on the replica within
/// half a second.
#[tokio::test]
async fn disconnected_caller_frees_its_slot_on_the_replica() {
    let mut fleet = Fleet::with_events(5, 1000).await;
    fleet.add_first_node("drafting", 2).await;
    let to = fleet.callers(0);
    let caller = tokio::spawn(async move { Call::new(Method::POST, "/draft/x").send(to).await });
    eventually(|| fleet.fake_platform.running_streams() == 1).await;
    caller.abort();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.fake_platform.running_streams(), 0);
}
