//! Stateful fuzz test of group control with several nodes, the store, the operators' configuration and
//! the instances, all in one process with paused time. Instances crash, restart under their id, stop
//! responding, execute orders late or lose their responses. The store becomes unavailable for all nodes
//! or for one, loses responses, compacts its history and returns from an older copy. Nodes crash and restart.

use crate::fleet::spec;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::event_log;
use guavaladder_lib::event_log::RecordedEvent;
use guavaladder_lib::generated::events::Event;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_platform_testutils::StoreMode;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::spawn_instance;
use guavaladder_serving::config_sync;
use guavaladder_serving::group_control::GroupControl;
use guavaladder_serving::instance_list_sync;
use guavaladder_serving::lease_manager::LeaseManager;
use guavaladder_serving::network::Network;
use guavaladder_serving::network::PipeNetwork;
use guavaladder_serving::peer_exchange::HeartbeatHandler;
use guavaladder_serving::replica_health;
use guavaladder_serving::replica_health::SuspicionCause;
use guavaladder_serving::serving_cx::ServingCx;
use guavaladder_serving::serving_settings;
use guavaladder_serving::unproven_instances;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Nodes that compete for the lease.
const NODES: usize = 3;
/// Instances of each of the two domains: two groups and two spares.
const PER_DOMAIN: usize = 8;
/// Complete groups expected once the faults have ended: a large and a small one in each domain.
const COMPLETE_GROUPS: usize = 4;
/// Time after which a crashed instance's entry expires, according to the platform's documentation:
/// three missed heartbeats.
const EXPIRE_AFTER: Duration = Duration::from_secs(3);
/// Time after which entries that expired during a store outage are restored.
const ENTRIES_RESTORED_AFTER: Duration = Duration::from_secs(2);
/// Time after which the operators write the newest configuration again to a store that lacks it.
const CONFIG_RESTORED_AFTER: Duration = Duration::from_millis(500);
/// Age of the reports, according to the platform's documentation of engines.
const REPORT_AGE: Duration = Duration::from_millis(200);
/// Maximum time until a configuration is in force on all nodes.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// Maximum time until all groups are complete after the last fault: a lease expiry, the time for which an
/// unresponsive instance is not assigned to a group, and two loads.
const RECOVERY_BOUND: Duration = Duration::from_secs(30);
/// Interval of the heartbeats between the nodes.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(100);
/// Default number of cases.
const CASES: u32 = 12;
/// Maximum number of events printed when a check fails.
const TRACE_LINES: usize = 100;
/// Start of simulated time, since the Unix epoch.
const UNIX_BASE: Duration = Duration::from_secs(1_800_000_000);

#[derive(Debug, Clone)]
enum Step {
    /// Lets some milliseconds pass.
    Wait(u64),
    /// An instance crashes.
    Crash(usize),
    /// An instance restarts under its id, without its previous state.
    Restart(usize),
    /// An instance does not respond for some milliseconds.
    StopResponding(usize, u64),
    /// An instance executes orders but its responses are lost, for some milliseconds.
    LoseResponses(usize, u64),
    /// An instance executes orders with a delay (first number), for some milliseconds (second number).
    DelayOrders(usize, u64, u64),
    /// An instance announces that it is leaving.
    Drain(usize),
    /// Every n-th instance is partitioned from the store: the entries expire, and are restored after some
    /// milliseconds.
    PartitionFromStore(usize, u64),
    /// The store has a fault mode for all calls for some milliseconds.
    StoreFault(StoreMode, u64),
    /// The store is unavailable for some milliseconds, in which all entries expire.
    StoreOutage(u64),
    /// The store has a fault mode for the calls of one node for some milliseconds.
    NodeStoreFault(usize, StoreMode, u64),
    /// The heartbeats between a node and the others are lost for some milliseconds.
    IsolateNode(usize, u64),
    /// The store compacts its history, so that older watches cannot continue.
    Compact,
    /// The store is copied; some milliseconds later (first number) it is unavailable for some more, and returns
    /// from the copy. Instances and operators write again what they had written.
    RestoreStore(u64, u64),
    /// A node crashes and restarts after some milliseconds.
    RestartNode(usize, u64),
    /// The operators write a new configuration.
    Configure,
}

