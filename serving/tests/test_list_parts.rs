//! Tests of the changes of the instance list that are sent in parts.

use crate::memory_fleet::MemoryFleet;
use crate::memory_fleet::Message;
use crate::memory_fleet::change;
use crate::memory_fleet::entry;
use crate::util::instance;
use crate::util::log;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::fleet_view::FleetView;
use guavaladder_serving::instance_list_delta::InstanceListDelta;
use guavaladder_serving::list_parts;
use guavaladder_serving::list_parts::ListRequest;
use guavaladder_serving::list_parts::MAX_PART_LEN;
use guavaladder_serving::list_parts::ReceivedParts;
use guavaladder_serving::list_parts::SentChanges;
use guavaladder_serving::peer_codec::PeerMessage;
use proptest::prelude::*;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::advance;

/// Time after which a node requests what is missing.
const REQUEST_AFTER: Duration = Duration::from_millis(110);

fn is_part(message: &Message<'_>) -> bool {
    matches!(message.content, PeerMessage::NewsPart(_))
}

/// Changes of more than 60,000 bytes were not sent, so that all nodes read the complete list.
#[tokio::test(start_paused = true)]
async fn messages_large_change_reaches_all_nodes_and_costs_the_watcher_little() {
    let mut fleet = MemoryFleet::new(60, &[]);
    let delta = change(100, 1100, 1000);
    let whole = postcard::to_stdvec(&delta).expect("a message").len();
    fleet.send_change(0, delta, |_| true);
    assert_eq!(fleet.behind(1100), [0; 0]);
    assert!(fleet.cxs.iter().all(|cx| cx.fleet.instances().len() == 1000));
    let (watcher, others) = (fleet.sent[0].0, &fleet.sent[1..]);
    let busiest = others.iter().map(|(bytes, _)| *bytes).max().expect("a node");
    println!("change of {whole} bytes: the watcher sent {watcher}, the busiest other {busiest}");
    assert!(watcher < whole * 4, "the watcher sent {watcher} bytes");
    assert!(busiest < whole * 2, "another node sent {busiest} bytes");
}

/// A part that each receiver passed on would circulate.
#[tokio::test(start_paused = true)]
async fn apply_part_passed_on_once() {
    let mut fleet = MemoryFleet::new(60, &[]);
    let delta = change(100, 1100, 200);
    let parts = list_parts::split("n000", &delta).len();
    fleet.send_change(0, delta, |_| true);
    // Of each part, the watcher sends one to each data centre, and its receivers one to each other node there
    // but the watcher.
    let sent: usize = fleet.sent.iter().map(|(_, datagrams)| datagrams).sum();
    assert_eq!(sent, parts * (3 + 18 + 19 + 19));
}

/// A lost part cost the complete change.
#[tokio::test(start_paused = true)]
async fn requests_lost_part_is_sent_again() {
    let mut fleet = MemoryFleet::new(60, &[]);
    let is_lost = |m: &Message<'_>| match m.content {
        PeerMessage::NewsPart(part) => part.index == 3 && m.to % 3 == 1,
        _ => false,
    };
    fleet.send_change(0, change(100, 1100, 200), |m| !is_lost(m));
    assert_eq!(fleet.behind(1100).len(), 20);
    fleet.reset_counts();
    advance(REQUEST_AFTER).await;
    fleet.send_requests(|_| true);
    assert_eq!(fleet.behind(1100), [0; 0]);
    assert_eq!(fleet.sent[0].1, 20, "only the lost part is sent again");
}

/// A node that dies takes the parts along that it should have passed on, before it counts as silent.
#[tokio::test(start_paused = true)]
async fn requests_parts_of_a_dead_node_are_sent_again() {
    let mut fleet = MemoryFleet::new(60, &[]);
    fleet.send_change(0, change(100, 1100, 1000), |m| m.to != 7);
    for _ in 0..2 {
        advance(REQUEST_AFTER).await;
        fleet.send_requests(|m| m.to != 7 && m.from != 7);
    }
    assert_eq!(fleet.behind(1100), [7]);
}

/// A change that was lost as a whole was found only by its gap, and the complete list was read.
#[tokio::test(start_paused = true)]
async fn requests_lost_change_is_sent_again() {
    let mut fleet = MemoryFleet::new(60, &[]);
    fleet.send_change(0, change(100, 110, 3), |m| m.to != 5);
    fleet.send_change(0, change(110, 300, 100), |m| m.to != 5);
    fleet.send_change(0, change(300, 310, 2), |_| true);
    assert_eq!(fleet.behind(310), [5]);
    advance(REQUEST_AFTER).await;
    fleet.send_requests(|_| true);
    assert_eq!(fleet.behind(310), [0; 0]);
}

/// The parts of a change may arrive after the change that follows it.
#[tokio::test(start_paused = true)]
async fn apply_later_change_waits_for_the_parts_before() {
    let mut fleet = MemoryFleet::new(60, &[]);
    let (_, parts) = fleet.nodes[0].list_parts().messages(change(100, 300, 100));
    let removal = EntryChange::Removed(entry(4).id);
    let later = InstanceListDelta { from: 300, to: 301, changes: vec![removal] };
    fleet.send_change(0, later, |_| true);
    fleet.deliver(0, parts.into_iter().flatten().collect(), &|_| true);
    assert_eq!(fleet.behind(301), [0]);
    assert!(fleet.cxs[1..].iter().all(|cx| cx.fleet.instances().len() == 99));
}

