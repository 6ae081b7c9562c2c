//! Tests of the account of bytes that a process holds.

use bytes::Bytes;
use guavaladder_lib::byte_budget::ByteBudget;
use guavaladder_lib::byte_budget::ByteUse;
use guavaladder_lib::byte_budget::NoRoom;
use guavaladder_lib::byte_budget::Receipt;
use guavaladder_lib::byte_budget::Reservation;
use guavaladder_lib::byte_budget::SMALL_BYTES;
use guavaladder_lib::limited_body;
use guavaladder_lib::limited_body::BodyRoom;
use guavaladder_lib::limited_body::ReadError;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const LIMIT: usize = 16 * MIB;
/// Part of the limit that large bodies can use.
const BODY_LIMIT: usize = LIMIT - LIMIT / 8;

type ReadResult = Result<Bytes, ReadError<Infallible>>;

/// A body whose parts arrive when they are sent to it.
struct SentBody {
    announced: Option<u64>,
    parts: mpsc::UnboundedReceiver<Bytes>,
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.parts.poll_recv(cx).map(|part| part.map(|part| Ok(Frame::data(part))))
    }

    fn size_hint(&self) -> SizeHint {
        self.announced.map(SizeHint::with_exact).unwrap_or_default()
    }
}

fn body(announced: Option<usize>) -> (mpsc::UnboundedSender<Bytes>, SentBody) {
    let (tx, parts) = mpsc::unbounded_channel();
    (tx, SentBody { announced: announced.map(|len| len as u64), parts })
}

/// Reads a body of at most `limit` bytes in a task of its own.
fn read(budget: &ByteBudget, body: SentBody, limit: usize) -> JoinHandle<ReadResult> {
    let budget = budget.clone();
    tokio::spawn(async move {
        let until = in_secs(10);
        let room = BodyRoom { budget: &budget, byte_use: ByteUse::RequestBodies, until };
        limited_body::read_within(body, limit, room, |_| {}).await
    })
}

fn part(len: usize) -> Bytes {
    Bytes::from(vec![b'x'; len])
}

fn in_secs(secs: u64) -> Instant {
    Instant::now() + Duration::from_secs(secs)
}

async fn reserve(budget: &ByteBudget, len: usize) -> Result<Reservation, NoRoom> {
    budget.reserve(ByteUse::RequestBodies, len, in_secs(10)).await
}

/// Lets the tasks run until all of them wait.
async fn settle() {
    sleep(Duration::from_millis(1)).await;
}

fn assert_stalled(result: ReadResult) {
    assert!(matches!(result, Err(ReadError::NoRoom(NoRoom::Stalled { .. }))), "{result:?}");
}

#[tokio::test(start_paused = true)]
async fn stalled_bodies_are_ended_longest_first() {
    let budget = ByteBudget::new(LIMIT);
    let mut stalled = vec![];
    for _ in 0..3 {
        let (tx, body) = body(Some(4 * MIB));
        let reading = read(&budget, body, 4 * MIB);
        tx.send(part(4 * MIB - 1)).expect("a reader");
        settle().await;
        stalled.push((tx, reading));
    }
    let (tx, body) = body(Some(4 * MIB));
    let reading = read(&budget, body, 4 * MIB);
    tx.send(part(4 * MIB)).expect("a reader");
    drop(tx);
    let read = timeout(Duration::from_secs(1), reading).await.expect("in time").expect("no panic");
    assert_eq!(read.expect("a body").len(), 4 * MIB);
    assert_eq!(budget.ended_receipts(), 1);
    let (_, first) = stalled.remove(0);
    assert_stalled(first.await.expect("no panic"));
    for (tx, reading) in stalled {
        tx.send(part(1)).expect("a reader");
        drop(tx);
        assert_eq!(reading.await.expect("no panic").expect("a body").len(), 4 * MIB);
    }
    assert_eq!(budget.total(), 0);
}

/// Time in which the process did not run is no time without progress: what has arrived meanwhile is read first.
#[tokio::test(start_paused = true)]
async fn pause_of_process_ends_no_body_that_has_arrived_meanwhile() {
    let budget = ByteBudget::new(LIMIT);
    let mut bodies = vec![];
    for _ in 0..3 {
        let (tx, body) = body(Some(4 * MIB));
        let reading = read(&budget, body, 4 * MIB);
        tx.send(part(2 * MIB)).expect("a reader");
        settle().await;
        bodies.push((tx, reading));
    }
    let waiting = {
        let budget = budget.clone();
        tokio::spawn(async move { reserve(&budget, 4 * MIB).await })
    };
    settle().await;
    // The timers expire while nothing runs; those that wait run before the readers of the bodies.
    tokio::time::advance(Duration::from_secs(3)).await;
    let ended = budget.ended_receipts();
    for (tx, reading) in bodies {
        tx.send(part(2 * MIB)).expect("a reader");
        drop(tx);
        assert_eq!(reading.await.expect("no panic").expect("a body").len(), 4 * MIB);
    }
    assert_eq!(ended, 0);
    waiting.await.expect("no panic").expect("room");
}

