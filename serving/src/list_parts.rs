//! Changes of the instance list in parts, each of which fits an unfragmented datagram.
//!
//! Load pattern: when thousands of entries change within a second, for example after an outage of the store, a
//! watcher that sends all changes to hundreds of nodes needs its link for many seconds. In parts, each of which
//! another node passes on, the work is spread over all nodes, and a lost datagram costs one part.

use crate::fleet_view::EntryChange;
use crate::instance_list_delta::InstanceListDelta;
use guavaladder_lib::election;
use guavaladder_proc_macros::common_derives;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum length of the changes in a part in bytes; with the headers it needs no IP fragments.
pub const MAX_PART_LEN: usize = 1200;
/// Maximum number of parts of a change.
const MAX_PARTS: u32 = 4096;
/// Maximum number of incomplete changes that are kept.
const MAX_OPEN: usize = 8;
/// Maximum number of whole changes that are kept until those before them have arrived.
const MAX_LATER: usize = 16;
/// Time without a part, or since a gap was found, after which what is missing is requested.
const REQUEST_AFTER: Duration = Duration::from_millis(100);
/// Number of requests to a watcher for the same changes.
const MAX_REQUESTS: u32 = 2;
/// Maximum number of indexes in a request.
const MAX_INDEXES: usize = 256;
/// Maximum number of changes of entries that a watcher keeps for requests.
const MAX_KEPT_CHANGES: usize = 8192;
/// Maximum number of parts that a watcher sends on request in a second. Nodes that get none read from the store.
const MAX_ANSWERED_PER_SECOND: usize = 400;

/// One part of the changes between two revisions, which may be applied in any order with the other parts.
#[common_derives]
pub struct ListPart {
    /// Id of the node that read the changes from the store.
    pub watcher: String,
    /// Revision before the changes.
    pub from: u64,
    /// Revision after the changes.
    pub to: u64,
    /// Position among the parts.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Whether the receiver sends it to the other nodes of its data centre.
    pub is_spread: bool,
    /// Changes of different entries.
    pub changes: Vec<EntryChange>,
}

/// Request for changes of the instance list that did not arrive.
#[common_derives(Eq)]
pub enum ListRequest {
    /// Parts of the changes between two revisions, by their positions.
    Parts {
        /// Revision before the changes.
        from: u64,
        /// Revision after the changes.
        to: u64,
        /// Positions of the missing parts.
        indexes: Vec<u32>,
    },
    /// All changes after a revision.
    After(u64),
}

/// Node that understands parts, as a receiver of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartReceiver {
    /// Id of the node.
    pub node: String,
    /// Address for messages.
    pub address: IpAddr,
    /// Data centre of the node.
    pub data_centre: String,
}

/// Splits changes into parts, of which each holds only the last change of an entry.
pub fn split(watcher: &str, delta: &InstanceListDelta) -> Vec<ListPart> {
    let mut last: HashMap<&str, usize> = HashMap::new();
    for (position, change) in delta.changes.iter().enumerate() {
        last.insert(entry_id(change), position);
    }
    let mut parts: Vec<Vec<EntryChange>> = vec![vec![]];
    let mut len = 0;
    for (position, change) in delta.changes.iter().enumerate() {
        if last.get(entry_id(change)) != Some(&position) {
            continue;
        }
        let change_len = postcard::to_stdvec(change).map_or(MAX_PART_LEN, |bytes| bytes.len());
        if len > 0 && len + change_len > MAX_PART_LEN {
            parts.push(vec![]);
            len = 0;
        }
        len += change_len;
        if let Some(part) = parts.last_mut() {
            part.push(change.clone());
        }
    }
    let count = parts.len() as u32;
    let part = |(index, changes)| ListPart {
        watcher: watcher.to_string(),
        from: delta.from,
        to: delta.to,
        index,
        count,
        is_spread: false,
        changes,
    };
    (0..).zip(parts).map(part).collect()
}

