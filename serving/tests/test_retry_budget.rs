//! Tests of the budget of repeated sends.

use guavaladder_serving::retry_budget::RetryBounds;
use guavaladder_serving::retry_budget::RetryBudgets;
use std::time::Duration;
use tokio::time::Instant;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, slack: 132.0, window: Duration::from_secs(10) };

/// Every node of a fleet repeats as much as it may, as when a data centre was lost; the sum keeps
/// within the service's budget in any window.
#[test]
fn budget_of_all_nodes_together_keeps_the_bound() {
    let nodes = 7;
    let budgets: Vec<RetryBudgets> = (0..nodes).map(|_| RetryBudgets::new(BOUNDS)).collect();
    let start = Instant::now();
    let mut requests = vec![];
    let mut repeats = vec![];
    for step in 0..300u64 {
        let now = start + Duration::from_millis(step * 100);
        for budget in &budgets {
            for _ in 0..2 {
                budget.count_request("drafting", now);
                requests.push(now);
            }
            while budget.withdraw("drafting", nodes, now) {
                repeats.push(now);
            }
        }
    }
    assert!(repeats.len() > 100);
    for end in 100..300u64 {
        let end = start + Duration::from_millis(end * 100);
        let within = |times: &[Instant]| {
            times.iter().filter(|at| **at <= end && end - **at < BOUNDS.window).count() as f64
        };
        let allowed = BOUNDS.ratio * within(&requests) + BOUNDS.slack;
        assert!(within(&repeats) <= allowed, "{} of {allowed}", within(&repeats));
    }
}

#[test]
fn budget_returns_with_the_window() {
    let budgets = RetryBudgets::new(BOUNDS);
    let start = Instant::now();
    while budgets.withdraw("drafting", 1, start) {}
    assert!(!budgets.withdraw("drafting", 1, start + Duration::from_secs(9)));
    assert!(budgets.withdraw("drafting", 1, start + Duration::from_secs(10)));
    assert!(budgets.withdraw("orders", 1, start));
}
