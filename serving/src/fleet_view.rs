//! The node's view of the registered instances, and the replicas that follow from it.
//!
//! An entry that disappears means that its instance gets no more requests and no new place. As a member
//! of a group it is kept in mind for a while, since its group may go on: the holder of the lease asks
//! it, and dissolves the group if need be. Missing entries are kept as they are in the time right after
//! the store was away: entries lapse while nobody can renew them, and the instances that live
//! register again about two seconds after the store's return. Until then such entries are kept.

use crate::decision_log::DecisionLog;
use crate::fleet_config::FleetConfig;
use crate::instance::Instance;
use crate::instance::InstanceId;
use crate::instance_news;
use crate::instance_news::InstanceNews;
use crate::instance_news::NewsFit;
use crate::instance_news::NewsState;
use crate::replica_set::Replica;
use crate::replica_set::ReplicaSet;
use guavaladder_lib::generated::events::Event;
use guavaladder_proc_macros::common_derives;
use std::collections::HashMap;
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

/// Time from the store's return within which instances that live are registered again, by the
/// platform's page on its instance list.
pub const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2300);

/// Longest time for which a member of a group is kept in mind after its entry lapsed; instances that are
/// cut off from the store for longer are given up.
const LAPSED_MEMBER_TIME: Duration = Duration::from_secs(15);

/// Change of one entry.
#[common_derives]
pub enum EntryChange {
    /// Created or replaced.
    Put(Box<Instance>),
    /// Removed; the id.
    Removed(InstanceId),
}

/// Shared view of the instances.
#[derive(Debug, Clone)]
pub struct FleetView {
    log: DecisionLog,
    inner: Arc<Mutex<Inner>>,
    changes: Arc<watch::Sender<u64>>,
    news: Arc<Mutex<NewsState>>,
    is_watching: Arc<AtomicBool>,
    list_wanted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Inner {
    instances: HashMap<InstanceId, Instance>,
    /// When what an instance says of its place and weights last changed.
    changed_at: HashMap<InstanceId, Instant>,
    /// Missing entries that are kept, with the time until which they are.
    held: HashMap<InstanceId, Instant>,
    /// Members of groups whose entries were removed, with the time.
    lapsed: HashMap<InstanceId, (Instant, Instance)>,
    config: Option<Arc<FleetConfig>>,
    replicas: Arc<ReplicaSet>,
    /// When the list was read as a whole: the first time and the last.
    first_listed: Option<Instant>,
    last_listed: Option<Instant>,
}

impl FleetView {
    /// Returns an empty view.
    pub fn new(log: DecisionLog) -> Self {
        let (tx, _) = watch::channel(0);
        Self {
            log,
            inner: Arc::default(),
            changes: Arc::new(tx),
            news: Arc::default(),
            is_watching: Arc::default(),
            list_wanted: Arc::default(),
        }
    }

    /// Replaces all entries by those of a list; missing ones are kept until `hold_until`.
    pub fn replace_all(&self, instances: Vec<Instance>, hold_until: Option<Instant>) {
        self.update(|inner, log| {
            let mut before = std::mem::take(&mut inner.instances);
            for instance in instances {
                inner.held.remove(&instance.id);
                inner.lapsed.remove(&instance.id);
                inner.note_change(before.remove(&instance.id).as_ref(), &instance);
                inner.instances.insert(instance.id.clone(), instance);
            }
            for (id, instance) in before {
                miss(inner, log, id, instance, hold_until);
            }
            let now = Instant::now();
            inner.first_listed.get_or_insert(now);
            inner.last_listed = Some(now);
        });
    }

    /// Takes in changes of entries; ones that are missing are kept until `hold_until`.
    pub fn apply(&self, changes: Vec<EntryChange>, hold_until: Option<Instant>) {
        if changes.is_empty() {
            return;
        }
        self.update(|inner, log| {
            for change in changes {
                match change {
                    EntryChange::Put(instance) => {
                        inner.held.remove(&instance.id);
                        inner.lapsed.remove(&instance.id);
                        let before = inner.instances.remove(&instance.id);
                        inner.note_change(before.as_ref(), &instance);
                        inner.instances.insert(instance.id.clone(), *instance);
                    }
                    EntryChange::Removed(id) => {
                        if let Some(instance) = inner.instances.remove(&id) {
                            miss(inner, log, id, instance, hold_until);
                        }
                    }
                }
            }
        });
    }

    /// Drops the missing entries whose time has passed.
    pub fn expire_held(&self, now: Instant) {
        let is_over = |(since, _): &(Instant, Instance)| now - *since >= LAPSED_MEMBER_TIME;
        let is_due = {
            let inner = self.lock();
            inner.held.values().any(|until| *until <= now) || inner.lapsed.values().any(is_over)
        };
        if !is_due {
            return;
        }
        self.update(|inner, log| {
            inner.lapsed.retain(|_, lapsed| !is_over(lapsed));
            let expired: Vec<InstanceId> = inner
                .held
                .iter()
                .filter(|(_, until)| **until <= now)
                .map(|(id, _)| id.clone())
                .collect();
            for id in expired {
                inner.held.remove(&id);
                inner.instances.remove(&id);
                inner.changed_at.remove(&id);
                let reason = "the entry did not come back after the store did".to_string();
                log.record(Event::InstanceGone { instance: id, reason });
            }
        });
    }

