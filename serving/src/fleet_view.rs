//! The node's view of the registered instances, and the replicas derived from it.
//!
//! An instance whose entry disappears receives no more requests and is not assigned to a new group. If
//! it was a member of a group, it is remembered for a while as an expired member, since the group may
//! still work: the holder of the lease asks the instance for its state and dissolves the group if
//! necessary. During an outage of the store, entries expire because they cannot be renewed. Live
//! instances register again about two seconds after the store has recovered; until then, missing entries
//! are held unchanged.
//!
//! When the store returns from an older copy, the list may show instances in an earlier state, or instances that
//! have left since. Until live instances have written their entries again, the view keeps what it knew of each
//! run. That a run drains is kept for good, and the entry of a run that was gone is not used before the instance
//! itself has confirmed that it works.

use crate::fleet_config::FleetConfig;
use crate::instance::GroupEpoch;
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
use crate::store_era::Era;
use guavaladder_lib::generated::events::Event;
use guavaladder_proc_macros::common_derives;
use std::cmp::Ordering;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// Time after an outage of the store within which live instances register again, according to the
/// platform's documentation of the instance list.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2300);

/// Time for which a member of a group is remembered after its entry was removed. An instance that is cut
/// off from the store for longer is treated as lost.
const EXPIRED_MEMBER_RETENTION: Duration = Duration::from_secs(15);

