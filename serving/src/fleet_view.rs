//! The node's view of the registered instances, and the replicas derived from it.
//!
//! An instance whose entry disappears receives no more requests and is not assigned to a new group. If
//! it was a member of a group, it is remembered for a while as an expired member, since the group may
//! still work: the holder of the lease asks the instance for its state and dissolves the group if
//! necessary. During an outage of the store, entries expire because they cannot be renewed. Live
//! instances register again about two seconds after the store has recovered; until then, missing entries
//! are held unchanged.

use crate::fleet_config::FleetConfig;
use crate::instance::Instance;
use crate::instance::InstanceId;
use crate::instance_list_delta;
use crate::instance_list_delta::DeltaFit;
use crate::instance_list_delta::InstanceListDelta;
use crate::instance_list_delta::ListSyncState;
use crate::rate_limited_log::RateLimitedLog;
use crate::rate_limits::RunHash;
use crate::rate_limits::run_hash;
use crate::replica_set::Replica;
use crate::replica_set::ReplicaSet;
use guavaladder_lib::generated::events::Event;
use guavaladder_proc_macros::common_derives;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time after an outage of the store within which live instances register again, according to the
/// platform's documentation of the instance list.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2300);

/// Time for which a member of a group is remembered after its entry was removed. An instance that is cut
/// off from the store for longer is treated as lost.
const EXPIRED_MEMBER_RETENTION: Duration = Duration::from_secs(15);

/// Time for which it is remembered that an instance without an entry said that it leaves.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);

/// Change of one entry of the instance list.
#[common_derives]
pub enum EntryChange {
    /// The entry was created or replaced.
    Put(Box<Instance>),
    /// The entry of the instance with this id was removed.
    Removed(InstanceId),
}

/// Shared view of the registered instances.
#[derive(Debug, Clone)]
pub struct FleetView {
    log: RateLimitedLog,
    inner: Arc<Mutex<Inner>>,
    changes: Arc<watch::Sender<u64>>,
    sync_state: Arc<Mutex<ListSyncState>>,
    is_watching: Arc<AtomicBool>,
    relist_requested: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Inner {
    instances: HashMap<InstanceId, Instance>,
    /// When the reported group membership or weights of each instance last changed.
    changed_at: HashMap<InstanceId, Instant>,
    /// Missing entries that are held after an outage of the store, with the end of the hold.
    held: HashMap<InstanceId, Instant>,
    /// Runs of instances that said that they leave, with the time at which they first did, or at which their
    /// entry was last removed.
    leaving: HashMap<RunHash, Instant>,
    /// Members of groups whose entries were removed, with the time of removal.
    expired: HashMap<InstanceId, (Instant, Instance)>,
    config: Option<Arc<FleetConfig>>,
    replicas: Arc<ReplicaSet>,
    /// Changes that other nodes forwarded while the complete list is being read.
    list_read: Option<ListRead>,
    /// When the complete list was read for the first and for the last time.
    first_listed: Option<Instant>,
    last_listed: Option<Instant>,
}

/// A read of the complete list that has not ended.
#[derive(Debug, Default)]
struct ListRead {
    /// Revision that the view had reached when it began.
    from: u64,
    /// Changes that were applied since.
    deltas: Vec<InstanceListDelta>,
}

impl FleetView {
    /// Creates an empty view.
    pub fn new(log: RateLimitedLog) -> Self {
        let (tx, _) = watch::channel(0);
        Self {
            log,
            inner: Arc::default(),
            changes: Arc::new(tx),
            sync_state: Arc::default(),
            is_watching: Arc::default(),
            relist_requested: Arc::default(),
        }
    }

    /// Records that a read of the complete list begins. Changes that are applied until `replace_all` may be
    /// newer than the list.
    pub fn begin_list(&self) {
        let from = self.lock_sync_state().revision;
        self.lock().list_read = Some(ListRead { from, deltas: vec![] });
    }

