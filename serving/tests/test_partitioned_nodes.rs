//! End-to-end tests of nodes that are partitioned from all instances, while callers, the store and the other
//! nodes still reach them.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::start_streams;
use crate::util::instance;
use guavaladder_lib::generated::events::Event;
use guavaladder_platform_testutils::CRASH_MARKER;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_platform_testutils::LinkMode;
use guavaladder_platform_testutils::NodeLinks;
use guavaladder_platform_testutils::config;
use guavaladder_serving::instance::Instance;
use guavaladder_serving::instance_reach;
use http::Method;
use rstest::rstest;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

const NODES: usize = 4;
/// Number of groups of two engines.
const GROUPS: usize = 7;
/// Interval at which each node gets a request.
const REQUEST_PERIOD: Duration = Duration::from_millis(60);
/// Time before the partition, its length, the time after which its effect is checked (the platform's
/// `stableWindowMs`), and the time after its end within which everything is as before.
const BEFORE: Duration = Duration::from_secs(1);
const PARTITION: Duration = Duration::from_secs(7);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const RETURN: Duration = Duration::from_secs(1);
const AFTER: Duration = Duration::from_secs(3);
/// Time within which a group is assembled again, the change of the holder included.
const REPAIR_TIME: Duration = Duration::from_secs(4);

/// Requests to one node: when each was sent, counted from the start of the partition, and its status.
type Outcomes = Vec<(Duration, u16)>;

/// Starts a fleet whose nodes have links that can be cut.
async fn start_fleet() -> (Fleet, Vec<NodeLinks>) {
    let mut fleet = Fleet::new(2 * GROUPS).await;
    let mut links = vec![];
    for _ in 0..NODES {
        links.push(fleet.add_linked_node().await);
    }
    for node in 0..NODES {
        fleet.wait_for_replicas(node, "drafting", GROUPS).await;
        fleet.wait_for_replicas(node, "orders", 2).await;
    }
    (fleet, links)
}

/// Sends requests to each node while some of the nodes are partitioned, and returns the outcomes by node.
async fn send_requests(
    fleet: &Fleet,
    cut: &[&NodeLinks],
    mode: LinkMode,
) -> BTreeMap<usize, Outcomes> {
    let start = Instant::now() + BEFORE;
    let mut requests = JoinSet::new();
    for node in 0..NODES {
        let to = fleet.callers(node);
        requests.spawn(async move {
            let (mut calls, mut number) = (JoinSet::new(), 0);
            while Instant::now() < start + PARTITION + AFTER {
                number += 1;
                let (method, path) = match number % 4 {
                    0 => (Method::POST, "/book/x"),
                    2 => (Method::GET, "/look/x"),
                    _ => (Method::POST, "/draft/x"),
                };
                // None before the partition, whose requests are not counted.
                let since = Instant::now().checked_duration_since(start);
                let call = Call::new(method, path);
                calls.spawn(async move { (since, call.status(to).await) });
                sleep(REQUEST_PERIOD).await;
            }
            let all = calls.join_all().await.into_iter();
            (node, all.filter_map(|(since, status)| Some((since?, status))).collect())
        });
    }
    sleep_until(start).await;
    cut.iter().for_each(|links| links.set_mode(mode));
    sleep(PARTITION).await;
    cut.iter().for_each(|links| links.set_mode(LinkMode::Up));
    requests.join_all().await.into_iter().collect()
}

/// Returns the number of requests that were sent in a period, and of those that were not served.
fn count(outcomes: &Outcomes, from: Duration, until: Duration) -> (usize, usize) {
    let in_time = outcomes.iter().filter(|(at, _)| *at >= from && *at < until);
    let statuses: Vec<u16> = in_time.map(|(_, status)| *status).collect();
    (statuses.len(), statuses.iter().filter(|status| **status != 200).count())
}

/// Returns the holder of the lease on the groups.
fn holder(fleet: &Fleet) -> usize {
    let holds = |node: &usize| fleet.nodes[*node].cx.lease.term().is_some();
    (0..NODES).find(holds).expect("a holder of the lease")
}

/// Requests beside a partition.
struct Run {
    fleet: Fleet,
    cut: Vec<usize>,
    outcomes: BTreeMap<usize, Outcomes>,
    groups_before: Vec<Vec<String>>,
}

