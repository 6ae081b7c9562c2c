//! Tests of instances that name the rate at which they take requests from all nodes together.

use crate::fleet::Fleet;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::LIMIT_GRACE;
use guavaladder_platform_testutils::LimitPeriod;
use guavaladder_serving::rate_limits::RateAllowance;
use guavaladder_serving::rate_limits::RateChange;
use guavaladder_serving::rate_limits::RateLimits;
use guavaladder_serving::rate_limits::RateNews;
use guavaladder_serving::rate_limits::RateNotice;
use guavaladder_serving::rate_limits::RunHash;
use http::Method;
use rstest::rstest;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Number of nodes, each of which gets requests.
const NODES: usize = 4;
/// Interval at which each node gets a request. One group can run the streams of all nodes.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);
const STREAM_PERIOD: Duration = Duration::from_millis(200);
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
    let period = if path.starts_with("/draft/") { STREAM_PERIOD } else { REQUEST_PERIOD };
    for _ in 0..length.as_millis() / period.as_millis() {
        for node in 0..fleet.nodes.len() {
            let (to, call) = (fleet.callers(node), Call::new(method.clone(), path));
            requests.spawn(async move { call.status(to).await });
        }
        sleep(period).await;
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

const RUN: RunHash = 17;

/// Tables of nodes that all know a limit of one instance. Each node knows of the nodes that `knows` tells.
fn nodes_that_know(
    count: usize,
    limit: f64,
    start: Instant,
    knows: impl Fn(usize, usize) -> bool,
) -> Vec<RateLimits> {
    let name = |number: usize| format!("node-{number}");
    let table = |own: usize| {
        let table = RateLimits::new();
        let others = (0..count).filter(|other| *other == own || knows(own, *other));
        table.set_nodes(&name(own), others.map(name).collect(), start);
        table.record(RUN, RateNotice::Limited(limit), start, true, start);
        table
    };
    (0..count).map(table).collect()
}

/// Lets each node send as much as it may for a while, every tenth request being one whose response has
/// begun, and returns the times of the requests.
fn send_all(tables: &[RateLimits], start: Instant, length: Duration) -> Vec<Instant> {
    let mut sent = vec![];
    for step in 0..length.as_millis() as u64 / 10 {
        let now = start + Duration::from_millis(10 * step);
        for (number, table) in tables.iter().enumerate() {
            let has_begun = (step + number as u64).is_multiple_of(10);
            if table.withdraw(RUN, has_begun, now) {
                sent.push(now);
            }
        }
    }
    sent
}

fn assert_limit_kept(limit: f64, start: Instant, sent: &[Instant]) {
    let first_named = Some(start);
    let instance = "i-1".to_string();
    let period = LimitPeriod { instance, per_second: limit, first_named, ended: None };
    assert_eq!(period.excess(sent), None, "{} requests", sent.len());
}

#[rstest]
fn sum_of_all_nodes_keeps_the_limit(
    #[values(1, 2, 7, 8, 75, 330)] count: usize,
    #[values(0.0, 0.1, 0.4, 1.0, 2.3, 4.4, 12.7, 61.5)] limit: f64,
) {
    let start = Instant::now();
    let tables = nodes_that_know(count, limit, start, |_, _| true);
    let length = Duration::from_secs(40);
    let sent = send_all(&tables, start, length);
    assert_limit_kept(limit, start, &sent);
    let expected = limit * length.as_secs_f64();
    assert!(sent.len() as f64 >= 0.8 * expected, "{} of {expected} requests", sent.len());
}

/// One node in ten is not known to some of the others.
#[rstest]
fn nodes_that_know_different_nodes_keep_the_limit(
    #[values(8, 75, 330)] count: usize,
    #[values(0.4, 2.3, 4.4, 12.7)] limit: f64,
) {
    let start = Instant::now();
    let knows = |own: usize, other: usize| !(own + other).is_multiple_of(10);
    let tables = nodes_that_know(count, limit, start, knows);
    let sent = send_all(&tables, start, Duration::from_secs(40));
    assert_limit_kept(limit, start, &sent);
}

/// Nodes start again one after the other, each with an unused part.
#[rstest]
fn nodes_that_start_again_keep_the_limit(
    #[values(8, 75)] count: usize,
    #[values(0.4, 2.3, 4.4)] limit: f64,
) {
    let start = Instant::now();
    let mut tables = nodes_that_know(count, limit, start, |_, _| true);
    let mut sent = vec![];
    for restarted in 0..8 {
        let from = start + Duration::from_secs(5 * restarted as u64);
        sent.extend(send_all(&tables, from, Duration::from_secs(5)));
        let now = from + Duration::from_secs(5);
        tables[restarted] = nodes_that_know(count, limit, now, |_, _| true).remove(restarted);
    }
    assert_limit_kept(limit, start, &sent);
}

#[test]
fn node_that_does_not_know_the_others_sends_nothing() {
    let table = RateLimits::new();
    let start = Instant::now();
    table.record(RUN, RateNotice::Limited(5.0), start, true, start);
    assert!(!table.withdraw(RUN, false, start + Duration::from_secs(60)));
    assert_eq!(table.allowance(RUN, true, start), RateAllowance::NotElected);
    // An instance that names no limit is free for all.
    assert!(table.withdraw(RUN + 1, false, start));
}

#[rstest]
#[case::answer_to_later_request(RateNotice::Unlimited, 1, true, true)]
#[case::answer_to_earlier_request(RateNotice::Unlimited, -1, true, false)]
#[case::refusal_or_report(RateNotice::Unlimited, 1, false, false)]
#[case::malformed(RateNotice::Malformed, 1, true, false)]
fn limit_ends(
    #[case] notice: RateNotice,
    #[case] sent_after_s: i64,
    #[case] is_run: bool,
    #[case] ends: bool,
) {
    let table = RateLimits::new();
    let named = Instant::now() + Duration::from_secs(10);
    table.record(RUN, RateNotice::Limited(0.5), named, true, named);
    let later = named + Duration::from_secs(3);
    let sent = match sent_after_s {
        0.. => named + Duration::from_secs(1),
        _ => named - Duration::from_secs(1),
    };
    let change = table.record(RUN, notice, sent, is_run, later);
    let lasted = Duration::from_secs(3);
    assert_eq!(change, ends.then_some(RateChange::Ended { lasted }));
    assert_eq!(table.is_empty(), ends);
}

#[test]
fn newest_statement_counts_at_all_nodes() {
    let start = Instant::now() + Duration::from_secs(60);
    let at = |s: u64| start + Duration::from_secs(s);
    let (first, second) = (RateLimits::new(), RateLimits::new());
    first.record(RUN, RateNotice::Limited(3.0), at(1), true, at(1));
    assert_eq!(second.merge(&first.news(at(2)), at(2)).len(), 1);
    first.record(RUN, RateNotice::Unlimited, at(3), true, at(3));
    // What is older changes nothing, at either of them.
    let old = RateNews { run: RUN, per_second: Some(3.0), age_ms: 3000 };
    assert_eq!(first.merge(std::slice::from_ref(&old), at(4)), []);
    assert!(first.is_empty() && second.len() == 1);
    assert_eq!(second.merge(&first.news(at(4)), at(4)).len(), 1);
    assert!(second.is_empty());
    // The end of a limit that is not known is no news.
    assert_eq!(RateLimits::new().merge(&first.news(at(4)), at(4)), []);
    first.retain(|_| true, at(40));
    assert_eq!(first.news(at(40)), []);
}

/// All callers have turned to one node, whose part of the rates is less than they send; the others have theirs
/// left.
#[rstest]
#[case::plain(Method::POST, "/book/x", 8.0, Duration::from_millis(120))]
#[case::idempotent(Method::GET, "/look/x", 8.0, Duration::from_millis(120))]
#[case::stream(Method::POST, "/draft/x", 4.4, Duration::from_millis(200))]
#[tokio::test]
async fn callers_of_one_node_get_no_more_than_its_part_of_a_rate(
    #[case] method: Method,
    #[case] path: &str,
    #[case] limit: f64,
    #[case] period: Duration,
) {
    let fleet = start_fleet(path).await;
    let limited = entry_instances(&fleet.fake_platform, path);
    for id in &limited {
        fleet.fake_platform.set_rate_limit(id, Some(limit));
    }
    send_requests(&fleet, method.clone(), path, LIMIT_GRACE).await;
    let (to, mut requests) = (fleet.callers(0), JoinSet::new());
    let begin = Instant::now();
    while begin.elapsed() < CHECKED {
        let call = Call::new(method.clone(), path);
        requests.spawn(async move { call.status(to).await });
        sleep(period).await;
    }
    let statuses = requests.join_all().await;
    let refused = statuses.iter().filter(|status| **status != 200).count();
    assert!(refused * 5 <= statuses.len(), "{refused} of {} not served", statuses.len());
    assert_eq!(fleet.fake_platform.limit_excesses(), []);
}