#[tokio::test(start_paused = true)]
async fn slow_body_is_kept_while_there_is_room() {
    let budget = ByteBudget::new(LIMIT);
    let (tx, body) = body(None);
    let reading = read(&budget, body, 4 * MIB);
    for _ in 0..60 {
        tx.send(part(1)).expect("a reader");
        sleep(Duration::from_secs(5)).await;
    }
    drop(tx);
    assert_eq!(reading.await.expect("no panic").expect("a body").len(), 60);
}

#[tokio::test(start_paused = true)]
async fn trickle_is_no_progress() {
    let budget = ByteBudget::new(LIMIT);
    let (tx, trickling) = body(Some(BODY_LIMIT - SMALL_BYTES));
    let trickling = read(&budget, trickling, LIMIT);
    tx.send(part(MIB)).expect("a reader");
    settle().await;
    let dripping = tokio::spawn(async move {
        while tx.send(part(1)).is_ok() {
            sleep(Duration::from_millis(10)).await;
        }
    });
    sleep(Duration::from_secs(1)).await;
    assert!(timeout(Duration::from_secs(1), reserve(&budget, MIB)).await.is_ok());
    assert_stalled(trickling.await.expect("no panic"));
    dripping.await.expect("no panic");
}

#[tokio::test(start_paused = true)]
async fn progressing_body_is_not_ended() {
    let budget = ByteBudget::new(LIMIT);
    let (tx, body) = body(Some(BODY_LIMIT - SMALL_BYTES));
    let reading = read(&budget, body, LIMIT);
    let budget_of_other = budget.clone();
    let mut left = BODY_LIMIT - SMALL_BYTES;
    tx.send(part(MIB)).expect("a reader");
    left -= MIB;
    settle().await;
    let other = tokio::spawn(async move { reserve(&budget_of_other, MIB).await.map(drop) });
    while left > 0 {
        let len = left.min(512 * KIB);
        tx.send(part(len)).expect("a reader");
        left -= len;
        sleep(Duration::from_millis(300)).await;
    }
    drop(tx);
    assert!(reading.await.expect("no panic").is_ok());
    assert_eq!(other.await.expect("no panic"), Ok(()));
    assert_eq!(budget.ended_receipts(), 0);
}

#[tokio::test(start_paused = true)]
async fn complete_body_is_never_ended() {
    let budget = ByteBudget::new(LIMIT);
    let kept = reserve(&budget, BODY_LIMIT).await.expect("room");
    let wanted = budget.reserve(ByteUse::RequestBodies, MIB, in_secs(5)).await;
    assert_eq!(wanted.map(drop), Err(NoRoom::TimedOut));
    assert_eq!((kept.len(), budget.waiting()), (BODY_LIMIT, 0));
}

#[tokio::test(start_paused = true)]
async fn waiting_requests_are_served_in_order_of_arrival() {
    let budget = ByteBudget::new(LIMIT);
    let kept = reserve(&budget, BODY_LIMIT).await.expect("room");
    let (tx, mut order) = mpsc::unbounded_channel();
    for number in 0..4 {
        let (budget, tx) = (budget.clone(), tx.clone());
        // The second one is smaller, and would fit before the first one.
        let len = if number == 1 { MIB } else { 8 * MIB };
        tokio::spawn(async move {
            let reservation = reserve(&budget, len).await.expect("room");
            tx.send(number).expect("a receiver");
            sleep(Duration::from_secs(1)).await;
            drop(reservation);
        });
        settle().await;
    }
    drop((kept, tx));
    for number in 0..4 {
        assert_eq!(order.recv().await, Some(number));
    }
}

#[tokio::test(start_paused = true)]
async fn small_bodies_do_not_wait_behind_large_ones() {
    let budget = ByteBudget::new(LIMIT);
    let _kept = reserve(&budget, BODY_LIMIT).await.expect("room");
    let waiting = budget.clone();
    let waiting = tokio::spawn(async move { reserve(&waiting, 8 * MIB).await.map(drop) });
    settle().await;
    let small = timeout(Duration::from_millis(1), reserve(&budget, SMALL_BYTES)).await;
    assert!(small.expect("at once").is_ok());
    let response = budget.reserve(ByteUse::Responses, LIMIT / 16, in_secs(10));
    assert!(timeout(Duration::from_millis(1), response).await.expect("at once").is_ok());
    waiting.abort();
}

