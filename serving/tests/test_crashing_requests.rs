//! End-to-end tests of requests that crash each replica that begins to run them. Once such a request has
//! crashed three replicas, every node refuses it.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::start_streams;
use guavaladder_platform_testutils::CRASH_MARKER;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_serving::key_hash::key_hash;
use guavaladder_serving::request_task::fingerprint;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// Number of crashes after which a request is refused.
const CRASHES: usize = 3;
/// Time after the third crash within which all nodes know of it: the platform's `stableWindowMs`.
const KNOWN_AFTER: Duration = Duration::from_millis(3000);
/// Maximum number of runs that begin later than that, according to the platform's rules.
const MAX_LATER_RUNS: usize = 3;
/// Time between two copies of the request.
const SEND_PERIOD: Duration = Duration::from_millis(250);
/// Maximum time until a request has crashed three replicas.
const CRASH_TIMEOUT: Duration = Duration::from_secs(20);

/// Kind of the request, and for streams the member of the group that crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Idempotent,
    RunsOnce,
    StreamHead,
    StreamMember,
}

impl Kind {
    fn call(self, path: &str) -> Call {
        match self {
            Self::Idempotent => Call::new(Method::GET, &format!("/look/{path}")),
            Self::RunsOnce => Call::new(Method::POST, &format!("/book/{path}")),
            Self::StreamHead | Self::StreamMember => {
                Call::new(Method::POST, &format!("/draft/{path}"))
            }
        }
    }

    fn crashing(self) -> Call {
        self.call(CRASH_MARKER)
    }

    fn service(self) -> &'static str {
        match self {
            Self::Idempotent | Self::RunsOnce => "orders",
            Self::StreamHead | Self::StreamMember => "drafting",
        }
    }
}

/// Starts three nodes before four groups and two plain instances.
async fn start_fleet(kind: Kind) -> Fleet {
    let crash_rank = usize::from(kind == Kind::StreamMember);
    let mut fleet = Fleet::with_platform(10, |platform| platform.crash_rank = crash_rank).await;
    fleet.add_node().await;
    fleet.add_node().await;
    fleet.add_node().await;
    for node in 0..3 {
        fleet.wait_for_replicas(node, "orders", 2).await;
        let replicas = fleet.nodes[node].cx.fleet.clone();
        eventually(|| replicas.replicas().of_service("drafting").len() >= 4).await;
    }
    fleet
}

/// Sends copies of the crashing request to the nodes in turn until it has crashed three replicas, and
/// until all nodes have to know of it.
async fn crash_three_replicas(fleet: &Fleet, kind: Kind) {
    let start = Instant::now();
    let mut node = 0;
    loop {
        let runs = fleet.fake_platform.crash_runs();
        if runs.get(CRASHES - 1).is_some_and(|third| third.at.elapsed() > KNOWN_AFTER) {
            return;
        }
        assert!(start.elapsed() < CRASH_TIMEOUT, "{} crashes", runs.len());
        send_crashing(fleet, kind, node % 3).await;
        node += 1;
    }
}

/// Sends a copy of the crashing request and waits for the time of the next one.
async fn send_crashing(fleet: &Fleet, kind: Kind, node: usize) {
    let next = Instant::now() + SEND_PERIOD;
    kind.crashing().status(fleet.callers(node)).await;
    sleep_until(next).await;
}

/// Returns the number of runs that began when all nodes had to know of the third crash.
fn later_runs(fleet: &Fleet) -> usize {
    let runs = fleet.fake_platform.crash_runs();
    runs.iter().filter(|run| run.at > runs[CRASHES - 1].at + KNOWN_AFTER).count()
}

/// A request that differs from the crashing one is served, once the crashed instances are back.
async fn assert_harmless_is_served(fleet: &Fleet, kind: Kind) {
    for node in 0..fleet.nodes.len() {
        let replicas = fleet.nodes[node].cx.fleet.clone();
        eventually(|| !replicas.replicas().of_service(kind.service()).is_empty()).await;
        sleep(SEND_PERIOD).await;
        assert_eq!(kind.call("harmless").status(fleet.callers(node)).await, 200);
    }
}

