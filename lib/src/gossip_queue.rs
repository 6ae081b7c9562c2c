//! What a node still has to tell to one scope: its data centre, another data centre or a region.

use crate::config_view::CONFIG_KEY;
use crate::facts::FactKind;
use crate::ids::NodeId;
use std::collections::BTreeMap;

/// One thing to tell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum GossipItem {
    /// The version of an object.
    Object(String),
    /// The row of a member that is suspect, dead or leaving, or that refutes this.
    MemberChange(NodeId),
    /// The row of a member that joined. Where it is dropped, the table's digest shows it.
    Member(NodeId),
    /// A fact of a node.
    Fact(FactKind, NodeId),
    /// The lease renewal of a fabric domain's record.
    Renewal(String),
}

/// Items with the number of times that each was sent.
#[derive(Debug, Clone, Default)]
pub struct GossipQueue {
    items: BTreeMap<GossipItem, u32>,
}

impl GossipQueue {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an item, or counts it as never sent.
    pub fn push(&mut self, item: GossipItem) {
        self.items.insert(item, 0);
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Chooses items for one message, the most important and least often sent first.
    ///
    /// `class` returns the importance of an item; under pressure the highest classes wait.
    /// `size` returns the bytes of an item, or `None` when it has nothing to tell any more.
    /// `sends` returns how often an item is sent in all.
    pub fn take(
        &mut self,
        budget: usize,
        class: impl Fn(&GossipItem) -> u8,
        mut size: impl FnMut(&GossipItem) -> Option<usize>,
        sends: impl Fn(&GossipItem) -> u32,
    ) -> Vec<GossipItem> {
        let mut ranked: Vec<(u8, u32, GossipItem)> =
            self.items.iter().map(|(item, sent)| (class(item), *sent, item.clone())).collect();
        ranked.sort_unstable_by(|a, b| (a.0, a.1, &a.2).cmp(&(b.0, b.1, &b.2)));
        let mut left = budget;
        let mut taken = vec![];
        for (_, sent, item) in ranked {
            let Some(bytes) = size(&item) else {
                self.items.remove(&item);
                continue;
            };
            if bytes > left {
                continue;
            }
            left -= bytes;
            match sent + 1 >= sends(&item) {
                true => self.items.remove(&item),
                false => self.items.insert(item.clone(), sent + 1),
            };
            taken.push(item);
        }
        taken
    }
}

/// Returns the class of an item; a lower class goes first.
///
/// Other data centres have watchers of their own, so they need other objects than the configuration
/// from here only while the store is away.
pub fn class(item: &GossipItem, is_local: bool) -> u8 {
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