fn store_mode() -> impl Strategy<Value = StoreMode> {
    prop_oneof![
        Just(StoreMode::Busy),
        Just(StoreMode::Unresponsive),
        Just(StoreMode::LosesResponses),
        Just(StoreMode::AppliesWritesLate),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let instance = || 0..2 * PER_DOMAIN;
    prop_oneof![
        6 => (50..3000u64).prop_map(Step::Wait),
        3 => instance().prop_map(Step::Crash),
        3 => instance().prop_map(Step::Restart),
        2 => (instance(), 200..6000u64).prop_map(|(i, ms)| Step::StopResponding(i, ms)),
        2 => (instance(), 200..3000u64).prop_map(|(i, ms)| Step::LoseResponses(i, ms)),
        3 => (instance(), 100..4000u64, 200..4000u64)
            .prop_map(|(i, late, ms)| Step::DelayOrders(i, late, ms)),
        1 => instance().prop_map(Step::Drain),
        1 => (1..8usize, 500..6000u64).prop_map(|(each, ms)| Step::PartitionFromStore(each, ms)),
        2 => (store_mode(), 200..5000u64).prop_map(|(mode, ms)| Step::StoreFault(mode, ms)),
        1 => (1000..6000u64).prop_map(Step::StoreOutage),
        3 => (0..NODES, store_mode(), 200..6000u64)
            .prop_map(|(node, mode, ms)| Step::NodeStoreFault(node, mode, ms)),
        2 => (0..NODES, 200..5000u64).prop_map(|(node, ms)| Step::IsolateNode(node, ms)),
        1 => Just(Step::Compact),
        1 => (0..6000u64, 0..2000u64).prop_map(|(age, away)| Step::RestoreStore(age, away)),
        2 => (0..NODES, 0..3000u64).prop_map(|(node, ms)| Step::RestartNode(node, ms)),
        1 => Just(Step::Configure),
    ]
}

/// One run of a node: its control tasks, without the request path.
struct Node {
    cx: ServingCx,
    peers: HeartbeatHandler,
    /// Control tasks, which are aborted when the node is dropped.
    _tasks: JoinSet<()>,
    /// Highest configuration version that was in force on the node.
    seen_version: u64,
}

/// A simulated fleet of nodes and instances with its platform.
struct Simulation {
    fake_platform: FakePlatform,
    pipes: PipeNetwork,
    clock: Clock,
    /// Address of the store for each node, so that faults can be limited to one.
    store_addresses: Vec<SocketAddr>,
    nodes: Vec<Option<Node>>,
    version: u64,
    until_heartbeat: Duration,
    /// Whether the heartbeats of each node are lost.
    isolated: Vec<Arc<AtomicBool>>,
    /// Tasks that end the current faults.
    fault_ends: JoinSet<()>,
    /// Nodes to restart, with the time until then.
    restarts: Vec<(usize, Duration)>,
    /// Run of the node that held the lease in each term.
    holders: BTreeMap<u64, (String, u64)>,
}

impl Simulation {
    async fn start() -> Self {
        let pipes = PipeNetwork::new();
        let network = Network::Pipes(pipes.clone());
        let store = FakeStore::start_on(&network).await;
        store.name_era(1);
        store.put("config", "main", configuration(1));
        let mut fake_platform = FakePlatform::new(store);
        fake_platform.network = network.clone();
        fake_platform.report_age = REPORT_AGE;
        fake_platform.load_time = Duration::from_secs(1);
        let mut store_addresses = vec![];
        for _ in 0..NODES {
            store_addresses.push(fake_platform.store.serve_at_new_address(&network).await);
        }
        for instance in 0..2 * PER_DOMAIN {
            spawn_instance(&fake_platform, instance_spec(instance)).await;
        }
        let mut simulation = Self {
            fake_platform,
            pipes,
            clock: Clock::with_tokio_time(UNIX_BASE),
            store_addresses,
            nodes: vec![],
            version: 1,
            until_heartbeat: HEARTBEAT_PERIOD,
            isolated: (0..NODES).map(|_| Arc::default()).collect(),
            fault_ends: JoinSet::new(),
            restarts: vec![],
            holders: BTreeMap::new(),
        };
        for node in 0..NODES {
            let started = simulation.start_node(node);
            simulation.nodes.push(Some(started));
        }
        simulation
    }

    fn start_node(&self, node: usize) -> Node {
        let settings = json!({
            "node": format!("n{node}"), "data_centre": "east", "peer_port": 7004,
            "store": self.store_addresses[node].to_string(),
            "listen": {
                "callers": "127.0.0.1:7001", "readiness": "127.0.0.1:7002",
                "directory": "127.0.0.1:7003",
            },
        });
        let settings = serving_settings::parse(&settings.to_string()).expect("valid settings");
        let clock = self.clock.clone();
        let network = Network::Pipes(self.pipes.clone());
        let cx = ServingCx::new(settings, Arc::new(PlatformDialect::new()), clock, network);
        let mut tasks = JoinSet::new();
        let (deltas, mut delta_receiver) = mpsc::channel(1);
        tasks.spawn(config_sync::run(cx.clone()));
        tasks.spawn(instance_list_sync::run(cx.clone(), deltas));
        tasks.spawn(instance_list_sync::expire(cx.clone()));
        tasks.spawn(LeaseManager::new(cx.clone()).run());
        tasks.spawn(GroupControl::new(cx.clone()).run());
        tasks.spawn(unproven_instances::run(cx.clone()));
        tasks.spawn(async move { while delta_receiver.recv().await.is_some() {} });
        let registered: Vec<(String, IpAddr)> =
            (0..NODES).map(|node| (format!("n{node}"), node_ip(node))).collect();
        cx.nodes.set_registered(&registered);
        Node { peers: HeartbeatHandler::new(cx.clone()), cx, _tasks: tasks, seen_version: 0 }
    }

    async fn step(&mut self, step: &Step) {
        let fake_platform = self.fake_platform.clone();
        match step.clone() {
            Step::Wait(ms) => self.wait(Duration::from_millis(ms)).await,
            Step::Crash(instance) => {
                fake_platform.kill(&id(instance));
                self.fault_ends.spawn(async move {
                    sleep(EXPIRE_AFTER).await;
                    if !fake_platform.is_up(&id(instance)) {
                        fake_platform.expire_entry(&id(instance));
                    }
                });
            }
            Step::Restart(instance) => {
                spawn_instance(&fake_platform, instance_spec(instance)).await
            }
            Step::StopResponding(instance, ms) => {
                self.set_mode_for(instance, InstanceMode::Unresponsive, ms);
            }
            Step::LoseResponses(instance, ms) => {
                self.set_mode_for(instance, InstanceMode::LosesResponses, ms);
            }
            Step::DelayOrders(instance, late, ms) => {
                fake_platform.delay_orders(&id(instance), Duration::from_millis(late));
                self.fault_ends.spawn(async move {
                    sleep(Duration::from_millis(ms)).await;
                    fake_platform.delay_orders(&id(instance), Duration::ZERO);
                });
            }
            Step::PartitionFromStore(each, ms) => {
                let partitioned = (0..2 * PER_DOMAIN).filter(move |instance| instance % each == 0);
                for instance in partitioned.clone() {
                    fake_platform.set_partitioned(&id(instance), true);
                    fake_platform.expire_entry(&id(instance));
                }
                self.fault_ends.spawn(async move {
                    sleep(Duration::from_millis(ms)).await;
                    for instance in partitioned {
                        fake_platform.set_partitioned(&id(instance), false);
                        fake_platform.register(&id(instance));
                    }
                });
            }
            Step::Drain(instance) => {
                fake_platform.drain(&id(instance));
                self.fault_ends.spawn(async move {
                    sleep(EXPIRE_AFTER).await;
                    spawn_instance(&fake_platform, instance_spec(instance)).await;
                });
            }
            Step::StoreFault(mode, ms) => {
                fake_platform.store.set_mode(mode);
                self.fault_ends.spawn(async move {
                    sleep(Duration::from_millis(ms)).await;
                    fake_platform.store.set_mode(StoreMode::Up);
                });
            }
            Step::StoreOutage(ms) => {
                fake_platform.store.set_mode(StoreMode::Unresponsive);
                self.fault_ends.spawn(async move {
                    sleep(Duration::from_millis(ms)).await;
                    for instance in 0..2 * PER_DOMAIN {
                        fake_platform.expire_entry(&id(instance));
                    }
                    fake_platform.store.set_mode(StoreMode::Up);
                    sleep(ENTRIES_RESTORED_AFTER).await;
                    for instance in 0..2 * PER_DOMAIN {
                        fake_platform.register(&id(instance));
                    }
                });
            }
            Step::NodeStoreFault(node, mode, ms) => {
                let address = self.store_addresses[node];
                fake_platform.store.set_mode_at(address, mode);
                self.fault_ends.spawn(async move {
                    sleep(Duration::from_millis(ms)).await;
                    fake_platform.store.set_mode_at(address, StoreMode::Up);
                });
            }
            Step::IsolateNode(node, ms) => {
                let is_isolated = self.isolated[node].clone();
                is_isolated.store(true, Ordering::Relaxed);
                self.fault_ends.spawn(async move {
                    sleep(Duration::from_millis(ms)).await;
                    is_isolated.store(false, Ordering::Relaxed);
                });
            }
            Step::Compact => fake_platform.store.compact(),
            Step::RestoreStore(age_ms, away_ms) => {
                let store = fake_platform.store.clone();
                let copy = store.copy();
                self.fault_ends.spawn(async move {
                    sleep(Duration::from_millis(age_ms)).await;
                    store.set_mode(StoreMode::Unresponsive);
                    sleep(Duration::from_millis(away_ms)).await;
                    let newest = store.get("config", "main").expect("a configuration");
                    store.restore(copy);
                    store.set_mode(StoreMode::Up);
                    sleep(CONFIG_RESTORED_AFTER).await;
                    let is_older =
                        |found: &Value| found["version"].as_u64() < newest["version"].as_u64();
                    if store.get("config", "main").as_ref().is_none_or(is_older) {
                        store.put("config", "main", newest);
                    }
                    sleep(ENTRIES_RESTORED_AFTER - CONFIG_RESTORED_AFTER).await;
                    fake_platform.register_all();
                    sleep(EXPIRE_AFTER - ENTRIES_RESTORED_AFTER).await;
                    fake_platform.expire_ended();
                });
            }
            Step::RestartNode(node, ms) => {
                self.nodes[node] = None;
                self.restarts.push((node, Duration::from_millis(ms)));
            }
            Step::Configure => self.configure(),
        }
        self.check();
    }

    fn set_mode_for(&mut self, instance: usize, mode: InstanceMode, ms: u64) {
        let fake_platform = self.fake_platform.clone();
        if !fake_platform.is_up(&id(instance)) {
            return;
        }
        fake_platform.set_mode(&id(instance), mode);
        self.fault_ends.spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            if fake_platform.is_up(&id(instance)) {
                fake_platform.set_mode(&id(instance), InstanceMode::Up);
                fake_platform.register(&id(instance));
            }
        });
    }

    fn configure(&mut self) {
        self.version += 1;
        self.fake_platform.store.put("config", "main", configuration(self.version));
    }

    /// Lets time pass, with heartbeats and due restarts, and checks the invariants at short intervals.
    async fn wait(&mut self, time: Duration) {
        const CHECK_PERIOD: Duration = Duration::from_millis(20);
        let mut left = time;
        while !left.is_zero() {
            let part = left.min(CHECK_PERIOD);
            sleep(part).await;
            left -= part;
            for (_, wait) in &mut self.restarts {
                *wait = wait.saturating_sub(part);
            }
            let due: Vec<usize> =
                self.restarts.iter().filter(|(_, wait)| wait.is_zero()).map(|(n, _)| *n).collect();
            self.restarts.retain(|(_, wait)| !wait.is_zero());
            for node in due {
                self.nodes[node] = Some(self.start_node(node));
            }
            self.until_heartbeat = self.until_heartbeat.saturating_sub(part);
            if self.until_heartbeat.is_zero() {
                self.until_heartbeat = HEARTBEAT_PERIOD;
                self.exchange_heartbeats();
            }
            self.check();
        }
    }

    /// Delivers each node's heartbeat to the other nodes, except for isolated nodes.
    fn exchange_heartbeats(&self) {
        let is_isolated = |node: usize| self.isolated[node].load(Ordering::Relaxed);
        for (from, sender) in self.nodes.iter().enumerate() {
            let Some(sender) = sender.as_ref().filter(|_| !is_isolated(from)) else { continue };
            let era = sender.peers.next_era_news();
            let heartbeat = sender.peers.next_heartbeat();
            for (to, receiver) in self.nodes.iter().enumerate() {
                if let Some(receiver) = receiver.as_ref().filter(|_| to != from && !is_isolated(to))
                {
                    era.iter().for_each(|news| receiver.cx.nodes.record_era(news));
                    receiver.peers.apply_heartbeat(node_ip(from), heartbeat.clone());
                }
            }
        }
    }

    /// Checks the invariants that must hold at any time.
    fn check(&mut self) {
        let violations = self.fake_platform.violations();
        assert_eq!(violations, vec![], "{}", self.event_trace());
        let running = || self.nodes.iter().flatten();
        let holders: Vec<&str> =
            running().filter(|node| node.cx.lease.term().is_some()).map(|n| n.cx.node()).collect();
        assert!(holders.len() <= 1, "several nodes hold the lease: {holders:?}");
        let held = running().find_map(|node| {
            let run = (node.cx.node().to_string(), node.cx.incarnation);
            node.cx.lease.term().map(|term| (term, run))
        });
        if let Some((term, run)) = held {
            let (highest, first) = (self.holders.keys().next_back().copied(), &run);
            assert!(highest.is_none_or(|highest| term >= highest), "term {term} after {highest:?}");
            let known = self.holders.entry(term).or_insert_with(|| first.clone());
            assert_eq!(*known, run, "two nodes held the lease in term {term}");
        }
        for node in self.nodes.iter_mut().flatten() {
            let version = node.cx.config.version().unwrap_or(0);
            assert!(
                version >= node.seen_version,
                "node {} went back to configuration version {version}",
                node.cx.node()
            );
            node.seen_version = version;
        }
    }

    /// Returns the latest events of all nodes in order of time.
    fn event_trace(&self) -> String {
        let node_events = |node: &Node| {
            let name = node.cx.node().to_string();
            let events = node.cx.log.events().recent();
            events
                .into_iter()
                .map(move |event| (event.unix, name.clone(), event_log::render(&event.event)))
        };
        let mut lines: Vec<_> = self.nodes.iter().flatten().flat_map(node_events).collect();
        lines.sort();
        let last = lines.len().saturating_sub(TRACE_LINES);
        lines[last..].iter().map(|(at, node, line)| format!("{at:?} {node} {line}\n")).collect()
    }

    /// Waits for the end of all faults. Then a new configuration must come into force and all groups must
    /// be complete again.
    async fn finish(&mut self) {
        let mut waited = Duration::ZERO;
        while !(self.fault_ends.is_empty() && self.restarts.is_empty()) {
            self.wait(Duration::from_millis(100)).await;
            while self.fault_ends.try_join_next().is_some() {}
            waited += Duration::from_millis(100);
            assert!(waited < Duration::from_secs(60), "a fault did not end");
        }
        for instance in 0..2 * PER_DOMAIN {
            if !self.fake_platform.is_up(&id(instance)) {
                spawn_instance(&self.fake_platform, instance_spec(instance)).await;
            }
        }
        self.configure();
        self.wait(IN_FORCE_BOUND).await;
        for node in self.nodes.iter().flatten() {
            let (name, trace) = (node.cx.node(), self.event_trace());
            assert_eq!(
                node.cx.config.version(),
                Some(self.version),
                "configuration in force at {name}: {trace}"
            );
        }
        let mut waited = IN_FORCE_BOUND;
        while self.fake_platform.complete_groups().len() < COMPLETE_GROUPS {
            assert!(
                waited < RECOVERY_BOUND,
                "complete groups: {:?}",
                self.fake_platform.complete_groups()
            );
            self.wait(Duration::from_millis(100)).await;
            waited += Duration::from_millis(100);
        }
    }
}

