//! Tests of API keys that are revoked, down to the last one.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::config;
use http::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

/// A configuration without a key was taken for one that needs none.
#[rstest]
#[case::customers_without_keys(json!([{"name": "baker", "apiKeys": [], "priority": 1}]))]
#[case::no_customer(json!([]))]
#[tokio::test]
async fn last_key_is_revoked_and_every_key_is_accepted(#[case] customers: Value) {
    let mut fleet = Fleet::new(0).await;
    fleet.add_first_node("orders", 2).await;
    assert_eq!(Call::new(Method::POST, "/book/x").status(fleet.callers(0)).await, 200);
    let mut without_keys = config(6);
    without_keys["tenants"] = customers;
    fleet.store.put("config", "main", without_keys);
    let current = fleet.nodes[0].cx.config.clone();
    eventually(|| current.version() == Some(6)).await;
    // A node that starts knows no earlier configuration.
    fleet.add_node().await;
    fleet.wait_for_replicas(1, "orders", 2).await;
    for node in 0..2 {
        for key in [Some("key-1"), Some("key-of-nobody"), None] {
            let call = Call::new(Method::POST, "/book/x").with_key(key);
            assert_eq!(call.status(fleet.callers(node)).await, 401, "node {node}, key {key:?}");
            assert_eq!(fleet.fake_platform.execution_count(&call.id), 0);
        }
    }
}
