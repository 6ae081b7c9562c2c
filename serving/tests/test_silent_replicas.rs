//! End-to-end tests of replicas that fall silent for a while and go on. Their responses must not end
//! sooner than without the silence.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::start_streams;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::event_ids;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

/// Length of a pause that replicas survive.
const PAUSE: Duration = Duration::from_millis(1000);
/// Number of events of the streams, which take 0.9 s without a pause.
const EVENTS: u64 = 60;
/// Number of streams, as many as one group runs at once.
const STREAMS: usize = 8;
/// Delay of orders; a group is not dissolved within it.
const ORDER_DELAY: Duration = Duration::from_secs(4);

/// Why the streams of a silent replica can't go on elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    OnlyReplica,
    NotResumable,
    NoBudget,
}

/// Starts a node before one or two groups.
async fn start_fleet(obstacle: Obstacle) -> Fleet {
    let engines = if obstacle == Obstacle::OnlyReplica { 2 } else { 4 };
    let mut fleet = Fleet::with_events(engines, EVENTS).await;
    if obstacle == Obstacle::NotResumable {
        let mut changed = config(6);
        changed["routes"][0]["resumable"] = false.into();
        fleet.store.put("config", "main", changed);
    }
    if obstacle == Obstacle::NoBudget {
        fleet.retry_slack = 0;
    }
    fleet.add_first_node("drafting", engines / 2).await;
    fleet
}

/// Pauses the second member of each open group, or all members, and delays the orders to them.
fn pause_groups(fake_platform: &FakePlatform, from_rank: usize) {
    for group in fake_platform.open_groups() {
        for member in &group {
            fake_platform.delay_orders(member, ORDER_DELAY);
        }
        for member in &group[from_rank..] {
            fake_platform.pause(member, PAUSE);
        }
    }
}

/// Streams have begun when their replicas fall silent.
#[rstest]
#[case::only_replica(Obstacle::OnlyReplica, 0)]
#[case::only_replica_member(Obstacle::OnlyReplica, 1)]
#[case::not_resumable(Obstacle::NotResumable, 0)]
#[case::not_resumable_member(Obstacle::NotResumable, 1)]
#[case::no_budget(Obstacle::NoBudget, 1)]
#[tokio::test]
async fn stream_is_cut_since_its_replica_is_silent(
    #[case] obstacle: Obstacle,
    #[case] from_rank: usize,
) {
    let fleet = start_fleet(obstacle).await;
    let streams = start_streams(fleet.callers(0), STREAMS);
    sleep(Duration::from_millis(200)).await;
    pause_groups(&fleet.fake_platform, from_rank);
    let mut cut = 0;
    for stream in streams {
        let response = stream.await.expect("a task that ends");
        let is_complete = response.is_some_and(|r| event_ids(&r).len() == EVENTS as usize);
        cut += usize::from(!is_complete);
    }
    assert_eq!(cut, 0, "streams of {STREAMS}");
}

/// The node that sends the streams also plans the groups, and finds the group of the silent member down.
#[rstest]
#[case::whole_group(0)]
#[case::member(1)]
#[tokio::test]
async fn group_is_dissolved_under_its_streams_since_a_member_is_silent(#[case] from_rank: usize) {
    let fleet = start_fleet(Obstacle::OnlyReplica).await;
    let streams = start_streams(fleet.callers(0), STREAMS);
    sleep(Duration::from_millis(200)).await;
    let group = fleet.fake_platform.open_groups()[0].clone();
    for member in &group[from_rank..] {
        fleet.fake_platform.pause(member, PAUSE);
    }
    let mut cut = 0;
    for stream in streams {
        let response = stream.await.expect("a task that ends");
        let is_complete = response.is_some_and(|r| event_ids(&r).len() == EVENTS as usize);
        cut += usize::from(!is_complete);
    }
    assert_eq!(cut, 0, "streams of {STREAMS}");
    assert_eq!(fleet.fake_platform.open_groups(), [group]);
}

/// The replica has the request and has not begun to respond.
#[rstest]
#[case::only_replica(Obstacle::OnlyReplica)]
#[case::not_resumable(Obstacle::NotResumable)]
#[tokio::test]
async fn stream_fails_before_its_first_event_since_its_replica_is_silent(
    #[case] obstacle: Obstacle,
) {
    let fleet = start_fleet(obstacle).await;
    pause_groups(&fleet.fake_platform, 0);
    let response = Call::new(Method::POST, "/draft/x").send(fleet.callers(0)).await;
    let response = response.expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(event_ids(&response).len(), EVENTS as usize);
}

/// Both plain instances are silent for longer than the target latency, and a retry is not allowed or does
/// not help.
#[rstest]
#[case::retried(100)]
#[case::no_budget(0)]
#[tokio::test]
async fn idempotent_request_fails_since_its_instance_is_silent(#[case] retry_slack: u64) {
    let mut fleet = Fleet::new(0).await;
    fleet.retry_slack = retry_slack;
    fleet.add_first_node("orders", 2).await;
    for id in ["p-00", "p-01"] {
        fleet.fake_platform.pause(id, PAUSE);
    }
    assert_eq!(Call::new(Method::GET, "/look/x").status(fleet.callers(0)).await, 200);
}

/// Streams move to other groups while some are silent; none runs more often than its route allows, and
/// what returns in time is used.
#[tokio::test]
async fn silent_replica_is_used_again_once_it_goes_on() {
    let mut fleet = Fleet::with_events(2, EVENTS).await;
    fleet.add_first_node("drafting", 1).await;
    let streams = start_streams(fleet.callers(0), 4);
    sleep(Duration::from_millis(200)).await;
    pause_groups(&fleet.fake_platform, 1);
    for stream in streams {
        assert!(stream.await.expect("a task that ends").is_some());
    }
    let metrics = &fleet.nodes[0].cx.metrics;
    assert_eq!(metrics.sum("replicas_down_total"), 1);
    assert_eq!(metrics.sum("replicas_returned_total"), 1);
    assert_eq!(Call::new(Method::POST, "/draft/x").status(fleet.callers(0)).await, 200);
}

/// A stream that moved to another replica waits for both of them: the first one ends, and the second one,
/// which fell silent later, goes on.
#[tokio::test]
async fn stream_is_cut_since_its_second_replica_is_silent_too() {
    let mut fleet = Fleet::with_events(4, EVENTS).await;
    fleet.add_first_node("drafting", 2).await;
    let groups = fleet.fake_platform.open_groups();
    for member in groups.iter().flatten() {
        fleet.fake_platform.delay_orders(member, ORDER_DELAY);
    }
    let stream = start_streams(fleet.callers(0), 1).remove(0);
    sleep(Duration::from_millis(200)).await;
    let first = fleet.fake_platform.arrivals()[0].instance.clone();
    fleet.fake_platform.pause(&first, 3 * PAUSE);
    let platform = fleet.fake_platform.clone();
    eventually(|| platform.arrivals().len() == 2).await;
    let second = platform.arrivals()[1].instance.clone();
    platform.pause(&second, PAUSE);
    sleep(PAUSE * 7 / 10).await;
    platform.kill(&first);
    let response = stream.await.expect("a task that ends").expect("a complete stream");
    assert_eq!(event_ids(&response).len(), EVENTS as usize);
}