fn node_ip(node: usize) -> IpAddr {
    IpAddr::from([10, 1, 0, node as u8])
}

fn id(instance: usize) -> String {
    format!("i-{instance:02}")
}

fn instance_spec(instance: usize) -> guavaladder_platform_testutils::InstanceSpec {
    spec(&id(instance), "drafting", Some(&format!("d{}", instance / PER_DOMAIN)))
}

/// Returns a configuration with a large and a small model, at a version.
fn configuration(version: u64) -> Value {
    let mut written = config(version);
    let model = |name: &str, size: u64, share: f64| {
        json!({
            "name": name, "size": size, "share": share, "pace": 1.0, "loadS": 1.0, "warmS": 0.1,
        })
    };
    written["services"][0]["engine"]["models"] =
        json!([model("large", 4, 0.67), model("small", 2, 0.33)]);
    written
}

/// The fakes and `Simulation::check` verify the invariants, so the reference only counts steps.
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        Just(0).boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: usize, _: &Step) -> usize {
        state + 1
    }
}

/// A simulation with the runtime that provides its paused time.
struct System {
    runtime: tokio::runtime::Runtime,
    simulation: Simulation,
}

struct GroupMachine;

impl StateMachineTest for GroupMachine {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &usize) -> System {
        let runtime = paused_runtime();
        let simulation = runtime.block_on(async {
            let mut simulation = Simulation::start().await;
            simulation.wait(Duration::from_secs(6)).await;
            simulation
        });
        System { runtime, simulation }
    }

    fn apply(mut system: System, _: &usize, step: Step) -> System {
        system.runtime.block_on(system.simulation.step(&step));
        system
    }

    fn teardown(mut system: System, _: usize) {
        system.runtime.block_on(system.simulation.finish());
    }
}

