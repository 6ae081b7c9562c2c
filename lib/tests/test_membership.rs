//! Tests of the membership protocol over a faulty network.

use guavaladder_lib::member_view::MemberState;
use guavaladder_testutils::node_fleet::NodeFleet;
use guavaladder_testutils::peer_network::NetworkFaults;
use std::time::Duration;

/// Time limit for all nodes to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit for detecting a dead node; the target is that callers are not directed to it after 5 s.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for all views to agree again after a fault has ended.
const HEAL_TIMEOUT: Duration = Duration::from_secs(30);

async fn joined_fleet(seed: u64, data_centres: usize, per_data_centre: usize) -> NodeFleet {
    let mut fleet = NodeFleet::new(seed);
    fleet.start(data_centres, per_data_centre);
    let took = fleet.wait_until(JOIN_TIMEOUT, NodeFleet::has_converged).await;
    assert!(took.is_some(), "not joined within {JOIN_TIMEOUT:?}");
    fleet
}

fn is_out_of_use(fleet: &NodeFleet, node: &str) -> bool {
    let is_unused =
        |state| matches!(state, None | Some(MemberState::Dead) | Some(MemberState::Suspect));
    fleet.nodes.keys().all(|viewer| is_unused(fleet.state(viewer, node)))
}

fn is_dead(fleet: &NodeFleet, node: &str) -> bool {
    fleet.nodes.keys().all(|viewer| fleet.state(viewer, node) == Some(MemberState::Dead))
}

#[tokio::test(start_paused = true)]
async fn join_three_data_centres() {
    joined_fleet(1, 3, 3).await;
}

#[tokio::test(start_paused = true)]
async fn kill_is_detected() {
    let mut fleet = joined_fleet(2, 3, 3).await;
    fleet.kill("n4");
    let out = fleet.wait_until(DETECTION_TIMEOUT, |fleet| is_out_of_use(fleet, "n4")).await;
    assert!(out.is_some(), "still in use after {DETECTION_TIMEOUT:?}");
    assert!(fleet.wait_until(HEAL_TIMEOUT, |fleet| is_dead(fleet, "n4")).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn leave_is_seen_within_two_seconds() {
    let fleet = joined_fleet(3, 3, 3).await;
    fleet.nodes["n5"].handle.leave().await;
    let is_seen = |fleet: &NodeFleet| {
        fleet.nodes.keys().all(|viewer| fleet.state(viewer, "n5") == Some(MemberState::Leaving))
    };
    assert!(fleet.wait_until(Duration::from_secs(2), is_seen).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn restart_has_new_incarnation() {
    let mut fleet = joined_fleet(4, 2, 3).await;
    let before = fleet.cx("n2").incarnation;
    fleet.start_node(2, "dc1", "r1");
    let is_new = |fleet: &NodeFleet| {
        fleet.has_converged()
            && fleet.nodes.values().all(|viewer| viewer.cx.members.get()["n2"].incarnation > before)
    };
    assert!(fleet.wait_until(JOIN_TIMEOUT, is_new).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn loss_reordering_and_duplication_cause_no_lasting_death() {
    let fleet = joined_fleet(5, 3, 4).await;
    fleet.network.set_faults(NetworkFaults {
        loss: 0.2,
        duplication: 0.1,
        min_delay: Duration::from_millis(1),
        max_delay: Duration::from_millis(60),
    });
    let mut dead_for = Duration::ZERO;
    for _ in 0..600 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let is_any_dead = fleet.nodes.keys().any(|viewer| {
            fleet.nodes.keys().any(|node| fleet.state(viewer, node) == Some(MemberState::Dead))
        });
        dead_for = if is_any_dead { dead_for + Duration::from_millis(100) } else { Duration::ZERO };
        assert!(
            dead_for <= DETECTION_TIMEOUT,
            "live nodes are seen as dead for longer than {DETECTION_TIMEOUT:?}"
        );
    }
    fleet.network.set_faults(NetworkFaults::default());
    assert!(fleet.wait_until(HEAL_TIMEOUT, NodeFleet::has_converged).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn one_way_partition_kills_no_node() {
    let fleet = joined_fleet(6, 2, 4).await;
    let address = |node: &str| fleet.nodes[node].address;
    fleet.network.block(address("n1"), address("n2"));
    for _ in 0..300 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for viewer in fleet.nodes.keys() {
            for node in fleet.nodes.keys() {
                let state = fleet.state(viewer, node);
                assert_ne!(state, Some(MemberState::Dead), "{viewer} sees {node} dead");
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn region_split_heals() {
    let fleet = joined_fleet(7, 4, 3).await;
    let r1 = fleet.addresses(|settings| settings.region == "r1");
    let r2 = fleet.addresses(|settings| settings.region == "r2");
    fleet.network.split(&r1, &r2);
    let is_split = |fleet: &NodeFleet| {
        fleet.state("n1", "n12") == Some(MemberState::Suspect)
            && fleet.state("n12", "n1") == Some(MemberState::Suspect)
            && fleet.state("n1", "n4") == Some(MemberState::Live)
    };
    assert!(fleet.wait_until(Duration::from_secs(10), is_split).await.is_some());
    tokio::time::sleep(Duration::from_secs(180)).await;
    assert_eq!(fleet.state("n1", "n12"), Some(MemberState::Dead));
    assert_eq!(fleet.state("n1", "n4"), Some(MemberState::Live));
    let events = |number: u16| {
        let recent = fleet.cx("n1").events.recent();
        recent.iter().filter(|recorded| recorded.event.number() == number).count()
    };
    assert_eq!(events(405), 2, "one event for each data centre of the other region");
    fleet.network.heal();
    let took = fleet.wait_until(HEAL_TIMEOUT, NodeFleet::has_converged).await;
    assert!(took.is_some(), "not agreed within {HEAL_TIMEOUT:?}");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(events(406), 2);
}

#[tokio::test(start_paused = true)]
async fn rolling_restart_of_all_nodes() {
    let mut fleet = joined_fleet(8, 2, 3).await;
    for number in 1..=6 {
        let (data_centre, region) = if number <= 3 { ("dc1", "r1") } else { ("dc2", "r2") };
        fleet.start_node(number, data_centre, region);
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    assert!(fleet.wait_until(HEAL_TIMEOUT, NodeFleet::has_converged).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn isolated_node_refutes_its_death() {
    let fleet = joined_fleet(9, 2, 4).await;
    let paused = fleet.nodes["n3"].address;
    let others = fleet.addresses(|settings| settings.node != "n3");
    fleet.network.split(&[paused], &others);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.state("n1", "n3"), Some(MemberState::Dead));
    fleet.network.heal();
    assert!(fleet.wait_until(HEAL_TIMEOUT, NodeFleet::has_converged).await.is_some());
}

/// Guards against a backlog of object stamps delaying member changes to other data centres by 15 s.
#[tokio::test(start_paused = true)]
async fn kill_is_detected_despite_object_backlog() {
    let mut fleet = NodeFleet::new(10);
    for number in 0..200 {
        let record = format!("{{\"data_centre\":\"dc1\",\"renewals\":{number}}}");
        fleet.store.seed(&format!("domains/fabric-{number:030}"), &record);
    }
    fleet.start(4, 3);
    let join_timeout = 2 * JOIN_TIMEOUT;
    assert!(fleet.wait_until(join_timeout, NodeFleet::has_converged).await.is_some());
    fleet.kill("n4");
    let out = fleet.wait_until(DETECTION_TIMEOUT, |fleet| is_out_of_use(fleet, "n4")).await;
    assert!(out.is_some(), "still in use after {DETECTION_TIMEOUT:?}");
}
