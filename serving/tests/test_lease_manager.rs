//! Tests of when a node reads the lease since its holder is silent.

use guavaladder_serving::lease_manager::holder_silence;
use guavaladder_serving::serving_cx::heartbeat_period_of;
use rstest::rstest;
use std::time::Duration;

/// Nodes that may read the lease between two heartbeats of a live holder, of which one is lost.
const MAX_READERS: usize = 3;

/// In a fleet of hundreds of nodes, heartbeats are further apart than the time after which all nodes took the
/// holder for silent, so that each of them read the lease several times between two heartbeats.
#[rstest]
fn holder_silence_outlasts_lost_heartbeats_but_for_a_few_nodes(
    #[values(2, 7, 30, 75, 100, 200, 295, 330, 1000)] nodes: usize,
) {
    let period = heartbeat_period_of(nodes);
    let names: Vec<String> = (0..nodes).map(|i| format!("n{i}")).collect();
    let reads = |node: &&String| {
        let others: Vec<String> = names.iter().filter(|name| name != node).cloned().collect();
        holder_silence(node, &others, period) < period * 3 + period / 2
    };
    let readers = names.iter().filter(reads).count();
    assert!(readers <= MAX_READERS, "{readers} of {nodes} nodes read the lease");
}

/// Small fleets take over as soon as before, and so does a large one while a candidate is left.
#[rstest]
#[case::small(7, 7)]
#[case::large(295, 3)]
fn holder_silence_is_short_for_candidates(#[case] nodes: usize, #[case] candidates: usize) {
    let period = heartbeat_period_of(nodes);
    let names: Vec<String> = (0..nodes).map(|i| format!("n{i}")).collect();
    let is_soon = |node: &&String| {
        let others: Vec<String> = names.iter().filter(|name| name != node).cloned().collect();
        holder_silence(node, &others, period) == Duration::from_millis(600)
    };
    assert_eq!(names.iter().filter(is_soon).count(), candidates);
}
