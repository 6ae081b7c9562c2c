//! State machine fuzzing of domain owners, the store and the engines under injected faults. The
//! invariants are checked against the state of the fake engines.
//!
//! To run more cases with another seed: `PROPTEST_RNG_SEED=7 PROPTEST_CASES=200 cargo test -p
//! guavaladder-lib --test runner test_groups_fuzz`.

use guavaladder_lib::engine::Engine;
use guavaladder_lib::generated::config::FleetConfig;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::groups::DomainRecord;
use guavaladder_lib::generated::groups::GroupRecord;
use guavaladder_lib::generated::groups::GroupState;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_lib::platform::InstanceList;
use guavaladder_testutils::control_fleet::ControlFleet;
use guavaladder_testutils::control_fleet::bare_config;
use guavaladder_testutils::control_fleet::engine_address;
use guavaladder_testutils::control_fleet::with_service;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::fake_store::StoreFaults;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::runtime::Runtime;

const DOMAINS: [&str; 2] = ["d1", "d2"];
const DOMAIN_SIZE: usize = 7;
const NODES: [&str; 3] = ["n1", "n2", "n3"];
const GROUP_SIZE: u32 = 3;
/// Number of groups that fit: two in each domain.
const GROUPS: u32 = 4;
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Age up to which a router may still use a record.
const MAX_ROUTER_LAG: Duration = Duration::from_secs(3);
/// Longest time for which an order is in flight, plus one check period.
const MAX_ORDER_TIME: Duration = Duration::from_millis(2500);
/// Time after the end of all faults within which every wanted group must serve: two leases with
/// their margins, the flapping window and the loading of weights.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(16 * 60);

#[derive(Debug, Clone)]
enum Step {
    Kill(usize, usize),
    Revive(usize, usize),
    Pause(usize, usize),
    Resume(usize, usize),
    DelayOrders(usize, usize, u64),
    Leave(usize, usize),
    KillDomain(usize),
    ReviveDomain(usize),
    KillNode(usize),
    StartNode(usize),
    PauseNode(usize),
    ResumeNode(usize),
    StoreUnavailable,
    StoreUnresponsive,
    StoreLosesResponses,
    StoreReordersWatches,
    StoreHealthy,
    NewVersion,
    Replicas(u32),
    Wait(u64),
}

fn instance() -> impl Strategy<Value = (usize, usize)> {
    (0..DOMAINS.len(), 0..DOMAIN_SIZE)
}

fn step() -> BoxedStrategy<Step> {
    let node = 0..NODES.len();
    prop_oneof![
        3 => instance().prop_map(|(d, i)| Step::Kill(d, i)),
        3 => instance().prop_map(|(d, i)| Step::Revive(d, i)),
        2 => instance().prop_map(|(d, i)| Step::Pause(d, i)),
        3 => instance().prop_map(|(d, i)| Step::Resume(d, i)),
        2 => (instance(), 100u64..5000).prop_map(|((d, i), ms)| Step::DelayOrders(d, i, ms)),
        1 => instance().prop_map(|(d, i)| Step::Leave(d, i)),
        1 => (0..DOMAINS.len()).prop_map(Step::KillDomain),
        1 => (0..DOMAINS.len()).prop_map(Step::ReviveDomain),
        2 => node.clone().prop_map(Step::KillNode),
        2 => node.clone().prop_map(Step::StartNode),
        2 => node.clone().prop_map(Step::PauseNode),
        2 => node.prop_map(Step::ResumeNode),
        2 => Just(Step::StoreUnavailable),
        1 => Just(Step::StoreUnresponsive),
        2 => Just(Step::StoreLosesResponses),
        1 => Just(Step::StoreReordersWatches),
        3 => Just(Step::StoreHealthy),
        1 => Just(Step::NewVersion),
        1 => (1u32..=GROUPS).prop_map(Step::Replicas),
        8 => (1u64..40).prop_map(Step::Wait),
    ]
    .boxed()
}

struct Faults;

impl ReferenceStateMachine for Faults {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step()
    }

    fn apply((): (), _: &Step) {}
}

