//! Tests of the bound on what all nodes together send to a cold instance.

use crate::fleet::Fleet;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::config;
use guavaladder_serving::cold_instances;
use guavaladder_serving::cold_instances::ColdInstances;
use guavaladder_serving::cold_instances::ColdPolicy;
use guavaladder_serving::cold_instances::Warmth;
use guavaladder_serving::fleet_config::ColdStart;
use guavaladder_serving::load_table::ReplicaState;
use guavaladder_serving::placement;
use guavaladder_serving::placement::Candidate;
use guavaladder_serving::placement::NoCapacity;
use guavaladder_serving::placement::PlacementInput;
use guavaladder_serving::placement::Timeliness;
use guavaladder_serving::rate_limits::RateAllowance;
use guavaladder_serving::rate_limits::RunHash;
use guavaladder_serving::replica_set::Replica;
use guavaladder_serving::serving_node::ServingNode;
use guavaladder_serving::store_era::Revision;
use http::Method;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

const RUN: RunHash = 17;
const COLD_START: ColdStart = ColdStart { period: Duration::from_secs(3), per_second: 17.0 };
/// Requests that may reach a cold instance in any one second.
const BOUND: f64 = 17.0 * 1.5 + 5.0;
/// Step of the simulated time, and interval at which nodes look at who shares the rates.
const STEP_MS: u64 = 10;
const VIEW_MS: u64 = 200;
/// Time without a heartbeat after which a node is left out by those that hear most others.
const SILENT_MS: u64 = 3000;

fn policy() -> ColdPolicy {
    ColdPolicy::new(COLD_START, 1.5, 5.0)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn replica(run: RunHash, hash: u64) -> Replica {
    Replica {
        key: format!("r-{hash}"),
        hash,
        service: "s".to_string(),
        instance: format!("i-{run}"),
        run,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "east".to_string(),
        slots: 20,
        model: Some("m".to_string()),
        is_node: false,
        members: vec![],
    }
}

fn node_name(number: usize) -> String {
    format!("node-{number}")
}

/// Pseudo-random numbers from a seed.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    fn is(&mut self, probability: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= probability
    }

    /// Returns the time until the first message arrives that is not lost.
    fn delay(&mut self, loss: f64) -> u64 {
        let mut delay = 10 + self.below(VIEW_MS);
        while self.is(loss) {
            delay += VIEW_MS;
        }
        delay
    }
}

/// Returns the largest number of requests in any one second.
fn most_in_a_second(sent: &[u64]) -> usize {
    let requests = |(number, at): (usize, &u64)| {
        number + 1 - sent.partition_point(|earlier| earlier + 1000 <= *at)
    };
    sent.iter().enumerate().map(requests).max().unwrap_or(0)
}

/// Course of a simulated fleet around an instance that starts at 0.
struct Course {
    nodes: usize,
    loss: f64,
    seed: u64,
    /// Fraction of the nodes that join, die or start again while the instance is cold.
    changing: f64,
    /// Fraction of the nodes that are cut off from the others; 0 if none is.
    cut: f64,
}

/// A node of the simulation.
struct SimNode {
    table: ColdInstances,
    starts: u64,
    dies: u64,
    restarts: Option<u64>,
    is_cut: bool,
    sees_at: u64,
    /// Delay with which the others learn of this node.
    known_after: u64,
    view: Vec<bool>,
}