#[tokio::test(start_paused = true)]
async fn abandoned_wait_does_not_block_those_behind_it() {
    let budget = ByteBudget::new(LIMIT);
    let _kept = reserve(&budget, BODY_LIMIT - MIB).await.expect("room");
    let first = budget.clone();
    let first = tokio::spawn(async move { reserve(&first, 8 * MIB).await.map(drop) });
    settle().await;
    let second = budget.clone();
    let second = tokio::spawn(async move { reserve(&second, MIB).await.map(drop) });
    settle().await;
    first.abort();
    let second = timeout(Duration::from_millis(1), second).await.expect("at once");
    assert_eq!(second.expect("no panic"), Ok(()));
    assert_eq!(budget.waiting(), 0);
}

#[tokio::test(start_paused = true)]
async fn wait_in_vain_is_refused_at_once() {
    let budget = ByteBudget::new(LIMIT);
    let _kept = reserve(&budget, BODY_LIMIT).await.expect("room");
    let mut waiting = vec![];
    for _ in 0..2 {
        let budget = budget.clone();
        waiting.push(tokio::spawn(async move { reserve(&budget, BODY_LIMIT).await.map(drop) }));
    }
    settle().await;
    let refused = timeout(Duration::from_millis(1), reserve(&budget, MIB)).await;
    assert!(matches!(refused.expect("at once"), Err(NoRoom::QueueFull { .. })));
    let refused = timeout(Duration::from_millis(1), reserve(&budget, LIMIT)).await;
    assert!(matches!(refused.expect("at once"), Err(NoRoom::TooLarge { .. })));
    for waiting in waiting {
        assert_eq!(waiting.await.expect("no panic"), Err(NoRoom::TimedOut));
    }
}

