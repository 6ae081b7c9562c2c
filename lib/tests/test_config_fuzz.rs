//! Stateful fuzzing of configuration against the list of accepted versions: operators race, answers
//! are lost, the store goes away, networks split and nodes restart.

use guavaladder_lib::config_change;
use guavaladder_lib::config_change::ConfigChangeError;
use guavaladder_lib::generated::config::ConfigChangeRequest;
use guavaladder_lib::generated::config::ConfigRecord;
use guavaladder_testutils::fake_store::StoreFaults;
use guavaladder_testutils::node_fleet::NodeFleet;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use std::collections::BTreeMap;
use std::time::Duration;

/// Nodes of the fleet: two in each of two data centres in a region, one in another region.
const NODES: usize = 5;
/// Bound on a configuration being in force on all connected nodes.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// Time for members to find each other again after a fault.
const HEAL_TIME: Duration = Duration::from_secs(40);

#[derive(Debug, Clone)]
enum Step {
    /// An operator reads the version at a node and sends a change there.
    Change { node: usize, value: u64 },
    /// Two operators read the same version and send their changes to two nodes at once.
    Race { first: usize, second: usize, value: u64 },
    /// An operator sends its last change again to another node.
    Resend { node: usize },
    /// The store goes away or comes back, or loses answers.
    Store { away: bool, lose_answers: f64 },
    /// The network between two nodes is cut both ways.
    Cut { first: usize, second: usize },
    /// The network heals.
    Heal,
    /// A node restarts.
    Restart { node: usize },
    /// Time passes.
    Wait { seconds: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 1..=NODES;
    prop_oneof![
        4 => (node(), 0..1000u64).prop_map(|(node, value)| Step::Change { node, value }),
        2 => (node(), node(), 0..1000u64)
            .prop_map(|(first, second, value)| Step::Race { first, second, value }),
        2 => node().prop_map(|node| Step::Resend { node }),
        1 => (any::<bool>(), 0.0..0.6).prop_map(|(away, lose_answers)| Step::Store { away, lose_answers }),
        1 => (node(), node()).prop_map(|(first, second)| Step::Cut { first, second }),
        1 => Just(Step::Heal),
        1 => node().prop_map(|node| Step::Restart { node }),
        2 => (1..8u64).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

/// What the oracle knows.
#[derive(Default)]
struct Oracle {
    /// Accepted changes by version, as the store's writes show them.
    accepted: BTreeMap<u64, String>,
    /// Answers that operators got, by change id.
    answers: BTreeMap<String, u64>,
    /// Highest version seen at each node since its restart.
    seen: BTreeMap<String, u64>,
}

impl Oracle {
    fn check(&mut self, fleet: &NodeFleet) {
        for write in fleet.store.writes().iter().filter(|write| write.key == "config/current") {
            let text = write.value.as_deref().expect("the configuration is never deleted");
            let record: ConfigRecord = serde_json::from_str(text).expect("a record parses");
            let known = self.accepted.insert(record.version, record.change_id.clone());
            assert!(
                known.is_none_or(|known| known == record.change_id),
                "version {} was accepted twice",
                record.version
            );
        }
        let versions: Vec<u64> = self.accepted.keys().copied().collect();
        assert_eq!(
            versions,
            (1..=versions.len() as u64).collect::<Vec<_>>(),
            "a version is missing"
        );
        let ids: std::collections::BTreeSet<&String> = self.accepted.values().collect();
        assert_eq!(ids.len(), self.accepted.len(), "a change was applied twice");
        for (change, version) in &self.answers {
            assert_eq!(self.accepted.get(version), Some(change), "an answered change is lost");
        }
        for (node, running) in &fleet.nodes {
            let Some(record) = running.cx.config.get() else { continue };
            let seen = self.seen.entry(node.clone()).or_default();
            assert!(record.version >= *seen, "{node} went from {seen} to {}", record.version);
            *seen = record.version;
            assert_eq!(self.accepted.get(&record.version), Some(&record.change_id));
        }
    }
}

fn request(id: &str, based_on: u64, value: u64) -> ConfigChangeRequest {
    ConfigChangeRequest {
        change_id: id.to_string(),
        author: "fuzz".to_string(),
        reason: "fuzz".to_string(),
        based_on,
        config: serde_json::json!({"defaults": {"queue_wait_ms": value}}).to_string(),
    }
}

struct Run {
    fleet: NodeFleet,
    oracle: Oracle,
    last: Option<ConfigChangeRequest>,
    changes: u64,
}

impl Run {
    async fn start(seed: u64) -> Self {
        let mut fleet = NodeFleet::new(seed);
        for number in 1..=NODES {
            start_node(&mut fleet, number);
        }
        let joined = fleet.wait_until(Duration::from_secs(20), NodeFleet::is_agreed).await;
        assert!(joined.is_some(), "the nodes did not join");
        Self { fleet, oracle: Oracle::default(), last: None, changes: 0 }
    }

    fn version_at(&self, node: usize) -> u64 {
        self.fleet.cx(&format!("n{node}")).config.get().map_or(0, |record| record.version)
    }

    fn next_request(&mut self, node: usize, value: u64) -> ConfigChangeRequest {
        self.changes += 1;
        request(&format!("change-{}", self.changes), self.version_at(node), value)
    }

    async fn send(&mut self, node: usize, req: ConfigChangeRequest) {
        let running = &self.fleet.nodes[&format!("n{node}")];
        let answer = config_change::apply(&running.cx, &running.store, &req).await;
        self.note(&req, answer);
        self.last = Some(req);
    }

    fn note(
        &mut self,
        req: &ConfigChangeRequest,
        answer: Result<guavaladder_lib::generated::config::ConfigChangeReply, ConfigChangeError>,
    ) {
        match answer {
            Ok(reply) => drop(self.oracle.answers.insert(req.change_id.clone(), reply.version)),
            Err(ConfigChangeError::Invalid(problems)) => panic!("{problems:?}"),
            Err(ConfigChangeError::Malformed { reason }) => panic!("{reason}"),
            Err(_) => {}
        }
    }

    async fn step(&mut self, step: &Step) {
        match step.clone() {
            Step::Change { node, value } => {
                let req = self.next_request(node, value);
                self.send(node, req).await;
            }
            Step::Race { first, second, value } => self.race(first, second, value).await,
            Step::Resend { node } => {
                if let Some(req) = self.last.clone() {
                    self.send(node, req).await;
                }
            }
            Step::Store { away, lose_answers } => {
                let faults = StoreFaults { away, lose_answers, ..StoreFaults::default() };
                self.fleet.store.set_faults(faults);
            }
            Step::Cut { first, second } => {
                let address = |node: usize| self.fleet.nodes[&format!("n{node}")].address;
                self.fleet.network.split(&[address(first)], &[address(second)]);
            }
            Step::Heal => self.fleet.network.heal(),
            Step::Restart { node } => {
                self.oracle.seen.remove(&format!("n{node}"));
                start_node(&mut self.fleet, node);
            }
            Step::Wait { seconds } => tokio::time::sleep(Duration::from_secs(seconds)).await,
        }
        self.oracle.check(&self.fleet);
    }

    async fn race(&mut self, first: usize, second: usize, value: u64) {
        let one = self.next_request(first, value);
        let mut other = self.next_request(second, value + 1);
        other.based_on = one.based_on;
        let a = &self.fleet.nodes[&format!("n{first}")];
        let b = &self.fleet.nodes[&format!("n{second}")];
        let (one_answer, other_answer) = tokio::join!(
            config_change::apply(&a.cx, &a.store, &one),
            config_change::apply(&b.cx, &b.store, &other),
        );
        assert!(one_answer.is_err() || other_answer.is_err(), "both racing changes were accepted");
        self.note(&one, one_answer);
        self.note(&other, other_answer);
    }

    /// Ends all faults; then the last accepted version must come into force, and so must a new one.
    async fn finish(&mut self) {
        self.fleet.network.heal();
        self.fleet.store.set_faults(StoreFaults::default());
        tokio::time::sleep(HEAL_TIME).await;
        self.oracle.check(&self.fleet);
        let newest = self.oracle.accepted.keys().last().copied().unwrap_or(0);
        for node in 1..=NODES {
            assert_eq!(self.version_at(node), newest, "n{node} is behind after the faults ended");
        }
        let req = self.next_request(1, 5000);
        self.send(1, req).await;
        let is_everywhere = |fleet: &NodeFleet| {
            fleet
                .nodes
                .values()
                .all(|node| node.cx.config.get().is_some_and(|record| record.version == newest + 1))
        };
        let took = self.fleet.wait_until(IN_FORCE_BOUND, is_everywhere).await;
        assert!(took.is_some(), "not in force everywhere within {IN_FORCE_BOUND:?}");
        self.oracle.check(&self.fleet);
    }
}

fn start_node(fleet: &mut NodeFleet, number: usize) {
    let (data_centre, region) = match number {
        1 | 2 => ("dc1", "r1"),
        3 | 4 => ("dc2", "r1"),
        _ => ("dc3", "r2"),
    };
    fleet.start_node(number, data_centre, region);
}

/// The oracle is checked against the store's own log, so the reference only counts steps.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        (0..1000u64).boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state + 1
    }
}

/// A fleet with the runtime whose simulated time it lives on.
struct System {
    runtime: tokio::runtime::Runtime,
    run: Run,
}

struct ConfigMachine;

impl StateMachineTest for ConfigMachine {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(seed: &u64) -> System {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let run = runtime.block_on(Run::start(*seed));
        System { runtime, run }
    }

    fn apply(mut system: System, _: &u64, step: Step) -> System {
        system.runtime.block_on(system.run.step(&step));
        system
    }

    fn teardown(mut system: System, _: u64) {
        system.runtime.block_on(system.run.finish());
    }
}

/// Returns the number of cases, from `PROPTEST_CASES` where it is set.
fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    Config { cases: cases.unwrap_or(8), failure_persistence: None, ..Config::default() }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn config_agrees_with_accepted_versions(sequential 5..25 => ConfigMachine);
}