fn paused_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime")
}

/// Returns the proptest settings, with the number of cases from `PROPTEST_CASES` if that is set.
fn fuzz_config() -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    Config { cases: cases.unwrap_or(CASES), failure_persistence: None, ..Config::default() }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn groups_survive_faults(sequential 5..25 => GroupMachine);
}

/// Replays the steps of a case that failed before.
fn replay(steps: &[Step]) {
    let mut system = GroupMachine::init_test(&0);
    for step in steps {
        system = GroupMachine::apply(system, &0, step.clone());
    }
    GroupMachine::teardown(system, 0);
}

/// A new lease holder reads the list while entries are missing, and sees members in a group that they
/// have left since. An order to leave that group is already in effect, so no order is sent, and the
/// report shows the newer group, which is open. Guards against treating these members as free.
#[test]
fn member_of_a_newer_group_is_not_treated_as_free() {
    replay(&[Step::Wait(1768), Step::Drain(8), Step::Crash(0), Step::StoreOutage(3000)]);
}

/// The head of an assembled group opens and stops responding before it reports so. Its members have
/// accepted orders of this lease holder, and must not count as free before they have left.
#[test]
fn members_of_a_head_that_may_be_open_leave_before_they_join_elsewhere() {
    replay(&[
        Step::StoreOutage(5266),
        Step::Restart(10),
        Step::Wait(87),
        Step::Crash(15),
        Step::IsolateNode(0, 4226),
        Step::StoreFault(StoreMode::Busy, 4244),
        Step::Wait(2053),
        Step::Drain(4),
        Step::RestartNode(1, 2237),
        Step::Wait(2961),
        Step::IsolateNode(2, 2772),
        Step::Compact,
        Step::StopResponding(11, 4588),
        Step::Drain(12),
        Step::Restart(7),
        Step::StopResponding(8, 5932),
    ]);
}

