//! End-to-end tests of instances that say in their answers that they leave, or that they need time.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::spec;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Number of rounds of requests, and of requests at the same time in each, which reach both replicas.
const ROUNDS: usize = 4;
const AT_ONCE: usize = 8;
const REQUESTS: usize = ROUNDS * AT_ONCE;

/// Sends requests and returns the number of those that were served.
async fn send_requests(fleet: &Fleet, method: &Method, path: &str) -> usize {
    let mut served = 0;
    for _ in 0..ROUNDS {
        let mut requests = JoinSet::new();
        for _ in 0..AT_ONCE {
            let (call, to) = (Call::new(method.clone(), path), fleet.callers(0));
            requests.spawn(async move { call.status(to).await });
        }
        let statuses = requests.join_all().await;
        served += statuses.into_iter().filter(|status| *status == 200).count();
    }
    served
}

/// Returns the number of requests that arrived at an instance since a moment.
fn arrivals_since(fake_platform: &FakePlatform, id: &str, since: Instant) -> usize {
    let arrivals = fake_platform.arrivals();
    arrivals.iter().filter(|a| a.instance == id && a.at >= since).count()
}

/// The entry of the instance still shows it as ready.
#[rstest]
#[case::plain(Method::POST, "/book/x")]
#[case::head_of_a_group(Method::POST, "/draft/x")]
#[tokio::test]
async fn replica_that_says_that_it_leaves_gets_requests(
    #[case] method: Method,
    #[case] path: &str,
) {
    let is_stream = path.starts_with("/draft/");
    let mut fleet = Fleet::new(if is_stream { 4 } else { 0 }).await;
    fleet.add_first_node(if is_stream { "drafting" } else { "orders" }, 2).await;
    let platform = fleet.fake_platform.clone();
    let leaving = match is_stream {
        true => platform.open_groups()[0][0].clone(),
        false => "p-00".to_string(),
    };
    platform.set_leaving(&leaving);
    assert_eq!(send_requests(&fleet, &method, path).await, REQUESTS);
    let since = Instant::now();
    // A newer entry of the same run changes nothing.
    platform.register(&leaving);
    assert_eq!(send_requests(&fleet, &method, path).await, REQUESTS);
    assert_eq!(arrivals_since(&platform, &leaving, since), 0);
    assert_eq!(platform.violations(), []);
}

/// A new run under the same id has not said that it leaves.
#[tokio::test]
async fn run_after_the_one_that_left_gets_requests() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    fleet.fake_platform.set_leaving("p-00");
    send_requests(&fleet, &Method::POST, "/book/x").await;
    fleet.wait_for_replicas(0, "orders", 1).await;
    spawn_instance(&fleet.fake_platform, spec("p-00", "orders", None)).await;
    fleet.wait_for_replicas(0, "orders", 2).await;
    let since = Instant::now();
    send_requests(&fleet, &Method::POST, "/book/x").await;
    assert!(arrivals_since(&fleet.fake_platform, "p-00", since) > 0);
}

/// A member other than the head says so in its reports only.
#[tokio::test]
async fn group_of_a_member_that_says_that_it_leaves_serves_on() {
    let mut fleet = Fleet::new(6).await;
    fleet.add_first_node("drafting", 3).await;
    let platform = fleet.fake_platform.clone();
    let group = platform.open_groups()[0].clone();
    platform.set_leaving(&group[1]);
    let cx = &fleet.nodes[0].cx;
    let address = cx.fleet.instance(&group[1]).expect("a member").address;
    let report = guavaladder_serving::replica_health::fetch_report(
        cx,
        &group[1],
        address,
        "test",
        Duration::from_secs(1),
    );
    report.await.expect("a report");
    eventually(|| !platform.open_groups().contains(&group)).await;
    assert_eq!(platform.violations(), []);
}

/// The instance refuses requests and asks for two seconds.
#[tokio::test]
async fn replica_that_asks_for_time_gets_requests() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    let platform = fleet.fake_platform.clone();
    platform.set_mode("p-00", InstanceMode::Refuses);
    platform.set_retry_after("p-00", Some("2"));
    let begin = Instant::now();
    while arrivals_since(&platform, "p-00", begin) == 0 {
        send_requests(&fleet, &Method::POST, "/book/x").await;
    }
    let refused = Instant::now();
    while refused.elapsed() < Duration::from_millis(1700) {
        assert_eq!(send_requests(&fleet, &Method::POST, "/book/x").await, REQUESTS);
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(arrivals_since(&platform, "p-00", refused), 0);
    platform.set_mode("p-00", InstanceMode::Up);
    sleep(Duration::from_millis(500)).await;
    let returned = Instant::now();
    while arrivals_since(&platform, "p-00", returned) == 0 {
        send_requests(&fleet, &Method::POST, "/book/x").await;
        assert!(returned.elapsed() < Duration::from_secs(5), "it gets no requests any more");
    }
}

