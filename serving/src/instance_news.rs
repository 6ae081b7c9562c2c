//! Changes of the instance list, handed on between nodes.
//!
//! Load pattern: a large fleet in which each change of an entry, several a second while instances are
//! lost and replaced, would cost one call to the store for every node. A few nodes watch the list and
//! hand its changes on. Each message holds all changes between two revisions of the store, so a node
//! whose list is anywhere between them is at the later one once it has applied them in order. A node
//! that missed a message, or hears no watcher, reads the list or watches it by itself.

use crate::fleet_view::EntryChange;
use guavaladder_lib::election;
use guavaladder_proc_macros::common_derives;
use std::time::Duration;
use tokio::time::Instant;

/// Nodes up to which every one watches the list: the loss of a watcher then costs more than its calls.
const ALL_WATCH_UP_TO: usize = 12;
/// Nodes that watch the list in a larger fleet, besides the one that plans groups. Each costs a call
/// to the store for every change, and a message to every node.
const WATCHERS: usize = 2;
/// Subject of the election of watchers.
const SUBJECT: &str = "instance list";
/// Time without a word of any watcher after which a node watches by itself.
pub const WATCHER_SILENCE: Duration = Duration::from_millis(1000);
/// Time for which a node waits for a message that it lacks before it reads the list.
pub const GAP_PATIENCE: Duration = Duration::from_millis(300);

/// All changes of the list between two revisions of the store.
#[common_derives]
pub struct InstanceNews {
    /// Revision before the changes.
    pub from: u64,
    /// Revision after them.
    pub to: u64,
    /// Changes in order.
    pub changes: Vec<EntryChange>,
}

/// Tells whether a node is one of those that watch the list.
pub fn is_watcher(node: &str, live: &[String]) -> bool {
    if live.len() < ALL_WATCH_UP_TO {
        return true;
    }
    let all = live.iter().map(String::as_str).chain([node]);
    election::elect(SUBJECT, all, WATCHERS).iter().any(|elected| elected == node)
}

/// Tells whether some nodes do not watch by themselves, with so many others.
pub fn needs_handing_on(others: usize) -> bool {
    others >= ALL_WATCH_UP_TO
}

/// What a message means for a list of a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsFit {
    /// Its changes lead on from there.
    Next,
    /// Its changes are known.
    Known,
    /// Changes before it are missing.
    Gap,
}

/// Returns what a message means for a list of a revision.
pub fn fit(news: &InstanceNews, revision: u64) -> NewsFit {
    match () {
        () if news.to <= revision => NewsFit::Known,
        () if news.from <= revision => NewsFit::Next,
        () => NewsFit::Gap,
    }
}

/// A node's place in the changes that watchers hand on.
#[derive(Debug, Clone, Copy, Default)]
pub struct NewsState {
    /// Revision of the list.
    pub revision: u64,
    /// When a watcher was last heard that has a list of at least this revision.
    pub heard: Option<Instant>,
    /// Since when changes are missing.
    pub gap_since: Option<Instant>,
}

impl NewsState {
    /// Takes in that a watcher has a list of a revision, without its changes.
    pub fn hear(&mut self, revision: u64, now: Instant) {
        if revision < self.revision {
            return;
        }
        self.heard = Some(now);
        if revision > self.revision {
            self.gap_since.get_or_insert(now);
        }
    }

    /// Takes in that the list has a revision.
    pub fn reach(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        self.gap_since = None;
    }

    /// Tells whether the node has to read the list by itself now.
    pub fn must_read(&self, now: Instant) -> bool {
        let is_unheard = self.heard.is_none_or(|heard| now - heard >= WATCHER_SILENCE);
        is_unheard || self.gap_since.is_some_and(|since| now - since >= GAP_PATIENCE)
    }
}