/// Sends requests beside a partition of `cut_count` nodes, the holder of the lease among them or not.
async fn run(cut_count: usize, has_holder: bool, mode: LinkMode) -> Run {
    let (fleet, links) = start_fleet().await;
    let holder = holder(&fleet);
    let first = if has_holder { holder } else { (holder + 1) % NODES };
    let cut: Vec<usize> = (first..first + cut_count).map(|node| node % NODES).collect();
    let groups_before = fleet.fake_platform.open_groups();
    let cut_links: Vec<&NodeLinks> = cut.iter().map(|node| &links[*node]).collect();
    let outcomes = send_requests(&fleet, &cut_links, mode).await;
    Run { fleet, cut, outcomes, groups_before }
}

impl Run {
    /// Neither groups nor the requests of the other nodes suffer.
    fn check_replicas(&self) {
        assert_eq!(self.fleet.fake_platform.open_groups(), self.groups_before, "open groups");
        for node in &self.fleet.nodes {
            let marks = node.cx.metrics.sum("crash_marks_total");
            assert_eq!(marks, 0, "crashes were recorded at {}", node.cx.node());
            let down = node.cx.metrics.sum("replicas_down_total");
            assert_eq!(down, 0, "replicas were marked as down at {}", node.cx.node());
        }
        for (node, outcomes) in self.outcomes.iter().filter(|(node, _)| !self.cut.contains(node)) {
            let (sent, failed) = count(outcomes, Duration::ZERO, PARTITION + AFTER);
            assert!(failed <= 1, "node {node}: {failed} of {sent} not served");
        }
        assert_eq!(self.fleet.fake_platform.violations(), []);
    }

    /// The requests of the cut nodes are served like those of the others.
    fn check_requests(&self) {
        for (node, outcomes) in &self.outcomes {
            let is_cut = self.cut.contains(node);
            let (sent, failed) = count(outcomes, STABLE_WINDOW, PARTITION);
            let allowed = 2 + sent / 50;
            assert!(failed <= allowed, "node {node}, cut {is_cut}: {failed} of {sent} not served");
            let (sent, failed) = count(outcomes, PARTITION + RETURN, PARTITION + AFTER);
            assert!(failed <= 1, "node {node}, cut {is_cut}: {failed} of {sent} failed afterwards");
        }
    }
}

/// Refusals and resets look like ended processes, and silence like hung ones.
#[rstest]
#[case::one(1, false)]
#[case::holder(1, true)]
#[case::half(2, true)]
#[tokio::test]
async fn partition_of_a_node_is_taken_for_ended_instances(
    #[case] cut_count: usize,
    #[case] has_holder: bool,
    #[values(LinkMode::Hanging, LinkMode::Reset, LinkMode::RefusingNew)] mode: LinkMode,
) {
    run(cut_count, has_holder, mode).await.check_replicas();
}

/// No node can pass requests on: they are refused at once, and not passed around.
#[tokio::test]
async fn requests_are_held_while_all_nodes_are_partitioned() {
    let (fleet, links) = start_fleet().await;
    links.iter().for_each(|links| links.set_mode(LinkMode::Hanging));
    let warm_up = (0..NODES).map(|node| {
        let to = fleet.callers(node);
        tokio::spawn(async move { Call::new(Method::POST, "/draft/x").status(to).await })
    });
    for call in warm_up.collect::<Vec<_>>() {
        call.await.expect("a task that ends");
    }
    for node in 0..NODES {
        let started = Instant::now();
        let response = Call::new(Method::POST, "/book/x").send(fleet.callers(node)).await;
        let response = response.expect("a response");
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
    }
    let sent: u64 = fleet.nodes.iter().map(|n| n.cx.metrics.sum("requests_relayed_total")).sum();
    assert!(sent <= 4 * 4 * NODES as u64, "{sent} requests passed on");
}

/// The port for other nodes takes no request without a ticket that has a valid tag.
#[tokio::test]
async fn requests_without_a_ticket_are_not_passed_on() {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    let call = Call::new(Method::POST, "/book/x");
    let response = call.send(fleet.nodes[0].cx.settings.peers).await.expect("a response");
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["guavaladder-relay"], "unavailable");
    assert_eq!(fleet.fake_platform.arrivals(), []);
}