struct Sut {
    runtime: Runtime,
    fleet: ControlFleet,
    config: FleetConfig,
    checks_fencing: bool,
    /// Serving groups that routers may still know, oldest first.
    router_records: VecDeque<(Duration, Vec<GroupRecord>)>,
    /// Epochs of the domains over time, oldest first.
    epochs: VecDeque<(Duration, BTreeMap<String, u64>)>,
    assignments: BTreeMap<String, String>,
    requests: u64,
}

impl Sut {
    fn new(checks_fencing: bool) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let config = with_service(bare_config(checks_fencing), "draft", GROUPS, GROUP_SIZE);
        let fleet = runtime.block_on(async {
            let mut fleet = ControlFleet::new();
            let options = EngineOptions::new().with_fencing(checks_fencing);
            for domain in DOMAINS {
                fleet.add_domain(domain, "dc1", DOMAIN_SIZE, &options);
            }
            fleet.configure(&config);
            NODES.iter().for_each(|node| fleet.start_node(node, "dc1"));
            fleet.wait_serving("draft", GROUPS as usize, Duration::from_secs(60)).await;
            fleet
        });
        Self {
            runtime,
            fleet,
            config,
            checks_fencing,
            router_records: VecDeque::new(),
            epochs: VecDeque::new(),
            assignments: BTreeMap::new(),
            requests: 0,
        }
    }

    fn set_store(&self, faults: StoreFaults) {
        self.fleet.store.set_faults(faults);
    }

    fn wait(&mut self, time: Duration) {
        let mut remaining = time;
        while !remaining.is_zero() {
            self.runtime.block_on(async { tokio::time::sleep(CHECK_PERIOD).await });
            self.send_requests();
            self.check();
            remaining = remaining.saturating_sub(CHECK_PERIOD);
        }
    }

    /// Sends a request to each group that a router may still consider as serving.
    fn send_requests(&mut self) {
        let now = self.fleet.clock.now();
        let serving = self.fleet.serving("draft");
        self.router_records.push_back((now, serving));
        while self.router_records.front().is_some_and(|(at, _)| *at + MAX_ROUTER_LAG < now) {
            self.router_records.pop_front();
        }
        // Routers learn about leaving instances from the instance list, independently of the
        // records.
        let leaving = self.leaving();
        let is_routable =
            |g: &GroupRecord| g.members.iter().all(|m| !leaving.contains(&m.instance));
        let groups: Vec<GroupRecord> = [self.router_records.front(), self.router_records.back()]
            .into_iter()
            .flatten()
            .flat_map(|(_, groups)| groups.clone())
            .filter(is_routable)
            .collect();
        for group in groups {
            self.requests += 1;
            let req = GenerateRequest {
                request: format!("r{}", self.requests),
                attempt: self.requests,
                group: group.group.clone(),
                epoch: group.epoch,
                prompt: "soot".to_string(),
                max_tokens: 1,
                priority: Priority::Normal,
                adapter: group.adapter.clone(),
                offset: 0,
                emitted: vec![],
                idempotency_key: None,
            };
            let fake_instances = self.fleet.fake_instances.clone();
            let address = group.members[0].address.clone();
            self.runtime.spawn(async move {
                let call = fake_instances.generate(&address, &req);
                let _ = tokio::time::timeout(CHECK_PERIOD, call).await;
            });
        }
    }

    fn leaving(&self) -> BTreeSet<String> {
        let listed =
            self.runtime.block_on(self.fleet.fake_instances.instances()).unwrap_or_default();
        let leaving = listed.into_iter().filter(|info| info.state == InstanceState::Leaving);
        leaving.map(|info| info.instance).collect()
    }

    fn check(&mut self) {
        let violations = self.fleet.fake_instances.violations();
        let rendered: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert!(rendered.is_empty(), "violations: {rendered:?}\n{}", self.describe(0, 0));
        let records = self.fleet.records();
        check_disjoint(&records);
        self.check_superseded(&records);
    }

    /// Checks that no instance accepted an order with an epoch that was superseded for longer than
    /// an order may be in flight.
    fn check_superseded(&mut self, records: &[DomainRecord]) {
        let now = self.fleet.clock.now();
        let epochs = records.iter().map(|r| (r.domain.clone(), r.epoch)).collect();
        self.epochs.push_back((now, epochs));
        while self.epochs.get(1).is_some_and(|(at, _)| *at + MAX_ORDER_TIME <= now) {
            self.epochs.pop_front();
        }
        // The current owner may complete a group that an earlier owner recorded, so an assignment
        // to a recorded group is valid whichever owner's order made it.
        let groups = || records.iter().flat_map(|record| &record.groups);
        let recorded: BTreeSet<&String> = groups().map(|group| &group.group).collect();
        let Some((at, old)) = self.epochs.front() else { return };
        let has_full_window = *at + MAX_ORDER_TIME <= now;
        for info in self.fleet.fake_instances.all_instances() {
            let status = self.fleet.fake_instances.peek_status(&info.address).unwrap();
            let key = status.assignment.as_ref().map(|a| format!("{a:?}")).unwrap_or_default();
            let is_recorded =
                status.assignment.as_ref().is_some_and(|held| recorded.contains(&held.group));
            let is_same = self.assignments.get(&info.instance) == Some(&key);
            let epoch = status.assignment.map_or(u64::MAX, |held| held.epoch);
            let superseded = old.get(&info.domain).is_some_and(|current| epoch < *current);
            // Engines that check fencing numbers reject orders of superseded owners themselves.
            let is_violation =
                has_full_window && !is_same && !is_recorded && superseded && !self.checks_fencing;
            assert!(
                !is_violation,
                "{} accepted an order of superseded epoch {epoch}: {key}",
                info.instance
            );
            self.assignments.insert(info.instance, key);
        }
    }

    fn start_all_nodes(&mut self) {
        for node in NODES {
            match self.fleet.nodes.contains_key(node) {
                true => self.fleet.resume_node(node),
                false => {
                    self.fleet.start_node(node, "dc1");
                }
            }
        }
    }

    fn recover(&mut self) {
        // The clock reads the runtime's paused time only within its context.
        let handle = self.runtime.handle().clone();
        let _guard = handle.enter();
        self.set_store(StoreFaults::default());
        self.start_all_nodes();
        for domain in DOMAINS {
            for index in 0..DOMAIN_SIZE {
                let address = engine_address(domain, index);
                self.fleet.fake_instances.resume(&address);
                self.fleet.fake_instances.delay_orders(&address, Duration::ZERO);
                self.fleet.fake_instances.revive(&address);
            }
        }
        let wanted = self.config.services["draft"].replicas as usize;
        let version = self.config.services["draft"].version.clone();
        let start = self.fleet.clock.now();
        loop {
            self.wait(Duration::from_secs(5));
            let serving = self.fleet.serving("draft");
            let current = serving.iter().filter(|group| group.version == version).count();
            if current == wanted && serving.len() == wanted {
                return;
            }
            let took = self.fleet.clock.now() - start;
            assert!(took < RECOVERY_TIMEOUT, "{}", self.describe(current, wanted));
        }
    }

    fn describe(&self, current: usize, wanted: usize) -> String {
        let statuses: Vec<String> = self
            .fleet
            .fake_instances
            .all_instances()
            .iter()
            .filter_map(|info| self.fleet.fake_instances.peek_status(&info.address))
            .map(|s| {
                let group = s.assignment.map(|a| (a.group, a.epoch, a.shard, a.version));
                format!("{} {} {group:?}", s.instance, s.state.name())
            })
            .collect();
        let mut events: Vec<String> = vec![];
        for node in self.fleet.nodes.values() {
            let recent = node.cx.events.recent();
            events.extend(recent.iter().rev().take(25).map(|e| {
                let text = guavaladder_lib::event_log::render(&e.event);
                format!("{} {} {text}", e.unix.as_millis(), node.cx.node())
            }));
        }
        events.sort();
        let records = self.fleet.records();
        format!(
            "{current} of {wanted} serve\n{}\n{records:#?}\n{}",
            statuses.join("\n"),
            events.join("\n")
        )
    }

    fn apply(&mut self, step: Step) {
        // The clock reads the runtime's paused time only within its context.
        let handle = self.runtime.handle().clone();
        let _guard = handle.enter();
        let address = |d: usize, i: usize| engine_address(DOMAINS[d], i);
        let fake_instances = self.fleet.fake_instances.clone();
        match step {
            Step::Kill(d, i) => fake_instances.kill(&address(d, i)),
            Step::Revive(d, i) => fake_instances.revive(&address(d, i)),
            Step::Pause(d, i) => fake_instances.pause(&address(d, i)),
            Step::Resume(d, i) => fake_instances.resume(&address(d, i)),
            Step::DelayOrders(d, i, ms) => {
                fake_instances.delay_orders(&address(d, i), Duration::from_millis(ms));
            }
            Step::Leave(d, i) => fake_instances.set_leaving(&address(d, i)),
            Step::KillDomain(d) => fake_instances.kill_domain(DOMAINS[d]),
            Step::ReviveDomain(d) => fake_instances.revive_domain(DOMAINS[d]),
            Step::KillNode(n) => self.fleet.kill_node(NODES[n]),
            Step::StartNode(n) if !self.fleet.nodes.contains_key(NODES[n]) => {
                self.fleet.start_node(NODES[n], "dc1");
            }
            Step::StartNode(_) => {}
            Step::PauseNode(n) => self.fleet.pause_node(NODES[n]),
            Step::ResumeNode(n) => self.fleet.resume_node(NODES[n]),
            Step::StoreUnavailable => {
                self.set_store(StoreFaults { is_unavailable: true, ..StoreFaults::default() })
            }
            Step::StoreUnresponsive => {
                self.set_store(StoreFaults { is_unresponsive: true, ..StoreFaults::default() });
            }
            Step::StoreLosesResponses => {
                self.set_store(StoreFaults { lose_responses: 0.5, ..StoreFaults::default() });
            }
            Step::StoreReordersWatches => {
                self.set_store(StoreFaults { reorder_watches: true, ..StoreFaults::default() });
            }
            Step::StoreHealthy => self.set_store(StoreFaults::default()),
            Step::NewVersion => {
                let service = self.config.services.get_mut("draft").unwrap();
                service.version = format!("{}x", service.version);
                self.fleet.configure(&self.config);
            }
            Step::Replicas(replicas) => {
                self.config.services.get_mut("draft").unwrap().replicas = replicas;
                self.fleet.configure(&self.config);
            }
            Step::Wait(seconds) => self.wait(Duration::from_secs(seconds)),
        }
        self.wait(Duration::from_secs(1));
    }
}

