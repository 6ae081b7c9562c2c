//! Stateful property test of configuration changes, checked against the accepted versions in the
//! store's write log. Operators send concurrent changes, responses are lost, the store becomes
//! unavailable, the network is partitioned and nodes restart.

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

/// Nodes of the fleet: two in each of the two data centres of one region, and one in another region.
const NODES: usize = 5;
/// Time within which a new configuration must be in force on all connected nodes.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// Time for the nodes to reconnect after all faults have ended.
const HEAL_TIME: Duration = Duration::from_secs(40);

#[derive(Debug, Clone)]
enum Step {
    /// An operator reads the version from a node and sends a change to it.
    Change { node: usize, value: u64 },
    /// Two operators concurrently send changes based on the same version to two nodes.
    ConcurrentChanges { first: usize, second: usize, value: u64 },
    /// An operator sends its last change again, to any node.
    Resend { node: usize },
    /// The store becomes unavailable or available, and loses a share of its responses.
    Store { is_unavailable: bool, lose_responses: f64 },
    /// The connection between two nodes is cut in both directions.
    Cut { first: usize, second: usize },
    /// All cut connections are restored.
    Heal,
    /// A node restarts.
    Restart { node: usize },
    /// Simulated time passes.
    Wait { seconds: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 1..=NODES;
    prop_oneof![
        4 => (node(), 0..1000u64).prop_map(|(node, value)| Step::Change { node, value }),
        2 => (node(), node(), 0..1000u64)
            .prop_map(|(first, second, value)| Step::ConcurrentChanges { first, second, value }),
        2 => node().prop_map(|node| Step::Resend { node }),
        1 => (any::<bool>(), 0.0..0.6).prop_map(|(is_unavailable, lose_responses)| Step::Store { is_unavailable, lose_responses }),
        1 => (node(), node()).prop_map(|(first, second)| Step::Cut { first, second }),
        1 => Just(Step::Heal),
        1 => node().prop_map(|node| Step::Restart { node }),
        2 => (1..8u64).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

/// Test oracle: the accepted changes, against which the configuration of the nodes is checked.
#[derive(Default)]
struct Oracle {
    /// Ids of the accepted changes by version, from the write log of the store.
    accepted: BTreeMap<u64, String>,
    /// Versions in the successful replies to operators, by change id.
    replies: BTreeMap<String, u64>,
    /// Highest version observed on each node since its restart.
    observed: BTreeMap<String, u64>,
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
        for (change, version) in &self.replies {
            assert_eq!(self.accepted.get(version), Some(change), "an acknowledged change is lost");
        }
        for (node, running) in &fleet.nodes {
            let Some(record) = running.cx.config.get() else { continue };
            let observed = self.observed.entry(node.clone()).or_default();
            assert!(
                record.version >= *observed,
                "{node} went back from version {observed} to {}",
                record.version
            );
            *observed = record.version;
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

struct TestRun {
    fleet: NodeFleet,
    oracle: Oracle,
    last: Option<ConfigChangeRequest>,
    changes: u64,
}

impl TestRun {
    async fn start(seed: u64) -> Self {
        let mut fleet = NodeFleet::new(seed);
        for number in 1..=NODES {
            start_node(&mut fleet, number);
        }
        let joined = fleet.wait_until(Duration::from_secs(20), NodeFleet::has_converged).await;
        assert!(joined.is_some(), "the nodes did not join the fleet");
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
        let result = config_change::apply(&running.cx, &running.store, &req).await;
        self.record_result(&req, result);
        self.last = Some(req);
    }

    fn record_result(
        &mut self,
        req: &ConfigChangeRequest,
        result: Result<guavaladder_lib::generated::config::ConfigChangeReply, ConfigChangeError>,
    ) {
        match result {
            Ok(reply) => drop(self.oracle.replies.insert(req.change_id.clone(), reply.version)),
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
            Step::ConcurrentChanges { first, second, value } => {
                self.concurrent_changes(first, second, value).await
            }
            Step::Resend { node } => {
                if let Some(req) = self.last.clone() {
                    self.send(node, req).await;
                }
            }
            Step::Store { is_unavailable, lose_responses } => {
                let faults =
                    StoreFaults { is_unavailable, lose_responses, ..StoreFaults::default() };
                self.fleet.store.set_faults(faults);
            }
            Step::Cut { first, second } => {
                let address = |node: usize| self.fleet.nodes[&format!("n{node}")].address;
                self.fleet.network.split(&[address(first)], &[address(second)]);
            }
            Step::Heal => self.fleet.network.heal(),
            Step::Restart { node } => {
                self.oracle.observed.remove(&format!("n{node}"));
                start_node(&mut self.fleet, node);
            }
            Step::Wait { seconds } => tokio::time::sleep(Duration::from_secs(seconds)).await,
        }
        self.oracle.check(&self.fleet);
    }

    async fn concurrent_changes(&mut self, first: usize, second: usize, value: u64) {
        let first_request = self.next_request(first, value);
        let mut second_request = self.next_request(second, value + 1);
        second_request.based_on = first_request.based_on;
        let first_node = &self.fleet.nodes[&format!("n{first}")];
        let second_node = &self.fleet.nodes[&format!("n{second}")];
        let (first_result, second_result) = tokio::join!(
            config_change::apply(&first_node.cx, &first_node.store, &first_request),
            config_change::apply(&second_node.cx, &second_node.store, &second_request),
        );
        assert!(
            first_result.is_err() || second_result.is_err(),
            "both concurrent changes were accepted"
        );
        self.record_result(&first_request, first_result);
        self.record_result(&second_request, second_result);
    }

    /// Ends all faults and checks that the last accepted version comes into force on all nodes, and then
    /// a new one.
    async fn finish(&mut self) {
        self.fleet.network.heal();
        self.fleet.store.set_faults(StoreFaults::default());
        tokio::time::sleep(HEAL_TIME).await;
        self.oracle.check(&self.fleet);
        let newest = self.oracle.accepted.keys().last().copied().unwrap_or(0);
        for node in 1..=NODES {
            assert_eq!(
                self.version_at(node),
                newest,
                "n{node} does not have the newest version after the faults ended"
            );
        }
        let req = self.next_request(1, 5000);
        self.send(1, req).await;
        let is_in_force_everywhere = |fleet: &NodeFleet| {
            fleet
                .nodes
                .values()
                .all(|node| node.cx.config.get().is_some_and(|record| record.version == newest + 1))
        };
        let took = self.fleet.wait_until(IN_FORCE_BOUND, is_in_force_everywhere).await;
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

/// Reference state machine, which only counts steps: the oracle takes the expected state from the
/// store's write log.
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

/// A fleet and the runtime that runs it in simulated time.
struct System {
    runtime: tokio::runtime::Runtime,
    run: TestRun,
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
        let run = runtime.block_on(TestRun::start(*seed));
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

/// Returns the configuration of the test; `PROPTEST_CASES` sets the number of cases, 8 by default.
fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    Config { cases: cases.unwrap_or(8), failure_persistence: None, ..Config::default() }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn nodes_agree_with_accepted_versions(sequential 5..25 => ConfigMachine);
}
