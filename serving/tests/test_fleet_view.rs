//! Tests of the view of the registered instances.

use crate::util::SERVICE;
use crate::util::config;
use crate::util::instance;
use crate::util::log;
use crate::util::member;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::fleet_view::FleetView;
use guavaladder_serving::fleet_view::REREGISTRATION_GRACE;
use guavaladder_serving::instance::Instance;
use guavaladder_serving::instance::MembershipState;
use guavaladder_serving::instance_list_delta::InstanceListDelta;
use rstest::rstest;
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

/// Enters the next era and reads the list that the store returned with.
fn restore(view: &FleetView, listed: Vec<Instance>) {
    view.enter_era(1, Instant::now());
    view.replace_all(listed, 1, Some(Instant::now() + REREGISTRATION_GRACE));
}

#[tokio::test(start_paused = true)]
async fn draining_instance_stays_so_when_an_older_list_shows_it_ready() {
    let view = view();
    let draining = Instance { is_draining: true, ..instance("x", "orders") };
    view.apply(vec![EntryChange::Put(Box::new(draining))], None);
    restore(&view, vec![instance("x", "orders"), instance("y", "orders")]);
    assert_eq!(view.replicas().of_service("orders").len(), 1);
    view.apply(vec![EntryChange::Put(Box::new(instance("x", "orders")))], None);
    assert_eq!(view.replicas().of_service("orders").len(), 1);
    let mut next_run = instance("x", "orders");
    next_run.engine.born_ms += 1;
    view.apply(vec![EntryChange::Put(Box::new(next_run))], None);
    assert_eq!(view.replicas().of_service("orders").len(), 2);
}

#[tokio::test(start_paused = true)]
async fn instance_that_was_gone_is_not_used_until_it_is_proven() {
    let view = view();
    view.apply(vec![EntryChange::Removed("x".to_string())], None);
    restore(&view, vec![instance("x", "orders"), instance("y", "orders")]);
    assert_eq!(ids(&view), ["y"]);
    assert_eq!(view.unproven(), [instance("x", "orders")]);
    view.record_proof("x", 5);
    assert_eq!(ids(&view), ["y"]);
    view.record_proof("x", 1);
    assert_eq!((ids(&view), view.unproven()), (vec!["x".to_string(), "y".to_string()], vec![]));
}

#[tokio::test(start_paused = true)]
async fn instance_that_was_gone_is_used_once_it_writes_its_entry() {
    let view = view();
    view.apply(vec![EntryChange::Removed("x".to_string())], None);
    restore(&view, vec![instance("x", "orders"), instance("y", "orders")]);
    view.apply(vec![EntryChange::Put(Box::new(instance("x", "orders")))], None);
    assert_eq!((ids(&view), view.unproven()), (vec!["x".to_string(), "y".to_string()], vec![]));
    view.expire_unproven(Duration::ZERO);
    view.replace_all(vec![instance("x", "orders"), instance("y", "orders")], 9, None);
    assert_eq!(ids(&view), ["x", "y"]);
}

#[tokio::test(start_paused = true)]
async fn known_groups_are_kept_until_instances_have_written_their_entries() {
    let view = view();
    let members = [
        member("a", "small", 0, MembershipState::Open),
        member("b", "small", 1, MembershipState::Ready),
    ];
    let put = |instance: &Instance| EntryChange::Put(Box::new(instance.clone()));
    view.apply(members.iter().map(put).collect(), None);
    let groups = || view.replicas().of_service(SERVICE).len();
    assert_eq!(groups(), 1);
    let older = |id: &str| instance(id, SERVICE);
    restore(&view, vec![older("a"), older("b"), instance("x", "orders"), instance("y", "orders")]);
    assert_eq!((groups(), view.settles_at().is_some()), (1, true));
    tokio::time::advance(REREGISTRATION_GRACE).await;
    view.replace_all(vec![older("a"), older("b")], 5, None);
    assert_eq!((groups(), view.settles_at()), (0, None));
}

#[rstest]
#[case::earlier(Some(0), false, 0)]
#[case::same(Some(1), true, 8)]
#[case::not_told(None, true, 8)]
#[case::later(Some(2), true, 1)]
#[tokio::test(start_paused = true)]
async fn changes_from_other_nodes_count_by_their_era(
    #[case] era: Option<u64>,
    #[case] is_applied: bool,
    #[case] revision: u64,
) {
    let view = view();
    restore(&view, vec![instance("x", "orders"), instance("y", "orders")]);
    let changes = vec![EntryChange::Removed("x".to_string())];
    let delta = InstanceListDelta { from: 1, to: 8, changes };
    view.apply_forwarded(delta, era, None, Instant::now());
    assert_eq!(ids(&view).contains(&"x".to_string()), !is_applied);
    assert_eq!(view.sync_state().revision, revision.max(1));
}

/// A node that has not read the list since applies the changes, and reads the list nevertheless.
#[tokio::test(start_paused = true)]
async fn changes_before_the_first_list_of_an_era_are_applied() {
    let view = view();
    view.enter_era(1, Instant::now());
    let changes = vec![EntryChange::Removed("x".to_string())];
    view.apply_forwarded(
        InstanceListDelta { from: 50, to: 51, changes },
        None,
        None,
        Instant::now(),
    );
    assert_eq!(ids(&view), ["y"]);
    assert!(view.sync_state().is_unlisted);
}
