//! Tests of the retry budget of a service over all nodes of a large fleet, while callers move between nodes.

use guavaladder_serving::retry_budget::RetryBounds;
use guavaladder_serving::retry_budget::RetryBudgets;
use rstest::rstest;
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::advance;

const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, slack: 250.0, window: Duration::from_secs(10) };
const SERVICE: &str = "drafting";
const NODES: usize = 60;
const STEP: Duration = Duration::from_millis(100);
/// Requests that arrive in a step, over all nodes.
const REQUESTS_PER_STEP: usize = 44;

/// What becomes of most nodes between two failures of replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Move {
    /// They are killed and stay away.
    Killed,
    /// They are killed and start again.
    Restarted,
    /// They live on, and their callers turn to the other nodes.
    Shifted,
}

/// Nodes of which each has its own budgets, and what their replicas and callers see.
struct Fleet {
    budgets: Vec<RetryBudgets>,
    /// Nodes that callers use.
    used: Vec<usize>,
    next: usize,
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            budgets: (0..NODES).map(|_| RetryBudgets::new(BOUNDS)).collect(),
            used: (0..NODES).collect(),
            next: 0,
            requests: vec![],
            retries: vec![],
        }
    }

    /// Lets requests arrive for a while; in it, each of them fails at its first replicas if `is_failing`.
    async fn run(&mut self, length: Duration, is_failing: bool) {
        for _ in 0..length.as_millis() / STEP.as_millis() {
            advance(STEP).await;
            let now = Instant::now();
            for _ in 0..REQUESTS_PER_STEP {
                self.next += 1;
                let node = self.used[self.next % self.used.len()];
                self.budgets[node].count_request(SERVICE, now);
                self.requests.push(now);
            }
            for node in self.used.iter().filter(|_| is_failing) {
                while self.budgets[*node].withdraw(SERVICE, Some(NODES), now) {
                    self.retries.push(now);
                }
            }
        }
    }

    fn move_callers(&mut self, how: Move, lost: usize) {
        let stayed: Vec<usize> = (lost..NODES).collect();
        match how {
            Move::Killed | Move::Shifted => self.used = stayed,
            Move::Restarted => {
                for budget in &mut self.budgets[..lost] {
                    *budget = RetryBudgets::new(BOUNDS);
                }
            }
        }
    }

    /// Returns the largest excess of retries over the budget of any window.
    fn worst_excess(&self) -> f64 {
        let within = |times: &[Instant], end: Instant| {
            let is_within = |at: &&Instant| **at <= end && end - **at < BOUNDS.window;
            times.iter().filter(is_within).count() as f64
        };
        let ends: HashSet<&Instant> = self.retries.iter().collect();
        let excess = ends.into_iter().map(|end| {
            let before = [Duration::ZERO, BOUNDS.window / 2, BOUNDS.window];
            let requests = before.map(|age| within(&self.requests, *end - age));
            let most = requests.into_iter().fold(0.0, f64::max);
            within(&self.retries, *end) - (BOUNDS.ratio * most + BOUNDS.slack)
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// Replicas fail twice within a window, and in between most callers move to nodes that have not used their
/// parts yet: the retries of both nodes count in the same window.
#[rstest]
#[case::killed(Move::Killed, 33)]
#[case::killed_but_few(Move::Killed, 50)]
#[case::restarted(Move::Restarted, NODES)]
#[case::shifted(Move::Shifted, 50)]
#[tokio::test(start_paused = true)]
async fn ratio_is_used_again_at_the_nodes_that_callers_move_to(
    #[case] how: Move,
    #[case] lost: usize,
) {
    let mut fleet = Fleet::new();
    fleet.run(Duration::from_secs(25), false).await;
    fleet.run(Duration::from_millis(1000), true).await;
    fleet.move_callers(how, lost);
    fleet.run(Duration::from_millis(7800), false).await;
    fleet.run(Duration::from_millis(1000), true).await;
    assert!(fleet.retries.len() > 700, "the first failure has {} retries", fleet.retries.len());
    let excess = fleet.worst_excess();
    assert!(excess <= 0.0, "{excess:.0} retries more than a window allows");
}
