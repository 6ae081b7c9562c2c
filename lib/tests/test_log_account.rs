//! Tests of the account of requests from log lines.

use guavaladder_lib::log_account::Account;
use guavaladder_lib::log_account::Outcome;
use guavaladder_lib::log_account::account;
use guavaladder_lib::log_explain::parse;
use std::collections::BTreeMap;
use std::time::Duration;

const LOG: &str = r#"
n1 100.000 INFO GL0523 request_answered request=r1 route=draft replica=m-8#8 status=200 attempts=2 ahead=4 first=220ms took=2790ms config=3
n1 100.500 INFO GL0523 request_answered request=r2 route=draft replica=m-8#8 status=200 attempts=1 ahead=4 first=900ms took=2790ms config=3
n2 101.200 INFO GL0524 request_turned_away request=r3 route=draft status=503 reason=all_busy retry_after=1ms running=20 places=22 replicas=1 config=3
n2 101.300 INFO GL0524 request_turned_away request=r4 route=draft status=503 reason=all_busy retry_after=1ms running=22 places=22 replicas=1 config=3
n2 103.900 INFO GL0524 request_turned_away request=r5 route=draft status=503 reason=all_busy retry_after=1ms running=23 places=22 replicas=1 config=3
n2 101.900 INFO GL0524 request_turned_away request=r6 route=draft status=503 reason=no_replica retry_after=1ms running=0 places=0 replicas=0 config=3
n2 101.900 INFO GL0524 request_turned_away request=r7 route=look status=503 reason=rate_limited retry_after=1ms running=0 places=6 replicas=1 config=3
n2 102.000 INFO GL0525 request_moved request=r8 replica=m-5#5 attempt=1 cause="connection reset" events=18 after=1206ms
n2 102.000 WARN GL0526 request_lost request=r8 route=draft replica=m-5#5 status=504 cause="the deadline" events=18 attempts=1 took=1206ms
n2 102.000 INFO GL0527 request_abandoned request=r9 fingerprint=a route=look replica=p took=9ms
n1 102.000 INFO GL0529 log_lines_left_out node=n1 lines=17 kind=request_answered
n1 102.000 INFO GL0517 replica_set_changed service=x replicas=3 added=a removed=""
no event
"#;

fn of_log(first_limits: &[(&str, u64)]) -> Account {
    let lines: Vec<_> = LOG.lines().filter_map(|line| parse(line, "file")).collect();
    let limit = |(route, ms): &(&str, u64)| (route.to_string(), Duration::from_millis(*ms));
    account(&lines, &first_limits.iter().map(limit).collect())
}

fn counts(account: &Account) -> BTreeMap<(&str, Outcome), u64> {
    account.rows.iter().map(|row| ((row.route.as_str(), row.outcome), row.requests)).collect()
}

#[test]
fn account_counts_requests_by_route_and_outcome() {
    let account = of_log(&[("draft", 500), ("look", 10)]);
    let expected = BTreeMap::from([
        (("draft", Outcome::Answered), 1),
        (("draft", Outcome::AnsweredLate), 1),
        (("draft", Outcome::RefusedWithFreeSlots), 1),
        (("draft", Outcome::RefusedWithoutSlots), 2),
        (("draft", Outcome::RefusedWithoutReplica), 1),
        (("draft", Outcome::Lost), 1),
        (("look", Outcome::RefusedOtherwise), 1),
        (("look", Outcome::Abandoned), 1),
    ]);
    assert_eq!(counts(&account), expected);
    assert_eq!((account.nodes, account.first_unix_s), (2, 100.0));
    assert_eq!(account.moves, BTreeMap::from([("connection reset".to_string(), 1)]));
    assert_eq!(account.left_out, BTreeMap::from([("request_answered".to_string(), 17)]));
}

#[test]
fn account_names_reasons_and_worst_seconds() {
    let account = of_log(&[]);
    let row = |outcome| account.rows.iter().find(|row| row.outcome == outcome).expect("a row");
    let lost = row(Outcome::Lost);
    assert_eq!(lost.reasons, BTreeMap::from([("the deadline".to_string(), 1)]));
    assert_eq!(lost.worst_seconds, [(2, 1)]);
    assert_eq!(row(Outcome::RefusedWithoutSlots).worst_seconds, [(1, 1), (3, 1)]);
    assert_eq!(row(Outcome::Answered).requests, 2);
}

#[test]
fn account_without_lines_is_empty() {
    let account = account(&[], &BTreeMap::new());
    assert_eq!((account.nodes, account.rows.len()), (0, 0));
}
