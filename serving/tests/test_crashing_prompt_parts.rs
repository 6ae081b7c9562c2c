//! End-to-end tests of parts of prompts that crash each replica which begins to write an answer on them.
//! No two requests with such a part are alike, and sound requests share their customer and other parts.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use guavaladder_platform_testutils::Call;
use http::Method;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::interval;

/// Number of crashes after which all nodes have to know of a part within `KNOWN_AFTER`.
const CRASHES: usize = 5;
/// The platform's `stableWindowMs`.
const KNOWN_AFTER: Duration = Duration::from_millis(3000);
/// Maximum number of runs that begin later than that, according to the platform's rules.
const MAX_LATER_RUNS: usize = 3;
/// Number of requests with a part that crashes replicas.
const BAD_REQUESTS: usize = 99;
/// Time between two of them.
const SEND_PERIOD: Duration = Duration::from_millis(120);
/// Number of sound requests for each of them.
const SOUND_REQUESTS: usize = 2;
/// Number of sound requests before the first one that crashes a replica.
const EARLIER_REQUESTS: usize = 48;

const FIRST: &str = "f1";
const SESSION: &str = "5e55";
const BAD: &str = "bad0";
const OTHER_BAD: &str = "bad1";

/// A request that was sent.
struct Sent {
    at: Instant,
    status: JoinHandle<u16>,
}

/// Sends a request that no other one is alike to a node in turn.
fn send(fleet: &Fleet, number: usize, parts: &[&str]) -> Sent {
    let own = format!("{number:x}0");
    let parts: Vec<&str> = parts.iter().copied().chain([own.as_str()]).collect();
    let call = Call::new(Method::POST, "/draft/x").with_body(&own).with_parts(&parts);
    let to = fleet.callers(number % fleet.nodes.len());
    Sent { at: Instant::now(), status: tokio::spawn(async move { call.status(to).await }) }
}

/// Starts nodes before four groups.
async fn start_fleet(nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(10).await;
    for _ in 0..nodes {
        fleet.add_node().await;
    }
    for node in 0..nodes {
        wait_for_groups(&fleet, node).await;
    }
    fleet
}

async fn wait_for_groups(fleet: &Fleet, node: usize) {
    let replicas = fleet.nodes[node].cx.fleet.clone();
    eventually(|| replicas.replicas().of_service("drafting").len() >= 4).await;
}

/// Returns the number of runs that a part crashed, and how many of them began when all nodes had to know
/// of it.
fn runs(fleet: &Fleet, part: &str) -> (usize, usize) {
    let mut runs = fleet.fake_platform.crash_runs();
    runs.retain(|run| run.part.as_deref() == Some(part));
    let Some(fifth) = runs.get(CRASHES - 1).map(|run| run.at) else { return (runs.len(), 0) };
    (runs.len(), runs.iter().filter(|run| run.at > fifth + KNOWN_AFTER).count())
}

/// Counts the responses by status.
async fn statuses(sent: Vec<Sent>) -> BTreeMap<u16, usize> {
    let mut statuses = BTreeMap::new();
    for sent in sent {
        *statuses.entry(sent.status.await.expect("a response")).or_default() += 1;
    }
    statuses
}

fn answered_share(statuses: &BTreeMap<u16, usize>) -> f64 {
    let all: usize = statuses.values().sum();
    statuses.get(&200).copied().unwrap_or(0) as f64 / all.max(1) as f64
}

/// Sends requests with the bad parts in turn, and sound requests beside them. Checks that few runs begin
/// once the bad parts have to be known, and that sound requests are answered meanwhile.
async fn assert_served(fleet: &Fleet, bad: &[&[&str]], sound: &[&str]) {
    let mut paced = interval(SEND_PERIOD / SOUND_REQUESTS as u32);
    let mut before = vec![];
    for number in 0..EARLIER_REQUESTS {
        paced.tick().await;
        before.push(send(fleet, number, sound));
    }
    let before = statuses(before).await;
    let (mut bad_sent, mut sound_sent) = (vec![], vec![]);
    let mut number = EARLIER_REQUESTS;
    let mut paced = interval(SEND_PERIOD);
    for i in 0..BAD_REQUESTS {
        paced.tick().await;
        bad_sent.push(send(fleet, number, bad[i % bad.len()]));
        for _ in 0..SOUND_REQUESTS {
            number += 1;
            sound_sent.push(send(fleet, number, sound));
        }
        number += 1;
    }
    let parts = [BAD, OTHER_BAD].map(|part| (part, runs(fleet, part)));
    let end = Instant::now();
    let crashes = fleet.fake_platform.crash_runs();
    let fifth = crashes.get(CRASHES - 1).or(crashes.last()).map_or(end, |run| run.at);
    let (late, early): (Vec<_>, Vec<_>) =
        sound_sent.into_iter().partition(|sent| sent.at > fifth + 2 * KNOWN_AFTER);
    let (bad, early, late) =
        (statuses(bad_sent).await, statuses(early).await, statuses(late).await);
    println!("runs and later runs: {parts:?}; bad {bad:?}");
    println!("sound: before {before:?}, during {early:?}, later {late:?}");
    for (part, (_, later)) in parts {
        assert!(later <= MAX_LATER_RUNS, "{later} later runs with {part}");
    }
    assert!(late.values().sum::<usize>() >= 20, "too few later requests: {late:?}");
    assert!(answered_share(&late) >= answered_share(&before) / 2.0, "later: {late:?}");
    assert!(!bad.contains_key(&200));
}

#[rstest]
#[case::first_part(&[BAD, FIRST, SESSION])]
#[case::second_part(&[FIRST, BAD, SESSION])]
#[case::third_part(&[FIRST, SESSION, BAD])]
#[tokio::test]
async fn requests_that_share_a_crashing_part_are_sent_on_after_the_fifth_crash(
    #[case] bad: &[&str],
) {
    let fleet = start_fleet(3).await;
    fleet.fake_platform.add_crashing_part(BAD);
    assert_served(&fleet, &[bad], &[FIRST, SESSION]).await;
}