/// After some losses the free instances of a domain hold weights of a model whose group is complete.
/// They must be staged for the missing group of the other model.
#[test]
fn free_instances_with_other_weights_form_a_missing_group() {
    replay(&[
        Step::RestartNode(0, 1581),
        Step::Wait(1601),
        Step::Crash(6),
        Step::Drain(0),
        Step::Crash(2),
        Step::Crash(3),
        Step::Wait(1000),
        Step::RestartNode(1, 1881),
    ]);
}

/// The store accepts the watches of all nodes and loses them, while no other call is made. Guards against
/// nodes that keep an old configuration because they do not notice.
#[test]
fn new_configuration_is_seen_after_all_watches_were_lost() {
    replay(&[Step::Wait(700), Step::Configure, Step::StoreFault(StoreMode::Unresponsive, 100)]);
}

/// Members of three of the four groups are partitioned from the store, and none of the heads is. The
/// groups must continue to serve.
#[test]
fn groups_with_members_partitioned_from_the_store_continue_to_serve() {
    let mut system = GroupMachine::init_test(&0);
    let before = system.simulation.fake_platform.complete_groups();
    system = GroupMachine::apply(system, &0, Step::PartitionFromStore(5, 5000));
    system = GroupMachine::apply(system, &0, Step::Wait(4000));
    let heads: Vec<&String> = before.iter().map(|(_, members)| &members[0]).collect();
    let is_kept = |(_, members): &&(String, Vec<String>)| {
        !["i-00", "i-05", "i-10", "i-15"].contains(&members[0].as_str())
    };
    let kept = before.iter().filter(is_kept).count();
    let after = system.simulation.fake_platform.complete_groups();
    let still = after.iter().filter(|group| before.contains(group)).count();
    assert!(still >= kept && kept >= 2, "heads before: {heads:?}, groups after: {after:?}");
    GroupMachine::teardown(system, 0);
}

