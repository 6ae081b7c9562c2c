//! Keeps what this node knows of evacuated data centres in sync with the store and the other nodes.
//!
//! Load pattern: evacuations are rare, and have to take effect on all nodes at once. A few elected nodes watch
//! the kind in the store and tell the others; every node passes on what it knows while a data centre is
//! evacuated. A node that hears no watcher watches the kind itself.

use crate::dialect::ObjectChange;
use crate::dialect::ObjectKind;
use crate::dialect::StoredObject;
use crate::evacuations;
use crate::evacuations::Audience;
use crate::evacuations::EvacuationChange;
use crate::evacuations::EvacuationNews;
use crate::evacuations::EvacuationStatement;
use crate::evacuations::EvacuationTimes;
use crate::evacuations::FEW_RECEIVERS;
use crate::rate_limits;
use crate::serving_cx::ServingCx;
use crate::store::StoreError;
use crate::store::WATCH_SLACK;
use crate::store_era::Revision;
use guavaladder_lib::generated::events::Event;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Source of what the store holds, in events.
const STORE: &str = "store";
/// Time that the answer to a watch may take beyond its time-out before the watch counts as failed.
const ANSWER_SLACK: Duration = Duration::from_millis(300);
/// Maximum number of skipped entries that are remembered.
const MAX_SKIPPED: usize = 256;

/// Why the evacuations are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadCause {
    /// This node knows nothing yet.
    Unknown,
    /// This node has to watch them.
    Watcher,
}

/// Reads and follows the evacuations.
struct EvacuationSync<'a> {
    cx: &'a ServingCx,
    times: EvacuationTimes,
    /// Revisions of the entries that were skipped, so that each is logged only once.
    skipped: HashMap<String, Revision>,
}

/// Keeps the evacuations in sync until the task is cancelled; does nothing if they are not watched.
pub async fn run(cx: ServingCx) {
    let Some(times) = cx.evacuations.times() else { return };
    let mut sync = EvacuationSync { cx: &cx, times, skipped: HashMap::new() };
    tokio::join!(sync.follow(), review(&cx, times));
}

/// Returns the message to the other nodes, with the addresses of those that get it now.
pub fn next_news(cx: &ServingCx) -> Option<(EvacuationNews, Vec<IpAddr>)> {
    let times = cx.evacuations.times()?;
    let now = Instant::now();
    let news = cx.evacuations.next_news(is_watcher(cx), watch_timeout(&times), now);
    let (news, audience) = news?;
    let all = cx.nodes.addresses();
    let receivers = match audience {
        Audience::All => all,
        Audience::Few => all.into_iter().sample(&mut rand::rng(), FEW_RECEIVERS),
    };
    Some((news, receivers))
}

/// Returns the interval at which it is checked whether there is something to tell.
pub fn news_period(cx: &ServingCx) -> Duration {
    let period = cx.heartbeat_period();
    cx.evacuations.times().map_or(period, |times| times.quiet_period.min(period))
}

/// Applies what another node knows. Returns the reply if that node lacks what this one knows.
pub fn apply_news(cx: &ServingCx, news: EvacuationNews, from: IpAddr) -> Option<EvacuationNews> {
    let times = cx.evacuations.times()?;
    let now = Instant::now();
    if news.is_watching {
        cx.evacuations.record_watcher(now);
    }
    let has_newer = cx.evacuations.has_newer(&news);
    if let Some(statement) = news.statement {
        apply(cx, statement, &from.to_string());
    }
    has_newer.then(|| cx.evacuations.news(watch_timeout(&times), now))
}

/// Returns whether this node has to watch the evacuations: it is elected, or plans groups.
fn is_watcher(cx: &ServingCx) -> bool {
    let live = cx.nodes.live_names(Instant::now(), cx.heartbeat_period());
    cx.lease.term().is_some() || evacuations::is_elected(cx.node(), &live)
}

/// Returns the time without an answer of the store after which a watch has failed.
fn watch_timeout(times: &EvacuationTimes) -> Duration {
    times.watch_wait + WATCH_SLACK + ANSWER_SLACK
}

fn apply(cx: &ServingCx, statement: EvacuationStatement, source: &str) {
    let is_first = cx.evacuations.statement().is_none();
    let revision = statement.revision;
    let change = cx.evacuations.apply(statement, Instant::now());
    record_change(cx, &change, revision, source);
    if is_first {
        cx.update_phase();
    }
}

