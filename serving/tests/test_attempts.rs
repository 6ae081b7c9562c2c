//! Tests of which attempts of a request count against its route's `max_attempts`.

use guavaladder_serving::attempt::AttemptError;
use guavaladder_serving::attempt::Attempts;
use rstest::rstest;

fn broken() -> AttemptError {
    AttemptError::Broken("the connection was reset".to_string())
}

fn not_run() -> AttemptError {
    AttemptError::NotRun { status: 503, at_fault: None }
}

/// An attempt counts if the request may have run and may still be running on its replica. A group that
/// is down has stalled, so a request without any event has not started there.
#[rstest]
#[case::broken(broken(), 1, 1)]
#[case::timed_out(AttemptError::TimedOut("no response"), 1, 1)]
#[case::failed(AttemptError::Failure { status: 500 }, 1, 1)]
#[case::refused(not_run(), 0, 0)]
#[case::down(AttemptError::Down, 1, 0)]
fn failure_before_the_response(#[case] error: AttemptError, #[case] runs: u32, #[case] live: u32) {
    let mut attempts = Attempts::new();
    attempts.record_failure(error);
    assert_eq!((attempts.runs, attempts.runs_at_live_replicas), (runs, live));
    assert!(attempts.has_reached_replica);
}

/// A stream that had started has certainly run, even on a group that was then marked as down. Without
/// counting such attempts, a stream that is resumed on one group after another would exceed the route's
/// `max_attempts` (found by the fuzz run hunt-447b-39).
#[rstest]
#[case::broken(broken())]
#[case::timed_out(AttemptError::TimedOut("no event"))]
#[case::down(AttemptError::Down)]
fn failure_during_the_response_always_counts(#[case] error: AttemptError) {
    let mut attempts = Attempts::new();
    attempts.record_stream_failure(error);
    assert_eq!((attempts.runs, attempts.runs_at_live_replicas), (1, 1));
    assert!(attempts.has_reached_replica);
}
