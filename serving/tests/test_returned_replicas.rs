//! End-to-end tests of what remains of a silence after the replica has gone on.

use crate::fleet::Fleet;
use crate::fleet::spec;
use guavaladder_lib::generated::serving_peer::CrashMark;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::event_ids;
use guavaladder_platform_testutils::spawn_instance;
use guavaladder_serving::replica_health;
use guavaladder_serving::request_task;
use http::Method;
use http::Uri;
use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

/// Length of a pause that replicas survive.
const PAUSE: Duration = Duration::from_millis(600);
/// Delay of orders; a group is not dissolved within it.
const ORDER_DELAY: Duration = Duration::from_secs(20);
/// Number of events of the streams, which take 2.7 s without a pause.
const EVENTS: usize = 180;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(8);

/// Sends a streaming request and returns the number of its events, 0 if the response was cut.
fn start_stream(to: SocketAddr) -> JoinHandle<usize> {
    let call = Call::new(Method::POST, "/draft/x").with_deadline(DEADLINE);
    tokio::spawn(async move { call.send(to).await.map_or(0, |r| event_ids(&r).len()) })
}

/// Waits for streams and returns the number of those that were cut.
async fn count_cut(streams: Vec<JoinHandle<usize>>) -> usize {
    let mut cut = 0;
    for stream in streams {
        cut += usize::from(stream.await.expect("a task that ends") != EVENTS);
    }
    cut
}

/// Starts a node before groups of two, with a changed route for streams.
async fn start_fleet(groups: usize, change: impl FnOnce(&mut Value)) -> Fleet {
    let mut fleet = Fleet::with_events(groups * 2, EVENTS as u64).await;
    let mut changed = config(6);
    changed["routes"][0]["timeoutMs"] = 10_000.into();
    change(&mut changed["routes"][0]);
    fleet.store.put("config", "main", changed);
    fleet.add_first_node("drafting", groups).await;
    fleet
}

/// Pauses the second member of each open group, and delays the orders to the groups.
fn pause_groups(fake_platform: &FakePlatform, length: Duration) {
    for group in fake_platform.open_groups() {
        for member in &group {
            fake_platform.delay_orders(member, ORDER_DELAY);
        }
        fake_platform.pause(&group[1], length);
    }
}

/// The silence must not count as a run at a replica of its own.
#[tokio::test]
async fn stream_is_not_resumed_since_its_replica_was_silent_before() {
    let fleet = start_fleet(1, |_| {}).await;
    let streams = vec![start_stream(fleet.callers(0))];
    sleep(Duration::from_millis(200)).await;
    let member = fleet.fake_platform.open_groups()[0][1].clone();
    pause_groups(&fleet.fake_platform, PAUSE);
    sleep(PAUSE).await;
    for id in ["i-02", "i-03"] {
        spawn_instance(&fleet.fake_platform, spec(id, "drafting", Some("d0"))).await;
    }
    fleet.wait_for_replicas(0, "drafting", 2).await;
    fleet.fake_platform.kill(&member);
    assert_eq!(count_cut(streams).await, 0);
}

/// Each node marks it once; the announcements of the others must not outlive the silence.
#[tokio::test]
async fn replica_is_marked_as_down_again_after_it_returned() {
    let mut fleet = start_fleet(1, |_| {}).await;
    fleet.add_node().await;
    fleet.wait_for_replicas(1, "drafting", 1).await;
    let streams: Vec<_> = (0..4).map(|i| start_stream(fleet.callers(i % 2))).collect();
    sleep(Duration::from_millis(200)).await;
    pause_groups(&fleet.fake_platform, PAUSE);
    assert_eq!(count_cut(streams).await, 0);
    let marks = |i: usize| fleet.nodes[i].cx.metrics.sum("replicas_down_total");
    assert_eq!((marks(0), marks(1)), (1, 1));
}

/// The node that controls the groups has no streams of its own there.
#[tokio::test]
async fn group_is_dissolved_after_it_returned() {
    let mut fleet = start_fleet(1, |_| {}).await;
    fleet.add_node().await;
    fleet.wait_for_replicas(1, "drafting", 1).await;
    let streams: Vec<_> = (0..4).map(|_| start_stream(fleet.callers(1))).collect();
    sleep(Duration::from_millis(200)).await;
    let group = fleet.fake_platform.open_groups()[0].clone();
    fleet.fake_platform.pause(&group[1], Duration::from_millis(1000));
    assert_eq!(count_cut(streams).await, 0);
    assert_eq!(fleet.fake_platform.open_groups(), vec![group]);
}

/// A node can't reach a member, but the streams make progress.
#[rstest]
#[case::own_check(true)]
#[case::report_of_another_node(false)]
#[tokio::test]
async fn streams_that_make_progress_are_moved(#[case] is_own: bool) {
    let fleet = start_fleet(2, |_| {}).await;
    let groups = fleet.fake_platform.open_groups();
    groups.iter().flatten().for_each(|id| fleet.fake_platform.delay_orders(id, ORDER_DELAY));
    let streams: Vec<_> = (0..8).map(|_| start_stream(fleet.callers(0))).collect();
    sleep(Duration::from_millis(300)).await;
    let cx = &fleet.nodes[0].cx;
    for replica in cx.fleet.replicas().of_service("drafting") {
        let member = &replica.members[1].0;
        match is_own {
            true => replica_health::mark_and_report_down(cx, replica, member, "timeout", "failed"),
            false => replica_health::mark_reported_down(cx, replica, member, "n1"),
        }
    }
    assert_eq!(count_cut(streams).await, 0);
    assert_eq!(cx.metrics.sum("moves_total"), 0);
    assert_eq!(cx.metrics.sum("replicas_returned_total"), if is_own { 2 } else { 0 });
}

/// All groups are silent before the first event, and run the request once they go on.
#[rstest]
#[case::once(1, 2)]
#[case::twice(2, 3)]
#[tokio::test]
async fn request_runs_at_more_replicas_than_allowed(
    #[case] max_attempts: usize,
    #[case] groups: usize,
) {
    let fleet = start_fleet(groups, |route| route["maxAttempts"] = max_attempts.into()).await;
    for group in fleet.fake_platform.open_groups() {
        for member in group {
            fleet.fake_platform.delay_orders(&member, ORDER_DELAY);
            fleet.fake_platform.pause(&member, Duration::from_millis(1200));
        }
    }
    let call = Call::new(Method::POST, "/draft/x").with_deadline(DEADLINE);
    assert_eq!(call.status(fleet.callers(0)).await, 200);
    let runs = fleet.fake_platform.execution_count(&call.id);
    assert!(runs <= max_attempts, "{runs} runs, {max_attempts} allowed");
}

fn fingerprint() -> u64 {
    let uri = Uri::from_static("/draft/x");
    request_task::fingerprint(&Method::POST, &uri, Some("baker"), b"a body")
}

/// The crashes become known during the silence. Waiting sends the request to no further replica.
#[tokio::test]
async fn stream_of_silent_replica_is_cut_since_its_request_counts_as_crashing() {
    let fleet = start_fleet(1, |_| {}).await;
    let streams = vec![start_stream(fleet.callers(0))];
    sleep(Duration::from_millis(200)).await;
    pause_groups(&fleet.fake_platform, PAUSE);
    let fingerprint = fingerprint();
    let marks: Vec<CrashMark> = (1..=5).map(|replica| CrashMark { fingerprint, replica }).collect();
    let crashes = &fleet.nodes[0].cx.crashes;
    crashes.merge(&marks, Instant::now());
    assert!(crashes.is_refused(fingerprint));
    assert_eq!(count_cut(streams).await, 0);
}