/// Logs and counts the data centres that were evacuated or taken back.
fn record_change(cx: &ServingCx, change: &EvacuationChange, revision: u64, source: &str) {
    if change.is_empty() {
        return;
    }
    let running = running_by_data_centre(cx);
    for data_centre in &change.evacuated {
        let instances = cx.fleet.instances();
        let there = instances.values().filter(|i| i.data_centre == *data_centre);
        cx.metrics.evacuation(data_centre, "evacuated");
        cx.log.record(Event::DataCentreEvacuated {
            data_centre: data_centre.clone(),
            revision,
            source: source.to_string(),
            instances: there.count() as u64,
            running: running.get(data_centre).copied().unwrap_or(0),
        });
    }
    for (data_centre, since) in &change.taken_back {
        assume_cold(cx, data_centre);
        cx.metrics.evacuation(data_centre, "taken_back");
        cx.log.record(Event::DataCentreTakenBack {
            data_centre: data_centre.clone(),
            revision,
            source: source.to_string(),
            evacuated_for: since.elapsed(),
        });
    }
}

/// Treats the instances of a data centre that was taken back as cold, for as long as after a start: they may have
/// turned cold shortly before, and their entries say so only later.
fn assume_cold(cx: &ServingCx, data_centre: &str) {
    let Some(table) = cx.config.get() else { return };
    let now = Instant::now();
    for instance in cx.fleet.instances().values().filter(|i| i.data_centre == *data_centre) {
        let service = table.config.services.get(&instance.service);
        if let Some(cold_start) = service.and_then(|service| service.cold_start) {
            let run = rate_limits::run_hash(&instance.id, instance.engine.born_ms);
            cx.cold.assume_cold([run], now + cold_start.period);
        }
    }
}

/// Returns the number of requests of this node that run in each data centre.
fn running_by_data_centre(cx: &ServingCx) -> BTreeMap<String, u64> {
    let replicas = cx.fleet.replicas();
    let loads: HashMap<u64, u32> = cx.loads.own_loads(None).into_iter().collect();
    let mut running = BTreeMap::new();
    for replica in replicas.all() {
        let own = loads.get(&replica.hash).copied().unwrap_or(0);
        *running.entry(replica.data_centre.clone()).or_default() += u64::from(own);
    }
    running
}

/// Ends holds that are over, and reports what still runs in evacuated data centres, in each period.
async fn review(cx: &ServingCx, times: EvacuationTimes) {
    let mut is_unknown_logged = false;
    // Data centres in which requests of this node ran when it was last checked.
    let mut busy: BTreeSet<String> = BTreeSet::new();
    loop {
        let now = Instant::now();
        let change = cx.evacuations.review(now);
        let revision = cx.evacuations.statement().map_or(0, |statement| statement.revision);
        record_change(cx, &change, revision, STORE);
        if cx.evacuations.is_given_up(now) && !std::mem::replace(&mut is_unknown_logged, true) {
            let waited = times.start_timeout;
            cx.log.record(Event::EvacuationsUnknown { node: cx.node().to_string(), waited });
        }
        let evacuated = cx.evacuations.current();
        let running = match evacuated.is_empty() {
            true => BTreeMap::new(),
            false => running_by_data_centre(cx),
        };
        let unix = cx.clock.unix();
        cx.metrics.evacuated(evacuated.iter().map(|(name, since)| {
            let since = unix.saturating_sub(now.saturating_duration_since(*since));
            (name.as_str(), since, running.get(name).copied().unwrap_or(0))
        }));
        busy.retain(|name| evacuated.contains_key(name));
        for (name, since) in evacuated.iter() {
            if running.get(name).copied().unwrap_or(0) > 0 {
                busy.insert(name.clone());
            } else if busy.remove(name) {
                let (data_centre, took) = (name.clone(), now.saturating_duration_since(*since));
                cx.log.record(Event::DataCentreIdle { data_centre, took });
            }
        }
        sleep(times.quiet_period).await;
    }
}

