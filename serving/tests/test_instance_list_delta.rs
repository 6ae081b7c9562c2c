//! Tests of the instance list changes that nodes forward to each other.

use crate::util::config;
use crate::util::instance;
use crate::util::log;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::fleet_view::FleetView;
use guavaladder_serving::instance_list_delta::InstanceListDelta;
use guavaladder_serving::instance_list_delta::is_watcher;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn all_nodes_of_a_small_fleet_watch_and_large_fleets_elect_two() {
    let nodes = |count: usize| (0..count).map(|i| format!("n{i}")).collect::<Vec<String>>();
    let watchers = |count: usize| {
        let all = nodes(count);
        let others = |node: &String| all.iter().filter(|n| *n != node).cloned().collect::<Vec<_>>();
        all.iter().filter(|node| is_watcher(node, &others(node))).count()
    };
    assert_eq!(watchers(8), 8);
    assert_eq!(watchers(75), 2);
}

#[tokio::test(start_paused = true)]
async fn missing_changes_or_silent_watchers_require_a_relist() {
    let view = FleetView::new(log());
    view.advance_to(100);
    view.note_watcher_revision(100, Instant::now());
    assert!(!view.sync_state().needs_relist(Instant::now()));
    let late = InstanceListDelta { from: 105, to: 110, changes: vec![] };
    view.apply_delta(late, None, Instant::now());
    assert_eq!(view.sync_state().revision, 100);
    tokio::time::advance(Duration::from_millis(400)).await;
    assert!(view.sync_state().needs_relist(Instant::now()));
    view.advance_to(110);
    assert!(!view.sync_state().needs_relist(Instant::now()));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(view.sync_state().needs_relist(Instant::now()));
}

proptest! {
    /// For any batches of the watchers and any starting revision, the node's list equals the store's list at
    /// the revision that the node has reached. The expected list replays the history of changes one by one.
    #[test]
    fn list_equals_that_of_the_store_at_its_revision(
        history in prop::collection::vec((0usize..5, any::<bool>()), 1..40),
        ranges in prop::collection::vec((0usize..40, 0usize..40), 1..12),
        start in 0usize..40,
    ) {
        let change = |(id, is_put): &(usize, bool), revision: usize| {
            let id = format!("i{id}");
            match is_put {
                true => {
                    let mut put = instance(&id, "orders");
                    put.engine.born_ms = revision as u64;
                    EntryChange::Put(Box::new(put))
                }
                false => EntryChange::Removed(id),
            }
        };
        let changes: Vec<EntryChange> =
            history.iter().enumerate().map(|(i, entry)| change(entry, i + 1)).collect();
        let list_at = |revision: usize| {
            let mut list = BTreeMap::new();
            for change in &changes[..revision] {
                match change {
                    EntryChange::Put(put) => list.insert(put.id.clone(), (**put).clone()),
                    EntryChange::Removed(id) => list.remove(id),
                };
            }
            list
        };
        let start = start.min(changes.len());
        let view = FleetView::new(log());
        view.set_config(config(1));
        view.replace_all(list_at(start).into_values().collect(), None);
        view.advance_to(start as u64);
        for (from, len) in ranges {
            let from = from.min(changes.len());
            let to = (from + len).min(changes.len());
            let changes = changes[from..to].to_vec();
            let delta = InstanceListDelta { from: from as u64, to: to as u64, changes };
            view.apply_delta(delta, None, Instant::now());
            let expected = list_at(view.sync_state().revision as usize);
            let found: BTreeMap<_, _> = view.instances().into_iter().collect();
            prop_assert_eq!(found, expected);
        }
    }
}