/// Returns for each data centre the receiver of a part, and whether it has others to send it to. Parts with
/// successive positions have different receivers.
pub fn spread(part: &ListPart, receivers: &[PartReceiver]) -> Vec<(IpAddr, bool)> {
    let mut by_data_centre: BTreeMap<&str, Vec<&PartReceiver>> = BTreeMap::new();
    for receiver in receivers {
        by_data_centre.entry(&receiver.data_centre).or_default().push(receiver);
    }
    let first = election::weight(&part.watcher, &part.to.to_string()) as usize;
    let chosen = by_data_centre.into_values().map(|mut nodes| {
        nodes.sort_unstable_by(|a, b| a.node.cmp(&b.node));
        let position = first.wrapping_add(part.index as usize) % nodes.len();
        (nodes[position].address, nodes.len() > 1)
    });
    chosen.collect()
}

fn entry_id(change: &EntryChange) -> &str {
    match change {
        EntryChange::Put(instance) => &instance.id,
        EntryChange::Removed(id) => id,
    }
}

/// Changes that a watcher has sent, for nodes that lack some.
#[derive(Debug, Default)]
pub struct SentChanges {
    deltas: VecDeque<InstanceListDelta>,
    changes: usize,
    /// Start of a second, and the number of parts that were sent on request in it.
    answered: Option<(Instant, usize)>,
}

impl SentChanges {
    /// Keeps changes, which begin at the revision where the last ones ended, unless the watch was interrupted.
    pub fn push(&mut self, delta: InstanceListDelta) {
        if self.deltas.back().is_some_and(|last| last.to != delta.from) {
            self.deltas.clear();
            self.changes = 0;
        }
        self.changes += delta.changes.len();
        self.deltas.push_back(delta);
        while self.changes > MAX_KEPT_CHANGES && self.deltas.len() > 1 {
            self.changes -= self.deltas.pop_front().map_or(0, |delta| delta.changes.len());
        }
    }

    /// Returns the parts that a node requests; none if they are no longer known, or too many were sent in this
    /// second.
    pub fn answer(&mut self, watcher: &str, req: &ListRequest, now: Instant) -> Vec<ListPart> {
        let parts = match req {
            ListRequest::Parts { from, to, indexes } => {
                let Some(delta) = self.deltas.iter().find(|d| (d.from, d.to) == (*from, *to))
                else {
                    return vec![];
                };
                let parts = split(watcher, delta).into_iter();
                parts.filter(|part| indexes.contains(&part.index)).collect()
            }
            ListRequest::After(revision) => {
                let mut missing = self.deltas.iter().filter(|delta| delta.to > *revision);
                let Some(mut all) = missing.next().cloned() else { return vec![] };
                if all.from > *revision {
                    return vec![];
                }
                for delta in missing {
                    all.to = delta.to;
                    all.changes.extend(delta.changes.iter().cloned());
                }
                split(watcher, &all)
            }
        };
        let (since, sent) = self
            .answered
            .filter(|(since, _)| now - *since < Duration::from_secs(1))
            .unwrap_or((now, 0));
        if sent + parts.len() > MAX_ANSWERED_PER_SECOND {
            return vec![];
        }
        self.answered = Some((since, sent + parts.len()));
        parts
    }
}

/// Changes that have not arrived completely.
#[derive(Debug)]
struct OpenChange {
    watcher: String,
    from: u64,
    to: u64,
    parts: Vec<Option<Vec<EntryChange>>>,
    last_part_at: Instant,
    requests: u32,
}

/// Changes that are known to be missing as a whole.
#[derive(Debug)]
struct Gap {
    watcher: String,
    /// Revision that the watcher has reached.
    to: u64,
    asked_at: Instant,
    requests: u32,
}

/// Incomplete changes of a receiver, and those that follow them.
#[derive(Debug, Default)]
pub struct ReceivedParts {
    open: Vec<OpenChange>,
    later: Vec<(String, InstanceListDelta)>,
    gap: Option<Gap>,
}

