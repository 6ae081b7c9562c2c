//! Tests of the store client against a fake store, on paused time.

use crate::util::log;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::StoreMode;
use guavaladder_serving::dialect::ObjectKind;
use guavaladder_serving::network::Network;
use guavaladder_serving::network::PipeNetwork;
use guavaladder_serving::serving_metrics::ServingMetrics;
use guavaladder_serving::store::Store;
use guavaladder_serving::store::StoreError;
use guavaladder_serving::store_era::Revision;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio::time::timeout;

/// Maximum wait of the watches.
const WAIT: Duration = Duration::from_secs(15);

async fn store_and_client() -> (FakeStore, Store) {
    let network = Network::Pipes(PipeNetwork::new());
    let store = FakeStore::start_on(&network).await;
    let dialect = Arc::new(PlatformDialect::new());
    let client = Store::new(dialect, network, store.address, log(), ServingMetrics::new());
    (store, client)
}

/// Guards against a watch that waits for its full timeout although the store lost it. A store that
/// accepts calls and drops them keeps the connections open, so only the outcome of later calls shows
/// that an earlier one was lost.
#[tokio::test(start_paused = true)]
async fn watch_started_while_the_store_was_unresponsive_ends_when_the_store_recovers() {
    let (store, client) = store_and_client().await;
    store.set_mode(StoreMode::Unresponsive);
    let watching = client.clone();
    let after = Revision::from(100);
    let watch = tokio::spawn(async move { watching.watch(ObjectKind::Config, after, WAIT).await });
    assert!(client.get(ObjectKind::Config, "main").await.is_err());
    store.set_mode(StoreMode::Up);
    assert_eq!(client.get(ObjectKind::Config, "main").await, Ok(None));
    let ended = timeout(Duration::from_millis(10), watch).await.expect("the watch did not end");
    assert!(matches!(ended.expect("the watch task panicked"), Err(StoreError::Unknown(_))));
}

#[tokio::test(start_paused = true)]
async fn response_to_an_earlier_watch_does_not_count_as_recovery() {
    let (store, client) = store_and_client().await;
    let watching = client.clone();
    let after = Revision::from(100);
    let watch = tokio::spawn(async move { watching.watch(ObjectKind::Config, after, WAIT).await });
    sleep(Duration::from_millis(100)).await;
    store.set_mode(StoreMode::Unresponsive);
    for _ in 0..2 {
        assert!(client.get(ObjectKind::Config, "main").await.is_err());
    }
    assert!(client.health().unavailable_since.is_some());
    store.put("config", "main", json!({}));
    assert!(watch.await.expect("the watch task panicked").is_ok());
    assert!(client.health().unavailable_since.is_some());
    store.set_mode(StoreMode::Up);
    assert!(client.get(ObjectKind::Config, "main").await.is_ok());
    assert_eq!(client.health().unavailable_since, None);
}