impl Course {
    /// Lets each node send as much as it may, and returns the times of the requests.
    fn run(&self) -> Vec<u64> {
        let begin = Instant::now() + Duration::from_secs(100);
        let mut random = Random(self.seed);
        let end = COLD_START.period.as_millis() as u64 + 900;
        let cut_at = random.below(end);
        let mut nodes: Vec<SimNode> = (0..self.nodes)
            .map(|number| {
                let changes = number > 0 && random.is(self.changing);
                let (kind, at) = (random.below(3), random.below(end));
                SimNode {
                    table: ColdInstances::new(),
                    starts: if changes && kind == 0 { at } else { 0 },
                    dies: if changes && kind == 1 { at } else { u64::MAX },
                    restarts: (changes && kind == 2).then_some(at),
                    is_cut: self.cut > 0.0 && random.is(self.cut),
                    sees_at: random.delay(self.loss),
                    known_after: random.delay(self.loss),
                    view: vec![],
                }
            })
            .collect();
        let shared = replica(RUN, 1);
        let mut sent = vec![];
        for step in 0..end / STEP_MS {
            let (at, now) = (step * STEP_MS, begin + ms(step * STEP_MS));
            for own in 0..nodes.len() {
                let node = &nodes[own];
                if at < node.starts || at >= node.dies {
                    continue;
                }
                let starts_again =
                    node.restarts.is_some_and(|restart| restart / STEP_MS == at / STEP_MS);
                if starts_again {
                    nodes[own].table = ColdInstances::new();
                    nodes[own].view.clear();
                }
                if nodes[own].view.is_empty() || at % VIEW_MS == (own as u64 * STEP_MS) % VIEW_MS {
                    self.update_view(&mut nodes, own, cut_at, at, now);
                }
                let node = &nodes[own];
                // A node that starts later finds the run in its first list.
                let is_found = node.starts > 0 || node.restarts.is_some_and(|r| r < at + STEP_MS);
                let runs = match is_found || at >= node.sees_at {
                    true => vec![(RUN, Some(ms(at)))],
                    false => vec![],
                };
                let is_known = !runs.is_empty();
                node.table.observe(runs.into_iter(), std::iter::empty(), now);
                if is_known && node.table.withdraw(&policy(), &shared, now).is_some() {
                    sent.push(at);
                }
            }
        }
        sent
    }