/// One node is cut from one group alone, so that its links work as far as it can tell.
#[rstest]
#[case::hanging(LinkMode::Hanging)]
#[case::reset(LinkMode::Reset)]
#[tokio::test]
async fn replica_is_lost_to_all_nodes_since_one_does_not_reach_it(#[case] mode: LinkMode) {
    let (fleet, links) = start_fleet().await;
    let groups = fleet.fake_platform.open_groups();
    let cut = (holder(&fleet) + 1) % NODES;
    for member in &groups[0] {
        let address = fleet.fake_platform.address(member).expect("a member");
        links[cut].set_mode_to(address, mode);
    }
    for streams in (0..3).map(|_| start_streams(fleet.callers(cut), 2 * GROUPS)) {
        for stream in streams {
            stream.await.expect("a task that ends").expect("a response");
        }
    }
    assert!(fleet.nodes[cut].cx.metrics.sum("replicas_down_total") > 0, "the cut node notices");
    sleep(Duration::from_secs(2)).await;
    for node in (0..NODES).filter(|node| *node != cut) {
        let down = fleet.nodes[node].cx.metrics.sum("replicas_down_total");
        assert_eq!(down, 0, "replicas were marked as down at node {node}");
    }
    assert_eq!(fleet.fake_platform.open_groups(), groups);
}

/// Streams that can't be resumed hang at a cut node until their deadline, while the replica has ended them.
#[tokio::test]
async fn hanging_requests_of_a_cut_node_keep_the_others_from_a_replica() {
    let mut fleet = Fleet::new(2).await;
    let mut changed = config(6);
    changed["routes"][0]["resumable"] = false.into();
    fleet.store.put("config", "main", changed);
    let links = fleet.add_linked_node().await;
    fleet.add_node().await;
    for node in 0..2 {
        fleet.wait_for_replicas(node, "drafting", 1).await;
    }
    // As many as the group takes.
    let hanging = start_streams(fleet.callers(0), 9);
    sleep(Duration::from_millis(100)).await;
    links.set_mode(LinkMode::Hanging);
    Call::new(Method::POST, "/book/x").status(fleet.callers(0)).await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.fake_platform.running_streams(), 0);
    for _ in 0..5 {
        assert_eq!(Call::new(Method::POST, "/draft/x").status(fleet.callers(1)).await, 200);
    }
    drop(hanging);
}

/// All engines end at once, and the plain instances go on: the links of the node work.
#[tokio::test]
async fn loss_of_a_service_is_taken_for_a_partition() {
    let mut fleet = Fleet::new(2 * GROUPS).await;
    fleet.add_first_node("drafting", GROUPS).await;
    fleet.wait_for_replicas(0, "orders", 2).await;
    for engine in fleet.fake_platform.open_groups().iter().flatten() {
        fleet.fake_platform.kill(engine);
    }
    for _ in 0..10 {
        Call::new(Method::POST, "/draft/x").status(fleet.callers(0)).await;
        assert_eq!(Call::new(Method::POST, "/book/x").status(fleet.callers(0)).await, 200);
        assert!(!fleet.nodes[0].cx.reach.is_cut());
        sleep(Duration::from_millis(60)).await;
    }
}

/// The instances of two services are one in a thousand, in data centres that have others.
#[test]
fn rare_services_are_not_compared() {
    let engines = (0..6200).map(|n| at_port(n, "drafting"));
    let plain = (6200..6206).map(|n| at_port(n, if n % 2 == 0 { "orders" } else { "stock" }));
    let instances: Vec<Instance> = engines.chain(plain).collect();
    for _ in 0..50 {
        let sampled = instance_reach::sample(instances.iter(), &[instances[0].address]);
        let compared: Vec<&Instance> =
            instances.iter().filter(|i| sampled.contains(&i.address)).collect();
        let services: BTreeSet<&str> = compared.iter().map(|i| i.service.as_str()).collect();
        let data_centres: BTreeSet<&str> =
            compared.iter().map(|i| i.data_centre.as_str()).collect();
        assert_eq!(services.len(), 3);
        assert_eq!(data_centres.len(), 7);
        assert!(compared.len() <= 10 && compared.iter().all(|i| i.id != instances[0].id));
    }
}

fn at_port(n: u16, service: &str) -> Instance {
    let address = ([127, 0, 0, 1], 10_000 + n).into();
    let data_centre = format!("dc-{}", n % 7);
    Instance { address, data_centre, ..instance(&format!("{service}-{n}"), service) }
}

