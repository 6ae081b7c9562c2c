//! Tests of what a node knows of replicas that leave, where their answers come through another node or their
//! entries are older than what is known.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::LinkMode;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Number of requests at the same time, which reach both replicas.
const AT_ONCE: usize = 8;

/// Sends requests to the first node at the same time and returns the number of those that were served.
async fn send_requests(fleet: &Fleet, method: &Method, path: &str) -> usize {
    let mut requests = JoinSet::new();
    for _ in 0..AT_ONCE {
        let (call, to) = (Call::new(method.clone(), path), fleet.callers(0));
        requests.spawn(async move { call.status(to).await });
    }
    requests.join_all().await.into_iter().filter(|status| *status == 200).count()
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
