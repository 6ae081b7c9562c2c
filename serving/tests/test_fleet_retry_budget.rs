//! Tests of the retry budget of a service over all nodes of a large fleet, while callers move between nodes.

use guavaladder_serving::fleet_retries::FleetRetries;
use guavaladder_serving::fleet_retries::RetryNews;
use guavaladder_serving::fleet_retries::ServiceUse;
use guavaladder_serving::retry_budget::MAX_SEND_DELAY;
use guavaladder_serving::retry_budget::RetryBounds;
use guavaladder_serving::retry_budget::RetryBudgets;
use guavaladder_serving::retry_sync;
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
    /// Incarnations of the nodes.
    runs: Vec<u64>,
    next_news: Instant,
    next: usize,
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Fleet {
    fn new() -> Self {
        Self {
            budgets: (0..NODES).map(|_| RetryBudgets::new(BOUNDS)).collect(),
            used: (0..NODES).collect(),
            runs: vec![1; NODES],
            next_news: Instant::now(),
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
            if now >= self.next_news {
                self.next_news = now + retry_sync::MIN_NEWS_PERIOD;
                self.exchange_news(now);
            }
            for node in self.used.iter().filter(|_| is_failing) {
                while self.budgets[*node].withdraw(SERVICE, Some(NODES), now) {
                    self.retries.push(now);
                }
            }
        }
    }

    /// Lets each node tell the others what it has used.
    fn exchange_news(&self, now: Instant) {
        for (node, sender) in self.budgets.iter().enumerate() {
            let name = format!("n{node}");
            let Some(news) = sender.next_news(&name, self.runs[node], Some(NODES), now) else {
                continue;
            };
            for (_, receiver) in self.budgets.iter().enumerate().filter(|(i, _)| *i != node) {
                receiver.record_news(news.clone(), now);
            }
        }
    }

    fn move_callers(&mut self, how: Move, lost: usize) {
        let stayed: Vec<usize> = (lost..NODES).collect();
        match how {
            Move::Killed | Move::Shifted => self.used = stayed,
            Move::Restarted => {
                for node in 0..lost {
                    self.budgets[node] = RetryBudgets::new(BOUNDS);
                    self.runs[node] += 1;
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

/// Messages may arrive late and in another order, and a node may start again after it told of its use.
#[tokio::test(start_paused = true)]
async fn use_of_other_nodes_counts_until_it_has_left_the_window() {
    let window = BOUNDS.window;
    let retention = window + MAX_SEND_DELAY;
    let table = FleetRetries::new(window, retention);
    let news = |incarnation, sequence, requests, retries| RetryNews {
        node: "n1".to_string(),
        incarnation,
        sequence,
        services: vec![(1, ServiceUse { requests, retries })],
    };
    let start = Instant::now();
    table.record(news(7, 2, 100, 20), start);
    table.record(news(7, 1, 50, 90), start);
    assert_eq!(table.use_by_others(1, start), ServiceUse { requests: 100, retries: 20 });
    table.record(news(8, 1, 10, 3), start + window / 2);
    let both = ServiceUse { requests: 60, retries: 23 };
    assert_eq!(table.use_by_others(1, start + window / 2), both);
    let newer = ServiceUse { requests: 3, retries: 3 };
    assert_eq!(table.use_by_others(1, start + retention), newer);
    assert_eq!(table.use_by_others(2, start), ServiceUse::default());
}

/// A node with few retries need not tell of them; once it has told, the others have to know that they are gone.
#[tokio::test(start_paused = true)]
async fn low_use_is_not_told() {
    let budgets = RetryBudgets::new(BOUNDS);
    advance(BOUNDS.window + MAX_SEND_DELAY).await;
    let withdraw = |times: u32| {
        for _ in 0..times {
            assert!(budgets.withdraw(SERVICE, Some(1), Instant::now()));
        }
    };
    let next_news = || budgets.next_news("n1", 7, Some(1), Instant::now());
    withdraw(50);
    assert_eq!(next_news(), None);
    withdraw(1);
    let told = next_news().expect("a quarter of the part is used");
    assert_eq!(told.services[0].1.retries, 51);
    advance(BOUNDS.window + MAX_SEND_DELAY).await;
    let told = next_news().expect("the retries have left the window");
    assert_eq!(told.services[0].1.retries, 0);
    assert_eq!(next_news(), None);
}
