//! Tests of the retry budget.

use guavaladder_serving::retry_budget::RetryBounds;
use guavaladder_serving::retry_budget::RetryBudgets;
use std::time::Duration;
use tokio::time::Instant;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, slack: 132.0, window: Duration::from_secs(10) };

/// Every node of a fleet retries as often as it may, as after the loss of a data centre; the sum stays
/// within the budget of the service in every window.
#[test]
fn retries_of_all_nodes_stay_within_the_budget() {
    let nodes = 7;
    let budgets: Vec<RetryBudgets> = (0..nodes).map(|_| RetryBudgets::new(BOUNDS)).collect();
    let start = Instant::now();
    let mut requests = vec![];
    let mut retries = vec![];
    for step in 0..300u64 {
        let now = start + Duration::from_millis(step * 100);
        for budget in &budgets {
            for _ in 0..2 {
                budget.count_request("drafting", now);
                requests.push(now);
            }
            while budget.withdraw("drafting", nodes, now) {
                retries.push(now);
            }
        }
    }
    assert!(retries.len() > 100);
    for end in 100..300u64 {
        let end = start + Duration::from_millis(end * 100);
        let within = |times: &[Instant]| {
            times.iter().filter(|at| **at <= end && end - **at < BOUNDS.window).count() as f64
        };
        let allowed = BOUNDS.ratio * within(&requests) + BOUNDS.slack;
        assert!(within(&retries) <= allowed, "{} of {allowed}", within(&retries));
    }
}

#[test]
fn budget_recovers_as_the_window_moves() {
    let budgets = RetryBudgets::new(BOUNDS);
    let start = Instant::now();
    while budgets.withdraw("drafting", 1, start) {}
    assert!(!budgets.withdraw("drafting", 1, start + Duration::from_secs(9)));
    assert!(budgets.withdraw("drafting", 1, start + Duration::from_secs(10)));
    assert!(budgets.withdraw("orders", 1, start));
}
