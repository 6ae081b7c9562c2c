//! What a node knows of evacuated data centres, and what follows from it.
//!
//! Load pattern: the operators evacuate a data centre with a third of the instances at full load. Every node has to
//! stop sending there within the bound after the store's answer, also one that hears of it late, that starts
//! meanwhile, or that the store turns away, while only a few nodes ask the store.
//!
//! The knowledge is one statement: the names of all evacuated data centres at a revision of the store. Of two
//! statements the one of the later revision counts, wherever it comes from.

use crate::store_era::Era;
use guavaladder_lib::election;
use guavaladder_proc_macros::common_derives;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of elected nodes that watch the evacuations, in addition to the node that plans groups. A lost watcher
/// only delays what the others tell at once.
const ELECTED_WATCHERS: usize = 2;
/// Election subject under which the watchers are chosen; must be the same on every node.
const ELECTION_SUBJECT: &str = "evacuations";
/// Number of random nodes that a node other than a watcher tells each time.
pub const FEW_RECEIVERS: usize = 2;
/// Minimum of the bound from which the times are derived. Shorter ones would turn each wait into a busy loop.
const MIN_BOUND: Duration = Duration::from_secs(1);

/// Returns whether `node` is elected to watch the evacuations; `live` are the other live nodes.
pub fn is_elected(node: &str, live: &[String]) -> bool {
    let all = live.iter().map(String::as_str).chain([node]);
    election::elect(ELECTION_SUBJECT, all, ELECTED_WATCHERS).iter().any(|elected| elected == node)
}

/// The evacuated data centres at a revision of the store.
#[common_derives(Eq, Default)]
pub struct EvacuationStatement {
    /// Era of the store.
    pub era: Era,
    /// Revision of the store in that era.
    pub revision: u64,
    /// Names of all evacuated data centres.
    pub data_centres: BTreeSet<String>,
}

impl EvacuationStatement {
    /// Returns whether it describes a later state of the store than `other`.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.era, self.revision) > (other.era, other.revision)
    }
}

/// Message of a node with all that it knows of evacuations.
#[common_derives(Eq)]
pub struct EvacuationNews {
    /// What it knows; `None` if it has neither read the kind nor heard of it. The receiver then replies.
    pub statement: Option<EvacuationStatement>,
    /// Whether it follows the store itself.
    pub is_watching: bool,
}

/// Times that are derived from the bound of an evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvacuationTimes {
    /// Maximum wait of a watch. If the store loses the answer, a second watch has to end within the bound.
    pub watch_wait: Duration,
    /// Time without a working watcher after which a node watches the kind itself. Together with the time-out of
    /// the watchers' last calls it is below the bound.
    pub silent_after: Duration,
    /// Interval at which watchers show that their watches work, and at which all is reviewed.
    pub quiet_period: Duration,
    /// Time after a change for which it is repeated.
    pub repeat_for: Duration,
    /// Time for which an evacuation is held that the store lacks after it returned from an older copy.
    pub hold_for: Duration,
    /// Time that a node which knows nothing waits once it is otherwise ready to serve.
    pub start_timeout: Duration,
    /// Length of a pause of the process after which what the node knows may be older than the bound.
    pub max_pause: Duration,
}

impl EvacuationTimes {
    /// Derives the times from the bound.
    pub fn new(bound: Duration) -> Self {
        let bound = bound.max(MIN_BOUND);
        Self {
            watch_wait: bound / 3,
            silent_after: bound.mul_f64(0.3),
            quiet_period: bound / 10,
            repeat_for: bound,
            hold_for: bound,
            start_timeout: bound,
            max_pause: bound.mul_f64(0.8),
        }
    }
}

/// Effect of new knowledge.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centres that are evacuated now and were not before.
    pub evacuated: Vec<String>,
    /// Data centres that are no longer evacuated, with the time at which this node learned that they were.
    pub taken_back: Vec<(String, Instant)>,
}

impl EvacuationChange {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.taken_back.is_empty()
    }
}

/// Nodes that are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All other nodes.
    All,
    /// A few random ones.
    Few,
}