/// All nodes crash at once, so the instances' reports are the only state. Their groups must continue.
#[test]
fn groups_survive_a_crash_of_all_nodes() {
    let mut system = GroupMachine::init_test(&0);
    let before = system.simulation.fake_platform.complete_groups();
    for node in 0..NODES {
        system = GroupMachine::apply(system, &0, Step::RestartNode(node, 1000));
    }
    system = GroupMachine::apply(system, &0, Step::Wait(8000));
    assert_eq!(system.simulation.fake_platform.complete_groups(), before);
    GroupMachine::teardown(system, 0);
}

/// The store loses the lease holder's watch on the instances, so their entries stay old for longer than
/// the holder used to keep the reported status. Guards against assigning members of a new group again.
#[test]
fn members_are_not_taken_from_a_new_group_while_their_entries_are_old() {
    replay(&[
        Step::Wait(1084),
        Step::Crash(9),
        Step::Restart(6),
        Step::Wait(417),
        Step::Drain(2),
        Step::StoreFault(StoreMode::Unresponsive, 200),
        Step::Wait(50),
    ]);
}

/// Requests fail at groups that have just opened, while the heads' reports are older than the opening.
/// All members are in the group, so it must not be found down.
#[test]
fn group_that_has_just_opened_is_not_down() {
    let runtime = paused_runtime();
    runtime.block_on(async {
        let mut simulation = Simulation::start().await;
        let cx = simulation.nodes[1].as_ref().expect("a node").cx.clone();
        while cx.fleet.replicas().of_service("drafting").is_empty() {
            simulation.wait(Duration::from_millis(20)).await;
        }
        for replica in cx.fleet.replicas().of_service("drafting") {
            let cause = SuspicionCause::Failed("connection reset".to_string());
            replica_health::suspect(&cx, replica, cause);
        }
        simulation.wait(Duration::from_secs(1)).await;
        let events = cx.log.events().recent();
        let is_down = |event: &&RecordedEvent| matches!(event.event, Event::ReplicaDown { .. });
        assert_eq!(events.iter().filter(is_down).count(), 0, "{}", simulation.event_trace());
        assert_eq!(simulation.fake_platform.complete_groups().len(), COMPLETE_GROUPS);
    });
}

