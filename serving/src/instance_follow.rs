//! Follows the instance list in the store.

use crate::dialect::ObjectChange;
use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::fleet_view::EntryChange;
use crate::fleet_view::LAPSED_ENTRY_GRACE;
use crate::instance::Instance;
use crate::instance_news;
use crate::instance_news::InstanceNews;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use guavaladder_lib::generated::events::Event;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

/// Longest wait of one watch. The kernel's own probes notice a connection that went silent.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Shortest time from one watch to the next, so that changes that come together cost one call.
const WATCH_PERIOD: Duration = Duration::from_millis(300);
/// Period in which a node that does not watch looks whether it has to.
const LISTEN_PERIOD: Duration = Duration::from_millis(150);
/// Entries of which it is remembered that they were skipped.
const MAX_SKIPPED: usize = 1024;

/// Follows the instance list.
#[derive(Debug)]
struct Follower {
    cx: ServingCx,
    news: mpsc::Sender<InstanceNews>,
    /// Revisions of entries that were skipped, so that each is told once.
    skipped: HashMap<String, u64>,
}

/// Follows the instance list until the task is ended; what the watch finds goes to `news` as well.
pub async fn run(cx: ServingCx, news: mpsc::Sender<InstanceNews>) {
    let mut follower = Follower { cx: cx.clone(), news, skipped: HashMap::new() };
    loop {
        match cx.store.list(ObjectKind::Instances).await {
            Ok((objects, revision)) => {
                let instances =
                    objects.iter().filter_map(|object| follower.decode(object)).collect();
                cx.fleet.replace_all(instances, hold_until(&cx));
                cx.fleet.reach(revision);
                cx.update_phase();
                follower.follow(revision).await;
                cx.fleet.set_watching(false);
            }
            Err(e) => {
                log::debug!("the instance list could not be read: {e}");
                sleep(cx.store.retry_delay()).await;
            }
        }
    }
}

/// Returns until when missing entries are kept, while the store has been back for a moment only.
pub fn hold_until(cx: &ServingCx) -> Option<Instant> {
    cx.store.health().recovered_at.map(|at| at + LAPSED_ENTRY_GRACE)
}

/// Drops entries that did not come back after the store did, until the task is ended.
pub async fn expire(cx: ServingCx) {
    let mut ticks = tokio::time::interval(WATCH_PERIOD);
    loop {
        ticks.tick().await;
        cx.fleet.expire_held(Instant::now());
        let known: HashSet<u64> = cx.fleet.replicas().all().map(|replica| replica.hash).collect();
        cx.loads.retain(|hash| known.contains(&hash));
    }
}

impl Follower {
    /// Keeps the list up to date; returns when it has to be read anew.
    async fn follow(&mut self, revision: u64) {
        match self.is_watcher() {
            true => self.watch(revision).await,
            false => self.listen().await,
        }
    }

    /// Tells whether this node watches the list in the store. The one that plans groups always does.
    fn is_watcher(&self) -> bool {
        let now = Instant::now();
        let live = self.cx.nodes.live(now, self.cx.heartbeat_period());
        let live: Vec<String> = live.into_iter().map(|heartbeat| heartbeat.node).collect();
        self.cx.lease.term().is_some() || instance_news::is_watcher(self.cx.node(), &live)
    }

    /// Lives on the changes that other nodes hand on, until some are missing or nobody watches.
    async fn listen(&self) {
        let started = Instant::now();
        loop {
            tokio::select! {
                () = sleep(LISTEN_PERIOD) => {}
                () = self.cx.fleet.list_wanted() => return,
            }
            let now = Instant::now();
            let is_new = now - started < instance_news::WATCHER_SILENCE;
            let must_read = !is_new && self.cx.fleet.news().must_read(now);
            if must_read || self.is_watcher() {
                return;
            }
        }
    }

    /// Watches the list in the store and hands its changes on.
    async fn watch(&mut self, mut revision: u64) {
        loop {
            let started = Instant::now();
            let wait = self.cx.watch_wait(WATCH_WAIT);
            let watched = tokio::select! {
                watched = self.cx.store.watch(ObjectKind::Instances, revision, wait) => watched,
                () = self.cx.fleet.list_wanted() => return,
            };
            match watched {
                Ok(batch) => {
                    let changes: Vec<EntryChange> =
                        batch.changes.iter().filter_map(|c| self.change(c)).collect();
                    self.hand_on(revision, batch.revision, &changes);
                    self.cx.fleet.apply(changes, hold_until(&self.cx));
                    self.cx.fleet.reach(batch.revision);
                    self.cx.fleet.set_watching(true);
                    revision = batch.revision;
                    sleep(WATCH_PERIOD.saturating_sub(started.elapsed())).await;
                    if !self.is_watcher() {
                        return;
                    }
                }
                Err(StoreError::HistoryGone) => return,
                Err(e) => {
                    log::debug!("the watch on the instance list failed: {e}");
                    self.cx.fleet.set_watching(false);
                    sleep(self.cx.store.retry_delay()).await;
                    if matches!(e, StoreError::Undecodable(_)) {
                        return;
                    }
                }
            }
        }
    }

    /// Hands changes on to the other nodes, where these do not watch by themselves.
    fn hand_on(&self, from: u64, to: u64, changes: &[EntryChange]) {
        let live = self.cx.nodes.addresses().len();
        if from == to || !instance_news::needs_handing_on(live) {
            return;
        }
        // Where the queue is full the others find a gap and read the list.
        let news = InstanceNews { from, to, changes: changes.to_vec() };
        if self.news.try_send(news).is_err() {
            log::debug!("changes of the instance list were not handed on");
        }
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
