//! Tests of the member table.

use guavaladder_lib::generated::peer::MemberHealth;
use guavaladder_lib::generated::peer::MemberRow;
use guavaladder_lib::member_table::MemberTable;
use std::time::Duration;

/// Unix time of the first start in milliseconds.
const FIRST_START: u64 = 1_800_000_000_000;

fn row(node: &str, data_centre: &str, incarnation: u64) -> MemberRow {
    MemberRow {
        node: node.to_string(),
        incarnation,
        refutation: 0,
        health: MemberHealth::Live,
        leaving: false,
        accusers: vec![],
        data_centre: data_centre.to_string(),
        region: "r1".to_string(),
        peer_address: "10.0.0.1:7000".to_string(),
        caller_address: "10.0.0.1:80".to_string(),
        operator_address: "10.0.0.1:81".to_string(),
    }
}

#[test]
fn heartbeat_after_restart_of_the_only_relay_ends_the_silence() {
    let mut observer = MemberTable::new(row("n1", "dc1", FIRST_START), Duration::ZERO);
    let mut relay = MemberTable::new(row("n2", "dc2", FIRST_START), Duration::ZERO);
    observer.merge(relay.own(), Duration::ZERO);
    let mut now = Duration::ZERO;
    for _ in 0..60 {
        now += Duration::from_millis(500);
        relay.advance_heartbeat(now);
        observer.merge_heartbeats(&relay.recent_heartbeats(now), now);
    }
    assert_eq!(observer.silence("dc2", now), Duration::ZERO);
    now += Duration::from_secs(20);
    let second_start = FIRST_START + now.as_millis() as u64;
    let mut relay = MemberTable::new(row("n2", "dc2", second_start), now);
    observer.merge(relay.own(), now);
    relay.advance_heartbeat(now);
    observer.merge_heartbeats(&relay.recent_heartbeats(now), now);
    assert_eq!(observer.silence("dc2", now), Duration::ZERO);
}
