//! Changes of the instance list that nodes forward to each other.
//!
//! Load pattern: in a large fleet, entries change several times a second while instances fail and are
//! replaced. If every node watched the list, each change would cost one call to the store per node.
//! Instead a few elected nodes watch the list and forward its changes. Each message holds all changes
//! between two revisions of the store, so a node whose list is at any revision in that range reaches
//! the later one by applying them in order. A node that missed a message, or hears no watcher, reads
//! or watches the list itself.

use crate::fleet_view::EntryChange;
use crate::store_era::Era;
use guavaladder_lib::election;
use guavaladder_proc_macros::common_derives;
use std::time::Duration;
use tokio::time::Instant;

/// Largest fleet in which every node watches the list: in a small fleet the loss of an elected watcher
/// costs more than the additional calls.
const MAX_FLEET_WITHOUT_ELECTION: usize = 12;
/// Number of elected watchers in a larger fleet, in addition to the node that plans groups. Each watcher
/// costs one call to the store per change and one message to every node.
const ELECTED_WATCHERS: usize = 2;
/// Election subject under which the watchers are chosen; must be the same on every node.
const ELECTION_SUBJECT: &str = "instance list";
/// Minimum time without a message from any watcher after which a node reads the list itself.
const MIN_WATCHER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Number of heartbeat periods without a message from any watcher after which a node reads the list itself. If all
/// nodes did so for one lost heartbeat, they would read the complete list at the same time.
const SILENT_PERIODS: u32 = 4;
/// Time that a node waits for missing changes before it reads the list from the store.
pub const GAP_TIMEOUT: Duration = Duration::from_millis(300);
/// The same in a large fleet, where it first requests them twice from the watcher.
pub const LARGE_GAP_TIMEOUT: Duration = Duration::from_millis(600);

/// All changes of the instance list between two revisions of the store.
#[common_derives]
pub struct InstanceListDelta {
    /// Revision before the changes.
    pub from: u64,
    /// Revision after the changes.
    pub to: u64,
    /// Changes in the order in which they were made.
    pub changes: Vec<EntryChange>,
}

/// Returns whether `node` is one of the nodes that watch the list; `live` are the other live nodes.
pub fn is_watcher(node: &str, live: &[String]) -> bool {
    if live.len() < MAX_FLEET_WITHOUT_ELECTION {
        return true;
    }
    is_elected(node, live)
}

/// Returns whether `node` is elected as a watcher among the nodes of a large fleet.
pub fn is_elected(node: &str, others: &[String]) -> bool {
    let all = others.iter().map(String::as_str).chain([node]);
    election::elect(ELECTION_SUBJECT, all, ELECTED_WATCHERS).iter().any(|elected| elected == node)
}

/// Returns whether changes have to be forwarded, since with so many other nodes not all of them watch.
pub fn needs_forwarding(others: usize) -> bool {
    others >= MAX_FLEET_WITHOUT_ELECTION
}

/// Returns the time without a message from any watcher after which a node reads the list itself.
pub fn watcher_timeout(heartbeat_period: Duration) -> Duration {
    MIN_WATCHER_TIMEOUT.max(heartbeat_period * SILENT_PERIODS)
}

/// How a message relates to a list at a given revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaFit {
    /// It continues from that revision and can be applied.
    Applicable,
    /// The list already contains all its changes.
    AlreadyApplied,
    /// Changes that precede it are missing.
    Gap,
}

/// Returns how a message relates to a list at `revision`.
pub fn compare_to_revision(delta: &InstanceListDelta, revision: u64) -> DeltaFit {
    match () {
        () if delta.to <= revision => DeltaFit::AlreadyApplied,
        () if delta.from <= revision => DeltaFit::Applicable,
        () => DeltaFit::Gap,
    }
}

/// How far a node's list has followed the store and the watchers.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListSyncState {
    /// Era of the store to which the revisions belong.
    pub era: Era,
    /// Whether the list has not been read in this era, so that it is at no revision of it.
    pub is_unlisted: bool,
    /// Revision of the store that the list reflects.
    pub revision: u64,
    /// When this node last heard from a watcher whose list is at least at this revision.
    pub watcher_heard_at: Option<Instant>,
    /// When changes were first found to be missing.
    pub gap_since: Option<Instant>,
}

impl ListSyncState {
    /// Returns the state of a list that was read in an earlier era.
    pub fn in_new_era(era: Era) -> Self {
        Self { era, is_unlisted: true, ..Self::default() }
    }

    /// Records that a watcher has reached a revision. Its changes may still be missing here.
    pub fn note_watcher_revision(&mut self, revision: u64, now: Instant) {
        if revision < self.revision {
            return;
        }
        self.watcher_heard_at = Some(now);
        if revision > self.revision {
            self.gap_since.get_or_insert(now);
        }
    }

    /// Records that the local list has reached a revision.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.is_unlisted = false;
        self.gap_since = None;
    }

    /// Returns whether the node has to read the list from the store, since no watcher was heard for
    /// `watcher_timeout` or changes are missing.
    pub fn needs_relist(&self, now: Instant, watcher_timeout: Duration) -> bool {
        self.needs_store(now, watcher_timeout, GAP_TIMEOUT)
    }

    /// Returns whether the node has to read from the store, since no watcher was heard for `watcher_timeout` or
    /// changes have been missing for `gap_timeout`.
    pub fn needs_store(
        &self,
        now: Instant,
        watcher_timeout: Duration,
        gap_timeout: Duration,
    ) -> bool {
        let is_watcher_silent =
            self.watcher_heard_at.is_none_or(|heard_at| now - heard_at >= watcher_timeout);
        is_watcher_silent || self.gap_since.is_some_and(|since| now - since >= gap_timeout)
    }
}
