//! Tests of the messages by which nodes keep their crash records equal.

use crate::util;
use guavaladder_lib::generated::serving_peer::CrashMark;
use guavaladder_serving::crash_keys::CrashKeys;
use guavaladder_serving::crash_record::CRASH_REFUSAL_THRESHOLD;
use guavaladder_serving::crash_sync::CrashMessage;
use guavaladder_serving::crash_sync::CrashSync;
use guavaladder_serving::peer_codec;
use guavaladder_serving::peer_codec::PeerMessage;
use guavaladder_serving::peer_exchange::HeartbeatHandler;
use guavaladder_serving::serving_cx::ServingCx;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

const FINGERPRINT: u64 = 9;

struct Node {
    cx: ServingCx,
    heartbeats: HeartbeatHandler,
    sync: CrashSync,
}

fn node(number: u8) -> Node {
    let cx = util::serving_cx(number);
    let (heartbeats, sync) = (HeartbeatHandler::new(cx.clone()), CrashSync::new(cx.clone()));
    Node { cx, heartbeats, sync }
}

fn record_crashes(node: &Node, count: u64) {
    for replica in 0..count {
        node.cx
            .crashes
            .record_crash(CrashMark { fingerprint: FINGERPRINT, replica }, Instant::now());
    }
}

/// Sends a node's heartbeat and its digest, with the messages that follow; returns the number of messages
/// about crashes.
fn exchange(from: &Node, to: &Node) -> usize {
    let ip: IpAddr = [127, 0, 0, 1].into();
    to.heartbeats.apply_heartbeat(ip, from.heartbeats.next_heartbeat());
    let mut message = from.sync.next_digest().map(|(digest, _)| digest);
    let (mut receiver, mut sender) = (to, from);
    let mut messages = 0;
    while let Some(sent) = message {
        messages += 1;
        assert!(messages < 10, "the nodes go on: {sent:?}");
        message = receiver.sync.apply(sent, "a peer");
        std::mem::swap(&mut receiver, &mut sender);
    }
    messages
}

/// The marks are in heartbeats for two seconds; a node that was paused, cut off or not running then has
/// to learn of the crashes from the next message that reaches it.
#[tokio::test(start_paused = true)]
async fn marks_are_unknown_to_a_node_that_missed_their_heartbeats() {
    let (a, b, c) = (node(1), node(2), node(3));
    record_crashes(&a, CRASH_REFUSAL_THRESHOLD as u64);
    exchange(&a, &b);
    sleep(Duration::from_secs(60)).await;
    // The node that saw the crashes is gone; another one passes them on.
    exchange(&b, &c);
    assert_eq!(c.cx.crashes.crash_count(FINGERPRINT), CRASH_REFUSAL_THRESHOLD);
}

#[tokio::test(start_paused = true)]
async fn messages_are_few_once_records_are_equal() {
    let (a, b) = (node(1), node(2));
    assert_eq!(exchange(&a, &b), 0, "messages without repeated crashes");
    record_crashes(&a, 1);
    assert_eq!(exchange(&a, &b), 0, "messages for a single crash");
    record_crashes(&a, 2);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(exchange(&a, &b), 3);
    assert_eq!(exchange(&a, &b), 1);
}

/// The largest message of repeated crashes fits a datagram, and so does a heartbeat with all its marks.
#[tokio::test(start_paused = true)]
async fn crowd_of_crashes_fits_the_messages() {
    let a = node(1);
    for fingerprint in 0..4000u64 {
        for replica in 0..20 {
            let mark =
                CrashMark { fingerprint: u64::MAX - fingerprint, replica: u64::MAX - replica };
            a.cx.crashes.record_crash(mark, Instant::now());
        }
    }
    let requests = a.sync.apply(CrashMessage::Query, "b").expect("a reply");
    let length = |message: PeerMessage| peer_codec::encode(&message, &[7; 32]).unwrap().len();
    let length_of_requests = length(PeerMessage::Crashes(requests));
    assert!(length_of_requests < 16_000, "{length_of_requests} bytes");
    assert!(length(PeerMessage::Beat(a.heartbeats.next_heartbeat())) < 8_000);
}

#[tokio::test(start_paused = true)]
async fn completed_request_is_no_longer_refused_elsewhere() {
    let (a, b) = (node(1), node(2));
    record_crashes(&a, 3);
    exchange(&a, &b);
    let keys = CrashKeys::new(FINGERPRINT, None, &[]);
    assert!(b.cx.crashes.refusal(&keys).is_some());
    a.cx.crashes.record_completion(&keys, Instant::now());
    sleep(Duration::from_secs(3)).await;
    assert_eq!(exchange(&b, &a), 4, "digest, query, requests and corrections");
    assert!(b.cx.crashes.refusal(&keys).is_none());
    assert_eq!((exchange(&a, &b), exchange(&b, &a)), (0, 0));
}
