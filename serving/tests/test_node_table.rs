//! Tests of the table of the other nodes.

use crate::util::log;
use guavaladder_lib::generated::serving_peer::NodeBeat;
use guavaladder_lib::generated::serving_peer::NodePhase;
use guavaladder_serving::node_table::NodeTable;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;

const PERIOD: Duration = Duration::from_millis(100);

pub fn heartbeat(node: &str, incarnation: u64, sequence: u64) -> NodeBeat {
    NodeBeat {
        node: node.to_string(),
        incarnation,
        sequence,
        phase: NodePhase::Serving,
        caller_address: "10.0.0.2:80".to_string(),
        data_centre: "east".to_string(),
        config_version: 3,
        lease_term: 0,
        lease_revision: 0,
        lease_age_ms: 0,
        instances_revision: 0,
        loads: vec![],
        downs: vec![],
        crashes: vec![],
    }
}

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

#[test]
fn heartbeats_that_are_not_newer_are_ignored() {
    let table = NodeTable::new("n1", log());
    let now = Instant::now();
    assert!(table.record_heartbeat(address(2), heartbeat("n2", 1, 5), now));
    assert!(!table.record_heartbeat(address(2), heartbeat("n2", 1, 5), now));
    assert!(!table.record_heartbeat(address(2), heartbeat("n2", 1, 4), now));
    assert!(table.record_heartbeat(address(3), heartbeat("n2", 2, 1), now));
    assert!(!table.record_heartbeat(address(2), heartbeat("n2", 1, 9), now));
    assert!(!table.record_heartbeat(address(1), heartbeat("n1", 1, 9), now));
    assert_eq!(table.addresses(), [address(3)]);
}

#[test]
fn entry_nodes_are_serving_nodes_with_a_recent_heartbeat() {
    let table = NodeTable::new("n1", log());
    let start = Instant::now();
    table.record_heartbeat(address(2), heartbeat("n2", 1, 1), start);
    table.record_heartbeat(
        address(3),
        NodeBeat { phase: NodePhase::Leaving, ..heartbeat("n3", 1, 1) },
        start,
    );
    assert_eq!(table.entry_nodes(start, PERIOD).len(), 1);
    assert_eq!(table.entry_nodes(start + Duration::from_secs(2), PERIOD).len(), 0);
}

#[test]
fn live_names_are_those_of_live_nodes() {
    let table = NodeTable::new("n1", log());
    let start = Instant::now();
    table.set_registered(&[("n4".to_string(), address(4))]);
    table.record_heartbeat(address(2), heartbeat("n2", 1, 1), start);
    table.record_heartbeat(address(3), heartbeat("n3", 1, 1), start + Duration::from_secs(2));
    let now = start + Duration::from_secs(2);
    assert_eq!(table.live_names(now, PERIOD), ["n3"]);
    let names: Vec<String> = table.live(now, PERIOD).into_iter().map(|beat| beat.node).collect();
    assert_eq!(names, ["n3"]);
    assert_eq!(table.count_known(), 3);
}

#[test]
fn silent_registered_nodes_still_count_for_the_retry_budget() {
    let table = NodeTable::new("n1", log());
    let start = Instant::now();
    table.set_registered(&[("n1".to_string(), address(1)), ("n2".to_string(), address(2))]);
    table.record_heartbeat(address(3), heartbeat("n3", 1, 1), start);
    assert_eq!(table.count(start, PERIOD), 3);
    let later = start + Duration::from_secs(30);
    table.prune_silent(later, PERIOD);
    assert_eq!(table.count(later, PERIOD), 2);
    assert_eq!(table.silent_registered(later, Duration::from_secs(5)), ["n2"]);
}

#[test]
fn lease_holder_is_the_node_with_the_highest_term() {
    let table = NodeTable::new("n1", log());
    let now = Instant::now();
    table.record_heartbeat(address(2), NodeBeat { lease_term: 4, ..heartbeat("n2", 1, 1) }, now);
    table.record_heartbeat(address(3), NodeBeat { lease_term: 5, ..heartbeat("n3", 1, 1) }, now);
    assert_eq!(table.lease_holder(now, PERIOD).map(|lease| lease.holder), Some("n3".to_string()));
    assert_eq!(table.lease_holder(now + PERIOD, PERIOD), None);
}