/// Checks that no instance is a member of two groups in the store.
fn check_disjoint(records: &[DomainRecord]) {
    let mut seen = BTreeSet::new();
    for group in records.iter().flat_map(|record| &record.groups) {
        if matches!(group.state, GroupState::Released) {
            continue;
        }
        for member in &group.members {
            assert!(seen.insert(&member.instance), "{} is in two groups", member.instance);
        }
    }
}

struct Fenced;

struct Unfenced;

impl StateMachineTest for Fenced {
    type SystemUnderTest = Sut;
    type Reference = Faults;

    fn init_test((): &()) -> Sut {
        Sut::new(true)
    }

    fn apply(mut sut: Sut, (): &(), step: Step) -> Sut {
        sut.apply(step);
        sut
    }

    fn teardown(mut sut: Sut, (): ()) {
        sut.recover();
    }
}

impl StateMachineTest for Unfenced {
    type SystemUnderTest = Sut;
    type Reference = Faults;

    fn init_test((): &()) -> Sut {
        Sut::new(false)
    }

    fn apply(mut sut: Sut, (): &(), step: Step) -> Sut {
        sut.apply(step);
        sut
    }

    fn teardown(mut sut: Sut, (): ()) {
        sut.recover();
    }
}

fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    let cases = cases.unwrap_or(8);
    Config { cases, failure_persistence: None, max_shrink_iters: 40, ..Config::default() }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn faults_fenced(sequential 1..25 => Fenced);

    #[test]
    fn faults_unfenced(sequential 1..25 => Unfenced);
}
