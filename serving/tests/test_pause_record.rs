//! Tests of the silence after which a replica is suspected.

use guavaladder_serving::pause_record::PauseRecord;
use guavaladder_serving::pause_record::RETRANSMISSION_SILENCE;
use guavaladder_serving::replica_health::MIN_SILENCE;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const SERVICE: &str = "drafting";

/// Guards against suspicions of working replicas for each lost packet: at 1.5 lost packets in 1,000, a node with
/// seven streams of 31 events a second sees a pause of 200 to 350 ms every other second, and the replicas that it finds
/// down are fewer.
#[rstest]
#[case::few_pauses(2, 0, MIN_SILENCE)]
#[case::lossy_links(5, 0, RETRANSMISSION_SILENCE)]
#[case::lossy_links_and_a_lost_member(6, 2, RETRANSMISSION_SILENCE)]
#[case::as_many_lost_members_as_pauses(6, 6, MIN_SILENCE)]
fn min_silence_by_recorded_pauses(
    #[case] pauses: usize,
    #[case] downs: usize,
    #[case] expected: Duration,
) {
    let (record, now) = (PauseRecord::new(), Instant::now());
    for _ in 0..pauses {
        record.record_interval(SERVICE, Duration::from_millis(230), now);
    }
    for _ in 0..downs {
        record.record_down(SERVICE, now);
    }
    assert_eq!(record.min_silence(SERVICE, now), expected);
    assert_eq!(record.min_silence("other", now), MIN_SILENCE);
}

/// Guards against slow replicas or a pause of this process being taken for lost packets: the intervals at a replica
/// that is slow all the time are shorter, those after a pause longer.
#[rstest]
#[case::ordinary(Duration::from_millis(40))]
#[case::slow(Duration::from_millis(159))]
#[case::paused_process(Duration::from_millis(900))]
fn record_interval_of_another_cause(#[case] interval: Duration) {
    let (record, now) = (PauseRecord::new(), Instant::now());
    for _ in 0..50 {
        record.record_interval(SERVICE, interval, now);
    }
    assert_eq!(record.min_silence(SERVICE, now), MIN_SILENCE);
}

/// Guards against late detection of lost members for good after a loss of packets that has ended.
#[test]
fn min_silence_after_the_loss_has_ended() {
    let (record, now) = (PauseRecord::new(), Instant::now());
    for _ in 0..8 {
        record.record_interval(SERVICE, Duration::from_millis(230), now);
    }
    assert_eq!(record.min_silence(SERVICE, now), RETRANSMISSION_SILENCE);
    assert_eq!(record.min_silence(SERVICE, now + Duration::from_secs(20)), MIN_SILENCE);
}