    /// Follows the rule of `NodeTable::sharers`: silent nodes are left out by a node that hears most others.
    fn update_view(&self, nodes: &mut [SimNode], own: usize, cut_at: u64, at: u64, now: Instant) {
        let own_node = &nodes[own];
        let is_apart = |other: &SimNode| at >= cut_at && other.is_cut != own_node.is_cut;
        let is_known = |other: &SimNode| {
            let learned = other.starts == 0 || at >= other.starts + other.known_after;
            learned && !(other.starts >= cut_at && is_apart(other))
        };
        let is_heard = |other: &SimNode| {
            let silent_since = match is_apart(other) {
                true => cut_at.min(other.dies),
                false => other.dies,
            };
            is_known(other) && at < silent_since.saturating_add(SILENT_MS)
        };
        let known = nodes.iter().filter(|node| is_known(node)).count();
        let heard = nodes.iter().filter(|node| is_heard(node)).count();
        let hears_most = 2 * heard > known;
        let shares = |(number, other): (usize, &SimNode)| {
            number == own || is_heard(other) || (is_known(other) && !hears_most)
        };
        let view: Vec<bool> = nodes.iter().enumerate().map(shares).collect();
        if view != own_node.view {
            let names = view.iter().enumerate().filter(|(_, shares)| **shares);
            let names: Vec<String> = names.map(|(number, _)| node_name(number)).collect();
            own_node.table.set_nodes(&node_name(own), &names, now);
            nodes[own].view = view;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// An instance that starts attracts every node at once. Nodes hear of it at different times, lose messages,
    /// join, die, start again, and are cut off from each other; the sum of what they send was never told to any
    /// of them.
    #[test]
    fn all_nodes_together_keep_the_bound(
        nodes in 1usize..=330,
        seed in any::<u64>(),
        loss in 0.0f64..0.4,
        changing in prop_oneof![Just(0.0), 0.0f64..0.2],
        cut in prop_oneof![Just(0.0), 0.0f64..0.6],
    ) {
        let sent = Course { nodes, loss, seed, changing, cut }.run();
        prop_assert!(most_in_a_second(&sent) as f64 <= BOUND, "{}", most_in_a_second(&sent));
    }
}

/// A data centre that comes back is to be warm soon: what the bound allows has to be used.
#[rstest]
fn elected_nodes_use_most_of_the_cold_rate(#[values(1, 2, 7, 16, 62, 330)] nodes: usize) {
    let sent = Course { nodes, loss: 0.0, seed: 5, changing: 0.0, cut: 0.0 }.run();
    let (rate, most) = (sent.len() as f64 / 3.9, most_in_a_second(&sent));
    println!("{nodes} nodes: {rate:.1} requests a second, at most {most} in one second");
    assert!(rate >= 0.6 * COLD_START.per_second, "{rate} requests a second");
    assert!(most as f64 <= BOUND / 2.0);
}

#[rstest]
#[case::rate_alone(17.0, 1.0, 0.0, 8)]
#[case::bound_of_the_platform(17.0, 1.5, 5.0, 15)]
#[case::not_above_the_rate(4.0, 10.0, 50.0, 4)]
#[case::less_than_one(0.5, 1.0, 0.0, 1)]
fn half_of_the_bound_is_used(
    #[case] per_second: f64,
    #[case] over: f64,
    #[case] slack: f64,
    #[case] expected: usize,
) {
    let policy = ColdPolicy::new(ColdStart { per_second, ..COLD_START }, over, slack);
    assert_eq!(policy.window_requests, expected);
    for nodes in 1..=330 {
        let plan = policy.plan(nodes);
        let each = (1.1 / plan.interval.as_secs_f64()).round() as usize;
        assert!(plan.senders * each <= expected && plan.senders <= nodes, "{nodes}: {plan:?}");
    }
}

/// Table of the only node of a fleet, which has known the run `RUN` for long.
fn table_of_one_node(start: Instant) -> ColdInstances {
    let table = ColdInstances::new();
    table.set_nodes("n1", &["n1".to_string()], start - Duration::from_secs(60));
    table.observe([(RUN, None)].into_iter(), [1].into_iter(), start);
    table
}

fn warmth(table: &ColdInstances, run: RunHash, now: Instant) -> Warmth {
    table.state(&policy(), &replica(run, 1), 20, 5.0, false, now).warmth
}

fn start() -> Instant {
    Instant::now() + Duration::from_secs(1000)
}

#[test]
fn entry_that_states_cold_counts_until_its_end_and_the_replica_is_then_filled() {
    let (start, seconds) = (start(), Duration::from_secs_f64);
    let table = table_of_one_node(start);
    assert_eq!(warmth(&table, RUN, start), Warmth::Warm);
    let revision = Revision::from(7);
    assert!(table.record_entry(RUN, seconds(2.0), revision, true, start).is_some());
    assert_eq!(warmth(&table, RUN, start + seconds(1.9)), Warmth::Cold);
    // The same entry in a list that is read later does not begin the time again.
    assert_eq!(table.record_entry(RUN, seconds(2.0), revision, false, start + seconds(1.9)), None);
    assert_eq!(warmth(&table, RUN, start + seconds(2.1)), Warmth::Filling);
    assert_eq!(warmth(&table, RUN, start + seconds(3.1)), Warmth::Warm);
    // Another run of the instance inherits nothing, and is new.
    assert_eq!(warmth(&table, RUN + 1, start + seconds(3.1)), Warmth::Cold);
}

#[test]
fn run_that_is_first_seen_during_traffic_is_cold_unless_a_later_entry_says_otherwise() {
    let (start, seconds) = (start(), Duration::from_secs_f64);
    let table = table_of_one_node(start);
    let new: Vec<RunHash> =
        table.observe([(RUN, None), (2, None), (3, None)].into_iter(), [].into_iter(), start);
    assert_eq!(new, [2, 3]);
    let later = start + seconds(1.5);
    table.record_entry(2, Duration::ZERO, Revision::from(8), true, later);
    // The list may hold an old entry.
    table.record_entry(3, Duration::ZERO, Revision::from(8), false, later);
    assert_eq!(warmth(&table, 2, later), Warmth::Filling);
    assert_eq!(warmth(&table, 3, later), Warmth::Cold);
    assert_eq!(warmth(&table, 2, start + seconds(2.6)), Warmth::Warm);
    assert_eq!(warmth(&table, 3, start + seconds(2.9)), Warmth::Cold);
    assert_eq!(warmth(&table, 3, start + seconds(4.1)), Warmth::Warm);
}

#[test]
fn answer_to_an_earlier_request_does_not_end_a_cold_period() {
    let (start, seconds) = (start(), Duration::from_secs_f64);
    let table = table_of_one_node(start);
    let sent_before = start - seconds(0.1);
    assert!(table.record_answer(RUN, seconds(3.0), sent_before, start).is_some());
    table.record_answer(RUN, Duration::ZERO, sent_before, start + seconds(0.1));
    // An entry that was written before reaches this node late.
    table.record_entry(RUN, Duration::ZERO, Revision::from(7), true, start + seconds(0.2));
    assert_eq!(warmth(&table, RUN, start + seconds(0.3)), Warmth::Cold);
    table.record_answer(RUN, Duration::ZERO, start + seconds(0.3), start + seconds(0.4));
    assert_eq!(warmth(&table, RUN, start + seconds(0.5)), Warmth::Filling);
}

/// Nodes pass statements on with their ages, and each hop adds some milliseconds.
#[test]
fn statement_that_goes_round_does_not_last_longer() {
    let (start, seconds) = (start(), Duration::from_secs_f64);
    let (first, second) = (table_of_one_node(start), table_of_one_node(start));
    first.record_entry(RUN, seconds(2.0), Revision::from(7), true, start);
    assert_eq!(second.merge(&first.news(start), start + ms(9)).len(), 1);
    for round in 1..180 {
        let now = start + ms(10 * round);
        first.merge(&second.news(now), now + ms(9));
        second.merge(&first.news(now), now + ms(9));
    }
    assert_eq!(warmth(&second, RUN, start + seconds(2.2)), Warmth::Filling);
    assert_eq!(warmth(&first, RUN, start + seconds(2.2)), Warmth::Filling);
    assert_eq!(first.news(start + seconds(5.5)), []);
}

/// The statement of an instance may be wrong by years.
#[test]
fn huge_statement_ends_after_a_minute() {
    let (start, seconds) = (start(), Duration::from_secs_f64);
    let table = table_of_one_node(start);
    table.record_answer(RUN, Duration::from_millis(u64::MAX), start, start);
    assert_eq!(warmth(&table, RUN, start + seconds(62.0)), Warmth::Warm);
}

#[test]
fn runs_of_a_data_centre_are_assumed_cold_until_a_time_or_a_later_statement() {
    let table = table_of_one_node(Instant::now());
    let (now, seconds) = (Instant::now(), Duration::from_secs_f64);
    table.observe([(RUN, None), (2, None)].into_iter(), [].into_iter(), now - seconds(30.0));
    table.assume_cold([RUN, 2], now + seconds(3.0));
    let later = now + seconds(1.5);
    table.record_entry(RUN, Duration::ZERO, Revision::from(8), true, later);
    assert_eq!(warmth(&table, RUN, later), Warmth::Filling);
    assert_eq!(warmth(&table, 2, later), Warmth::Cold);
    assert_eq!(warmth(&table, 2, now + seconds(5.1)), Warmth::Warm);
}

#[test]
fn replica_that_opens_or_was_down_is_filled_by_elected_nodes() {
    let (start, seconds) = (start(), Duration::from_secs_f64);
    let table = table_of_one_node(start);
    let later = start + seconds(10.0);
    let state = |replica: &Replica, is_down: bool, now: Instant| {
        table.state(&policy(), replica, 0, 5.0, is_down, now).warmth
    };
    let opened = replica(RUN, 2);
    assert_eq!(state(&opened, false, later), Warmth::Filling);
    assert_eq!(state(&opened, false, later + seconds(2.9)), Warmth::Filling);
    assert_eq!(state(&opened, false, later + seconds(3.1)), Warmth::Light);
    state(&opened, true, later + seconds(20.0));
    assert_eq!(state(&opened, false, later + seconds(20.9)), Warmth::Filling);
    assert_eq!(state(&opened, false, later + seconds(21.1)), Warmth::Light);
}

/// Guards against a preference for the busier replicas at moderate load: only a replica that has far fewer requests
/// than the others is left to the elected nodes.
#[rstest]
#[case::all_at_a_third_of_their_slots([7, 6, 8], [false; 3])]
#[case::one_has_emptied([12, 1, 11], [false, true, false])]
#[case::none_has_requests([0; 3], [false; 3])]
fn light_below_by_requests_of_all_candidates(
    #[case] requests: [u32; 3],
    #[case] expected: [bool; 3],
) {
    let candidates = requests.map(|requests| candidate(&Arc::new(replica(RUN, 1)), requests));
    let light_below = cold_instances::light_below(&candidates);
    assert_eq!(requests.map(|requests| f64::from(requests) < light_below), expected);
}

#[test]
fn node_that_does_not_know_the_others_sends_nothing_to_cold_instances() {
    let start = start();
    let table = ColdInstances::new();
    table.observe([(RUN, Some(ms(100)))].into_iter(), [1].into_iter(), start);
    let later = start + Duration::from_secs(2);
    assert_eq!(table.withdraw(&policy(), &replica(RUN, 1), later), None);
    let state = table.state(&policy(), &replica(RUN, 1), 0, 5.0, false, later);
    assert_eq!(state.allowance, RateAllowance::NotElected);
}

fn candidate(replica: &Arc<Replica>, requests: u32) -> Candidate {
    Candidate {
        replica: replica.clone(),
        state: ReplicaState { remote: requests, ..ReplicaState::unknown() },
        rate: RateAllowance::Available,
    }
}

fn input(nodes: usize) -> PlacementInput<'static> {
    PlacementInput {
        data_centre: "east",
        engine: None,
        timeliness: Timeliness::OnTime,
        nodes,
        capacity_ratio: None,
    }
}

#[test]
fn warm_replicas_are_used_first_and_cold_ones_within_their_allowance() {
    let (start, seconds) = (start(), Duration::from_secs_f64);
    let table = table_of_one_node(start);
    table.observe([(RUN, None), (2, None)].into_iter(), [1, 2].into_iter(), start);
    let (warm, cold) = (Arc::new(replica(RUN, 1)), Arc::new(replica(2, 2)));
    let choose = |warm_requests: u32, now: Instant| {
        let mut candidates = [candidate(&warm, warm_requests), candidate(&cold, 0)];
        let light_below = cold_instances::light_below(&candidates);
        let state = |c: &Candidate| {
            table.state(
                &policy(),
                &c.replica,
                c.state.requests(),
                light_below,
                c.state.is_down,
                now,
            )
        };
        let states: Vec<_> = candidates.iter().map(state).collect();
        let chosen = cold_instances::choose(&mut candidates, &states, &input(1));
        let chosen = chosen?;
        assert!(table.withdraw(&policy(), &chosen, now).is_some());
        Ok(chosen.run)
    };
    let now = start + seconds(2.0);
    assert_eq!(choose(15, now), Ok(RUN));
    assert_eq!(choose(30, now), Ok(2));
    // Its allowance is used up for now, and nobody waits.
    assert_eq!(choose(30, now), Err(NoCapacity::AllBusy));
    assert_eq!(choose(30, now + seconds(0.5)), Ok(2));
}

/// Returns the requests that a replica gets in one second from all nodes, after it has emptied at the same moment
/// for all of them while the others hold 12 of 20 requests. Reports of its load are 0.5 s old.
fn attracted(
    nodes: usize,
    replicas: u64,
    per_second: u64,
    is_new: bool,
    is_guarded: bool,
) -> usize {
    let start = start();
    let names: Vec<String> = (0..nodes).map(node_name).collect();
    let known = u64::from(is_new);
    let tables: Vec<ColdInstances> = names
        .iter()
        .map(|own| {
            let table = ColdInstances::new();
            table.set_nodes(own, &names, start - Duration::from_secs(60));
            let runs = (0..replicas).map(|run| (run, None));
            table.observe(runs, known..replicas, start - Duration::from_secs(30));
            table
        })
        .collect();
    let all: Vec<Arc<Replica>> = (0..replicas).map(|n| Arc::new(replica(n, n))).collect();
    let mut sent: Vec<Instant> = vec![];
    for number in 0..per_second {
        let now = start + Duration::from_secs(1).mul_f64(number as f64 / per_second as f64);
        let reported = sent.iter().filter(|at| **at + ms(500) <= now).count() as u32;
        let requests = |n: usize| if n == 0 { reported } else { 12 };
        let mut candidates: Vec<Candidate> =
            all.iter().enumerate().map(|(n, replica)| candidate(replica, requests(n))).collect();
        let table = &tables[rand::random_range(0..nodes)];
        let chosen = match is_guarded {
            true => {
                let light_below = cold_instances::light_below(&candidates);
                let state = |c: &Candidate| {
                    table.state(&policy(), &c.replica, c.state.requests(), light_below, false, now)
                };
                let states: Vec<_> = candidates.iter().map(state).collect();
                cold_instances::choose(&mut candidates, &states, &input(nodes))
            }
            false => placement::choose(&candidates, &input(nodes)),
        };
        let chosen = chosen.expect("a replica");
        if chosen.run == 0 && (!is_guarded || table.withdraw(&policy(), &chosen, now).is_some()) {
            sent.push(now);
        }
    }
    sent.len()
}

/// A head that has just opened, or a replica that emptied unnoticed and may have turned cold by that, is the least
/// loaded of all: each of 62 nodes that compares it chooses it.
#[rstest]
#[case::small_model(50, 444)]
#[case::large_model(6, 43)]
#[case::plain(8, 55)]
fn empty_replica_does_not_attract_all_nodes(#[case] replicas: u64, #[case] per_second: u64) {
    let most = |is_new: bool, is_guarded: bool| {
        let tries = (0..20).map(|_| attracted(62, replicas, per_second, is_new, is_guarded));
        tries.max().unwrap_or(0)
    };
    let (before, opened, emptied) = (most(false, false), most(true, true), most(false, true));
    println!(
        "{replicas} replicas: {before} before, {opened} if it opened, {emptied} if it emptied"
    );
    assert!(opened as f64 <= BOUND && emptied as f64 <= BOUND, "{opened} and {emptied}");
}

/// Both instances of a service turn cold while they serve. What they do not take is refused, and they crash if the
/// nodes go on as before.
#[tokio::test]
async fn instances_that_turn_cold_under_load_get_no_more_than_the_bound() {
    let mut fleet = Fleet::with_platform(0, |platform| platform.cold_bound = BOUND).await;
    let mut config = config(6);
    config["services"][1]["coldStartS"] = json!(3);
    config["services"][1]["coldPerS"] = json!(17);
    fleet.store.put("config", "main", config);
    fleet.add_first_node("orders", 2).await;
    for _ in 1..4 {
        fleet.add_node().await;
    }
    sleep(Duration::from_secs(5)).await;
    let (mut requests, begin) = (JoinSet::new(), Instant::now());
    let (cold_from, cold_for) = (Duration::from_secs(1), Duration::from_secs(3));
    let mut is_cold = false;
    let known_from = begin + cold_from + Duration::from_secs(1);
    while begin.elapsed() < Duration::from_secs(6) {
        if !is_cold && begin.elapsed() >= cold_from {
            is_cold = true;
            fleet.fake_platform.set_cold("p-00", cold_for);
            fleet.fake_platform.set_cold("p-01", cold_for);
        }
        for node in 0..fleet.nodes.len() {
            let (to, call) = (fleet.callers(node), Call::new(Method::GET, "/look/x"));
            requests.spawn(async move { call.status(to).await });
        }
        sleep(ms(130)).await;
    }
    let statuses = requests.join_all().await;
    assert_eq!(fleet.fake_platform.violations(), []);
    // The settings allow 17 requests in a second, of which the nodes in one view send 8.
    let arrivals = fleet.fake_platform.arrivals();
    for id in ["p-00", "p-01"] {
        let is_checked = |at: Instant| at >= known_from && at < begin + cold_from + cold_for;
        let checked = arrivals.iter().filter(|a| a.instance == id && is_checked(a.at));
        let checked: Vec<u64> = checked.map(|a| (a.at - known_from).as_millis() as u64).collect();
        let most = most_in_a_second(&checked);
        assert!((3..=10).contains(&most), "{most} requests in a second at {id}");
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(served * 2 >= statuses.len(), "{served} of {} served", statuses.len());
    let was_known = |node: &ServingNode| node.cx.metrics.sum("cold_instances_total") >= 2;
    assert!(fleet.nodes.iter().all(was_known));
}
