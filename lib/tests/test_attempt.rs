//! Tests of reading the stream of one attempt.

use futures_util::StreamExt;
use futures_util::stream;
use guavaladder_lib::admission::AdmissionRequest;
use guavaladder_lib::admission::Slot;
use guavaladder_lib::attempt::Attempt;
use guavaladder_lib::attempt::Interruption;
use guavaladder_lib::attempt::Progress;
use guavaladder_lib::attempt::StreamTimeouts;
use guavaladder_lib::engine::RecordStream;
use guavaladder_lib::generated::engine::AcceptedRecord;
use guavaladder_lib::generated::engine::EngineLoad;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_lib::generated::engine::TokenRecord;
use guavaladder_lib::replica::ReplicaIdentity;
use guavaladder_lib::replica::Share;
use guavaladder_lib::router::SelectionCriteria;
use guavaladder_lib::router::Suspicion;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::request_rig::DRAFTING;
use guavaladder_testutils::request_rig::RequestRig;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Id of the attempt under test.
const ATTEMPT: u64 = 7;
/// Longest time without a record that belongs to the response.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Interval of the records of a slow stream.
const RECORD_PERIOD: Duration = Duration::from_millis(10);

async fn acquire_slot(rig: &RequestRig) -> Slot {
    let request = AdmissionRequest {
        service: DRAFTING.to_string(),
        customer: "c0".to_string(),
        weight: 1,
        burst: 1,
        bytes: 1,
        criteria: SelectionCriteria {
            hash: 0,
            priority: Priority::Normal,
            avoid: vec![],
            only: None,
            adapter: None,
            suspicion: Suspicion::None,
            has_started: false,
            share: Share::Within,
        },
        max_wait: MAX_SILENCE,
        has_started: false,
    };
    rig.nodes[0].path.admission().acquire(&request).await.expect("a slot")
}

fn accepted(identity: &ReplicaIdentity) -> StreamRecord {
    let load = EngineLoad { running: 1, queued: 0, capacity: 8, age: Duration::ZERO };
    let (group, epoch) = (identity.group.clone(), identity.epoch);
    StreamRecord::Accepted(AcceptedRecord { attempt: ATTEMPT, group, epoch, load })
}

fn tokens(attempt: u64, offset: u32, tokens: &[&str]) -> StreamRecord {
    let tokens = tokens.iter().map(|token| token.to_string()).collect();
    StreamRecord::Tokens(TokenRecord { attempt, offset, tokens })
}

/// Returns an accepted stream of the token "a" that goes on with the same record without end.
fn stream_without_end(identity: &ReplicaIdentity, record: StreamRecord) -> RecordStream {
    let begin = [accepted(identity), tokens(ATTEMPT, 0, &["a"])];
    let slow = stream::repeat(record).then(|record| async move {
        sleep(RECORD_PERIOD).await;
        record
    });
    stream::iter(begin).chain(slow).map(Ok).boxed()
}

#[rstest]
#[case::accepted_again(None)]
#[case::no_tokens(Some(tokens(ATTEMPT, 1, &[])))]
#[case::same_tokens(Some(tokens(ATTEMPT, 0, &["a"])))]
#[case::other_attempt(Some(tokens(ATTEMPT + 1, 1, &["b"])))]
#[tokio::test(start_paused = true)]
async fn records_without_end_that_add_nothing_are_no_progress(
    #[case] record: Option<StreamRecord>,
) {
    let rig = RequestRig::new(1, 1, 1, EngineOptions::new()).await;
    let slot = acquire_slot(&rig).await;
    let identity = slot.replica().identity.clone();
    let stream = stream_without_end(&identity, record.unwrap_or_else(|| accepted(&identity)));
    let begin = Instant::now();
    let timeouts = StreamTimeouts {
        first_token: MAX_SILENCE,
        between_tokens: MAX_SILENCE,
        deadline: begin + 10 * MAX_SILENCE,
    };
    let mut attempt = Attempt::new(ATTEMPT, slot, begin, stream, timeouts, 100);
    let mut emitted = vec![];
    assert!(matches!(attempt.progress(&mut emitted).await, Progress::Tokens));
    let progress = attempt.progress(&mut emitted).await;
    let elapsed = begin.elapsed();
    assert!(
        matches!(progress, Progress::Interrupted(Interruption::Silent)),
        "{progress:?} after {elapsed:?}"
    );
    assert!(elapsed <= MAX_SILENCE + RECORD_PERIOD, "{elapsed:?}");
    assert_eq!(emitted, ["a"]);
}