impl EvacuationSync<'_> {
    async fn follow(&mut self) {
        loop {
            let cause = self.wait_until_due().await;
            match self.cx.store.list(ObjectKind::Evacuations).await {
                Ok((objects, revision)) => {
                    self.apply_list(&objects, revision);
                    if cause == ReadCause::Watcher || is_watcher(self.cx) {
                        self.watch(revision).await;
                    }
                }
                Err(e) => {
                    self.cx.evacuations.record_failure();
                    log::debug!("failed to read the evacuations: {e}");
                    sleep(self.cx.store.retry_delay()).await;
                }
            }
        }
    }

    /// Waits until the evacuations have to be read.
    async fn wait_until_due(&self) -> ReadCause {
        loop {
            if self.cx.evacuations.statement().is_none() {
                return ReadCause::Unknown;
            }
            if is_watcher(self.cx) {
                return ReadCause::Watcher;
            }
            if self.is_unconfirmed() {
                // If all watchers are lost, the nodes don't read at the same time, and others are elected first.
                sleep(self.times.quiet_period.mul_f64(rand::random_range(0.0..1.0))).await;
                if self.is_unconfirmed() {
                    return ReadCause::Watcher;
                }
            }
            sleep(self.times.quiet_period / 2).await;
        }
    }

    fn is_unconfirmed(&self) -> bool {
        !self.cx.evacuations.is_confirmed(Instant::now())
    }

    /// Watches the evacuations; returns when another node does it instead, or when they have to be read again.
    async fn watch(&mut self, mut revision: Revision) {
        loop {
            let wait = self.times.watch_wait;
            let watched = tokio::select! {
                watched = self.cx.store.watch(ObjectKind::Evacuations, revision, wait) => watched,
                () = self.cx.store.era().changed_from(revision.era) => return,
            };
            match watched {
                Ok((changes, watched_to)) => {
                    self.apply_changes(&changes, watched_to);
                    revision = watched_to;
                }
                Err(StoreError::HistoryGone | StoreError::Restored) => return,
                Err(e) => {
                    self.cx.evacuations.record_failure();
                    log::debug!("failed to watch the evacuations: {e}");
                    sleep(self.cx.store.retry_delay()).await;
                    // The undecodable response may have reported that the history is gone.
                    if matches!(e, StoreError::Undecodable(_)) {
                        return;
                    }
                }
            }
            if !is_watcher(self.cx) && self.cx.evacuations.hears_watcher(Instant::now()) {
                return;
            }
        }
    }

    fn apply_list(&mut self, objects: &[StoredObject], revision: Revision) {
        let known = self.known();
        let mut data_centres = BTreeSet::new();
        for object in objects {
            let is_evacuated = self.decode(object).unwrap_or(known.contains(&object.name));
            if is_evacuated {
                data_centres.insert(object.name.clone());
            }
        }
        self.apply_answer(data_centres, revision);
    }

    /// Applies changes of the watch. What is known may be newer than the watch, and contain them already.
    fn apply_changes(&mut self, changes: &[ObjectChange], revision: Revision) {
        let mut data_centres = self.known();
        for change in changes {
            match change {
                ObjectChange::Put(object) => {
                    if self.decode(object) == Some(true) {
                        data_centres.insert(object.name.clone());
                    }
                }
                ObjectChange::Removed(name) => {
                    data_centres.remove(name);
                }
            }
        }
        self.apply_answer(data_centres, revision);
    }

    fn apply_answer(&self, data_centres: BTreeSet<String>, revision: Revision) {
        self.cx.evacuations.record_answer(Instant::now());
        let (era, revision) = (revision.era, revision.number);
        apply(self.cx, EvacuationStatement { era, revision, data_centres }, STORE);
    }

    fn known(&self) -> BTreeSet<String> {
        self.cx.evacuations.statement().unwrap_or_default().data_centres
    }

    /// Returns whether an entry names a data centre to evacuate; `None` if it changes nothing, which is logged.
    fn decode(&mut self, object: &StoredObject) -> Option<bool> {
        let decoded = self.cx.dialect.decode_evacuation(object).map_err(|e| e.to_string());
        let known = &self.cx.settings.data_centres;
        let reason = match decoded {
            Ok(name) if known.is_empty() || known.contains(&name) => return Some(true),
            Ok(_) => format!("the data centre is unknown; allowed: {}", known.join(", ")),
            Err(reason) => reason,
        };
        if self.skipped.len() >= MAX_SKIPPED {
            self.skipped.clear();
        }
        let logged_revision = self.skipped.insert(object.name.clone(), object.revision);
        if logged_revision != Some(object.revision) {
            let evacuation = object.name.clone();
            self.cx.log.record(Event::EvacuationSkipped { evacuation, reason });
        }
        None
    }
}
