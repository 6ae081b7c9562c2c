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
use crate::instance::InstanceId;
use crate::instance_list_delta;
use crate::instance_list_delta::InstanceListDelta;
use crate::serving_cx::ServingCx;
use crate::store::PageRead;
use crate::store::StoreError;
use crate::store_era::Era;
use crate::store_era::Revision;
use guavaladder_lib::generated::events::Event;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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
/// Time for which another watcher may be ahead of a watch before the watch counts as lost; doubled for each watch
/// that is lost in a row, since the store may only be slow. It exceeds `WATCH_PERIOD`, within which a watcher may not
/// have asked yet.
const LOST_WATCH_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which a watcher checks whether another one is ahead.
const LOST_WATCH_CHECK_PERIOD: Duration = Duration::from_millis(300);
/// Maximum of the random delay before a node that is not a watcher reads the list after live instances have
/// written their entries again.
const MAX_SETTLE_DELAY: Duration = Duration::from_millis(500);
/// Maximum of the random delay before a node of a large fleet reads the complete list again.
const MAX_LIST_DELAY: Duration = Duration::from_millis(500);
/// Maximum of the random delay before a node of a large fleet reads the changes that it lacks.
const MAX_CATCH_UP_DELAY: Duration = Duration::from_millis(200);
/// Maximum wait of the watch that reads them, which the store answers at once if there are any.
const CATCH_UP_WAIT: Duration = Duration::from_millis(50);
/// Maximum number of skipped entries that are remembered.
const MAX_SKIPPED: usize = 1024;