#[rstest]
#[case::idempotent(Kind::Idempotent)]
#[case::runs_once(Kind::RunsOnce)]
#[case::stream_head(Kind::StreamHead)]
#[case::stream_member(Kind::StreamMember)]
#[tokio::test]
async fn crashing_request_is_sent_on_after_the_third_crash(#[case] kind: Kind) {
    let fleet = start_fleet(kind).await;
    crash_three_replicas(&fleet, kind).await;
    for node in 0..12 {
        send_crashing(&fleet, kind, node % 3).await;
    }
    assert!(later_runs(&fleet) <= MAX_LATER_RUNS, "{} later runs", later_runs(&fleet));
    assert_harmless_is_served(&fleet, kind).await;
}

#[rstest]
#[case::idempotent(Kind::Idempotent)]
#[case::runs_once(Kind::RunsOnce)]
#[case::stream_head(Kind::StreamHead)]
#[tokio::test]
async fn crashing_request_is_sent_on_by_a_node_that_started_later(#[case] kind: Kind) {
    let mut fleet = start_fleet(kind).await;
    crash_three_replicas(&fleet, kind).await;
    let before = later_runs(&fleet);
    fleet.add_node().await;
    let replicas = fleet.nodes[3].cx.fleet.clone();
    eventually(|| !replicas.replicas().of_service(kind.service()).is_empty()).await;
    sleep(KNOWN_AFTER).await;
    for _ in 0..8 {
        send_crashing(&fleet, kind, 3).await;
    }
    let runs = later_runs(&fleet) - before;
    assert_eq!(runs, 0, "runs that the late node began");
    assert_harmless_is_served(&fleet, kind).await;
}

/// The node reaches the store, so the platform's rules apply to it.
#[tokio::test]
async fn crashing_request_is_sent_on_by_a_node_cut_off_from_the_others() {
    let kind = Kind::StreamHead;
    let mut fleet = start_fleet(kind).await;
    fleet.add_cut_off_node().await;
    crash_three_replicas(&fleet, kind).await;
    let before = later_runs(&fleet);
    for _ in 0..8 {
        send_crashing(&fleet, kind, 3).await;
    }
    let runs = later_runs(&fleet) - before;
    assert_eq!(runs, 0, "runs that the node began");
    assert_harmless_is_served(&fleet, kind).await;
}

#[rstest]
#[case::idempotent(Kind::Idempotent)]
#[case::stream_head(Kind::StreamHead)]
#[tokio::test]
async fn crashing_request_is_sent_on_after_all_nodes_restarted(#[case] kind: Kind) {
    let mut fleet = start_fleet(kind).await;
    crash_three_replicas(&fleet, kind).await;
    let before = later_runs(&fleet);
    let stopping = fleet.nodes.drain(..).map(|node| tokio::spawn(node.stop()));
    for stopping in stopping.collect::<Vec<_>>() {
        stopping.await.expect("a node that stops");
    }
    fleet.add_node().await;
    let replicas = fleet.nodes[0].cx.fleet.clone();
    eventually(|| !replicas.replicas().of_service(kind.service()).is_empty()).await;
    sleep(KNOWN_AFTER).await;
    for _ in 0..8 {
        send_crashing(&fleet, kind, 0).await;
    }
    let runs = later_runs(&fleet) - before;
    assert_eq!(runs, 0, "runs that the restarted node began");
    assert_harmless_is_served(&fleet, kind).await;
}

/// A group that lost a member ends its requests as down, which does not count against the route's
/// attempts; the crashes that they caused do.
#[tokio::test]
async fn crashing_request_is_sent_on_within_one_call_after_the_third_crash() {
    let fleet = start_fleet(Kind::StreamMember).await;
    Kind::StreamMember.crashing().status(fleet.callers(0)).await;
    sleep(SEND_PERIOD).await;
    assert_eq!(fleet.fake_platform.crash_runs().len(), CRASHES);
}