/// Time for which it is remembered that an instance without an entry said that it leaves.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a run of an instance is remembered after its entry was removed. The copies from which the
/// store returns are some seconds old.
pub const UNPROVEN_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of removed runs that are remembered.
const MAX_GONE: usize = 4096;

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
    unproven_added: Arc<Notify>,
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
    /// Runs whose entries were removed in this era of the store, with the time.
    gone: HashMap<RunHash, Instant>,
    /// Runs whose entries were removed in an earlier era, and have not been written since.
    gone_before: HashMap<RunHash, Instant>,
    /// Entries of such runs that the list holds nevertheless.
    unproven: HashMap<InstanceId, Instance>,
    /// Until when live instances write their entries again after the store returned from an older copy; `None`
    /// once the list was read after that time.
    settles_at: Option<Instant>,
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
            unproven_added: Arc::default(),
        }
    }

    /// Records that the store has returned from an older copy, in a later era than the list's.
    pub fn enter_era(&self, era: Era, now: Instant) {
        let mut state = self.lock_sync_state();
        if era <= state.era {
            return;
        }
        let mut inner = self.lock();
        if inner.first_listed.is_none() {
            state.era = era;
            return;
        }
        *state = ListSyncState::in_new_era(era);
        inner.list_read = None;
        inner.settles_at = Some(now + REREGISTRATION_GRACE);
        let draining = inner.instances.values().filter(|instance| instance.is_draining);
        let draining: Vec<RunHash> = draining.map(run_of).collect();
        for run in draining {
            inner.leaving.entry(run).or_insert(now);
        }
        let gone = std::mem::take(&mut inner.gone);
        inner.gone_before.extend(gone);
    }

    /// Returns until when live instances write their entries again after the store returned from an older copy;
    /// `None` if the list was read since that time.
    pub fn settles_at(&self) -> Option<Instant> {
        self.lock().settles_at
    }

    /// Waits until the list has to be read again since live instances have written their entries.
    pub async fn settled(&self) {
        match self.settles_at() {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Returns the instances whose entries the list holds although they were gone before the store returned from
    /// an older copy.
    pub fn unproven(&self) -> Vec<Instance> {
        self.lock().unproven.values().cloned().collect()
    }

    /// Waits until there are unproven instances.
    pub async fn unproven_added(&self) {
        self.unproven_added.notified().await;
    }

    /// Uses the entry of an unproven instance, whose run has answered.
    pub fn record_proof(&self, id: &str, born_ms: u64) {
        let is_proven = |instance: &Instance| instance.engine.born_ms == born_ms;
        if self.lock().unproven.get(id).is_some_and(is_proven) {
            self.update(|inner, _| {
                let Some(instance) = inner.unproven.remove(id) else { return };
                inner.gone_before.remove(&run_of(&instance));
                inner.record_status_change(None, &instance);
                inner.instances.insert(instance.id.clone(), instance);
            });
        }
    }

    /// Forgets the runs that were gone for `retention`, unless the list still holds their entries.
    pub fn expire_unproven(&self, retention: Duration) {
        let mut inner = self.lock();
        let unproven: HashSet<RunHash> = inner.unproven.values().map(run_of).collect();
        inner.gone_before.retain(|run, at| unproven.contains(run) || at.elapsed() < retention);
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
            let is_settled = inner.settles_at.is_none_or(|at| at <= Instant::now());
            if is_settled {
                inner.settles_at = None;
            }
            let mut before = std::mem::take(&mut inner.instances);
            inner.unproven.clear();
            for mut instance in instances {
                if inner.gone_before.contains_key(&run_of(&instance)) {
                    inner.unproven.insert(instance.id.clone(), instance);
                    continue;
                }
                inner.gone.remove(&run_of(&instance));
                inner.held.remove(&instance.id);
                inner.expired.remove(&instance.id);
                let known = before.remove(&instance.id);
                if let Some(known) = &known
                    && !is_settled
                    && run_of(known) == run_of(&instance)
                {
                    instance.engine = known.engine.clone();
                }
                inner.record_status_change(known.as_ref(), &instance);
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
        if !self.lock().unproven.is_empty() {
            self.unproven_added.notify_one();
        }
        match is_restored {
            true => {
                *state = ListSyncState { era: state.era, revision, ..ListSyncState::default() };
            }
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

    /// Returns the highest epoch of the groups that instances belong to; `None` if there is no group.
    pub fn highest_epoch(&self) -> Option<GroupEpoch> {
        let inner = self.lock();
        let memberships = inner.instances.values().filter_map(|i| i.engine.membership.as_ref());
        memberships.map(|membership| membership.epoch).max()
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

    /// Records that another node watches the list and has reached a revision of an era of the store; `None`
    /// stands for the era that this node knows.
    pub fn note_watcher(&self, revision: u64, era: Option<Era>, now: Instant) {
        let mut state = self.lock_sync_state();
        if era.is_none_or(|era| era == state.era) {
            state.note_watcher_revision(revision, now);
        }
    }

    /// Applies changes that another node forwarded out of an era of the store; `None` stands for the era that
    /// this node knows. Those of a later era tell nothing of the revision that the list is at, and those of an
    /// earlier one are void.
    pub fn apply_forwarded(
        &self,
        delta: InstanceListDelta,
        era: Option<Era>,
        hold_until: Option<Instant>,
        now: Instant,
    ) {
        let own = self.sync_state().era;
        match era.unwrap_or(own).cmp(&own) {
            Ordering::Less => {}
            Ordering::Equal => self.apply_delta(delta, hold_until, now),
            Ordering::Greater => self.apply(delta.changes, hold_until),
        }
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
            // The list that will be read contains them.
            _ if state.is_unlisted => {
                if let Some(read) = &mut self.lock().list_read {
                    read.deltas.push(delta.clone());
                }
                self.apply(delta.changes, hold_until);
            }
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
        self.is_watching.store(is_watching, Relaxed);
    }

    /// Returns the revision of the list if this node watches it in the store, otherwise 0.
    pub fn watched_revision(&self) -> u64 {
        match self.is_watching.load(Relaxed) {
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
                    let run = run_of(&instance);
                    self.gone.remove(&run);
                    self.gone_before.remove(&run);
                    self.unproven.remove(&instance.id);
                    self.held.remove(&instance.id);
                    self.expired.remove(&instance.id);
                    let before = self.instances.remove(&instance.id);
                    self.record_status_change(before.as_ref(), &instance);
                    self.instances.insert(instance.id.clone(), *instance);
                }
                EntryChange::Removed(id) => {
                    self.unproven.remove(&id);
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
        let (run, now) = (run_of(instance), Instant::now());
        if let Some(at) = self.leaving.get_mut(&run) {
            *at = now;
        }
        if self.gone.len() >= MAX_GONE {
            self.gone.retain(|_, at| now - *at < UNPROVEN_RETENTION);
        }
        if self.gone.len() < MAX_GONE {
            self.gone.insert(run, now);
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