/// Each body holds a part of the room and waits for more, so that none of them can go on.
#[tokio::test(start_paused = true)]
async fn half_read_bodies_do_not_block_each_other() {
    let budget = ByteBudget::new(LIMIT);
    let mut reading = vec![];
    for _ in 0..20 {
        let (tx, body) = body(None);
        reading.push(read(&budget, body, 5 * MIB));
        tx.send(part(900 * KIB)).expect("a reader");
        tx.send(part(4 * MIB)).expect("a reader");
    }
    let started = Instant::now();
    let mut served = 0;
    for reading in reading {
        match reading.await.expect("no panic") {
            Ok(_) => served += 1,
            Err(ReadError::NoRoom(_)) => {}
            Err(ReadError::Body(e)) => panic!("{e}"),
        }
    }
    assert!(served > 0 && started.elapsed() < Duration::from_secs(10));
    assert_eq!((budget.total(), budget.waiting()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn half_read_bodies_of_announced_length_are_all_served() {
    let budget = ByteBudget::new(LIMIT);
    let mut reading = vec![];
    for _ in 0..7 {
        let (tx, body) = body(Some(4 * MIB));
        reading.push(read(&budget, body, 4 * MIB));
        settle().await;
        tx.send(part(64 * KIB)).expect("a reader");
        settle().await;
        tx.send(part(4 * MIB - 64 * KIB)).expect("a reader");
    }
    for reading in reading {
        assert_eq!(reading.await.expect("no panic").expect("a body").len(), 4 * MIB);
    }
    assert_eq!(budget.ended_receipts(), 0);
}

#[rstest]
#[case::announced(Some(3 * MIB))]
#[case::chunked(None)]
#[tokio::test(start_paused = true)]
async fn body_counts_until_its_last_clone_is_dropped(#[case] announced: Option<usize>) {
    let budget = ByteBudget::new(LIMIT);
    let (tx, body) = body(announced);
    let reading = read(&budget, body, 4 * MIB);
    let mut sent = 0;
    for _ in 0..48 {
        tx.send(part(64 * KIB)).expect("a reader");
        sent += 64 * KIB;
        settle().await;
        assert!(budget.used(ByteUse::RequestBodies) >= sent);
    }
    drop(tx);
    let bytes = reading.await.expect("no panic").expect("a body");
    assert_eq!((bytes.len(), budget.total()), (3 * MIB, 3 * MIB));
    let slice = bytes.slice(..1);
    drop(bytes);
    assert_eq!(budget.total(), 3 * MIB);
    drop(slice);
    assert_eq!(budget.total(), 0);
}

#[tokio::test(start_paused = true)]
async fn larger_buffer_counts_beside_the_smaller_one_during_the_move() {
    let budget = ByteBudget::new(LIMIT);
    let (tx, body) = body(None);
    let reading = read(&budget, body, 8 * MIB);
    tx.send(part(MIB)).expect("a reader");
    settle().await;
    assert_eq!(budget.total(), MIB);
    // The room for the smaller buffer and the larger one together is missing.
    let kept = reserve(&budget, BODY_LIMIT - 4 * MIB).await.expect("room");
    tx.send(part(1)).expect("a reader");
    settle().await;
    assert_eq!((budget.total(), budget.waiting()), (BODY_LIMIT - 3 * MIB, 4 * MIB));
    drop((kept, tx));
    assert_eq!(reading.await.expect("no panic").expect("a body").len(), MIB + 1);
}

/// An operation on the account.
#[derive(Debug, Clone)]
enum Op {
    Body { announced: bool, len: usize, stops_at: usize, pause_ms: u64 },
    Response { len: usize, kept_ms: u64 },
    Pause { ms: u64 },
    Abandon { index: usize },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (any::<bool>(), 0..4 * MIB, 0..8 * MIB, 0..200_u64).prop_map(
            |(announced, len, stops_at, pause_ms)| Op::Body { announced, len, stops_at, pause_ms }
        ),
        (0..8 * MIB, 0..2000_u64).prop_map(|(len, kept_ms)| Op::Response { len, kept_ms }),
        (0..300_u64).prop_map(|ms| Op::Pause { ms }),
        (0..100_usize).prop_map(|index| Op::Abandon { index }),
    ]
}

fn start(budget: &ByteBudget, op: Op) -> Option<JoinHandle<()>> {
    match op {
        Op::Body { announced, len, stops_at, pause_ms } => {
            let (tx, body) = body(announced.then_some(len));
            let reading = read(budget, body, 4 * MIB);
            Some(tokio::spawn(async move {
                let mut sent = 0;
                while sent < len.min(stops_at) {
                    let next = (len.min(stops_at) - sent).min(300 * KIB);
                    if tx.send(part(next)).is_err() {
                        break;
                    }
                    sent += next;
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                if sent < len {
                    sleep(Duration::from_secs(20)).await;
                }
                drop(tx);
                let bytes = reading.await.expect("no panic");
                sleep(Duration::from_millis(100)).await;
                drop(bytes);
            }))
        }
        Op::Response { len, kept_ms } => {
            let budget = budget.clone();
            Some(tokio::spawn(async move {
                let kept = budget.reserve(ByteUse::Responses, len, in_secs(30)).await;
                sleep(Duration::from_millis(kept_ms)).await;
                drop(kept);
            }))
        }
        Op::Pause { .. } | Op::Abandon { .. } => None,
    }
}

async fn run(ops: Vec<Op>) {
    let budget = ByteBudget::new(LIMIT);
    let is_over = Arc::new(AtomicBool::new(false));
    let (watched, watch_over) = (budget.clone(), is_over.clone());
    let watch = tokio::spawn(async move {
        while !watch_over.load(Ordering::Relaxed) {
            assert!(watched.total() <= LIMIT);
            sleep(Duration::from_millis(1)).await;
        }
    });
    let mut tasks = vec![];
    for op in ops {
        match op {
            Op::Pause { ms } => sleep(Duration::from_millis(ms)).await,
            Op::Abandon { index } if !tasks.is_empty() => {
                let index = index % tasks.len();
                let task: JoinHandle<()> = tasks.swap_remove(index);
                task.abort();
            }
            op => tasks.extend(start(&budget, op)),
        }
        assert!(budget.total() <= LIMIT);
    }
    for task in tasks {
        task.await.expect("no panic");
    }
    is_over.store(true, Ordering::Relaxed);
    watch.await.expect("the account is within its limit");
    // Bodies whose senders were abandoned are read to their end.
    sleep(Duration::from_secs(60)).await;
    assert_eq!((budget.total(), budget.waiting()), (0, 0));
    let all = budget.try_reserve(ByteUse::RequestBodies, BODY_LIMIT);
    assert!(all.is_some());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, rng_seed: RngSeed::Fixed(52), ..ProptestConfig::default() })]

    #[test]
    fn random_use_stays_within_the_limit_and_ends_at_zero(ops in prop::collection::vec(op(), 1..40)) {
        let runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = { runtime }.enable_all().start_paused(true).build().expect("a runtime");
        runtime.block_on(run(ops));
    }
}

#[tokio::test(start_paused = true)]
async fn receipt_that_is_dropped_releases_its_bytes() {
    let budget = ByteBudget::new(LIMIT);
    let mut receipt = Receipt::new(&budget, ByteUse::RequestBodies);
    receipt.grow(MIB, in_secs(1)).await.expect("room");
    assert_eq!((receipt.reserved(), budget.total()), (MIB, MIB));
    drop(receipt);
    assert_eq!(budget.total(), 0);
}
