//! Tests of how the attempts of a request are counted against its route's bound.

use guavaladder_serving::attempt::AttemptError;
use guavaladder_serving::attempt::Attempts;
use rstest::rstest;

fn broken() -> AttemptError {
    AttemptError::Broken("the connection was reset".to_string())
}

fn not_run() -> AttemptError {
    AttemptError::NotRun { status: 503, at_fault: None }
}

/// An attempt counts when the request may have run and its replica may still be at it. A group that
/// stands still has begun no request that has shown no event.
#[rstest]
#[case::broken(broken(), 1, 1)]
#[case::silent(AttemptError::Silent("no answer"), 1, 1)]
#[case::failed(AttemptError::Failure { status: 500 }, 1, 1)]
#[case::refused(not_run(), 0, 0)]
#[case::down(AttemptError::Down, 1, 0)]
fn attempt_without_an_answer(#[case] error: AttemptError, #[case] runs: u32, #[case] live: u32) {
    let mut attempts = Attempts::new();
    attempts.failed(error);
    assert_eq!((attempts.runs, attempts.runs_at_live_replicas), (runs, live));
    assert!(attempts.has_arrived);
}

/// A stream that had begun has run for certain, also at a group that was found to be down: moved over
/// group after group it would exceed the route's bound (hunt-447b-39).
#[rstest]
#[case::broken(broken())]
#[case::silent(AttemptError::Silent("no event"))]
#[case::down(AttemptError::Down)]
fn attempt_that_had_begun_always_counts(#[case] error: AttemptError) {
    let mut attempts = Attempts::new();
    attempts.failed_midway(error);
    assert_eq!((attempts.runs, attempts.runs_at_live_replicas), (1, 1));
    assert!(attempts.has_arrived);
}
