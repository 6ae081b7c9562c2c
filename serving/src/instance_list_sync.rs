//! Keeps the local instance list in sync with the store, by a watch or by changes that other nodes
//! forward.

use crate::cold_sync;
use crate::dialect::ObjectChange;
use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::failed_attempts;
use crate::fleet_view::EntryChange;
use crate::fleet_view::REREGISTRATION_GRACE;
use crate::instance::Instance;
use crate::instance_list_delta;
use crate::instance_list_delta::InstanceListDelta;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use crate::store_era::Era;
use crate::store_era::Revision;
use guavaladder_lib::generated::events::Event;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// Maximum duration of one watch call. TCP keep-alive detects a connection that went silent.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Minimum interval between two watch calls, so that changes in quick succession cost one call.
const WATCH_PERIOD: Duration = Duration::from_millis(300);
/// Interval at which a node that is not a watcher checks whether it has to list or watch.
const WATCH_CHECK_PERIOD: Duration = Duration::from_millis(150);
/// Maximum of the random delay before a node that is not a watcher reads the list after live instances have
/// written their entries again.
const MAX_SETTLE_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of skipped entries that are remembered.
const MAX_SKIPPED: usize = 1024;

/// Keeps the instance list in sync with the store.
#[derive(Debug)]
struct InstanceListSync {
    cx: ServingCx,
    deltas: mpsc::Sender<InstanceListDelta>,
    /// Revisions of the entries that were skipped, so that each is logged only once.
    skipped: HashMap<String, Revision>,
}

/// Keeps the instance list in sync until the task is cancelled; changes that this node reads from its
/// watch are also sent to `deltas`.
pub async fn run(cx: ServingCx, deltas: mpsc::Sender<InstanceListDelta>) {
    let mut sync = InstanceListSync { cx: cx.clone(), deltas, skipped: HashMap::new() };
    loop {
        cx.fleet.enter_era(cx.store.era().current(), Instant::now());
        sync.wait_until_settled().await;
        cx.fleet.begin_list();
        match cx.store.list(ObjectKind::Instances).await {
            Ok((objects, revision)) => {
                cx.fleet.enter_era(revision.era, Instant::now());
                let instances =
                    objects.iter().filter_map(|object| sync.decode(object, false)).collect();
                cx.fleet.replace_all(instances, revision.number, hold_until(&cx));
                cx.update_phase();
                sync.follow(revision).await;
                cx.fleet.set_watching(false);
            }
            Err(e) => {
                log::debug!("failed to read the instance list: {e}");
                sleep(cx.store.retry_delay()).await;
            }
        }
    }
}

/// Returns the time until which missing entries are held, if the store has been available for only a
/// short time.
pub fn hold_until(cx: &ServingCx) -> Option<Instant> {
    cx.store.health().recovered_at.map(|at| at + REREGISTRATION_GRACE)
}

/// Periodically drops held entries that were not registered again after an outage of the store, the load
/// state of replicas that no longer exist, and what is kept of old crashes. Runs until the task is
/// cancelled.
pub async fn expire(cx: ServingCx) {
    let mut ticks = tokio::time::interval(WATCH_PERIOD);
    loop {
        ticks.tick().await;
        cx.fleet.expire_held(Instant::now());
        let known: HashSet<u64> = cx.fleet.replicas().all().map(|replica| replica.hash).collect();
        cx.loads.retain(|hash| known.contains(&hash));
        failed_attempts::review(&cx);
        cx.update_phase();
        cx.crashes.expire(Instant::now());
    }
}

impl InstanceListSync {
    /// Keeps the list up to date; returns when it has to be read from the store again.
    async fn follow(&mut self, revision: Revision) {
        match self.is_watcher() {
            true => self.watch(revision).await,
            false => self.wait_for_relist(revision.era).await,
        }
    }

