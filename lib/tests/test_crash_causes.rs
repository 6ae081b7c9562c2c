//! Tests of which request, or part of requests, the history of crashes takes for their cause.

use guavaladder_lib::crash_history::CrashHistory;
use guavaladder_lib::crash_history::MAX_CRASHES;
use guavaladder_lib::crash_history::SHARED_RETENTION;
use std::time::Duration;
use tokio::time::Instant;

const CAUSE: u64 = 1;
const OTHER_CAUSE: u64 = 2;
const BESIDE: u64 = 3;

/// Ids are hashes, so that those of one request's crashes do not follow each other.
fn crash(number: u64) -> u64 {
    (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn record(history: &mut CrashHistory, key: u64, crashes: impl IntoIterator<Item = u64>) {
    let now = Instant::now();
    for number in crashes {
        history.record_crash(key, crash(number), now);
    }
}

fn is_refused(history: &CrashHistory, keys: &[u64]) -> bool {
    history.refusal(keys).is_some()
}

#[test]
fn request_that_ran_beside_the_cause_is_refused() {
    let mut history = CrashHistory::new();
    record(&mut history, CAUSE, 0..4);
    record(&mut history, BESIDE, 0..3);
    assert!(!is_refused(&history, &[BESIDE]));
    assert_eq!(history.refusal(&[BESIDE, CAUSE]), Some((CAUSE, 4)));
    assert_eq!(history.refusal(&[CAUSE]), Some((CAUSE, 4)));
}

/// A part that completed nowhere and the cause ran in the same requests only, so their crashes are the
/// same.
#[test]
fn parts_with_the_same_crashes_are_refused_for_good() {
    let mut history = CrashHistory::new();
    record(&mut history, CAUSE, 0..3);
    record(&mut history, BESIDE, 0..3);
    assert!(is_refused(&history, &[CAUSE, BESIDE]));
    assert!(!is_refused(&history, &[BESIDE]) && !is_refused(&history, &[CAUSE]));
    record(&mut history, CAUSE, 3..4);
    assert!(is_refused(&history, &[CAUSE]));
    assert!(!is_refused(&history, &[BESIDE]));
}

#[test]
fn two_causes_at_once_hide_each_other() {
    let mut history = CrashHistory::new();
    record(&mut history, CAUSE, 0..5);
    record(&mut history, OTHER_CAUSE, 5..9);
    record(&mut history, OTHER_CAUSE, [0]);
    record(&mut history, BESIDE, [0, 1, 6]);
    assert!(is_refused(&history, &[CAUSE]));
    assert!(is_refused(&history, &[OTHER_CAUSE]));
    assert!(!is_refused(&history, &[BESIDE]));
}

/// Only some crashes are kept of a request that has many.
#[test]
fn request_that_ran_beside_a_cause_of_many_crashes_is_refused() {
    let mut history = CrashHistory::new();
    record(&mut history, CAUSE, 0..40);
    for first in 0..36 {
        let beside = BESIDE + first;
        record(&mut history, beside, first..first + 4);
        assert!(!is_refused(&history, &[beside]), "crashes from {first} on");
    }
    // Another cause is found in spite of that.
    record(&mut history, OTHER_CAUSE, 100..108);
    assert!(is_refused(&history, &[OTHER_CAUSE]));
}

/// The weights or the version of the engine changed.
#[test]
fn request_that_begins_to_crash_replicas_is_sent_on_while_its_completed_run_is_remembered() {
    let start = Instant::now();
    let mut history = CrashHistory::new();
    history.record_completion(CAUSE, start);
    let mut crashes = 0;
    while !is_refused(&history, &[CAUSE]) {
        crashes += 1;
        let now = start + Duration::from_secs(1 + 2 * crashes);
        history.record_crash(CAUSE, crash(crashes), now);
        assert!(crashes < 20, "not refused");
    }
    assert!(crashes <= 8, "{crashes} crashes");
}

#[test]
fn refused_request_with_many_crashes_does_not_run_after_the_retention() {
    let start = Instant::now();
    let mut history = CrashHistory::new();
    for number in 0..6 {
        history.record_crash(CAUSE, crash(number), start);
    }
    let end = start + SHARED_RETENTION + Duration::from_secs(1);
    history.expire(end);
    assert_eq!(history.crash_count(CAUSE), MAX_CRASHES - 1);
    history.record_crash(CAUSE, crash(6), end);
    assert!(is_refused(&history, &[CAUSE]));
}