    /// Replaces all entries by the complete list of a revision, and applies the later changes that arrived
    /// during its read again; missing entries are held until `hold_until`.
    pub fn replace_all(
        &self,
        instances: Vec<Instance>,
        revision: u64,
        hold_until: Option<Instant>,
    ) {
        let mut state = self.lock_sync_state();
        let read = self.lock().list_read.take().unwrap_or_default();
        // The store has returned from an older copy: what is known of its later revisions is void.
        let is_restored = revision < read.from;
        self.update(|inner, log| {
            let mut before = std::mem::take(&mut inner.instances);
            for instance in instances {
                inner.held.remove(&instance.id);
                inner.expired.remove(&instance.id);
                inner.record_status_change(before.remove(&instance.id).as_ref(), &instance);
                inner.instances.insert(instance.id.clone(), instance);
            }
            for (id, instance) in before {
                handle_missing(inner, log, id, instance, hold_until);
            }
            let now = Instant::now();
            inner.first_listed.get_or_insert(now);
            inner.last_listed = Some(now);
            let is_later = |delta: &InstanceListDelta| !is_restored && delta.to > revision;
            for delta in read.deltas.into_iter().filter(is_later) {
                inner.apply(log, delta.changes, hold_until);
            }
        });
        match is_restored {
            true => *state = ListSyncState { revision, ..ListSyncState::default() },
            false => state.advance_to(revision),
        }
    }

    /// Applies changes of entries; removed entries are held until `hold_until`.
    pub fn apply(&self, changes: Vec<EntryChange>, hold_until: Option<Instant>) {
        if !changes.is_empty() {
            self.update(|inner, log| inner.apply(log, changes, hold_until));
        }
    }

    /// Treats a run of an instance as draining, whatever its entry says; returns the instance's id if this is
    /// new.
    pub fn mark_leaving(&self, run: RunHash) -> Option<InstanceId> {
        {
            let mut inner = self.lock();
            if inner.leaving.contains_key(&run) {
                return None;
            }
            inner.leaving.insert(run, Instant::now());
        }
        self.update(|_, _| {});
        let inner = self.lock();
        inner.instances.values().find(|i| run_of(i) == run).map(|instance| instance.id.clone())
    }

    /// Drops held entries whose hold has ended, and expired members after `EXPIRED_MEMBER_RETENTION`.
    pub fn expire_held(&self, now: Instant) {
        let is_over = |(since, _): &(Instant, Instance)| now - *since >= EXPIRED_MEMBER_RETENTION;
        let is_due = {
            let inner = self.lock();
            inner.held.values().any(|until| *until <= now) || inner.expired.values().any(is_over)
        };
        if !is_due {
            return;
        }
        self.update(|inner, log| {
            inner.expired.retain(|_, expired| !is_over(expired));
            let overdue: Vec<InstanceId> = inner
                .held
                .iter()
                .filter(|(_, until)| **until <= now)
                .map(|(id, _)| id.clone())
                .collect();
            for id in overdue {
                if let Some(instance) = inner.instances.remove(&id) {
                    inner.record_removal(&instance);
                }
                let reason =
                    "the entry was not registered again after the outage of the store".to_string();
                log.record(Event::InstanceGone { instance: id, reason });
            }
        });
    }

    /// Sets the current configuration and derives the replicas from it.
    pub fn set_config(&self, config: FleetConfig) {
        self.update(|inner, _| inner.config = Some(Arc::new(config)));
    }

    /// Returns the current replicas.
    pub fn replicas(&self) -> Arc<ReplicaSet> {
        self.lock().replicas.clone()
    }

    /// Returns the registered instances, including those held after an outage of the store.
    pub fn instances(&self) -> HashMap<InstanceId, Instance> {
        self.lock().instances.clone()
    }

    /// Returns the members of groups whose entries were removed recently, with the time of removal.
    pub fn expired_members(&self) -> Vec<(Instant, Instance)> {
        self.lock().expired.values().cloned().collect()
    }

