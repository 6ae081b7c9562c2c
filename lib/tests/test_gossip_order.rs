//! Tests of the order in which updates are added to a message.

use guavaladder_lib::clock::Clock;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::generated::peer::MemberHealth;
use guavaladder_lib::generated::peer::MemberRow;
use guavaladder_lib::gossip_state::GossipState;
use guavaladder_lib::gossip_state::Scope;
use guavaladder_lib::metrics::Metrics;
use guavaladder_testutils::node_fleet::UNIX_BASE;
use std::time::Duration;

/// Fits one or two rows.
const BUDGET: usize = 160;

fn row(number: usize, health: MemberHealth) -> MemberRow {
    MemberRow {
        node: format!("node-{number}"),
        incarnation: 1,
        refutation: 0,
        health,
        leaving: false,
        accusers: vec![],
        data_centre: "dc1".to_string(),
        region: "r1".to_string(),
        peer_address: format!("10.0.0.{number}:7000"),
        caller_address: format!("10.0.0.{number}:80"),
        operator_address: format!("10.0.0.{number}:81"),
    }
}

fn state() -> GossipState {
    let settings = serde_json::json!({
        "node": "n1", "data_centre": "dc1", "region": "r1", "platform": "10.9.9.9:1",
        "fleet_key_file": "unused", "caller_listen": "10.9.0.1:1",
        "operator_listen": "10.9.0.1:2", "peer_listen": "10.9.0.1:3",
    });
    let settings = serde_json::from_value(settings).unwrap();
    let cx = Cx::new(settings, Clock::with_tokio_time(UNIX_BASE), Metrics::new());
    GossipState::new(cx, Duration::ZERO)
}

/// Guards against queueing a received state change at the priority of a join, which delayed it by 15 s
/// on the way to other data centres.
#[tokio::test]
async fn build_puts_received_change_before_joins() {
    let mut state = state();
    for number in 1..60 {
        state.merge_row(&row(number, MemberHealth::Live), Duration::ZERO);
    }
    state.merge_row(&row(59, MemberHealth::Suspect), Duration::ZERO);
    let gossip = state.build(&Scope::Local, None, BUDGET, Duration::ZERO);
    assert_eq!(gossip.members[0], row(59, MemberHealth::Suspect));
}
