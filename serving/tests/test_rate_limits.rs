//! End-to-end tests of instances that name the rate at which they take requests from all nodes together.

use crate::fleet::Fleet;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::LIMIT_GRACE;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Number of nodes, each of which gets requests.
const NODES: usize = 4;
/// Interval at which each node gets a request.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);
/// Time for which the requests are counted.
const CHECKED: Duration = Duration::from_secs(6);

/// Starts a node before two plain instances, or two groups, and the other nodes.
async fn start_fleet(path: &str) -> Fleet {
    let is_stream = path.starts_with("/draft/");
    let mut fleet = Fleet::new(if is_stream { 4 } else { 0 }).await;
    fleet.add_first_node(if is_stream { "drafting" } else { "orders" }, 2).await;
    for _ in 1..NODES {
        fleet.add_node().await;
    }
    sleep(Duration::from_secs(1)).await;
    fleet
}

/// Returns the ids of the instances that requests are sent to.
fn entry_instances(fake_platform: &FakePlatform, path: &str) -> Vec<String> {
    match path.starts_with("/draft/") {
        true => fake_platform.open_groups().into_iter().map(|group| group[0].clone()).collect(),
        false => vec!["p-00".to_string(), "p-01".to_string()],
    }
}

/// Sends a request to each node in each period, and returns the statuses of the responses.
async fn send_requests(fleet: &Fleet, method: Method, path: &str, length: Duration) -> Vec<u16> {
    let mut requests = JoinSet::new();
    for _ in 0..length.as_millis() / REQUEST_PERIOD.as_millis() {
        for node in 0..fleet.nodes.len() {
            let (to, call) = (fleet.callers(node), Call::new(method.clone(), path));
            requests.spawn(async move { call.status(to).await });
        }
        sleep(REQUEST_PERIOD).await;
    }
    requests.join_all().await
}

/// Returns the number of requests that reached an instance in the time for which a limit is checked.
fn checked_arrivals(fake_platform: &FakePlatform, id: &str) -> usize {
    let periods = fake_platform.limit_periods();
    let period = periods.iter().find(|period| period.instance == id).expect("a limit");
    let from = period.first_named.expect("an answer that named the limit") + LIMIT_GRACE;
    let is_checked = |at| at >= from && at < from + CHECKED;
    let arrivals = fake_platform.arrivals();
    arrivals.iter().filter(|a| a.instance == id && is_checked(a.at)).count()
}

/// Each node sends what it gets, and nobody adds up the requests of all nodes.
#[rstest]
#[case::plain(Method::POST, "/book/x", 3.0)]
#[case::idempotent(Method::GET, "/look/x", 2.5)]
#[case::stream(Method::POST, "/draft/x", 4.4)]
#[case::less_than_one(Method::POST, "/book/x", 0.4)]
#[tokio::test]
async fn replica_gets_more_requests_than_it_takes_from_all_nodes(
    #[case] method: Method,
    #[case] path: &str,
    #[case] limit: f64,
) {
    let fleet = start_fleet(path).await;
    let limited = entry_instances(&fleet.fake_platform, path)[0].clone();
    fleet.fake_platform.set_rate_limit(&limited, Some(limit));
    let statuses = send_requests(&fleet, method, path, LIMIT_GRACE + CHECKED).await;
    assert_eq!(fleet.fake_platform.limit_excesses(), []);
    // The other replica takes the rest, and the limited one is not left idle.
    let got = checked_arrivals(&fleet.fake_platform, &limited) as f64;
    assert!(got >= 0.6 * limit * CHECKED.as_secs_f64(), "{got} requests at the limited replica");
    let refused = statuses.iter().filter(|status| **status != 200).count();
    assert!(refused * 20 <= statuses.len(), "{refused} of {} not served", statuses.len());
}

/// All replicas are limited: what they can't take is refused at once, with the time to come back.
#[rstest]
#[case::plain(Method::POST, "/book/x", 3.0)]
#[case::stream(Method::POST, "/draft/x", 4.4)]
#[tokio::test]
async fn all_replicas_get_more_requests_than_they_take(
    #[case] method: Method,
    #[case] path: &str,
    #[case] limit: f64,
) {
    let fleet = start_fleet(path).await;
    let limited = entry_instances(&fleet.fake_platform, path);
    for id in &limited {
        fleet.fake_platform.set_rate_limit(id, Some(limit));
    }
    let statuses = send_requests(&fleet, method, path, LIMIT_GRACE + CHECKED).await;
    assert_eq!(fleet.fake_platform.limit_excesses(), []);
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    for id in &limited {
        let got = checked_arrivals(&fleet.fake_platform, id) as f64;
        assert!(got >= 0.6 * limit * CHECKED.as_secs_f64(), "{got} requests at {id}");
    }
}