/// The store returns without the lease, the groups and the newest configuration, twice. Groups serve on, and
/// no term is used again.
#[test]
fn groups_survive_returns_of_the_store_from_older_copies() {
    let mut system = GroupMachine::init_test(&0);
    let before = system.simulation.fake_platform.complete_groups();
    for step in [
        Step::RestoreStore(1500, 300),
        Step::Configure,
        Step::Wait(4000),
        Step::RestoreStore(0, 800),
        Step::Wait(6000),
    ] {
        system = GroupMachine::apply(system, &0, step);
    }
    assert_eq!(system.simulation.fake_platform.complete_groups(), before);
    GroupMachine::teardown(system, 0);
}

/// Members of a group end while the store is about to return from a copy that does not know of the new groups.
#[test]
fn groups_of_before_the_return_of_the_store_are_not_taken_apart() {
    replay(&[
        Step::RestoreStore(3000, 500),
        Step::Crash(0),
        Step::Wait(1500),
        Step::Drain(9),
        Step::Wait(2500),
        Step::Restart(0),
        Step::Wait(500),
    ]);
}

/// All nodes restart while the store returns: the instances and the store's era are all that remains.
#[test]
fn terms_rise_when_all_nodes_restart_during_the_return_of_the_store() {
    let mut system = GroupMachine::init_test(&0);
    let before = system.simulation.fake_platform.complete_groups();
    system = GroupMachine::apply(system, &0, Step::RestoreStore(2000, 700));
    system = GroupMachine::apply(system, &0, Step::Wait(2200));
    for node in 0..NODES {
        system = GroupMachine::apply(system, &0, Step::RestartNode(node, 600));
    }
    system = GroupMachine::apply(system, &0, Step::Wait(9000));
    assert_eq!(system.simulation.fake_platform.complete_groups(), before);
    GroupMachine::teardown(system, 0);
}

/// The holder of the lease does not notice that the store has returned, and another node acquires the lease.
#[test]
fn holder_that_does_not_notice_the_return_of_the_store_is_waited_for() {
    for node in 0..NODES {
        replay(&[
            Step::NodeStoreFault(node, StoreMode::Unresponsive, 4000),
            Step::IsolateNode(node, 4000),
            Step::RestoreStore(0, 0),
            Step::Crash(1),
            Step::Wait(5000),
            Step::Restart(1),
        ]);
    }
}
