//! Tests of configuration changes in a simulated fleet of nodes.

use guavaladder_lib::config_change;
use guavaladder_lib::config_change::ConfigChangeError;
use guavaladder_lib::generated::config::ConfigChangeReply;
use guavaladder_lib::generated::config::ConfigChangeRequest;
use guavaladder_testutils::fake_store::StoreFaults;
use guavaladder_testutils::node_fleet::NodeFleet;
use std::time::Duration;

/// Time within which a new configuration must be in force on all nodes.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

fn change(id: &str, based_on: u64, config: &str) -> ConfigChangeRequest {
    ConfigChangeRequest {
        change_id: id.to_string(),
        author: "ana".to_string(),
        reason: "test".to_string(),
        based_on,
        config: config.to_string(),
    }
}

fn config(queue_wait: u64) -> String {
    serde_json::json!({"defaults": {"queue_wait_ms": queue_wait}}).to_string()
}

async fn apply(
    fleet: &NodeFleet,
    node: &str,
    req: &ConfigChangeRequest,
) -> Result<ConfigChangeReply, ConfigChangeError> {
    config_change::apply(fleet.cx(node), &fleet.nodes[node].store, req).await
}

fn version(fleet: &NodeFleet, node: &str) -> u64 {
    fleet.cx(node).config.get().map_or(0, |record| record.version)
}

fn is_in_force_everywhere(fleet: &NodeFleet, wanted: u64) -> bool {
    fleet.nodes.keys().all(|node| version(fleet, node) == wanted)
}

async fn started_fleet(seed: u64) -> NodeFleet {
    let mut fleet = NodeFleet::new(seed);
    fleet.start(3, 3);
    assert!(fleet.wait_until(Duration::from_secs(15), NodeFleet::has_converged).await.is_some());
    fleet
}

#[tokio::test(start_paused = true)]
async fn apply_is_in_force_everywhere() {
    let fleet = started_fleet(1).await;
    let reply = apply(&fleet, "n1", &change("a", 0, &config(1))).await.unwrap();
    assert_eq!(reply, ConfigChangeReply { version: 1, repeated: false });
    let took = fleet.wait_until(IN_FORCE_BOUND, |fleet| is_in_force_everywhere(fleet, 1)).await;
    assert!(took.is_some());
    let is_confirmed = |fleet: &NodeFleet| {
        let report = config_change::in_force(fleet.cx("n9"), 1);
        report.members == 9 && report.in_force == 9 && report.missing.is_empty()
    };
    assert!(fleet.wait_until(Duration::from_secs(8), is_confirmed).await.is_some());
}

#[tokio::test(start_paused = true)]
async fn apply_recognizes_a_resend() {
    let fleet = started_fleet(2).await;
    let first = change("a", 0, &config(1));
    apply(&fleet, "n1", &first).await.unwrap();
    let again = apply(&fleet, "n5", &first).await.unwrap();
    assert_eq!(again, ConfigChangeReply { version: 1, repeated: true });
    apply(&fleet, "n2", &change("b", 1, &config(2))).await.unwrap();
    apply(&fleet, "n2", &change("c", 2, &config(3))).await.unwrap();
    let late = apply(&fleet, "n7", &first).await.unwrap();
    assert_eq!(late, ConfigChangeReply { version: 1, repeated: true });
    assert_eq!(fleet.store.peek_all("config/history/").len(), 2);
}

#[tokio::test(start_paused = true)]
async fn apply_conflict_shows_differences() {
    let fleet = started_fleet(3).await;
    apply(&fleet, "n1", &change("a", 0, &config(1))).await.unwrap();
    let error = apply(&fleet, "n4", &change("b", 0, &config(2))).await.unwrap_err();
    let ConfigChangeError::Conflict(conflict) = error else { panic!("{error:?}") };
    assert_eq!((conflict.version, conflict.based_on), (1, 0));
    let shown: Vec<_> = conflict
        .differences
        .iter()
        .map(|d| (d.path.as_str(), d.after.as_deref(), d.before.as_deref()))
        .collect();
    assert_eq!(shown, [("/defaults/queue_wait_ms", Some("2"), Some("1"))]);
}

#[tokio::test(start_paused = true)]
async fn apply_with_lost_responses_takes_effect_once() {
    let fleet = started_fleet(4).await;
    fleet.store.set_faults(StoreFaults { lose_responses: 0.7, ..StoreFaults::default() });
    for number in 1..=8 {
        let req = change(&format!("c{number}"), number - 1, &config(number));
        let mut reply = apply(&fleet, "n1", &req).await;
        while reply.is_err() {
            tokio::time::sleep(Duration::from_secs(2)).await;
            reply = apply(&fleet, "n6", &req).await;
        }
        assert_eq!(reply.unwrap().version, number);
    }
    fleet.store.set_faults(StoreFaults::default());
    assert!(
        fleet.wait_until(IN_FORCE_BOUND, |fleet| is_in_force_everywhere(fleet, 8)).await.is_some()
    );
}

#[tokio::test(start_paused = true)]
async fn restart_during_store_outage_receives_config_from_peers() {
    let mut fleet = started_fleet(5).await;
    apply(&fleet, "n1", &change("a", 0, &config(1))).await.unwrap();
    assert!(
        fleet.wait_until(IN_FORCE_BOUND, |fleet| is_in_force_everywhere(fleet, 1)).await.is_some()
    );
    fleet.store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    for number in [1, 2, 3, 4, 6, 7, 8, 9] {
        let data_centre = (number - 1) / 3 + 1;
        let region = if data_centre <= 2 { "r1" } else { "r2" };
        fleet.start_node(number, &format!("dc{data_centre}"), region);
    }
    let took =
        fleet.wait_until(Duration::from_secs(30), |fleet| is_in_force_everywhere(fleet, 1)).await;
    assert!(took.is_some(), "a restarted node has no configuration");
    let error = apply(&fleet, "n5", &change("b", 1, &config(2))).await.unwrap_err();
    assert!(matches!(error, ConfigChangeError::Unavailable(_)), "{error:?}");
}
