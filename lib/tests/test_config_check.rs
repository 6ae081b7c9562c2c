//! Tests of the checks of a fleet configuration.

use guavaladder_lib::clock::Clock;
use guavaladder_lib::config_check;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_lib::metrics::Metrics;
use guavaladder_testutils::node_fleet::UNIX_BASE;
use rstest::rstest;

const TOKEN: &str = "blake3:0000000000000000000000000000000000000000000000000000000000000000";

fn cx() -> Cx {
    let settings = serde_json::json!({
        "node": "n1", "data_centre": "dc1", "region": "r1", "platform": "10.0.0.9:1",
        "fleet_key_file": "unused", "caller_listen": "10.0.0.1:1",
        "operator_listen": "10.0.0.1:2", "peer_listen": "10.0.0.1:3",
    });
    let settings = serde_json::from_value(settings).unwrap();
    Cx::new(settings, Clock::with_tokio_time(UNIX_BASE), Metrics::new())
}

fn engine_instances(domain: &str, count: usize) -> Vec<InstanceInfo> {
    let engine = |number| InstanceInfo {
        instance: format!("{domain}-{number}"),
        address: format!("10.1.0.{number}:1"),
        role: InstanceRole::Engine,
        domain: domain.to_string(),
        data_centre: "dc1".to_string(),
        region: "r1".to_string(),
        accelerators: 8,
        kind: "engine".to_string(),
        service: None,
        state: InstanceState::Live,
    };
    (0..count).map(engine).collect()
}

fn problem_paths(cx: &Cx, config: serde_json::Value) -> Vec<String> {
    match config_check::check(cx, &config.to_string()) {
        Ok(_) => vec![],
        Err(problems) => problems.into_iter().map(|problem| problem.path).collect(),
    }
}

#[rstest]
#[case::valid(serde_json::json!({"defaults": {}, "services": {"s": {"kind": "engine", "model": "m", "role": "full"}}}), &[])]
#[case::schema(serde_json::json!({"defaults": {"queue_wait_ms": -1, "colour": 1}}), &["/defaults/colour", "/defaults/queue_wait_ms"])]
#[case::role(serde_json::json!({"defaults": {}, "services": {"s": {"kind": "engine", "model": "m", "role": "both"}}}), &["/services/s/role"])]
#[case::model_missing(serde_json::json!({"defaults": {}, "services": {"s": {"kind": "engine"}}}), &["/services/s/model"])]
#[case::model_of_plain(serde_json::json!({"defaults": {}, "services": {"s": {"kind": "plain", "model": "m"}}}), &["/services/s/model"])]
#[case::times(serde_json::json!({"defaults": {"request_deadline_ms": 500, "queue_wait_ms": 600}}), &["/defaults/first_token_ms", "/defaults/queue_wait_ms"])]
#[case::order_timeout(serde_json::json!({"defaults": {"lease_ms": 1000}, "upstream_kinds": {"a/b": {}}}), &["/upstream_kinds/a~1b/order_timeout_ms"])]
#[case::duplicate_token(serde_json::json!({"defaults": {}, "operators": [TOKEN], "customers": {"c": {"tokens": [TOKEN]}}}), &["/customers/c/tokens/0"])]
#[case::unknown_service(serde_json::json!({"defaults": {}, "exceptions": [{"id": "a", "reason": "why", "what": {"service_replicas": {"service": "x", "replicas": 1}}}]}), &["/exceptions/0/what/service_replicas/service"])]
#[case::contradiction(serde_json::json!({"defaults": {}, "exceptions": [
    {"id": "a", "reason": "why", "what": {"exclude_instance": "i"}},
    {"id": "a", "reason": "why", "what": {"pin_instance": {"instance": "i", "service": "s"}}}
], "services": {"s": {"kind": "plain"}}}), &["/exceptions/1/id", "/exceptions/1/what"])]
#[tokio::test]
async fn check_reports_paths_of_problems(
    #[case] config: serde_json::Value,
    #[case] expected: &[&str],
) {
    assert_eq!(problem_paths(&cx(), config), expected);
}

#[rstest]
#[case::fits(2, 4, false, &[])]
#[case::too_many(4, 4, true, &["/services"])]
#[case::not_within_a_domain(2, 5, false, &["/services/s/replicas"])]
#[case::spanning(2, 5, true, &[])]
#[tokio::test]
async fn check_capacity(
    #[case] replicas: u32,
    #[case] members: u32,
    #[case] spanning: bool,
    #[case] expected: &[&str],
) {
    let cx = cx();
    cx.instances.replace([engine_instances("d1", 6), engine_instances("d2", 4)].concat());
    let config = serde_json::json!({"defaults": {}, "services": {"s": {
        "kind": "engine", "model": "m", "replicas": replicas, "members_per_replica": members,
        "allow_spanning": spanning,
    }}});
    assert_eq!(problem_paths(&cx, config), expected);
}

#[tokio::test]
async fn check_accepts_a_serialized_configuration() {
    let config = serde_json::json!({"defaults": {}, "services": {"s": {"kind": "plain"}}});
    let accepted = config_check::check(&cx(), &config.to_string()).unwrap();
    let serialized = serde_json::to_string(&accepted).unwrap();
    assert!(serialized.contains("null"));
    assert_eq!(config_check::check(&cx(), &serialized), Ok(accepted));
}