    /// After the store returned from an older copy, waits until the instances have written their entries again.
    /// A watcher does not wait, since it forwards these changes.
    async fn wait_until_settled(&self) {
        let Some(at) = self.cx.fleet.settles_at() else { return };
        if !self.is_watcher() {
            sleep_until(at + MAX_SETTLE_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
        }
    }

    /// Waits until the list that was read in an era has to be read again.
    async fn relist_due(&self, era: Era) {
        tokio::select! {
            () = self.cx.fleet.relist_requested() => {}
            () = self.cx.fleet.settled() => {}
            () = self.cx.store.era().changed_from(era) => {}
        }
    }

    /// Returns whether this node watches the list in the store. The node that plans groups, which holds
    /// the lease, always does.
    fn is_watcher(&self) -> bool {
        let now = Instant::now();
        let live = self.cx.nodes.live_names(now, self.cx.heartbeat_period());
        self.cx.lease.term().is_some() || instance_list_delta::is_watcher(self.cx.node(), &live)
    }

    /// Relies on the changes that watchers forward, until some are missing, no watcher is heard, or this
    /// node becomes a watcher.
    async fn wait_for_relist(&self, era: Era) {
        let started = Instant::now();
        loop {
            tokio::select! {
                () = sleep(WATCH_CHECK_PERIOD) => {}
                () = self.relist_due(era) => return,
            }
            let now = Instant::now();
            let timeout = instance_list_delta::watcher_timeout(self.cx.heartbeat_period());
            let is_recent = now - started < timeout;
            let needs_relist = !is_recent && self.cx.fleet.sync_state().needs_relist(now, timeout);
            if needs_relist || self.is_watcher() {
                return;
            }
        }
    }

    /// Watches the list in the store and forwards its changes.
    async fn watch(&mut self, mut revision: Revision) {
        loop {
            let started = Instant::now();
            let wait = self.cx.watch_wait(WATCH_WAIT);
            let watched = tokio::select! {
                watched = self.cx.store.watch(ObjectKind::Instances, revision, wait) => watched,
                () = self.relist_due(revision.era) => return,
            };
            match watched {
                Ok((changes, watched_to)) => {
                    let changes = changes.iter().filter_map(|c| self.change(c)).collect();
                    let (from, to) = (revision.number, watched_to.number);
                    let delta = InstanceListDelta { from, to, changes };
                    self.forward(&delta);
                    // Other watchers may have forwarded later changes already.
                    self.cx.fleet.apply_delta(delta, hold_until(&self.cx), Instant::now());
                    self.cx.fleet.set_watching(true);
                    revision = watched_to;
                    sleep(WATCH_PERIOD.saturating_sub(started.elapsed())).await;
                    if !self.is_watcher() {
                        return;
                    }
                }
                Err(StoreError::HistoryGone | StoreError::Restored) => return,
                Err(e) => {
                    log::debug!("failed to watch the instance list: {e}");
                    self.cx.fleet.set_watching(false);
                    sleep(self.cx.store.retry_delay()).await;
                    if matches!(e, StoreError::Undecodable(_)) {
                        return;
                    }
                }
            }
        }
    }

    /// Forwards changes to the other nodes, unless all of them watch the list themselves.
    fn forward(&self, delta: &InstanceListDelta) {
        let live = self.cx.nodes.addresses().len();
        if delta.from == delta.to || !instance_list_delta::needs_forwarding(live) {
            return;
        }
        // If the queue is full, the other nodes detect a gap and read the list from the store.
        if self.deltas.try_send(delta.clone()).is_err() {
            log::debug!(
                "changes of the instance list were not forwarded: the queue is full or closed"
            );
        }
    }

    fn change(&mut self, change: &ObjectChange) -> Option<EntryChange> {
        match change {
            ObjectChange::Removed(name) => Some(EntryChange::Removed(name.clone())),
            ObjectChange::Put(object) => {
                // An entry that can no longer be decoded is treated as removed.
                let removed = || EntryChange::Removed(object.name.clone());
                let decoded = self.decode(object, true).map(|i| EntryChange::Put(Box::new(i)));
                Some(decoded.unwrap_or_else(removed))
            }
        }
    }

    fn decode(&mut self, object: &StoredObject, is_watched: bool) -> Option<Instance> {
        match self.cx.dialect.decode_instance(object) {
            Ok(instance) => {
                cold_sync::record_entry(&self.cx, object, &instance, is_watched);
                Some(instance)
            }
            Err(e) => {
                if self.skipped.len() >= MAX_SKIPPED {
                    self.skipped.clear();
                }
                let logged_revision = self.skipped.insert(object.name.clone(), object.revision);
                if logged_revision != Some(object.revision) {
                    let (instance, reason) = (object.name.clone(), e.to_string());
                    self.cx.log.record(Event::InstanceEntrySkipped { instance, reason });
                }
                None
            }
        }
    }
}
