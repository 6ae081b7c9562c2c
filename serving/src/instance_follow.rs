//! Follows the instance list in the store.

use crate::dialect::ObjectChange;
use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::fleet_view::EntryChange;
use crate::fleet_view::LAPSED_ENTRY_GRACE;
use crate::instance::Instance;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use guavaladder_lib::generated::events::Event;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Longest wait of one watch. The kernel's own probes notice a connection that went silent.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Shortest time from one watch to the next, so that changes that come together cost one call.
const WATCH_PERIOD: Duration = Duration::from_millis(300);
/// Entries of which it is remembered that they were skipped.
const MAX_SKIPPED: usize = 1024;

/// Follows the instance list.
#[derive(Debug)]
struct Follower {
    cx: ServingCx,
    /// Revisions of entries that were skipped, so that each is told once.
    skipped: HashMap<String, u64>,
}

/// Follows the instance list until the task is ended.
pub async fn run(cx: ServingCx) {
    let mut follower = Follower { cx: cx.clone(), skipped: HashMap::new() };
    loop {
        match cx.store.list(ObjectKind::Instances).await {
            Ok((objects, revision)) => {
                let instances =
                    objects.iter().filter_map(|object| follower.decode(object)).collect();
                cx.fleet.replace_all(instances, follower.hold_until());
                cx.review_phase();
                follower.follow(revision).await;
            }
            Err(e) => {
                log::debug!("the instance list could not be read: {e}");
                sleep(cx.store.pause()).await;
            }
        }
    }
}

/// Drops entries that did not come back after the store did, until the task is ended.
pub async fn expire(cx: ServingCx) {
    let mut ticks = tokio::time::interval(WATCH_PERIOD);
    loop {
        ticks.tick().await;
        cx.fleet.expire_held(Instant::now());
        cx.loads.retain(|hash| cx.fleet.replicas().all().any(|replica| replica.hash == hash));
    }
}

impl Follower {
    /// Watches the list; returns when it has to be read anew.
    async fn follow(&mut self, mut revision: u64) {
        loop {
            let started = Instant::now();
            let watched = tokio::select! {
                watched = self.cx.store.watch(ObjectKind::Instances, revision, WATCH_WAIT) => watched,
                () = self.cx.fleet.list_wanted() => return,
            };
            match watched {
                Ok(batch) => {
                    let changes = batch.changes.iter().filter_map(|c| self.change(c)).collect();
                    self.cx.fleet.apply(changes, self.hold_until());
                    revision = batch.revision;
                    sleep(WATCH_PERIOD.saturating_sub(started.elapsed())).await;
                }
                Err(StoreError::HistoryGone) => return,
                Err(e) => {
                    log::debug!("the watch on the instance list failed: {e}");
                    sleep(self.cx.store.pause()).await;
                    if matches!(e, StoreError::Undecodable(_)) {
                        return;
                    }
                }
            }
        }
    }

    /// Returns until when missing entries are kept, while the store has been back for a moment only.
    fn hold_until(&self) -> Option<Instant> {
        self.cx.store.health().regained_at.map(|at| at + LAPSED_ENTRY_GRACE)
    }

    fn change(&mut self, change: &ObjectChange) -> Option<EntryChange> {
        match change {
            ObjectChange::Removed(name) => Some(EntryChange::Removed(name.clone())),
            ObjectChange::Put(object) => {
                // An entry that became unreadable names no instance any more.
                let removed = || EntryChange::Removed(object.name.clone());
                let decoded = self.decode(object).map(|i| EntryChange::Put(Box::new(i)));
                Some(decoded.unwrap_or_else(removed))
            }
        }
    }

    fn decode(&mut self, object: &StoredObject) -> Option<Instance> {
        match self.cx.dialect.decode_instance(object) {
            Ok(instance) => Some(instance),
            Err(e) => {
                if self.skipped.len() >= MAX_SKIPPED {
                    self.skipped.clear();
                }
                let told = self.skipped.insert(object.name.clone(), object.revision);
                if told != Some(object.revision) {
                    let (instance, reason) = (object.name.clone(), e.to_string());
                    self.cx.log.record(Event::InstanceEntrySkipped { instance, reason });
                }
                None
            }
        }
    }
}
