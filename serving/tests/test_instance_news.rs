//! Tests of the changes of the instance list that nodes hand on.

use crate::util::config;
use crate::util::instance;
use crate::util::log;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::fleet_view::FleetView;
use guavaladder_serving::instance_news::InstanceNews;
use guavaladder_serving::instance_news::is_watcher;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn small_fleets_watch_and_large_ones_elect_a_few() {
    let nodes = |count: usize| (0..count).map(|i| format!("n{i}")).collect::<Vec<String>>();
    let watchers = |count: usize| {
        let all = nodes(count);
        let others = |own: &String| all.iter().filter(|n| *n != own).cloned().collect::<Vec<_>>();
        all.iter().filter(|own| is_watcher(own, &others(own))).count()
    };
    assert_eq!(watchers(8), 8);
    assert_eq!(watchers(75), 2);
}

#[tokio::test(start_paused = true)]
async fn missing_changes_or_silent_watchers_make_a_node_read_by_itself() {
    let view = FleetView::new(log());
    view.reach(100);
    view.hear_watcher(100, Instant::now());
    assert!(!view.news().must_read(Instant::now()));
    let late = InstanceNews { from: 105, to: 110, changes: vec![] };
    view.take_news(late, None, Instant::now());
    assert_eq!(view.news().revision, 100);
    tokio::time::advance(Duration::from_millis(400)).await;
    assert!(view.news().must_read(Instant::now()));
    view.reach(110);
    assert!(!view.news().must_read(Instant::now()));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(view.news().must_read(Instant::now()));
}

proptest! {
    /// Whatever the watchers' batches are, and wherever a node's own list lies between them, it has the
    /// list of the store once a batch has led it there; differential against the plain history.
    #[test]
    fn list_is_that_of_the_store_at_its_revision(
        history in prop::collection::vec((0usize..5, any::<bool>()), 1..40),
        cuts in prop::collection::vec((0usize..40, 0usize..40), 1..12),
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
        let at = |revision: usize| {
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
        view.replace_all(at(start).into_values().collect(), None);
        view.reach(start as u64);
        for (from, len) in cuts {
            let from = from.min(changes.len());
            let to = (from + len).min(changes.len());
            let changes = changes[from..to].to_vec();
            let news = InstanceNews { from: from as u64, to: to as u64, changes };
            view.take_news(news, None, Instant::now());
            let expected = at(view.news().revision as usize);
            let found: BTreeMap<_, _> = view.instances().into_iter().collect();
            prop_assert_eq!(found, expected);
        }
    }
}