/// Keys are added and cancelled while a caller goes on with its request.
#[tokio::test]
async fn crashing_request_is_sent_on_under_another_key_of_its_customer() {
    let kind = Kind::StreamHead;
    let fleet = start_fleet(kind).await;
    crash_three_replicas(&fleet, kind).await;
    let before = later_runs(&fleet);
    for node in 0..3 {
        let call = kind.crashing().with_key(Some("key-2"));
        assert_eq!(call.status(fleet.callers(node)).await, 503);
    }
    assert_eq!(later_runs(&fleet), before);
}

/// Callers give up before their node finds that the group is down.
#[tokio::test]
async fn crash_under_a_request_whose_caller_has_left_is_not_recorded() {
    let fleet = Fleet::with_platform(10, |platform| {
        platform.crash_rank = 1;
        platform.events = 300;
    });
    let mut fleet = fleet.await;
    fleet.add_node().await;
    let replicas = fleet.nodes[0].cx.fleet.clone();
    eventually(|| replicas.replicas().of_service("drafting").len() >= 4).await;
    let to = fleet.callers(0);
    let _streams = start_streams(to, 16);
    sleep(Duration::from_millis(200)).await;
    let crashing = Kind::StreamMember.crashing();
    let left = timeout(Duration::from_millis(100), crashing.send(to)).await;
    assert!(left.is_err(), "the caller has left before the group was found down");
    let uri = format!("/draft/{CRASH_MARKER}").parse().expect("a path");
    let fingerprint = fingerprint(&Method::POST, &uri, Some("baker"), b"a body");
    let crashes = fleet.nodes[0].cx.crashes.clone();
    eventually(|| crashes.crash_count(fingerprint) == 1).await;
}

/// Nodes of different versions share the crashes of a request by its fingerprint.
#[test]
fn fingerprint_is_the_hash_of_the_joined_parts() {
    let uri = "/book/x?a=b".parse().expect("a path");
    let joined = key_hash(b"POST\0/book/x?a=b\0baker\0a body");
    assert_eq!(fingerprint(&Method::POST, &uri, Some("baker"), b"a body"), joined);
}

/// The head of a group that has lost a member accepts a request that it cannot begin, so the request has
/// not crashed it.
#[tokio::test]
async fn request_sent_to_groups_that_were_down_counts_as_crashing() {
    let mut fleet = Fleet::with_events(10, 300).await;
    fleet.add_node().await;
    let replicas = fleet.nodes[0].cx.fleet.clone();
    eventually(|| replicas.replicas().of_service("drafting").len() >= 4).await;
    let to = fleet.callers(0);
    let _streams = start_streams(to, 16);
    sleep(Duration::from_millis(200)).await;
    for group in fleet.fake_platform.open_groups() {
        fleet.fake_platform.kill(&group[1]);
    }
    sleep(Duration::from_millis(40)).await;
    Call::new(Method::POST, "/draft/late").status(to).await;
    sleep(SEND_PERIOD).await;
    let uri = "/draft/late".parse().expect("a path");
    let fingerprint = fingerprint(&Method::POST, &uri, Some("baker"), b"a body");
    assert!(fleet.nodes[0].cx.metrics.sum("crash_marks_total") > 0);
    assert_eq!(fleet.nodes[0].cx.crashes.crash_count(fingerprint), 0);
}

/// A node that is cut off from the instances finds every group down, while they work for all others.
#[tokio::test]
async fn unreachable_group_counts_as_crashed_by_its_requests() {
    let mut fleet = Fleet::with_events(10, 300).await;
    fleet.add_node().await;
    let replicas = fleet.nodes[0].cx.fleet.clone();
    eventually(|| replicas.replicas().of_service("drafting").len() >= 4).await;
    let _streams = start_streams(fleet.callers(0), 16);
    sleep(Duration::from_millis(200)).await;
    for group in fleet.fake_platform.open_groups() {
        fleet.fake_platform.set_mode(&group[1], InstanceMode::Unresponsive);
    }
    let metrics = fleet.nodes[0].cx.metrics.clone();
    eventually(|| metrics.sum("replicas_down_total") >= 4).await;
    sleep(KNOWN_AFTER).await;
    assert_eq!(metrics.sum("crash_marks_total"), 0);
}
