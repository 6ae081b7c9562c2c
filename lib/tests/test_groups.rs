//! Tests of group control with the fake store and the fake engines.

use guavaladder_lib::generated::engine::MemberState;
use guavaladder_testutils::control_fleet::ControlFleet;
use guavaladder_testutils::control_fleet::bare_config;
use guavaladder_testutils::control_fleet::engine_address;
use guavaladder_testutils::control_fleet::with_service;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::fake_store::StoreFaults;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(60);

/// A fleet of three nodes and two domains of ten instances, with four groups of four wanted.
async fn fleet(checks_fencing: bool) -> ControlFleet {
    let mut fleet = ControlFleet::new();
    let options = EngineOptions::new().with_fencing(checks_fencing);
    fleet.add_domain("d1", "dc1", 10, &options);
    fleet.add_domain("d2", "dc2", 10, &options);
    fleet.configure(&with_service(bare_config(checks_fencing), "draft", 4, 4));
    for (node, data_centre) in [("n1", "dc1"), ("n2", "dc2"), ("n3", "dc2")] {
        fleet.start_node(node, data_centre);
    }
    fleet
}

async fn serving_fleet(checks_fencing: bool) -> ControlFleet {
    let fleet = fleet(checks_fencing).await;
    fleet.wait_serving("draft", 4, TIMEOUT).await.expect("four groups serve");
    fleet
}

fn assert_complete(fleet: &ControlFleet) {
    let mut seen = BTreeSet::new();
    for group in fleet.serving("draft") {
        for (shard, member) in group.members.iter().enumerate() {
            assert!(seen.insert(member.instance.clone()), "{} is in two groups", member.instance);
            let status = fleet.fake_instances.peek_status(&member.address).expect("known");
            let assignment = status.assignment.expect("assigned");
            assert_eq!((assignment.group, assignment.shard as usize), (group.group.clone(), shard));
            assert_eq!(status.state, MemberState::Ready);
        }
    }
}

#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[tokio::test(start_paused = true)]
async fn start_forms_groups(#[case] checks_fencing: bool) {
    let fleet = serving_fleet(checks_fencing).await;
    assert_complete(&fleet);
}

#[tokio::test(start_paused = true)]
async fn member_death_is_repaired() {
    let fleet = serving_fleet(true).await;
    let victim = fleet.serving("draft")[0].members[2].address.clone();
    fleet.fake_instances.kill(&victim);
    tokio::time::sleep(Duration::from_secs(8)).await;
    fleet.wait_serving("draft", 4, TIMEOUT).await.expect("repaired");
    assert_complete(&fleet);
}

#[tokio::test(start_paused = true)]
async fn owner_death_is_taken_over() {
    let mut fleet = serving_fleet(false).await;
    fleet.kill_node("n1");
    tokio::time::sleep(Duration::from_secs(20)).await;
    let owners: BTreeSet<String> = fleet.records().into_iter().map(|r| r.owner).collect();
    assert!(!owners.contains("n1"), "{owners:?}");
    let victim = engine_address("d1", 0);
    fleet.fake_instances.kill(&victim);
    tokio::time::sleep(Duration::from_secs(8)).await;
    fleet.wait_serving("draft", 4, TIMEOUT).await.expect("repaired by the new owner");
    assert_complete(&fleet);
}

#[tokio::test(start_paused = true)]
async fn store_outage_keeps_serving() {
    let fleet = serving_fleet(true).await;
    fleet.store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    tokio::time::sleep(Duration::from_secs(300)).await;
    assert_complete(&fleet);
    fleet.store.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.serving("draft").len(), 4);
    assert_complete(&fleet);
}

#[tokio::test(start_paused = true)]
async fn start_before_first_configuration_does_not_delay_groups() {
    let mut fleet = ControlFleet::new();
    fleet.add_domain("d1", "dc1", 8, &EngineOptions::new().with_fencing(true));
    fleet.start_node("n1", "dc1");
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.configure(&with_service(bare_config(true), "draft", 2, 4));
    let took = fleet.wait_serving("draft", 2, TIMEOUT).await.expect("two groups serve");
    let mut other = ControlFleet::new();
    other.add_domain("d1", "dc1", 8, &EngineOptions::new().with_fencing(true));
    other.configure(&with_service(bare_config(true), "draft", 2, 4));
    other.start_node("n1", "dc1");
    let usual = other.wait_serving("draft", 2, TIMEOUT).await.expect("two groups serve");
    // A node checks once a second which domains it should own.
    assert!(took <= usual + Duration::from_secs(2), "took {took:?}, usually {usual:?}");
}