/// Shared knowledge of a node about evacuated data centres.
#[derive(Debug, Clone)]
pub struct Evacuations {
    /// `None` if evacuations are not watched; then no data centre ever counts as evacuated.
    times: Option<EvacuationTimes>,
    inner: Arc<Mutex<Inner>>,
    /// Number of changes of the evacuated data centres.
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Debug, Default)]
struct Inner {
    statement: Option<EvacuationStatement>,
    /// Evacuated data centres with the times at which this node learned of them: those of the statement, and
    /// those that are held.
    evacuated: Arc<BTreeMap<String, Instant>>,
    /// Data centres that a store which returned from an older copy lacks, with the end of the hold.
    held: BTreeMap<String, Instant>,
    /// When each data centre was last taken back.
    taken_back: BTreeMap<String, Instant>,
    changed_at: Option<Instant>,
    /// When another node last stated that it follows the store.
    watcher_heard_at: Option<Instant>,
    /// When the store last answered this node.
    answered_at: Option<Instant>,
    /// When the other nodes were last told.
    told_at: Option<Instant>,
    /// When this node was first ready to serve apart from the evacuations.
    ready_at: Option<Instant>,
    reviewed_at: Option<Instant>,
    /// When this process went on after a pause.
    resumed_at: Option<Instant>,
}

impl Evacuations {
    /// Creates the knowledge of a node that starts; `bound` is the time within which an evacuation has to take
    /// effect, or `None` if evacuations are not watched.
    pub fn new(bound: Option<Duration>) -> Self {
        Self {
            times: bound.map(EvacuationTimes::new),
            inner: Arc::default(),
            changes: Arc::new(watch::channel(0).0),
        }
    }

    /// Returns the times, or `None` if evacuations are not watched.
    pub fn times(&self) -> Option<EvacuationTimes> {
        self.times
    }

    /// Returns the evacuated data centres, with the times at which this node learned of them.
    pub fn current(&self) -> Arc<BTreeMap<String, Instant>> {
        self.lock().evacuated.clone()
    }

    /// Returns what this node knows; `None` if it has neither read the kind nor heard of it.
    pub fn statement(&self) -> Option<EvacuationStatement> {
        self.lock().statement.clone()
    }

    /// Returns the data centres that were taken back at or after `since` and are not evacuated again, with the
    /// times. Their instances may be cold.
    pub fn taken_back_since(&self, since: Instant) -> Vec<(String, Instant)> {
        let inner = self.lock();
        let recent = inner.taken_back.iter().filter(|(_, at)| **at >= since);
        recent.map(|(name, at)| (name.clone(), *at)).collect()
    }

    /// Applies a statement if it is newer than what is known.
    pub fn apply(&self, statement: EvacuationStatement, now: Instant) -> EvacuationChange {
        let Some(times) = self.times else { return EvacuationChange::default() };
        let mut inner = self.lock();
        let known = inner.statement.as_ref();
        if known.is_some_and(|known| !statement.is_newer(known)) {
            return EvacuationChange::default();
        }
        if known.is_some_and(|known| known.era < statement.era) {
            // The copy may be older than the evacuation, which its writer can write again.
            let lost: Vec<String> = inner.evacuated.keys().cloned().collect();
            for name in lost {
                inner.held.entry(name).or_insert(now + times.hold_for);
            }
        }
        inner.held.retain(|name, _| !statement.data_centres.contains(name));
        inner.statement = Some(statement);
        let change = inner.update(now);
        drop(inner);
        self.notify(&change);
        change
    }

    /// Ends the holds that are over, and notes whether this process was paused. Called in each period.
    pub fn review(&self, now: Instant) -> EvacuationChange {
        let Some(times) = self.times else { return EvacuationChange::default() };
        let mut inner = self.lock();
        if inner.reviewed_at.is_some_and(|at| now - at > times.max_pause) {
            inner.resumed_at = Some(now);
        }
        inner.reviewed_at = Some(now);
        inner.held.retain(|_, until| *until > now);
        let change = inner.update(now);
        drop(inner);
        self.notify(&change);
        change
    }

    /// Records that this node is ready to serve apart from the evacuations.
    pub fn record_ready(&self, now: Instant) {
        self.lock().ready_at.get_or_insert(now);
    }

    /// Returns whether this node has to wait since it knows nothing of evacuations: it has neither read the kind
    /// nor heard of it, and has waited for less than the time-out.
    pub fn is_unknown(&self, now: Instant) -> bool {
        let Some(times) = self.times else { return false };
        let inner = self.lock();
        inner.statement.is_none()
            && inner.ready_at.is_none_or(|ready_at| now - ready_at < times.start_timeout)
    }

    /// Returns whether this node serves although it knows nothing of evacuations.
    pub fn is_given_up(&self, now: Instant) -> bool {
        let is_known = self.lock().statement.is_some();
        self.times.is_some() && !is_known && !self.is_unknown(now)
    }

