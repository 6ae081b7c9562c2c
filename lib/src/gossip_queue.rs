//! Queue of updates that a node has to send to one scope: its data centre, another one or a region.

use crate::config_view::CONFIG_KEY;
use crate::facts::FactKind;
use crate::ids::NodeId;
use std::collections::BTreeMap;

/// An update to send; the current value is looked up when it is sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum GossipItem {
    /// The stamp of an object.
    Object(String),
    /// The row of a member that became suspect, dead or leaving, or that refuted this.
    MemberChange(NodeId),
    /// The row of a member that joined. Losses are detected by the digest of the member table.
    Member(NodeId),
    /// A fact published by a node.
    Fact(FactKind, NodeId),
    /// The lease renewal in a fabric domain's record.
    Renewal(String),
}

/// Queued items with the number of times that each has been sent.
#[derive(Debug, Clone, Default)]
pub struct GossipQueue {
    items: BTreeMap<GossipItem, u32>,
}

impl GossipQueue {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an item, or resets its send count if it is queued already.
    pub fn push(&mut self, item: GossipItem) {
        self.items.insert(item, 0);
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Selects the items of one message by priority, then by how few times they were sent.
    ///
    /// `priority` returns the priority of an item, where lower values go first; items of high values
    /// wait when the budget is short. `size` returns the encoded size of an item, or `None` if it
    /// has become obsolete. `sends` returns the number of times that an item is sent in total.
    pub fn select(
        &mut self,
        budget: usize,
        priority: impl Fn(&GossipItem) -> u8,
        mut size: impl FnMut(&GossipItem) -> Option<usize>,
        sends: impl Fn(&GossipItem) -> u32,
    ) -> Vec<GossipItem> {
        let mut ranked: Vec<(u8, u32, GossipItem)> =
            self.items.iter().map(|(item, sent)| (priority(item), *sent, item.clone())).collect();
        ranked.sort_unstable_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
        let mut remaining = budget;
        let mut selected = vec![];
        for (_, sent, item) in ranked {
            let Some(bytes) = size(&item) else {
                self.items.remove(&item);
                continue;
            };
            if bytes > remaining {
                continue;
            }
            remaining -= bytes;
            match sent + 1 >= sends(&item) {
                true => self.items.remove(&item),
                false => self.items.insert(item.clone(), sent + 1),
            };
            selected.push(item);
        }
        selected
    }
}

/// Returns the priority of an item; lower values go first.
///
/// Other data centres have their own watchers, so they need objects other than the configuration
/// from here only while the store is unavailable.
pub fn priority(item: &GossipItem, is_local: bool) -> u8 {
    match item {
        GossipItem::Object(key) if key == CONFIG_KEY => 0,
        GossipItem::MemberChange(_) => 1,
        GossipItem::Fact(FactKind::ConfigInForce, _) => 2,
        GossipItem::Member(_) => 3,
        GossipItem::Object(_) if is_local => 3,
        GossipItem::Fact(kind, _) => 4 + *kind as u8,
        GossipItem::Renewal(_) => 4 + FactKind::NodeLoad as u8,
        GossipItem::Object(_) => 4 + FactKind::ServiceLevels as u8,
    }
}