/// Why a node ceases to follow the list in the way it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FollowEnd {
    /// The complete list has to be read.
    Relist,
    /// Changes are missing, or no watcher is heard.
    Behind,
    /// It begins or ceases to watch.
    RoleChanged,
}

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
        sync.wait_for_turn().await;
        cx.fleet.begin_list();
        match sync.read_list().await {
            Ok((instances, revision)) => {
                cx.fleet.enter_era(revision.era, Instant::now());
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

/// Waits until the list that was read in an era has to be read again.
async fn relist_due(cx: &ServingCx, era: Era) {
    tokio::select! {
        () = cx.fleet.relist_requested() => {}
        () = cx.fleet.settled() => {}
        () = cx.store.era().changed_from(era) => {}
    }
}

impl InstanceListSync {
    /// Waits before the complete list is read again in a large fleet, so that not all nodes read it at once. The
    /// node that plans groups does not wait.
    async fn wait_for_turn(&self) {
        let is_spread = self.cx.is_large_fleet() && self.cx.fleet.is_listed();
        if is_spread && self.cx.lease.term().is_none() {
            sleep(MAX_LIST_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
        }
    }

    /// Reads the complete list. When a node of a large fleet reads it for the first time, most pages may be some
    /// seconds old, and the changes since are read at once.
    async fn read_list(&mut self) -> Result<(Vec<Instance>, Revision), StoreError> {
        let cx = self.cx.clone();
        let has_stale_page = AtomicBool::new(false);
        let page_read = || {
            let is_repeated = cx.is_large_fleet();
            let may_be_stale = is_repeated && !cx.fleet.is_listed();
            has_stale_page.fetch_or(may_be_stale, Ordering::Relaxed);
            PageRead { is_repeated, may_be_stale }
        };
        let (objects, revision) = cx.store.list_pages(ObjectKind::Instances, page_read).await?;
        let instances = objects.iter().filter_map(|object| self.decode(object, false));
        if !has_stale_page.into_inner() {
            return Ok((instances.collect(), revision));
        }
        let mut list: HashMap<InstanceId, Instance> =
            instances.map(|instance| (instance.id.clone(), instance)).collect();
        let (changes, revision) = self.changes_after(revision).await?;
        for change in changes {
            match change {
                EntryChange::Put(instance) => list.insert(instance.id.clone(), *instance),
                EntryChange::Removed(id) => list.remove(&id),
            };
        }
        Ok((list.into_values().collect(), revision))
    }

    /// Reads the changes after a revision from the store, and the revision after them.
    async fn changes_after(
        &mut self,
        revision: Revision,
    ) -> Result<(Vec<EntryChange>, Revision), StoreError> {
        loop {
            match self.cx.store.watch(ObjectKind::Instances, revision, CATCH_UP_WAIT).await {
                Ok((changes, to)) => {
                    return Ok((changes.iter().filter_map(|c| self.change(c)).collect(), to));
                }
                Err(e @ (StoreError::NotApplied(_) | StoreError::Unknown(_))) => {
                    log::debug!("failed to read the changes of the instance list: {e}");
                    sleep(self.cx.store.retry_delay()).await;
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Keeps the list up to date; returns when it has to be read from the store again. In a large fleet a node that
    /// begins or ceases to watch, or lacks changes, goes on from the revision of its list.
    async fn follow(&mut self, mut revision: Revision) {
        loop {
            let end = match self.is_watcher() {
                true => self.watch(revision).await,
                false => self.wait_for_relist(revision.era).await,
            };
            self.cx.fleet.set_watching(false);
            let state = self.cx.fleet.sync_state();
            let is_known = state.era == revision.era && !state.is_unlisted;
            if end == FollowEnd::Relist || !is_known || !self.cx.is_large_fleet() {
                return;
            }
            revision.number = state.revision;
            if end == FollowEnd::Behind && !self.catch_up(revision).await {
                return;
            }
        }
    }

    /// Reads the changes since a revision after a short delay, so that not all nodes read at once. Returns false
    /// if the complete list has to be read.
    async fn catch_up(&mut self, from: Revision) -> bool {
        sleep(MAX_CATCH_UP_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
        let cx = self.cx.clone();
        let read = tokio::select! {
            read = self.changes_after(from) => read,
            () = relist_due(&cx, from.era) => return false,
        };
        let Ok((changes, to)) = read else { return false };
        let delta = InstanceListDelta { from: from.number, to: to.number, changes };
        cx.fleet.apply_delta(delta, hold_until(&cx), Instant::now());
        cx.fleet.advance_to(to.number);
        true
    }

    /// After the store returned from an older copy, waits until the instances have written their entries again.
    /// A watcher does not wait, since it forwards these changes.
    async fn wait_until_settled(&self) {
        let Some(at) = self.cx.fleet.settles_at() else { return };
        if !self.is_watcher() {
            sleep_until(at + MAX_SETTLE_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
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
    async fn wait_for_relist(&self, era: Era) -> FollowEnd {
        let started = Instant::now();
        loop {
            tokio::select! {
                () = sleep(WATCH_CHECK_PERIOD) => {}
                () = relist_due(&self.cx, era) => return FollowEnd::Relist,
            }
            let now = Instant::now();
            let timeout = instance_list_delta::watcher_timeout(self.cx.heartbeat_period());
            let is_recent = now - started < timeout;
            let gap_timeout = match self.cx.is_large_fleet() {
                true => instance_list_delta::LARGE_GAP_TIMEOUT,
                false => instance_list_delta::GAP_TIMEOUT,
            };
            let state = self.cx.fleet.sync_state();
            if self.is_watcher() {
                return FollowEnd::RoleChanged;
            }
            if !is_recent && state.needs_store(now, timeout, gap_timeout) {
                return FollowEnd::Behind;
            }
        }
    }

    /// Watches the list in the store and forwards its changes.
    async fn watch(&mut self, mut revision: Revision) -> FollowEnd {
        let mut lost_timeout = LOST_WATCH_TIMEOUT;
        loop {
            let started = Instant::now();
            let wait = self.cx.watch_wait(WATCH_WAIT);
            let watched = tokio::select! {
                watched = self.cx.store.watch(ObjectKind::Instances, revision, wait) => watched,
                () = relist_due(&self.cx, revision.era) => return FollowEnd::Relist,
                () = self.watch_lost(started, lost_timeout) => {
                    self.cx.metrics.list_watch_lost();
                    lost_timeout = (2 * lost_timeout).min(WATCH_WAIT);
                    continue;
                }
            };
            lost_timeout = LOST_WATCH_TIMEOUT;
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
                        return FollowEnd::RoleChanged;
                    }
                }
                Err(StoreError::HistoryGone | StoreError::Restored) => return FollowEnd::Relist,
                Err(e) => {
                    log::debug!("failed to watch the instance list: {e}");
                    self.cx.fleet.set_watching(false);
                    sleep(self.cx.store.retry_delay()).await;
                    if matches!(e, StoreError::Undecodable(_)) {
                        return FollowEnd::Relist;
                    }
                }
            }
        }
    }

    /// Waits until a watch that began at `started` counts as lost: another watcher has told of changes that this
    /// one has not returned.
    async fn watch_lost(&self, started: Instant, timeout: Duration) {
        sleep_until(started + timeout).await;
        loop {
            let gap_since = self.cx.fleet.sync_state().gap_since;
            if gap_since.is_some_and(|since| since.elapsed() >= timeout) {
                return;
            }
            sleep(LOST_WATCH_CHECK_PERIOD).await;
        }
    }

    /// Forwards changes to the other nodes, unless all of them watch the list themselves.
    fn forward(&self, delta: &InstanceListDelta) {
        let live = self.cx.nodes.addresses().len();
        if delta.from == delta.to
            || !instance_list_delta::needs_forwarding(live)
            || !self.is_forwarder()
        {
            return;
        }
        // If the queue is full, the other nodes detect a gap and read the list from the store.
        if self.deltas.try_send(delta.clone()).is_err() {
            log::debug!(
                "changes of the instance list were not forwarded: the queue is full or closed"
            );
        }
    }

    /// Returns whether this node forwards the changes that it reads. While the nodes of a large fleet start, they do
    /// not hear each other and all of them watch. If each forwarded all changes to all others, their links would
    /// be full, and they would go on not hearing each other.
    fn is_forwarder(&self) -> bool {
        if !self.cx.is_large_fleet() || self.cx.lease.term().is_some() {
            return true;
        }
        let electorate = self.cx.nodes.electorate(Instant::now(), self.cx.heartbeat_period());
        instance_list_delta::is_elected(self.cx.node(), &electorate)
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
