//! Tests of the store client against the fake store.

use guavaladder_lib::generated::platform::PutObject;
use guavaladder_lib::generated::platform::PutOutcome;
use guavaladder_lib::object_watch::ObjectWatch;
use guavaladder_lib::object_watch::WatchUpdate;
use guavaladder_lib::store_client::CallClass;
use guavaladder_lib::store_client::StoreClient;
use guavaladder_lib::store_error::StoreError;
use guavaladder_testutils::control_fleet::ControlFleet;
use guavaladder_testutils::fake_store::FakeStore;
use guavaladder_testutils::fake_store::StoreFaults;
use std::sync::Arc;
use std::time::Duration;

fn client() -> (FakeStore, StoreClient) {
    let mut fleet = ControlFleet::new();
    fleet.start_node("n1", "dc1");
    let cx = fleet.nodes["n1"].cx.clone();
    let store = FakeStore::new(fleet.clock.clone());
    (store.clone(), StoreClient::new(cx, Arc::new(store)))
}

fn put(if_version: u64, value: &str) -> PutObject {
    PutObject { key: "domains/d".to_string(), if_version, value: value.to_string() }
}

#[tokio::test(start_paused = true)]
async fn put_with_lost_response_is_read_back() {
    let (store, client) = client();
    store.set_faults(StoreFaults { lose_responses: 1.0, ..StoreFaults::default() });
    let outcome = client.put(CallClass::Control, put(0, "a")).await.unwrap();
    assert_eq!(outcome, PutOutcome::Written(1));
    assert_eq!(store.writes().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn put_conflict_gives_current_version() {
    let (store, client) = client();
    let version = store.seed("domains/d", "other");
    let outcome = client.put(CallClass::Control, put(0, "a")).await.unwrap();
    assert_eq!(outcome, PutOutcome::Conflict(version));
}

#[tokio::test(start_paused = true)]
async fn repeated_put_of_the_same_value_counts_as_written() {
    let (store, client) = client();
    client.put(CallClass::Control, put(0, "a")).await.unwrap();
    let outcome = client.put(CallClass::Control, put(0, "a")).await.unwrap();
    assert_eq!(outcome, PutOutcome::Written(1));
    assert_eq!(store.writes().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn outage_fails_calls_immediately_until_recovery() {
    let (store, client) = client();
    store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    for _ in 0..4 {
        let _ = client.get(CallClass::Config, "k").await;
    }
    assert!(!client.is_available());
    let calls = store.calls().gets;
    let failed = client.get(CallClass::Config, "k").await;
    assert_eq!(failed, Err(StoreError::Unavailable));
    assert_eq!(store.calls().gets, calls);
    store.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(client.get(CallClass::Config, "k").await, Ok(None));
    assert!(client.is_available());
}

#[tokio::test(start_paused = true)]
async fn queue_serves_control_first() {
    let (_, client) = client();
    let mut tasks = vec![];
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    for index in 0..400 {
        let class = if index == 399 { CallClass::Control } else { CallClass::Report };
        let (client, tx) = (client.clone(), tx.clone());
        tasks.push(tokio::spawn(async move {
            let _ = client.get(class, "k").await;
            let _ = tx.send(class);
        }));
        tokio::task::yield_now().await;
    }
    let mut position = 0;
    while rx.recv().await != Some(CallClass::Control) {
        position += 1;
    }
    assert!(position < 399, "the control call was served at position {position}");
}

#[tokio::test(start_paused = true)]
async fn watch_relists_after_compaction() {
    let (store, client) = client();
    store.seed("domains/a", "1");
    let mut watch = ObjectWatch::new(client, "domains/");
    let wait = Duration::from_secs(1);
    assert!(matches!(watch.next(wait).await, Ok(WatchUpdate::Snapshot { .. })));
    store.seed("domains/a", "2");
    assert!(matches!(watch.next(wait).await, Ok(WatchUpdate::Changes(c)) if c.len() == 1));
    store.seed("domains/a", "3");
    store.compact();
    let Ok(WatchUpdate::Snapshot { objects, .. }) = watch.next(wait).await else {
        panic!("no snapshot after compaction");
    };
    assert_eq!(objects[0].value, "3");
}
