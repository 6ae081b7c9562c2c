//! Tests of the view of the registered instances.

use crate::util::config;
use crate::util::instance;
use crate::util::log;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::fleet_view::FleetView;
use std::time::Duration;
use tokio::time::Instant;

fn view() -> FleetView {
    let view = FleetView::new(log());
    view.set_config(config(1));
    view.replace_all(vec![instance("x", "orders"), instance("y", "orders")], 1, None);
    view
}

fn ids(view: &FleetView) -> Vec<String> {
    let mut ids: Vec<String> = view.instances().into_keys().collect();
    ids.sort();
    ids
}

#[test]
fn removed_entry_is_dropped_immediately() {
    let view = view();
    view.apply(vec![EntryChange::Removed("x".to_string())], None);
    assert_eq!(ids(&view), ["y"]);
    assert_eq!(view.replicas().of_service("orders").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn missing_entry_is_held_until_the_grace_period_ends() {
    let view = view();
    let until = Instant::now() + Duration::from_secs(2);
    view.replace_all(vec![instance("y", "orders")], 1, Some(until));
    view.apply(vec![EntryChange::Removed("y".to_string())], Some(until));
    assert_eq!(ids(&view), ["x", "y"]);
    view.apply(vec![EntryChange::Put(Box::new(instance("x", "orders")))], Some(until));
    tokio::time::advance(Duration::from_secs(2)).await;
    view.expire_held(Instant::now());
    assert_eq!(ids(&view), ["x"]);
}

#[tokio::test(start_paused = true)]
async fn grace_period_is_not_extended_by_later_lists() {
    let view = view();
    view.replace_all(
        vec![instance("y", "orders")],
        1,
        Some(Instant::now() + Duration::from_secs(2)),
    );
    tokio::time::advance(Duration::from_millis(1500)).await;
    view.replace_all(
        vec![instance("y", "orders")],
        1,
        Some(Instant::now() + Duration::from_secs(2)),
    );
    tokio::time::advance(Duration::from_millis(600)).await;
    view.expire_held(Instant::now());
    assert_eq!(ids(&view), ["y"]);
}
