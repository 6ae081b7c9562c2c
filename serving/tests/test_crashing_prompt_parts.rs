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
use tokio::time::sleep;

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

/// Maximum time until the requests with the part have to be refused by all nodes.
const CRASH_TIMEOUT: Duration = Duration::from_secs(20);

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
    let moves = fleet.nodes.iter().map(|node| node.cx.metrics.sum("moves_total"));
    println!("sends beyond the first of a request: {}", moves.sum::<u64>());
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

/// Sends requests with the bad part to the nodes in turn until all nodes have to know of it.
async fn crash_until_known(fleet: &Fleet, first: usize) -> usize {
    let mut paced = interval(SEND_PERIOD);
    let start = Instant::now();
    let mut number = first;
    loop {
        paced.tick().await;
        number += 1;
        send(fleet, number, &[FIRST, BAD]);
        send(fleet, number, &[FIRST, SESSION]);
        let last = fleet.fake_platform.crash_runs().last().map(|run| run.at);
        if last.is_some_and(|at| at.elapsed() > KNOWN_AFTER) {
            return number;
        }
        assert!(start.elapsed() < CRASH_TIMEOUT, "requests with the part are sent on");
    }
}

/// Returns the number of runs that a node begins with the bad part, and of sound requests that it answers.
async fn runs_of_node(fleet: &Fleet, node: usize) -> (usize, usize) {
    let before = runs(fleet, BAD).0;
    let to = fleet.callers(node);
    let mut answered = 0;
    for number in 0..8 {
        let own = format!("e{number}");
        let call = Call::new(Method::POST, "/draft/x").with_body(&own);
        call.with_parts(&[FIRST, BAD, &own]).status(to).await;
        let call = Call::new(Method::POST, "/draft/x").with_body(&own);
        answered += usize::from(call.with_parts(&[FIRST, SESSION, &own]).status(to).await == 200);
        sleep(SEND_PERIOD).await;
    }
    (runs(fleet, BAD).0 - before, answered)
}

#[tokio::test]
async fn crashing_part_is_sent_on_by_a_node_that_started_later() {
    let mut fleet = start_fleet(3).await;
    fleet.fake_platform.add_crashing_part(BAD);
    crash_until_known(&fleet, 0).await;
    fleet.add_node().await;
    wait_for_groups(&fleet, 3).await;
    sleep(KNOWN_AFTER).await;
    assert_eq!(runs_of_node(&fleet, 3).await, (0, 8));
}

/// The node reaches the store, so the platform's rules apply to it.
#[tokio::test]
async fn crashing_part_is_sent_on_by_a_node_cut_off_from_the_others() {
    let mut fleet = start_fleet(3).await;
    fleet.fake_platform.add_crashing_part(BAD);
    crash_until_known(&fleet, 0).await;
    fleet.add_cut_off_node().await;
    wait_for_groups(&fleet, 3).await;
    sleep(KNOWN_AFTER).await;
    assert_eq!(runs_of_node(&fleet, 3).await, (0, 8));
}

#[tokio::test]
async fn crashing_part_is_sent_on_after_all_nodes_restarted() {
    let mut fleet = start_fleet(3).await;
    fleet.fake_platform.add_crashing_part(BAD);
    crash_until_known(&fleet, 0).await;
    let stopping = fleet.nodes.drain(..).map(|node| tokio::spawn(node.stop()));
    for stopping in stopping.collect::<Vec<_>>() {
        stopping.await.expect("a node that stops");
    }
    fleet.add_node().await;
    wait_for_groups(&fleet, 0).await;
    sleep(KNOWN_AFTER).await;
    assert_eq!(runs_of_node(&fleet, 0).await, (0, 8));
}

/// The parts crash replicas in different requests, and in the same ones.
#[rstest]
#[case::apart([&[FIRST, BAD, SESSION][..], &[FIRST, SESSION, OTHER_BAD]])]
#[case::together([&[FIRST, BAD, OTHER_BAD][..], &[FIRST, OTHER_BAD, BAD]])]
#[tokio::test]
async fn two_crashing_parts_at_once_are_sent_on(#[case] bad: [&[&str]; 2]) {
    let fleet = start_fleet(3).await;
    fleet.fake_platform.add_crashing_part(BAD);
    fleet.fake_platform.add_crashing_part(OTHER_BAD);
    assert_served(&fleet, &bad, &[FIRST, SESSION]).await;
}

/// No request with the first part has completed when the first crash comes, so all parts of the crashing
/// requests have the same crashes.
#[tokio::test]
async fn parts_that_completed_nowhere_are_refused_beside_a_crashing_one() {
    let fleet = start_fleet(3).await;
    fleet.fake_platform.add_crashing_part(BAD);
    for number in 0..12 {
        send(&fleet, number, &[FIRST, BAD, SESSION]).status.await.expect("a response");
    }
    assert!(runs(&fleet, BAD).0 >= 3);
    wait_for_groups(&fleet, 0).await;
    sleep(KNOWN_AFTER).await;
    let sound = (0..9).map(|number| send(&fleet, 100 + number, &[FIRST, SESSION])).collect();
    assert_eq!(statuses(sound).await, BTreeMap::from([(200, 9)]));
    let bad = (0..9).map(|number| send(&fleet, 200 + number, &[FIRST, BAD])).collect();
    assert_eq!(statuses(bad).await, BTreeMap::from([(503, 9)]));
    assert!(runs(&fleet, BAD).0 <= CRASHES, "{:?}", runs(&fleet, BAD));
}

/// The weights changed while callers went on.
#[tokio::test]
async fn part_that_begins_to_crash_replicas_is_sent_on() {
    let fleet = start_fleet(3).await;
    let earlier = (0..12).map(|number| send(&fleet, number, &[FIRST, BAD, SESSION])).collect();
    assert_eq!(statuses(earlier).await, BTreeMap::from([(200, 12)]));
    fleet.fake_platform.add_crashing_part(BAD);
    assert_served(&fleet, &[&[FIRST, BAD, SESSION]], &[FIRST, SESSION]).await;
}

/// Each session has parts of its own, and all of its requests share them.
#[tokio::test]
async fn parts_of_sessions_are_refused_beside_a_crashing_one() {
    let fleet = start_fleet(3).await;
    fleet.fake_platform.add_crashing_part(BAD);
    let sessions: Vec<String> = (0..40).map(|session| format!("5e{session:02x}")).collect();
    let (mut sound, mut paced) = (vec![], interval(Duration::from_millis(40)));
    for number in 0..240 {
        paced.tick().await;
        let session = sessions[number % sessions.len()].as_str();
        if number % 4 == 0 {
            send(&fleet, number, &[FIRST, session, BAD]);
        }
        sound.push(send(&fleet, 1000 + number, &[FIRST, session]));
    }
    let end = Instant::now() - KNOWN_AFTER;
    let (late, early): (Vec<_>, Vec<_>) = sound.into_iter().partition(|sent| sent.at > end);
    let late = statuses(late).await;
    println!("{:?}; sound: early {:?}, late {late:?}", runs(&fleet, BAD), statuses(early).await);
    assert!(runs(&fleet, BAD).0 <= CRASHES);
    assert!(answered_share(&late) > 0.95, "{late:?}");
}
