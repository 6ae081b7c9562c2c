//! Tests of the instance list changes that nodes forward to each other.

use crate::util::config;
use crate::util::instance;
use crate::util::log;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::fleet_view::FleetView;
use guavaladder_serving::instance::Instance;
use guavaladder_serving::instance_list_delta::InstanceListDelta;
use guavaladder_serving::instance_list_delta::is_watcher;
use guavaladder_serving::instance_list_delta::watcher_timeout;
use guavaladder_serving::serving_cx::heartbeat_period_of;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a message from a watcher after which a node of a small fleet reads the list.
const TIMEOUT: Duration = Duration::from_secs(1);

/// In a fleet of hundreds of nodes one lost heartbeat was enough for all to read the complete list.
#[test]
fn watcher_timeout_outlasts_lost_heartbeats_at_any_size() {
    for nodes in 2..=1000 {
        let period = heartbeat_period_of(nodes);
        assert!(watcher_timeout(period) >= period * 3 + period / 2, "{nodes} nodes");
    }
    assert_eq!(watcher_timeout(heartbeat_period_of(75)), TIMEOUT);
}

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
    assert!(!view.sync_state().needs_relist(Instant::now(), TIMEOUT));
    let late = InstanceListDelta { from: 105, to: 110, changes: vec![] };
    view.apply_delta(late, None, Instant::now());
    assert_eq!(view.sync_state().revision, 100);
    tokio::time::advance(Duration::from_millis(400)).await;
    assert!(view.sync_state().needs_relist(Instant::now(), TIMEOUT));
    view.advance_to(110);
    assert!(!view.sync_state().needs_relist(Instant::now(), TIMEOUT));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(view.sync_state().needs_relist(Instant::now(), TIMEOUT));
}

/// Revisions are given out again after the store returned from an older copy.
#[tokio::test(start_paused = true)]
async fn changes_after_the_return_of_an_older_store_are_applied() {
    let view = FleetView::new(log());
    view.replace_all(vec![instance("x", "orders")], 200, None);
    view.begin_list();
    view.replace_all(vec![instance("x", "orders")], 150, None);
    let changes = vec![EntryChange::Removed("x".to_string())];
    view.apply_delta(InstanceListDelta { from: 150, to: 160, changes }, None, Instant::now());
    assert!(view.instances().is_empty());
}

/// A history of changes of five entries, each at the revision that its position gives.
struct History(Vec<EntryChange>);

impl History {
    fn new(entries: &[(usize, bool)]) -> Self {
        let change = |(revision, (id, is_put)): (usize, &(usize, bool))| {
            let id = format!("i{id}");
            match is_put {
                true => {
                    let mut put = instance(&id, "orders");
                    put.engine.born_ms = revision as u64 + 1;
                    EntryChange::Put(Box::new(put))
                }
                false => EntryChange::Removed(id),
            }
        };
        Self(entries.iter().enumerate().map(change).collect())
    }

    /// Returns the list at a revision, by replaying the changes one by one.
    fn list_at(&self, revision: usize) -> BTreeMap<String, Instance> {
        let mut list = BTreeMap::new();
        for change in &self.0[..revision] {
            match change {
                EntryChange::Put(put) => list.insert(put.id.clone(), (**put).clone()),
                EntryChange::Removed(id) => list.remove(id),
            };
        }
        list
    }

    /// Returns up to `len` changes after a revision as a message.
    fn delta(&self, from: usize, len: usize) -> InstanceListDelta {
        let from = from.min(self.0.len());
        let to = (from + len).min(self.0.len());
        InstanceListDelta { from: from as u64, to: to as u64, changes: self.0[from..to].to_vec() }
    }

    /// Returns a view of the list at a revision.
    fn view_at(&self, revision: usize) -> FleetView {
        let view = FleetView::new(log());
        view.set_config(config(1));
        view.replace_all(self.list_at(revision).into_values().collect(), revision as u64, None);
        view
    }
}

proptest! {
    /// For any batches of the watchers and any starting revision, the node's list equals the store's list at
    /// the revision that the node has reached.
    #[test]
    fn list_equals_that_of_the_store_at_its_revision(
        entries in prop::collection::vec((0usize..5, any::<bool>()), 1..40),
        ranges in prop::collection::vec((0usize..40, 0usize..40), 1..12),
        start in 0usize..40,
    ) {
        let history = History::new(&entries);
        let view = history.view_at(start.min(entries.len()));
        for (from, len) in ranges {
            view.apply_delta(history.delta(from, len), None, Instant::now());
            let expected = history.list_at(view.sync_state().revision as usize);
            let found: BTreeMap<_, _> = view.instances().into_iter().collect();
            prop_assert_eq!(found, expected);
        }
    }

    /// The same while the complete list is read again and again. Each read returns the list of a revision
    /// that is at least the one at which it began.
    #[test]
    fn list_that_is_read_beside_changes_equals_that_of_the_store(
        entries in prop::collection::vec((0usize..5, any::<bool>()), 1..40),
        reads in prop::collection::vec(
            (0usize..40, prop::collection::vec((0usize..40, 0usize..40), 0..4)),
            1..8,
        ),
    ) {
        let history = History::new(&entries);
        let view = history.view_at(0);
        let revision = || view.sync_state().revision as usize;
        for (read_at, ranges) in reads {
            let read_at = read_at.clamp(revision(), entries.len());
            view.begin_list();
            for (from, len) in ranges {
                view.apply_delta(history.delta(from, len), None, Instant::now());
            }
            let list = history.list_at(read_at).into_values().collect();
            view.replace_all(list, read_at as u64, None);
            let found: BTreeMap<_, _> = view.instances().into_iter().collect();
            prop_assert_eq!(found, history.list_at(revision()));
        }
    }
}
