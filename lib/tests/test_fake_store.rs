//! Tests of the fake store that other tests use.

use guavaladder_lib::clock::Clock;
use guavaladder_lib::generated::platform::PutObject;
use guavaladder_lib::generated::platform::PutOutcome;
use guavaladder_lib::platform::ObjectStore;
use guavaladder_lib::platform::PlatformError;
use guavaladder_testutils::fake_store::FakeStore;
use guavaladder_testutils::fake_store::StoreFaults;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(5);

fn put(key: &str, if_version: u64, value: &str) -> PutObject {
    PutObject { key: key.to_string(), if_version, value: value.to_string() }
}

fn store() -> FakeStore {
    FakeStore::new(Clock::with_tokio_time(Duration::from_secs(1)))
}

#[tokio::test(start_paused = true)]
async fn put_is_conditional() {
    let store = store();
    assert_eq!(store.put(&put("a/1", 0, "x")).await, Ok(PutOutcome::Written(1)));
    assert_eq!(store.put(&put("a/1", 0, "y")).await, Ok(PutOutcome::Conflict(1)));
    assert_eq!(store.put(&put("a/1", 1, "y")).await, Ok(PutOutcome::Written(2)));
    assert_eq!(store.delete("a/1", 1).await, Ok(PutOutcome::Conflict(2)));
    assert_eq!(store.delete("a/1", 2).await, Ok(PutOutcome::Written(3)));
    assert_eq!(store.get("a/1").await, Ok(None));
    assert_eq!(store.calls().writes(), 5);
}

#[tokio::test(start_paused = true)]
async fn put_response_lost_after_effect() {
    let store = store();
    store.set_faults(StoreFaults { lose_responses: 1.0, ..StoreFaults::default() });
    let lost = store.put(&put("a", 0, "x")).await;
    assert!(matches!(lost, Err(PlatformError::ResponseLost { .. })));
    assert_eq!(store.peek("a").map(|object| object.version), Some(1));
}

#[tokio::test(start_paused = true)]
async fn watch_waits_for_changes_below_prefix() {
    let store = store();
    let watching = tokio::spawn({
        let store = store.clone();
        async move { store.watch("a/", 0, WAIT).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.seed("b/1", "other");
    store.seed("a/1", "mine");
    let batch = watching.await.unwrap().unwrap();
    assert_eq!(batch.revision, 2);
    assert_eq!(batch.changes.len(), 1);
    let unchanged = store.watch("a/", 2, WAIT).await.unwrap();
    assert!(unchanged.changes.is_empty() && !unchanged.compacted);
}

#[tokio::test(start_paused = true)]
async fn watch_after_compaction() {
    let store = store();
    store.seed("a", "1");
    store.compact();
    assert!(store.watch("a", 0, WAIT).await.unwrap().compacted);
}

#[tokio::test(start_paused = true)]
async fn watch_lag_delays_changes() {
    let store = store();
    let lag = Duration::from_secs(2);
    store.set_faults(StoreFaults { watch_lag: lag, ..StoreFaults::default() });
    store.seed("a", "1");
    let before = tokio::time::Instant::now();
    assert_eq!(store.watch("a", 0, WAIT).await.unwrap().changes.len(), 1);
    assert_eq!(before.elapsed(), lag);
}

#[tokio::test(start_paused = true)]
async fn watch_fails_when_store_becomes_unavailable() {
    let store = store();
    let watching = tokio::spawn({
        let store = store.clone();
        async move { store.watch("a", 0, WAIT).await }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    assert!(matches!(watching.await.unwrap(), Err(PlatformError::NotApplied { .. })));
}