#[tokio::test]
async fn each_cut_of_a_flapping_link_leaves_a_prober() {
    let mut fleet = Fleet::new(2 * GROUPS).await;
    let links = fleet.add_linked_node().await;
    fleet.wait_for_replicas(0, "orders", 2).await;
    let cx = fleet.nodes[0].cx.clone();
    links.set_mode(LinkMode::Reset);
    for _ in 0..5 {
        // Shorter than the interval of the probes, which would otherwise end at the connection.
        sleep(Duration::from_millis(20)).await;
        cx.reach.record_connected();
        while !cx.reach.is_cut() {
            sleep(Duration::from_millis(5)).await;
            instance_reach::check(&cx, &[], Instant::now()).await;
        }
    }
    sleep(Duration::from_millis(500)).await;
    let count = |is_counted: fn(&Event) -> bool| {
        cx.log.events().recent().iter().filter(|event| is_counted(&event.event)).count()
    };
    let cuts = count(|event| matches!(event, Event::InstancesUnreachable { .. }));
    let ends = count(|event| matches!(event, Event::InstancesReached { .. }));
    assert_eq!((cuts, ends), (5, 4));
}

/// Another node refuses calls since their service has no replica; it has no fault, and takes other requests.
#[tokio::test]
async fn node_gets_no_requests_since_it_refused_some() {
    let mut fleet = Fleet::new(4).await;
    let links = fleet.add_linked_node().await;
    fleet.add_node().await;
    for node in 0..2 {
        fleet.wait_for_replicas(node, "drafting", 2).await;
    }
    links.set_mode(LinkMode::Reset);
    for id in ["p-00", "p-01"] {
        fleet.fake_platform.set_mode(id, InstanceMode::Refuses);
    }
    for _ in 0..5 {
        assert_eq!(Call::new(Method::POST, "/book/x").status(fleet.callers(0)).await, 503);
    }
    assert_eq!(Call::new(Method::POST, "/draft/x").status(fleet.callers(0)).await, 200);
}

/// Returns the number of addresses that a node's directory returns.
async fn resolve(fleet: &Fleet, node: usize) -> usize {
    let to = fleet.nodes[node].cx.settings.directory;
    let path = "/-/resolve?name=a.example&region=r&zone=east";
    let response = Call::new(Method::GET, path).send(to).await.expect("a response");
    let body: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON");
    body["addresses"].as_array().map_or(0, Vec::len)
}

/// The other nodes reach the instances without a detour.
#[tokio::test]
async fn callers_are_sent_to_nodes_that_are_partitioned() {
    let (fleet, links) = start_fleet().await;
    assert_eq!(resolve(&fleet, 0).await, NODES);
    for cut in [0, 1] {
        links[cut].set_mode(LinkMode::Reset);
        Call::new(Method::POST, "/book/x").status(fleet.callers(cut)).await;
    }
    sleep(Duration::from_millis(500)).await;
    for node in 0..NODES {
        assert_eq!(resolve(&fleet, node).await, NODES - 2, "at node {node}");
    }
    links.iter().for_each(|links| links.set_mode(LinkMode::Up));
    sleep(Duration::from_millis(700)).await;
    for node in 0..NODES {
        assert_eq!(resolve(&fleet, node).await, NODES, "at node {node}");
    }
}

/// A member is lost while the node that plans the groups reaches no instance.
#[rstest]
#[case::hanging(LinkMode::Hanging)]
#[case::reset(LinkMode::Reset)]
#[tokio::test]
async fn groups_are_not_repaired_while_their_holder_is_partitioned(#[case] mode: LinkMode) {
    let mut fleet = Fleet::new(7).await;
    let mut links = vec![];
    for _ in 0..NODES {
        links.push(fleet.add_linked_node().await);
    }
    for node in 0..NODES {
        fleet.wait_for_replicas(node, "drafting", 3).await;
    }
    let holder = holder(&fleet);
    links[holder].set_mode(mode);
    // The holder notices by the requests that it gets.
    for _ in 0..10 {
        Call::new(Method::POST, "/draft/x").status(fleet.callers(holder)).await;
    }
    let lost = fleet.fake_platform.open_groups()[0][1].clone();
    fleet.fake_platform.kill(&lost);
    fleet.fake_platform.expire_entry(&lost);
    sleep(REPAIR_TIME).await;
    let groups = fleet.fake_platform.complete_groups();
    let whole = groups.iter().filter(|(_, members)| !members.contains(&lost));
    assert_eq!(whole.count(), 3, "{groups:?}");
    assert_eq!(fleet.fake_platform.violations(), []);
}

/// Nothing but the links of a node to the instances is broken.
#[rstest]
#[case::one(1, false)]
#[case::holder(1, true)]
#[case::half(2, true)]
#[case::most(3, true)]
#[tokio::test]
async fn requests_fail_at_nodes_that_are_partitioned_from_all_replicas(
    #[case] cut_count: usize,
    #[case] has_holder: bool,
    #[values(LinkMode::Hanging, LinkMode::Reset, LinkMode::RefusingNew)] mode: LinkMode,
) {
    let run = run(cut_count, has_holder, mode).await;
    run.check_requests();
    run.check_replicas();
}

