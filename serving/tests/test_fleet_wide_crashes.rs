//! End-to-end tests of attempts that fail while no listed instance accepts a connection: all of them may have
//! crashed, or the links of a node are broken.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::spec;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::LinkMode;
use guavaladder_platform_testutils::NodeLinks;
use guavaladder_platform_testutils::spawn_instance;
use guavaladder_serving::request_task::fingerprint;
use guavaladder_serving::serving_cx::ServingCx;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::time::sleep;

/// Number of plain instances, or of groups of two engines.
const REPLICAS: usize = 3;
/// Time within which the entry of an instance that ended is removed: three heartbeats and the delay of the list.
const MAX_EXPIRY: Duration = Duration::from_secs(6);
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

/// Starts the fakes without an instance that is started again after a crash.
async fn start_platform() -> Fleet {
    let fleet = Fleet::with_platform(0, |platform| platform.restart_delay = NEVER).await;
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