/// Callers learn how long it takes.
#[tokio::test]
async fn requests_wait_while_all_replicas_ask_for_time() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    for id in ["p-00", "p-01"] {
        fleet.fake_platform.set_mode(id, InstanceMode::Refuses);
        fleet.fake_platform.set_retry_after(id, Some("0.4"));
    }
    Call::new(Method::POST, "/book/x").status(fleet.callers(0)).await;
    let begin = Instant::now();
    let response = Call::new(Method::POST, "/book/x").send(fleet.callers(0)).await;
    let response = response.expect("a response");
    assert!(begin.elapsed() < Duration::from_millis(100), "{:?}", begin.elapsed());
    assert_eq!(response.status(), 503);
    let retry_after = response.headers()["retry-after"].to_str().expect("text");
    let seconds: f64 = retry_after.parse().expect("a number");
    assert!((0.2..=0.8).contains(&seconds), "{seconds}");
    assert_eq!(fleet.fake_platform.arrivals().len(), 2);
    for id in ["p-00", "p-01"] {
        fleet.fake_platform.set_retry_after(id, Some("2"));
    }
    sleep(Duration::from_millis(400)).await;
    let begin = Instant::now();
    send_requests(&fleet, &Method::POST, "/book/x").await;
    for id in ["p-00", "p-01"] {
        let arrivals = arrivals_since(&fleet.fake_platform, id, begin);
        assert!(arrivals <= AT_ONCE, "{arrivals} requests at {id}");
    }
    let later = begin + Duration::from_millis(500);
    while begin.elapsed() < Duration::from_millis(1800) {
        send_requests(&fleet, &Method::POST, "/book/x").await;
        sleep(Duration::from_millis(20)).await;
    }
    for id in ["p-00", "p-01"] {
        assert_eq!(arrivals_since(&fleet.fake_platform, id, later), 0, "at {id}");
    }
}

/// The replicas refuse requests after 60 ms, and the callers have left by then.
#[rstest]
#[case::plain(Method::POST, "/book/x")]
#[case::idempotent(Method::GET, "/look/x")]
#[case::stream(Method::POST, "/draft/x")]
#[tokio::test]
async fn refusals_of_requests_whose_callers_left_are_not_heard(
    #[case] method: Method,
    #[case] path: &str,
) {
    let is_stream = path.starts_with("/draft/");
    let mut fleet = Fleet::new(if is_stream { 4 } else { 0 }).await;
    fleet.add_first_node(if is_stream { "drafting" } else { "orders" }, 2).await;
    let platform = fleet.fake_platform.clone();
    let replicas: Vec<String> = match is_stream {
        true => platform.open_groups().into_iter().map(|group| group[0].clone()).collect(),
        false => vec!["p-00".to_string(), "p-01".to_string()],
    };
    for id in &replicas {
        platform.set_mode(id, InstanceMode::Refuses);
        platform.set_retry_after(id, Some("3"));
        platform.set_refusal_delay(id, Duration::from_millis(60));
    }
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_millis(2500) {
        let call = Call::new(method.clone(), path);
        let _ = timeout(Duration::from_millis(40), call.send(fleet.callers(0))).await;
        sleep(Duration::from_millis(30)).await;
    }
    for id in &replicas {
        let arrivals = platform.arrivals();
        let first = arrivals.iter().find(|a| a.instance == *id).map_or(begin, |a| a.at);
        let later = arrivals_since(&platform, id, first + Duration::from_millis(560));
        assert!(later <= 2, "{later} requests at {id}");
    }
}

/// The replica of a stream ends, and the only other one wants no requests for longer than the deadline.
#[tokio::test]
async fn stream_that_cannot_go_on_in_time_waits_for_its_deadline() {
    let mut fleet = Fleet::with_events(4, 40).await;
    fleet.add_first_node("drafting", 2).await;
    let platform = fleet.fake_platform.clone();
    let groups = platform.open_groups();
    platform.set_mode(&groups[0][0], InstanceMode::Refuses);
    platform.set_retry_after(&groups[0][0], Some("30"));
    let begin = Instant::now();
    while arrivals_since(&platform, &groups[0][0], begin) == 0 {
        Call::new(Method::POST, "/draft/x").status(fleet.callers(0)).await;
    }
    let call = Call::new(Method::POST, "/draft/x").with_deadline(Duration::from_secs(8));
    let to = fleet.callers(0);
    let stream = tokio::spawn(async move { call.send(to).await });
    eventually(|| platform.running_streams() == 1).await;
    sleep(Duration::from_millis(200)).await;
    platform.kill(&groups[1][0]);
    let killed = Instant::now();
    assert!(stream.await.expect("a task that ends").is_none(), "it was cut off");
    assert!(killed.elapsed() < Duration::from_secs(1), "{:?}", killed.elapsed());
}
