//! Tests of the settings file of a node on the users' platform.

use guavaladder_serving::serving_settings::parse;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;

fn document() -> Value {
    json!({
        "node": "n1", "data_centre": "east", "peer_port": 7340, "store": "10.0.0.9:80",
        "listen": {
            "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "directory": "10.0.0.1:3"
        },
        "bounds": {"shutdown_s": 8, "retry_slack": 132},
        "something_new": {"a": [1]}
    })
}

#[test]
fn unknown_keys_are_accepted() {
    let settings = parse(&document().to_string()).unwrap();
    assert_eq!(settings.shutdown, Duration::from_secs(8));
    assert_eq!(settings.retry_ratio, 0.2);
    assert_eq!(settings.peers.to_string(), "10.0.0.1:7340");
    assert_eq!(settings.metrics, None);
}

/// Guards against features that a deployment without these settings would get.
#[test]
fn parse_without_scheduling_settings() {
    let settings = parse(&document().to_string()).unwrap();
    assert_eq!(settings.measured_from_size_ratio, None);
    assert_eq!(settings.evacuation, None);
    assert_eq!((settings.cold_over, settings.cold_slack), (1.0, 0.0));
    assert!(settings.data_centres.is_empty());
    assert_eq!(settings.memory, 256 << 20);
}

#[test]
fn parse_enforces_the_least_memory() {
    let mut document = document();
    document["memory_mb"] = json!(32);
    assert_eq!(parse(&document.to_string()).unwrap().memory, 32 << 20);
    document["memory_mb"] = json!(31);
    assert_eq!(parse(&document.to_string()).unwrap_err().len(), 1);
}

#[test]
fn parse_with_scheduling_settings() {
    let mut document = document();
    document["bounds"] = json!({"cold_over": 1.5, "cold_slack": 5, "evacuate_s": 5000e-3});
    document["scheduling"] = json!({"measured_from_size_ratio": 3, "load_estimate": false});
    document["data_centres"] = json!(["east", "west"]);
    let settings = parse(&document.to_string()).unwrap();
    assert_eq!(settings.measured_from_size_ratio, Some(3.0));
    assert!(settings.uses_demand_allocation && settings.uses_admission);
    assert!(!settings.uses_load_estimate);
    assert_eq!(settings.evacuation, Some(Duration::from_secs(5)));
    assert_eq!((settings.cold_over, settings.cold_slack), (1.5, 5.0));
    assert_eq!(settings.data_centres, ["east", "west"]);
}

#[rstest]
#[case::missing_key("/node", Value::Null, "/node: found nothing")]
#[case::wrong_type("/peer_port", json!("x"), "/peer_port: found \"x\"")]
#[case::out_of_range("/peer_port", json!(70000), "/peer_port: found 70000")]
#[case::no_address("/listen/callers", json!("localhost:1"), "/listen/callers: found \"localhost:1\"")]
#[case::no_store_address("/store", json!("10.0.0.9"), "/store: found \"10.0.0.9\"")]
#[case::port_of_a_listener("/peer_port", json!(3), "/peer_port: found the port of /listen/directory")]
#[case::negative_bound("/bounds/retry_slack", json!(-1), "/bounds/retry_slack: found -1")]
fn problem_is_reported_in_one_line_with_a_hint(
    #[case] path: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut document = document();
    *document.pointer_mut(path).unwrap() = value;
    let problems = parse(&document.to_string()).unwrap_err();
    assert_eq!(problems.len(), 1, "{problems:?}");
    let line = problems[0].to_string();
    assert!(line.starts_with(expected), "{line}");
    assert!(line.contains("allowed: ") && line.contains("hint: "), "{line}");
}