    /// Takes in the configuration in force.
    pub fn set_config(&self, config: FleetConfig) {
        self.update(|inner, _| inner.config = Some(Arc::new(config)));
    }

    /// Returns the replicas.
    pub fn replicas(&self) -> Arc<ReplicaSet> {
        self.lock().replicas.clone()
    }

    /// Returns the registered instances, those that are kept after an outage included.
    pub fn instances(&self) -> HashMap<InstanceId, Instance> {
        self.lock().instances.clone()
    }

    /// Returns the members of groups whose entries were removed lately, with the time of it.
    pub fn lapsed(&self) -> Vec<(Instant, Instance)> {
        self.lock().lapsed.values().cloned().collect()
    }

    /// Returns when what the instances say of their places and weights last changed.
    pub fn changes(&self) -> HashMap<InstanceId, Instant> {
        self.lock().changed_at.clone()
    }

    /// Returns the address of an instance.
    pub fn instance(&self, id: &str) -> Option<Instance> {
        self.lock().instances.get(id).cloned()
    }

    /// Tells whether the instance list has been read.
    pub fn is_known(&self) -> bool {
        self.lock().first_listed.is_some()
    }

    /// Returns the node's place in the changes that watchers hand on.
    pub fn news(&self) -> NewsState {
        *self.lock_news()
    }

    /// Takes in that the list has a revision.
    pub fn reach(&self, revision: u64) {
        self.lock_news().reach(revision);
    }

    /// Takes in that another node watches and has a list of a revision.
    pub fn hear_watcher(&self, revision: u64, now: Instant) {
        self.lock_news().hear(revision, now);
    }

    /// Takes in changes that another node handed on.
    pub fn take_news(&self, news: InstanceNews, hold_until: Option<Instant>, now: Instant) {
        let mut state = self.lock_news();
        match instance_news::fit(&news, state.revision) {
            NewsFit::Known => {}
            NewsFit::Gap => state.hear(news.to, now),
            NewsFit::Next => {
                state.reach(news.to);
                state.heard = Some(now);
                drop(state);
                self.apply(news.changes, hold_until);
            }
        }
    }

    /// Sets whether this node watches the list in the store, and that the watch works.
    pub fn set_watching(&self, is_watching: bool) {
        self.is_watching.store(is_watching, Ordering::Relaxed);
    }

    /// Returns the revision of the list while this node watches it in the store, else 0.
    pub fn watched_revision(&self) -> u64 {
        match self.is_watching.load(Ordering::Relaxed) {
            true => self.lock_news().revision,
            false => 0,
        }
    }

    fn lock_news(&self) -> MutexGuard<'_, NewsState> {
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks for the list to be read as a whole, soon.
    pub fn ask_for_list(&self) {
        self.list_wanted.notify_one();
    }

    /// Waits until somebody asks for the list.
    pub async fn list_wanted(&self) {
        self.list_wanted.notified().await;
    }

    /// Tells whether the list was read as a whole since a moment.
    pub fn is_listed_since(&self, moment: Instant) -> bool {
        self.lock().last_listed.is_some_and(|listed| listed >= moment)
    }

    /// Tells whether an entry that is missing now means that its instance is gone: the list has been
    /// known, and the store back, for longer than entries that lapsed need to come back.
    pub fn is_absence_trusted(&self, recovered_at: Option<Instant>, now: Instant) -> bool {
        let known = self.lock().first_listed.is_some_and(|at| now - at >= LAPSED_ENTRY_GRACE);
        known && recovered_at.is_none_or(|at| now - at >= LAPSED_ENTRY_GRACE)
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn update(&self, change: impl FnOnce(&mut Inner, &DecisionLog)) {
        let mut inner = self.lock();
        change(&mut inner, &self.log);
        if let Some(config) = inner.config.clone() {
            let lapsed = inner.lapsed.values().map(|(_, instance)| instance);
            let replicas = ReplicaSet::derive(inner.instances.values(), lapsed, &config);
            note_differences(&self.log, &inner.replicas, &replicas);
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
    fn note_change(&mut self, before: Option<&Instance>, after: &Instance) {
        if before.is_none_or(|before| before.engine != after.engine) {
            self.changed_at.insert(after.id.clone(), Instant::now());
        }
    }
}

/// Drops or keeps an entry that is missing.
fn miss(
    inner: &mut Inner,
    log: &DecisionLog,
    id: InstanceId,
    instance: Instance,
    hold_until: Option<Instant>,
) {
    let Some(until) = hold_until.filter(|until| *until > Instant::now()) else {
        inner.held.remove(&id);
        inner.changed_at.remove(&id);
        let reason = "its entry was removed".to_string();
        log.record(Event::InstanceGone { instance: id.clone(), reason });
        if instance.engine.membership.is_some() && !instance.is_draining {
            inner.lapsed.insert(id, (Instant::now(), instance));
        }
        return;
    };
    let until = *inner.held.entry(id.clone()).or_insert(until);
    let held_for = until.saturating_duration_since(Instant::now());
    log.record(Event::InstanceEntryHeld { instance: id.clone(), held_for });
    inner.instances.insert(id, instance);
}

/// Records how the replicas of each service changed.
fn note_differences(log: &DecisionLog, before: &ReplicaSet, after: &ReplicaSet) {
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