    /// Returns when the reported group membership or weights of each instance last changed.
    pub fn status_changed_at(&self) -> HashMap<InstanceId, Instant> {
        self.lock().changed_at.clone()
    }

    /// Returns a registered instance by its id.
    pub fn instance(&self, id: &str) -> Option<Instance> {
        self.lock().instances.get(id).cloned()
    }

    /// Returns whether the instance list has been read at least once.
    pub fn is_listed(&self) -> bool {
        self.lock().first_listed.is_some()
    }

    /// Returns how far the list has followed the store and the watchers.
    pub fn sync_state(&self) -> ListSyncState {
        *self.lock_sync_state()
    }

    /// Records that the list has reached a revision.
    pub fn advance_to(&self, revision: u64) {
        self.lock_sync_state().advance_to(revision);
    }

    /// Records that another node watches the list and has reached a revision.
    pub fn note_watcher_revision(&self, revision: u64, now: Instant) {
        self.lock_sync_state().note_watcher_revision(revision, now);
    }

    /// Applies changes that another node forwarded, or records a gap if earlier ones are missing.
    pub fn apply_delta(&self, delta: InstanceListDelta, hold_until: Option<Instant>, now: Instant) {
        let mut state = self.lock_sync_state();
        match instance_list_delta::compare_to_revision(&delta, state.revision) {
            DeltaFit::AlreadyApplied => {}
            DeltaFit::Gap => state.note_watcher_revision(delta.to, now),
            DeltaFit::Applicable => {
                state.advance_to(delta.to);
                state.watcher_heard_at = Some(now);
                if let Some(read) = &mut self.lock().list_read {
                    read.deltas.push(delta.clone());
                }
                self.apply(delta.changes, hold_until);
            }
        }
    }

    /// Sets whether this node has a working watch on the list in the store.
    pub fn set_watching(&self, is_watching: bool) {
        self.is_watching.store(is_watching, Ordering::Relaxed);
    }

    /// Returns the revision of the list if this node watches it in the store, otherwise 0.
    pub fn watched_revision(&self) -> u64 {
        match self.is_watching.load(Ordering::Relaxed) {
            true => self.lock_sync_state().revision,
            false => 0,
        }
    }

    fn lock_sync_state(&self) -> MutexGuard<'_, ListSyncState> {
        self.sync_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests that the complete list is read from the store again.
    pub fn request_relist(&self) {
        self.relist_requested.notify_one();
    }

    /// Waits until a read of the complete list is requested.
    pub async fn relist_requested(&self) {
        self.relist_requested.notified().await;
    }

    /// Returns whether the complete list was read at or after `moment`.
    pub fn is_listed_since(&self, moment: Instant) -> bool {
        self.lock().last_listed.is_some_and(|listed| listed >= moment)
    }

    /// Returns whether a missing entry proves that its instance is gone: the list has been known, and the
    /// store available, for longer than live instances need to register again.
    pub fn is_absence_trusted(&self, recovered_at: Option<Instant>, now: Instant) -> bool {
        let known = self.lock().first_listed.is_some_and(|at| now - at >= REREGISTRATION_GRACE);
        known && recovered_at.is_none_or(|at| now - at >= REREGISTRATION_GRACE)
    }

