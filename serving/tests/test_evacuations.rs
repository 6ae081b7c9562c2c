//! Tests of what a node knows of evacuated data centres, without a network.

use guavaladder_serving::evacuations;
use guavaladder_serving::evacuations::Audience;
use guavaladder_serving::evacuations::EvacuationNews;
use guavaladder_serving::evacuations::EvacuationStatement;
use guavaladder_serving::evacuations::EvacuationTimes;
use guavaladder_serving::evacuations::Evacuations;
use guavaladder_serving::peer_codec;
use guavaladder_serving::peer_codec::PeerMessage;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const BOUND: Duration = Duration::from_secs(5);
/// Time after which a watch without an answer has failed.
const TIMEOUT: Duration = Duration::from_secs(3);

fn statement(era: u64, revision: u64, data_centres: &[&str]) -> EvacuationStatement {
    let data_centres = data_centres.iter().map(|name| name.to_string()).collect();
    EvacuationStatement { era, revision, data_centres }
}

fn names(evacuations: &Evacuations) -> Vec<String> {
    evacuations.current().keys().cloned().collect()
}

/// A message of a node that knows less arrives late, or twice. Guards against undoing a newer state.
#[rstest]
#[case::older(statement(2, 9, &[]))]
#[case::same(statement(2, 10, &[]))]
#[case::of_an_earlier_era(statement(1, 5000, &[]))]
fn older_statement_changes_nothing(#[case] late: EvacuationStatement) {
    let (evacuations, now) = (Evacuations::new(Some(BOUND)), Instant::now());
    evacuations.apply(statement(2, 10, &["a"]), now);
    assert!(evacuations.apply(late, now).is_empty());
    assert_eq!(names(&evacuations), ["a"]);
}

/// Without the bound in the settings nothing takes effect, whatever other nodes say.
#[test]
fn evacuations_without_a_bound_are_ignored() {
    let (evacuations, now) = (Evacuations::new(None), Instant::now());
    assert!(evacuations.apply(statement(0, 10, &["a"]), now).is_empty());
    assert_eq!(names(&evacuations), [""; 0]);
    assert!(!evacuations.is_unknown(now) && !evacuations.is_outdated(now));
    assert_eq!(evacuations.next_news(true, TIMEOUT, now), None);
}

#[test]
fn second_data_centre_is_evacuated_and_each_is_taken_back_on_its_own() {
    let (evacuations, start) = (Evacuations::new(Some(BOUND)), Instant::now());
    let later = start + Duration::from_secs(2);
    assert_eq!(evacuations.apply(statement(0, 1, &["a"]), start).evacuated, ["a"]);
    assert_eq!(evacuations.apply(statement(0, 2, &["a", "b"]), later).evacuated, ["b"]);
    assert_eq!(evacuations.current()["a"], start);
    let change = evacuations.apply(statement(0, 3, &["b"]), later);
    assert_eq!(change.taken_back, [("a".to_string(), start)]);
    assert_eq!(evacuations.taken_back_since(later), [("a".to_string(), later)]);
    assert_eq!(evacuations.taken_back_since(later + Duration::from_millis(1)), []);
    // One that is evacuated again is not taken back any more.
    evacuations.apply(statement(0, 4, &["a", "b"]), later);
    assert_eq!(evacuations.taken_back_since(start), []);
}

