//! Tests of the retry budget.

use crate::util;
use guavaladder_serving::retry_budget::MAX_SEND_DELAY;
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
    let start = Instant::now() + BOUNDS.window + MAX_SEND_DELAY;
    let mut requests = vec![];
    let mut retries = vec![];
    for step in 0..300u64 {
        let now = start + Duration::from_millis(step * 100);
        for budget in &budgets {
            for _ in 0..2 {
                budget.count_request("drafting", now);
                requests.push(now);
            }
            while budget.withdraw("drafting", Some(nodes), now) {
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
    let start = Instant::now() + BOUNDS.window + MAX_SEND_DELAY;
    let mut withdrawn = 0;
    while budgets.withdraw("drafting", Some(1), start) {
        withdrawn += 1;
    }
    assert!(withdrawn > 100);
    assert!(!budgets.withdraw("drafting", Some(1), start + Duration::from_secs(9)));
    assert!(!budgets.withdraw("drafting", Some(1), start + Duration::from_secs(10)));
    let arrived = start + BOUNDS.window + MAX_SEND_DELAY;
    assert!(budgets.withdraw("drafting", Some(1), arrived));
    assert!(budgets.withdraw("orders", Some(1), start));
}

/// Replicas fall silent twice, a window apart: the retries of the first time are still within the window
/// of the platform when those of the second time arrive.
#[test]
fn retries_are_forgotten_before_they_have_left_the_window() {
    let budgets = RetryBudgets::new(BOUNDS);
    let start = Instant::now() + BOUNDS.window + MAX_SEND_DELAY;
    budgets.count_request("drafting", start);
    let first = start + Duration::from_millis(450);
    let mut retries = 0;
    while budgets.withdraw("drafting", Some(1), first) {
        retries += 1;
    }
    let second = start + BOUNDS.window + Duration::from_millis(100);
    while budgets.withdraw("drafting", Some(1), second) {
        retries += 1;
    }
    let allowed = BOUNDS.ratio + BOUNDS.slack;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
}

/// Nodes that start together while the store loses writes read the registered nodes late.
#[test]
fn slack_is_used_whole_by_each_node_that_knows_no_other() {
    let start = Instant::now();
    let budgets: Vec<RetryBudgets> = (0..7).map(|_| RetryBudgets::new(BOUNDS)).collect();
    let (mut requests, mut retries) = (0, 0);
    for budget in &budgets {
        let cx = util::serving_cx(1);
        for _ in 0..40 {
            budget.count_request("drafting", start);
            requests += 1;
        }
        while budget.withdraw("drafting", cx.budget_sharers(), start) {
            retries += 1;
        }
        assert!(retries > 0);
        cx.nodes.set_registered(&[]);
        assert_eq!(cx.budget_sharers(), Some(1));
    }
    let allowed = BOUNDS.ratio * f64::from(requests) + BOUNDS.slack;
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
}

/// Retries that were sent to paused replicas arrive when these go on, within the window of later ones.
#[test]
fn retries_at_paused_replicas_arrive_with_those_of_the_next_window() {
    const PAUSE: Duration = Duration::from_millis(1500);
    let budgets = RetryBudgets::new(BOUNDS);
    let start = Instant::now() + BOUNDS.window + MAX_SEND_DELAY;
    let mut arrivals = vec![];
    while budgets.withdraw("drafting", Some(1), start) {
        arrivals.push(start + PAUSE);
    }
    for step in 0..40 {
        let now = start + BOUNDS.window + Duration::from_millis(step * 100);
        while budgets.withdraw("drafting", Some(1), now) {
            arrivals.push(now);
        }
    }
    assert!(arrivals.len() > 200);
    for end in &arrivals {
        let within = |at: &&Instant| **at <= *end && *end - **at < BOUNDS.window;
        let count = arrivals.iter().filter(within).count();
        assert!(count as f64 <= BOUNDS.slack, "{count} of {}", BOUNDS.slack);
    }
}

/// All nodes use their part of the slack, are killed and start again within the window.
#[test]
fn restarted_nodes_use_the_slack_again() {
    let nodes = 7;
    let start_nodes =
        || -> Vec<RetryBudgets> { (0..nodes).map(|_| RetryBudgets::new(BOUNDS)).collect() };
    let mut retries = 0;
    let mut use_up = |budgets: &[RetryBudgets], now| {
        for budget in budgets {
            while budget.withdraw("drafting", Some(nodes), now) {
                retries += 1;
            }
        }
    };
    let before = start_nodes();
    let restarted = start_nodes();
    use_up(&before, Instant::now() + BOUNDS.window + MAX_SEND_DELAY);
    use_up(&restarted, Instant::now() + BOUNDS.window / 2);
    assert!(retries > 100);
    assert!(f64::from(retries) <= BOUNDS.slack, "{retries} of {}", BOUNDS.slack);
}

#[test]
fn use_is_logged_without_new_retries() {
    let budgets = RetryBudgets::new(BOUNDS);
    let start = Instant::now() + BOUNDS.window + MAX_SEND_DELAY;
    budgets.count_request("drafting", start);
    assert!(budgets.take_uses(start).is_empty());
    assert!(budgets.withdraw("drafting", Some(1), start));
    assert!(budgets.withdraw("drafting", Some(1), start));
    let uses = budgets.take_uses(start);
    let [usage] = uses.as_slice() else { panic!("{uses:?}") };
    assert_eq!((usage.service.as_str(), usage.new_retries), ("drafting", 2));
    assert_eq!((usage.own.requests, usage.own.retries), (1, 2));
    assert!(budgets.take_uses(start).is_empty());
}