    /// Returns a receiver that is notified of each change of the view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn update(&self, change: impl FnOnce(&mut Inner, &RateLimitedLog)) {
        let mut inner = self.lock();
        change(&mut inner, &self.log);
        inner.apply_leaving();
        if let Some(config) = inner.config.clone() {
            let expired = inner.expired.values().map(|(_, instance)| instance);
            let replicas = ReplicaSet::derive(inner.instances.values(), expired, &config);
            log_replica_changes(&self.log, &inner.replicas, &replicas);
            inner.replicas = Arc::new(replicas);
        }
        drop(inner);
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Applies changes of entries; removed entries are held until `hold_until`.
    fn apply(
        &mut self,
        log: &RateLimitedLog,
        changes: Vec<EntryChange>,
        hold_until: Option<Instant>,
    ) {
        for change in changes {
            match change {
                EntryChange::Put(instance) => {
                    self.held.remove(&instance.id);
                    self.expired.remove(&instance.id);
                    let before = self.instances.remove(&instance.id);
                    self.record_status_change(before.as_ref(), &instance);
                    self.instances.insert(instance.id.clone(), *instance);
                }
                EntryChange::Removed(id) => {
                    if let Some(instance) = self.instances.remove(&id) {
                        handle_missing(self, log, id, instance, hold_until);
                    }
                }
            }
        }
    }

    /// Marks the instances as draining that said that they leave. An entry may be older than what they said.
    fn apply_leaving(&mut self) {
        if self.leaving.is_empty() {
            return;
        }
        let mut registered = HashSet::new();
        for instance in self.instances.values_mut() {
            let run = run_of(instance);
            if self.leaving.contains_key(&run) {
                instance.is_draining = true;
                registered.insert(run);
            }
        }
        self.leaving.retain(|run, at| registered.contains(run) || at.elapsed() < LEAVING_RETENTION);
    }

    /// Forgets what is known of an entry that was removed. That its run leaves is remembered for a while, since
    /// the entry may return.
    fn record_removal(&mut self, instance: &Instance) {
        self.held.remove(&instance.id);
        self.changed_at.remove(&instance.id);
        if let Some(at) = self.leaving.get_mut(&run_of(instance)) {
            *at = Instant::now();
        }
    }

    fn record_status_change(&mut self, before: Option<&Instance>, after: &Instance) {
        if before.is_none_or(|before| before.engine != after.engine) {
            self.changed_at.insert(after.id.clone(), Instant::now());
        }
    }
}

/// Returns the hash of the run of an instance.
fn run_of(instance: &Instance) -> RunHash {
    run_hash(&instance.id, instance.engine.born_ms)
}

/// Holds a missing entry until `hold_until`, or removes it if that has passed or is not set.
fn handle_missing(
    inner: &mut Inner,
    log: &RateLimitedLog,
    id: InstanceId,
    instance: Instance,
    hold_until: Option<Instant>,
) {
    let Some(until) = hold_until.filter(|until| *until > Instant::now()) else {
        inner.record_removal(&instance);
        let reason = "its entry was removed".to_string();
        log.record(Event::InstanceGone { instance: id.clone(), reason });
        if instance.engine.membership.is_some() && !instance.is_draining {
            inner.expired.insert(id, (Instant::now(), instance));
        }
        return;
    };
    let until = *inner.held.entry(id.clone()).or_insert(until);
    let held_for = until.saturating_duration_since(Instant::now());
    log.record(Event::InstanceEntryHeld { instance: id.clone(), held_for });
    inner.instances.insert(id, instance);
}

/// Logs for each service which replicas were added and removed.
fn log_replica_changes(log: &RateLimitedLog, before: &ReplicaSet, after: &ReplicaSet) {
    let mut services: Vec<&String> = before.services().chain(after.services()).collect();
    services.sort();
    services.dedup();
    for service in services {
        let (old, new) = (before.of_service(service), after.of_service(service));
        let missing_in = |list: &[Arc<Replica>], other: &[Arc<Replica>]| {
            let is_missing = |replica: &&Arc<Replica>| !other.iter().any(|o| o.key == replica.key);
            list.iter().filter(is_missing).map(|r| r.key.clone()).collect::<Vec<_>>().join(",")
        };
        let added = missing_in(new, old);
        let removed = missing_in(old, new);
        if !added.is_empty() || !removed.is_empty() {
            log.record(Event::ReplicaSetChanged {
                service: service.clone(),
                replicas: new.len() as u64,
                added,
                removed,
            });
        }
    }
}