    /// Returns whether this node may send no request since what it knows may be older than the bound: it knows
    /// nothing yet, or its process was paused and the other nodes had no time to tell it since.
    pub fn is_outdated(&self, now: Instant) -> bool {
        let Some(times) = self.times else { return false };
        let is_paused = {
            let inner = self.lock();
            inner.reviewed_at.is_some_and(|at| now.saturating_duration_since(at) > times.max_pause)
                || inner.resumed_at.is_some_and(|at| now < at + times.quiet_period)
        };
        is_paused || self.is_unknown(now)
    }

    /// Records that another node states that it follows the store.
    pub fn record_watcher(&self, now: Instant) {
        self.lock().watcher_heard_at = Some(now);
    }

    /// Records that the store answered this node.
    pub fn record_answer(&self, now: Instant) {
        self.lock().answered_at = Some(now);
    }

    /// Records that a call of this node to the store failed.
    pub fn record_failure(&self) {
        self.lock().answered_at = None;
    }

    /// Returns whether another node that follows the store was heard recently.
    pub fn hears_watcher(&self, now: Instant) -> bool {
        let Some(times) = self.times else { return true };
        self.lock().watcher_heard_at.is_some_and(|at| now - at < times.silent_after)
    }

    /// Returns whether what this node knows was confirmed recently, by the store or by a node that follows it.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        let Some(times) = self.times else { return true };
        let is_answered = self.lock().answered_at.is_some_and(|at| now - at < times.silent_after);
        is_answered || self.hears_watcher(now)
    }

    /// Returns the message to the other nodes with those that get it now; `None` if there is nothing to tell.
    /// `is_watcher` tells whether this node has to watch, and `timeout` is the time after which its watch
    /// has failed if the store has not answered.
    pub fn next_news(
        &self,
        is_watcher: bool,
        timeout: Duration,
        now: Instant,
    ) -> Option<(EvacuationNews, Audience)> {
        let times = self.times?;
        let (is_heard, news) = (self.hears_watcher(now), self.news(timeout, now));
        let mut inner = self.lock();
        let is_recent = inner.changed_at.is_some_and(|at| now - at < times.repeat_for);
        let is_active = is_recent || !inner.evacuated.is_empty();
        let audience = match is_watcher && news.is_watching {
            true => {
                let is_due = inner.told_at.is_none_or(|at| now - at >= times.quiet_period);
                (is_active || is_due).then_some(Audience::All)
            }
            false => (is_active || !is_heard).then_some(Audience::Few),
        };
        let audience = audience?;
        inner.told_at = Some(now);
        Some((news, audience))
    }

    /// Returns all that this node knows.
    pub fn news(&self, timeout: Duration, now: Instant) -> EvacuationNews {
        let inner = self.lock();
        let is_watching = inner.answered_at.is_some_and(|at| now - at < timeout);
        EvacuationNews { statement: inner.statement.clone(), is_watching }
    }

    /// Returns whether the sender of a message lacks what this node knows.
    pub fn has_newer(&self, news: &EvacuationNews) -> bool {
        let inner = self.lock();
        let Some(own) = &inner.statement else { return false };
        let Some(other) = &news.statement else { return true };
        own.is_newer(other) && own.data_centres != other.data_centres
    }

    /// Returns the number of changes of the evacuated data centres.
    pub fn changes(&self) -> u64 {
        *self.changes.borrow()
    }

    /// Waits until the number of changes is another one than `changes`.
    pub async fn changed_from(&self, changes: u64) {
        // Fails only once the sender is dropped, which this handle keeps.
        let _ = self.changes.subscribe().wait_for(|current| *current != changes).await;
    }

    fn notify(&self, change: &EvacuationChange) {
        if !change.is_empty() {
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Derives the evacuated data centres from the statement and the holds.
    fn update(&mut self, now: Instant) -> EvacuationChange {
        let stated = self.statement.iter().flat_map(|statement| &statement.data_centres);
        let names: BTreeSet<&String> = stated.chain(self.held.keys()).collect();
        let since = |name: &String| self.evacuated.get(name).copied().unwrap_or(now);
        let after: BTreeMap<String, Instant> =
            names.into_iter().map(|name| (name.clone(), since(name))).collect();
        let evacuated = after.keys().filter(|name| !self.evacuated.contains_key(*name));
        let taken_back = self.evacuated.iter().filter(|(name, _)| !after.contains_key(*name));
        let change = EvacuationChange {
            evacuated: evacuated.cloned().collect(),
            taken_back: taken_back.map(|(name, since)| (name.clone(), *since)).collect(),
        };
        if change.is_empty() {
            return change;
        }
        for name in &change.evacuated {
            self.taken_back.remove(name);
        }
        for (name, _) in &change.taken_back {
            self.taken_back.insert(name.clone(), now);
        }
        self.evacuated = Arc::new(after);
        self.changed_at = Some(now);
        change
    }
}