/// A deployment of two instances: a node that reaches neither has one other to compare with.
#[rstest]
#[tokio::test]
async fn requests_fail_at_a_partitioned_node_of_a_small_deployment(
    #[values(LinkMode::Hanging, LinkMode::Reset, LinkMode::RefusingNew)] mode: LinkMode,
) {
    let mut fleet = Fleet::new(0).await;
    let links = fleet.add_linked_node().await;
    fleet.add_node().await;
    for node in [0, 1] {
        fleet.wait_for_replicas(node, "orders", 2).await;
    }
    links.set_mode(mode);
    let (begin, mut served, mut sent) = (Instant::now(), 0, 0);
    while begin.elapsed() < PARTITION {
        let (method, path) = match sent % 2 {
            0 => (Method::POST, "/book/x"),
            _ => (Method::GET, "/look/x"),
        };
        let status = Call::new(method, path).status(fleet.callers(0)).await;
        sent += 1;
        served += usize::from(status == 200);
        sleep(REQUEST_PERIOD).await;
    }
    assert!(sent - served <= 10 + sent / 50, "{served} of {sent} served");
    links.set_mode(LinkMode::Up);
    eventually(|| !fleet.nodes[0].cx.reach.is_cut()).await;
    assert_eq!(Call::new(Method::POST, "/book/x").status(fleet.callers(0)).await, 200);
}

/// Both instances of a small deployment end and start again; what ran there counts as running at a crash.
#[tokio::test]
async fn crash_of_both_instances_is_taken_for_a_partition_for_good() {
    let mut fleet = Fleet::with_platform(0, |platform| platform.keeps_id = true).await;
    fleet.add_first_node("orders", 2).await;
    let cx = fleet.nodes[0].cx.clone();
    let path = format!("/look/{CRASH_MARKER}");
    let begin = Instant::now();
    while cx.metrics.sum("crash_marks_total") < 3 {
        Call::new(Method::GET, &path).status(fleet.callers(0)).await;
        assert!(begin.elapsed() < Duration::from_secs(15), "no crash is recorded");
        sleep(Duration::from_millis(50)).await;
    }
    eventually(|| fleet.fake_platform.is_up("p-00") && fleet.fake_platform.is_up("p-01")).await;
    eventually(|| !cx.reach.is_cut()).await;
    assert_eq!(Call::new(Method::GET, &path).status(fleet.callers(0)).await, 503);
    assert_eq!(Call::new(Method::GET, "/look/x").status(fleet.callers(0)).await, 200);
    let crashes = fleet.fake_platform.crash_runs().len();
    assert!(crashes <= 6, "{crashes} crashes");
}

/// A node that passes a request on for another one loses its links after an instance has refused the request. The
/// first node sent it to a third one, as if it had not reached any instance, and without the retry budget.
#[tokio::test]
async fn refusal_is_forgotten_by_a_node_that_loses_its_links() {
    let (fleet, links) = start_fleet().await;
    for id in ["p-00", "p-01"] {
        fleet.fake_platform.set_mode(id, InstanceMode::Refuses);
        fleet.fake_platform.set_refusal_delay(id, Duration::from_millis(900));
    }
    let lose_links = async |node: usize| {
        links[node].set_mode(LinkMode::RefusingNew);
        let call = Call::new(Method::GET, "/look/x").with_deadline(Duration::from_millis(200));
        call.status(fleet.callers(node)).await;
        eventually(|| fleet.nodes[node].cx.reach.is_cut()).await;
    };
    let relayed = |node: usize| fleet.nodes[node].cx.metrics.sum("requests_relayed_total");
    let arrivals = |call: &Call| {
        let all = fleet.fake_platform.arrivals();
        all.into_iter().filter(|arrival| arrival.request == call.id).count()
    };
    lose_links(0).await;
    let before: Vec<u64> = (0..NODES).map(relayed).collect();
    let call = Call::new(Method::POST, "/book/x");
    let respond = call.status(fleet.callers(0));
    let lose_links_of_second = async {
        eventually(|| arrivals(&call) == 1).await;
        let second = (1..NODES).find(|node| relayed(*node) > before[*node]);
        lose_links(second.expect("a node that received the request")).await;
    };
    let (status, ()) = tokio::join!(respond, lose_links_of_second);
    assert_eq!((status, arrivals(&call)), (503, 1));
}