impl ReceivedParts {
    /// Adds a part; returns all changes with the last missing one.
    pub fn add(&mut self, part: ListPart, now: Instant) -> Option<InstanceListDelta> {
        if part.index >= part.count || part.count > MAX_PARTS || part.from >= part.to {
            return None;
        }
        let is_same = |open: &OpenChange| {
            (open.from, open.to, open.parts.len()) == (part.from, part.to, part.count as usize)
                && open.watcher == part.watcher
        };
        let position = self.open.iter().position(is_same).unwrap_or_else(|| {
            if self.open.len() >= MAX_OPEN {
                self.open.remove(0);
            }
            self.open.push(OpenChange {
                watcher: part.watcher.clone(),
                from: part.from,
                to: part.to,
                parts: vec![None; part.count as usize],
                last_part_at: now,
                requests: 0,
            });
            self.open.len() - 1
        });
        let open = &mut self.open[position];
        open.parts[part.index as usize] = Some(part.changes);
        open.last_part_at = now;
        if open.parts.iter().any(Option::is_none) {
            return None;
        }
        let complete = self.open.remove(position);
        let changes = complete.parts.into_iter().flatten().flatten().collect();
        Some(InstanceListDelta { from: complete.from, to: complete.to, changes })
    }

    /// Keeps whole changes until those before them have arrived.
    pub fn keep_later(&mut self, watcher: &str, delta: InstanceListDelta) {
        if self.later.len() >= MAX_LATER {
            self.later.remove(0);
        }
        self.later.push((watcher.to_string(), delta));
    }

    /// Returns kept changes that continue from a revision, with the watcher that sent them.
    pub fn take_next(&mut self, revision: u64) -> Option<(String, InstanceListDelta)> {
        self.later.retain(|(_, delta)| delta.to > revision);
        let position = self.later.iter().position(|(_, delta)| delta.from <= revision)?;
        Some(self.later.remove(position))
    }

    /// Records that a watcher has reached a later revision than the list of this node.
    pub fn note_gap(&mut self, watcher: &str, to: u64, now: Instant) {
        match &mut self.gap {
            Some(gap) => gap.to = gap.to.max(to),
            None => {
                let watcher = watcher.to_string();
                self.gap = Some(Gap { watcher, to, asked_at: now, requests: 0 });
            }
        }
    }

    /// Returns the requests that are due, with the watchers to which they go. Forgets what a list at `revision`
    /// contains.
    pub fn due_requests(&mut self, revision: u64, now: Instant) -> Vec<(String, ListRequest)> {
        self.open.retain(|open| open.to > revision);
        if self.gap.as_ref().is_some_and(|gap| gap.to <= revision) {
            self.gap = None;
        }
        let mut due = vec![];
        let mut is_arriving = false;
        for open in self.open.iter_mut().filter(|open| open.from <= revision) {
            let is_recent = now - open.last_part_at < REQUEST_AFTER;
            if !is_recent && open.requests < MAX_REQUESTS && !is_arriving {
                open.requests += 1;
                open.last_part_at = now;
                let missing = (0..).zip(&open.parts).filter(|(_, part)| part.is_none());
                let indexes = missing.map(|(index, _)| index).take(MAX_INDEXES).collect();
                let (from, to) = (open.from, open.to);
                due.push((open.watcher.clone(), ListRequest::Parts { from, to, indexes }));
            }
            is_arriving |= is_recent || !due.is_empty();
        }
        if let Some(gap) = &mut self.gap
            && !is_arriving
            && gap.requests < MAX_REQUESTS
            && now - gap.asked_at >= REQUEST_AFTER
        {
            gap.requests += 1;
            gap.asked_at = now;
            due.push((gap.watcher.clone(), ListRequest::After(revision)));
        }
        due
    }
}