/// The store returns from a copy that is older than the evacuation. Guards against sending to the data centre
/// before the writer could write the object again, and against holding it for ever.
#[test]
fn evacuation_that_a_restored_store_lacks_is_held_for_a_while() {
    let (evacuations, start) = (Evacuations::new(Some(BOUND)), Instant::now());
    evacuations.apply(statement(1, 90, &["a", "b"]), start);
    assert!(evacuations.apply(statement(2, 40, &["b"]), start).is_empty());
    assert!(evacuations.apply(statement(2, 41, &["b"]), start).is_empty());
    assert!(evacuations.review(start + BOUND - Duration::from_millis(1)).is_empty());
    assert_eq!(names(&evacuations), ["a", "b"]);
    let change = evacuations.review(start + BOUND);
    assert_eq!(change.taken_back, [("a".to_string(), start)]);
    // An object that is written again and removed is not held.
    evacuations.apply(statement(2, 50, &["a", "b"]), start + BOUND);
    evacuations.apply(statement(3, 51, &["b"]), start + BOUND);
    evacuations.apply(statement(3, 52, &["a", "b"]), start + BOUND);
    let change = evacuations.apply(statement(3, 53, &["b"]), start + BOUND);
    assert_eq!(change.taken_back.len(), 1);
    // An evacuation that the copy still has takes effect at once.
    assert_eq!(evacuations.apply(statement(4, 5, &["a"]), start + BOUND).evacuated, ["a"]);
}

/// A node starts while data centres may be evacuated. Guards against serving before it knows, and against waiting
/// for ever if neither the store nor another node answers.
#[test]
fn node_that_knows_nothing_waits_for_a_bounded_time() {
    let (evacuations, start) = (Evacuations::new(Some(BOUND)), Instant::now());
    let late = start + Duration::from_secs(60);
    assert!(evacuations.is_unknown(late), "it is not ready yet");
    evacuations.record_ready(late);
    assert!(evacuations.is_outdated(late + BOUND - Duration::from_millis(1)));
    assert!(!evacuations.is_given_up(late));
    assert!(!evacuations.is_outdated(late + BOUND));
    assert!(evacuations.is_given_up(late + BOUND));
    let other = Evacuations::new(Some(BOUND));
    other.apply(statement(0, 1, &[]), start);
    assert!(!other.is_unknown(start));
}

/// A process stands still for longer than the bound allows and goes on. Guards against requests that it sends by
/// what it knew before.
#[test]
fn paused_process_waits_until_it_could_hear_of_evacuations() {
    let (evacuations, start) = (Evacuations::new(Some(BOUND)), Instant::now());
    let times = EvacuationTimes::new(BOUND);
    evacuations.apply(statement(0, 1, &[]), start);
    evacuations.review(start);
    assert!(!evacuations.is_outdated(start + Duration::from_secs(3)));
    let resumed = start + Duration::from_secs(6);
    assert!(evacuations.is_outdated(resumed), "before the first review");
    evacuations.review(resumed);
    assert!(evacuations.is_outdated(resumed + times.quiet_period / 2));
    evacuations.review(resumed + times.quiet_period);
    assert!(!evacuations.is_outdated(resumed + times.quiet_period));
}

/// Guards against watchers that fall silent while a data centre is evacuated or just after, and against messages
/// of all nodes while none is.
#[test]
fn watchers_repeat_what_they_know_and_others_pass_it_on() {
    let (watcher, other) = (Evacuations::new(Some(BOUND)), Evacuations::new(Some(BOUND)));
    let start = Instant::now();
    let period = Duration::from_millis(200);
    for node in [&watcher, &other] {
        node.apply(statement(0, 1, &[]), start);
    }
    watcher.record_answer(start);
    other.record_watcher(start);
    let audience = |node: &Evacuations, is_watcher: bool, now: Instant| {
        node.next_news(is_watcher, TIMEOUT, now).map(|(_, audience)| audience)
    };
    assert_eq!(audience(&watcher, true, start), Some(Audience::All));
    assert_eq!(audience(&watcher, true, start + period), None);
    assert_eq!(audience(&watcher, true, start + BOUND / 10), Some(Audience::All));
    assert_eq!(audience(&other, false, start), None);
    let mut now = start + Duration::from_secs(1);
    for (revision, evacuated) in [(2, &["a"][..]), (3, &[])] {
        for node in [&watcher, &other] {
            node.apply(statement(0, revision, evacuated), now);
        }
        for _ in 0..20 {
            now += period;
            watcher.record_answer(now);
            other.record_watcher(now);
            assert_eq!(audience(&watcher, true, now), Some(Audience::All));
            assert_eq!(audience(&other, false, now), Some(Audience::Few));
        }
    }
    now += BOUND;
    other.record_watcher(now);
    assert_eq!(audience(&other, false, now), None);
    // A node that hears no watcher asks, also one whose own watch has failed although it has to watch.
    now += BOUND;
    assert_eq!(audience(&other, false, now), Some(Audience::Few));
    assert_eq!(audience(&watcher, true, now), Some(Audience::Few));
}