/// A node of an earlier build drops parts, and would read the complete list at each change.
#[tokio::test(start_paused = true)]
async fn messages_older_node_gets_whole_changes() {
    let mut fleet = MemoryFleet::new(60, &[8]);
    fleet.send_change(0, change(100, 1100, 200), |m| !(m.to == 8 && is_part(m)));
    assert_eq!(fleet.behind(1100), [0; 0]);
    assert_eq!(fleet.received[8], 1);
}

/// The requests of a node that is heard, but does not reach the watcher, are lost. It must find that it has to use
/// the store.
#[tokio::test(start_paused = true)]
async fn requests_one_way_link_leaves_a_gap_for_the_store() {
    let mut fleet = MemoryFleet::new(60, &[]);
    let is_request = |m: &Message<'_>| matches!(m.content, PeerMessage::NewsRequest(_));
    let is_lost = |m: &Message<'_>| m.from == 5 && is_request(m);
    fleet.send_change(0, change(100, 1100, 200), |m| m.to != 5);
    fleet.send_change(0, change(1100, 1101, 1), |_| true);
    for _ in 0..4 {
        advance(REQUEST_AFTER).await;
        fleet.send_requests(|m| !is_lost(m));
    }
    assert_eq!(fleet.behind(1101), [5]);
    let state = fleet.cxs[5].fleet.sync_state();
    assert!(state.needs_relist(Instant::now(), Duration::from_secs(5)));
    fleet.reset_counts();
    advance(REQUEST_AFTER).await;
    fleet.send_requests(|_| true);
    assert_eq!(fleet.sent[5].1, 0, "requests end after two");
}

/// In a fleet of 48 nodes nothing may change.
#[tokio::test(start_paused = true)]
async fn messages_small_fleet_sends_whole_changes() {
    let fleet = MemoryFleet::new(48, &[]);
    let (at_once, parts) = fleet.nodes[0].list_parts().messages(change(100, 1100, 200));
    assert!(parts.is_empty());
    let [(PeerMessage::News(_), receivers)] = at_once.as_slice() else { panic!("one message") };
    assert_eq!(receivers.len(), 47);
    assert_eq!(fleet.nodes[0].next_abilities(), None);
}

/// Requests of hundreds of nodes at once must not fill the link of the watcher.
#[tokio::test(start_paused = true)]
async fn answer_bounded_for_each_second() {
    let mut sent = SentChanges::default();
    sent.push(change(100, 1100, 200));
    let now = Instant::now();
    let answered = |sent: &mut SentChanges, now| {
        (0..300).map(|_| sent.answer("n000", &ListRequest::After(100), now).len()).sum::<usize>()
    };
    let first = answered(&mut sent, now);
    assert!((300..=400).contains(&first), "{first} parts");
    assert_eq!(answered(&mut sent, now + Duration::from_secs(1)), first);
}

/// A watcher whose watch was interrupted does not know the changes between, and must not claim to.
#[tokio::test(start_paused = true)]
async fn answer_nothing_beyond_an_interruption() {
    let mut sent = SentChanges::default();
    sent.push(change(100, 110, 1));
    sent.push(change(120, 130, 1));
    assert_eq!(sent.answer("n000", &ListRequest::After(105), Instant::now()), []);
    assert_eq!(sent.answer("n000", &ListRequest::After(125), Instant::now()).len(), 1);
}

proptest! {
    /// In any order of their arrival, with repetitions, parts have the effect of the whole change.
    #[test]
    fn add_parts_in_any_order_equal_the_whole_change(
        entries in prop::collection::vec((0usize..60, any::<bool>()), 1..200),
        order in any::<u64>(),
    ) {
        let put = |revision: usize, id: usize| {
            let mut put = instance(&format!("i{id:060}"), "orders");
            put.engine.born_ms = revision as u64;
            EntryChange::Put(Box::new(put))
        };
        let change = |(revision, (id, is_put)): (usize, &(usize, bool))| match is_put {
            true => put(revision, *id),
            false => EntryChange::Removed(format!("i{id:060}")),
        };
        let changes: Vec<EntryChange> = entries.iter().enumerate().map(change).collect();
        let whole = InstanceListDelta { from: 10, to: 20, changes };
        let mut parts = list_parts::split("n000", &whole);
        for part in &parts {
            prop_assert!(part.changes.len() == 1 || part_len(&part.changes) <= MAX_PART_LEN);
        }
        let len = parts.len();
        parts.rotate_left(order as usize % len);
        if order % 2 == 0 {
            parts.reverse();
        }
        let mut received = ReceivedParts::default();
        let mut complete = vec![];
        for part in parts {
            complete.extend(received.add(part.clone(), Instant::now()));
            if complete.is_empty() {
                prop_assert_eq!(received.add(part, Instant::now()), None);
            }
        }
        prop_assert_eq!(complete.len(), 1);
        let list = |delta: InstanceListDelta| {
            let view = FleetView::new(log());
            view.apply(delta.changes, None);
            view.instances()
        };
        prop_assert_eq!(list(complete.remove(0)), list(whole));
    }
}

fn part_len(changes: &[EntryChange]) -> usize {
    changes.iter().map(|c| postcard::to_stdvec(c).expect("a change").len()).sum()
}
