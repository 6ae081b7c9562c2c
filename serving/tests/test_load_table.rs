//! Tests of the load table.

use crate::util::config;
use crate::util::instance;
use guavaladder_serving::load_table::LoadTable;
use guavaladder_serving::replica_set::Replica;
use guavaladder_serving::replica_set::ReplicaSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn replica() -> Arc<Replica> {
    let instances = [instance("x", "orders")];
    ReplicaSet::derive(instances.iter(), [].iter(), &config(1)).of_service("orders")[0].clone()
}

#[test]
fn requests_are_counted_until_they_end() {
    let (table, replica) = (LoadTable::new(), replica());
    let mut guard = table.begin_request(&replica);
    let other = table.begin_request(&replica);
    guard.mark_answered();
    let state = table.state(&replica, Instant::now());
    assert_eq!((state.own, state.unanswered), (2, 1));
    drop(guard);
    drop(other);
    let state = table.state(&replica, Instant::now());
    assert_eq!((state.own, state.unanswered), (0, 0));
}

#[test]
fn loads_of_other_nodes_count_until_they_are_outdated() {
    let (table, replica) = (LoadTable::new(), replica());
    let start = Instant::now();
    table.set_remote_loads("n2", HashMap::from([(replica.hash, 3)]), start);
    table.set_remote_loads("n3", HashMap::from([(replica.hash, 4)]), start);
    assert_eq!(table.state(&replica, start).remote, 7);
    table.set_remote_loads("n3", HashMap::new(), start + Duration::from_secs(4));
    assert_eq!(table.state(&replica, start).remote, 0);
}

#[test]
fn consecutive_failures_eject_for_longer_each_time() {
    let (table, replica) = (LoadTable::new(), replica());
    let start = Instant::now();
    let _guard = table.begin_request(&replica);
    assert_eq!(table.record_failure(replica.hash, start), None);
    assert_eq!(table.record_failure(replica.hash, start), None);
    let first = table.record_failure(replica.hash, start).expect("no ejection");
    assert!(table.state(&replica, start).is_ejected);
    let later = start + first;
    assert!(!table.state(&replica, later).is_ejected);
    let second = table.record_failure(replica.hash, later).expect("no ejection");
    assert!(second > first);
    table.record_success(replica.hash);
    assert!(!table.state(&replica, later).is_ejected);
}

#[tokio::test(start_paused = true)]
async fn waiting_streams_are_notified_when_their_replica_is_down() {
    let (table, replica) = (LoadTable::new(), replica());
    let mut down = table.watch_down(replica.hash);
    let waiting = tokio::spawn(async move { down.wait_for(Option::is_some).await.is_ok() });
    assert!(table.mark_down(replica.hash, "m", Instant::now()));
    assert!(!table.mark_down(replica.hash, "m", Instant::now()));
    assert!(waiting.await.unwrap());
    assert!(table.state(&replica, Instant::now()).is_down);
    assert_eq!(table.down_members(Instant::now())[&replica.hash].member, "m");
    tokio::time::advance(Duration::from_secs(4)).await;
    assert!(table.state(&replica, Instant::now()).is_down);
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(!table.state(&replica, Instant::now()).is_down);
}