#[rstest]
#[case::knows_nothing(None, true)]
#[case::older(Some(statement(0, 9, &[])), true)]
#[case::older_with_the_same_content(Some(statement(0, 9, &["a"])), false)]
#[case::newer(Some(statement(0, 11, &[])), false)]
fn node_replies_to_those_that_lack_what_it_knows(
    #[case] news: Option<EvacuationStatement>,
    #[case] replies: bool,
) {
    let evacuations = Evacuations::new(Some(BOUND));
    evacuations.apply(statement(0, 10, &["a"]), Instant::now());
    let news = EvacuationNews { statement: news, is_watching: false };
    assert_eq!(evacuations.has_newer(&news), replies);
}

/// All watchers stop to hear of the store at the same time. Guards against times with which the others would read
/// the kind only after the bound.
#[rstest]
#[case::short(1)]
#[case::usual(5)]
#[case::long(60)]
fn times_leave_room_for_a_read_within_the_bound(#[case] seconds: u64) {
    let bound = Duration::from_secs(seconds);
    let times = EvacuationTimes::new(bound);
    // The share of the bound that does not depend on time-outs of the store's client.
    let used = times.watch_wait + times.silent_after + times.quiet_period * 2;
    assert!(used < bound.mul_f64(0.9), "{used:?}");
}

#[test]
fn two_nodes_are_elected_in_any_fleet() {
    for count in [1, 2, 3, 8, 62, 300] {
        let nodes: Vec<String> = (0..count).map(|i| format!("n{i}")).collect();
        let others = |node: &String| -> Vec<String> {
            nodes.iter().filter(|n| *n != node).cloned().collect()
        };
        let is_elected = |node: &&String| evacuations::is_elected(node, &others(node));
        assert_eq!(nodes.iter().filter(is_elected).count(), count.min(2), "{count} nodes");
    }
}

#[test]
fn statement_is_decoded_as_it_was_sent() {
    let news = EvacuationNews { statement: Some(statement(3, 77, &["a", "b"])), is_watching: true };
    let message = PeerMessage::Evacuations(news);
    let key = [7; 32];
    let bytes = peer_codec::encode(&message, &key).unwrap();
    assert!(bytes.len() < 40, "{} bytes", bytes.len());
    assert_eq!(peer_codec::decode(&bytes, &key).unwrap(), message);
}

proptest! {
    /// Messages between nodes are lost, repeated and reordered. Whatever arrives in which order, each node ends at
    /// the newest state that it heard of.
    #[test]
    fn statements_in_any_order_give_the_newest(
        order in prop::collection::vec((1u64..3, 1u64..12), 1..40),
    ) {
        let (evacuations, now) = (Evacuations::new(Some(BOUND)), Instant::now());
        // At each revision of an era the store has one content.
        let content = |era: u64, revision: u64| match (era * 31 + revision * 17) % 4 {
            0 => statement(era, revision, &[]),
            1 => statement(era, revision, &["a"]),
            2 => statement(era, revision, &["b"]),
            _ => statement(era, revision, &["a", "b"]),
        };
        for (era, revision) in &order {
            evacuations.apply(content(*era, *revision), now);
        }
        evacuations.review(now + BOUND);
        let (era, revision) = order.iter().max().copied().unwrap_or_default();
        let expected: Vec<String> = content(era, revision).data_centres.into_iter().collect();
        prop_assert_eq!(names(&evacuations), expected);
    }
}
