//! Choice of what a message tells: the news of its scope, within the byte budget.

use crate::config_view::CONFIG_KEY;
use crate::facts::FactKind;
use crate::generated::peer::Gossip;
use crate::generated::peer::MemberRow;
use crate::gossip_queue;
use crate::gossip_queue::GossipItem;
use crate::gossip_queue::GossipQueue;
use crate::gossip_state::GossipState;
use crate::gossip_state::Scope;
use std::time::Duration;

/// Largest value of a fact in bytes; a larger one is not sent.
pub const MAX_FACT_BYTES: usize = 700;
/// Bytes of a stamp besides its key.
const STAMP_BYTES: usize = 24;
/// Bytes of a fact besides its value and node id.
const FACT_BYTES: usize = 14;
/// Bytes of a member row besides its texts.
const ROW_BYTES: usize = 18;
/// Sends of the configuration's stamp or a member's change for each doubling of the fleet's size.
const NEWS_SENDS: u32 = 3;
/// Sends of a joined member's row or another object's stamp for each doubling of the fleet's size;
/// where they are lost, the digests show it.
const BULK_SENDS: u32 = 1;
/// Sends of a fact that seldom changes for each doubling of the scope's size.
const RARE_FACT_SENDS: u32 = 2;
/// Sends of a fact that soon has a new value, and of a renewal.
const VOLATILE_SENDS: u32 = 4;

impl GossipState {
    /// Builds the news of a message; the row of `first` goes into it in any case.
    pub fn build(
        &mut self,
        scope: &Scope,
        first: Option<&str>,
        budget: usize,
        now: Duration,
    ) -> Gossip {
        let mut gossip = Gossip {
            beats: self.table.recent_beats(now),
            members: vec![],
            facts: vec![],
            objects: vec![],
            member_digest: self.table.digest(),
            object_digest: self.stamps.digest(),
        };
        let first = first.and_then(|node| self.table.get(node)).cloned();
        let first_bytes = first.as_ref().map_or(0, row_bytes);
        gossip.members.extend(first);
        let Some(mut queue) = self.queues.remove(scope) else { return gossip };
        let items =
            self.choose(&mut queue, *scope == Scope::Local, budget.saturating_sub(first_bytes));
        self.queues.insert(scope.clone(), queue);
        for item in items {
            self.add(&mut gossip, item);
        }
        gossip
    }

    fn choose(&self, queue: &mut GossipQueue, is_local: bool, budget: usize) -> Vec<GossipItem> {
        let members = self.table.rows().count() as u32;
        let doublings = u32::BITS - members.leading_zeros();
        let sends = |item: &GossipItem| match item {
            GossipItem::MemberChange(_) => NEWS_SENDS * doublings,
            GossipItem::Object(key) if key == CONFIG_KEY => NEWS_SENDS * doublings,
            GossipItem::Member(_) | GossipItem::Object(_) => BULK_SENDS * doublings,
            GossipItem::Fact(FactKind::ConfigInForce, _)
            | GossipItem::Fact(FactKind::SuspectRequests, _)
            | GossipItem::Fact(FactKind::LeavingUpstreams, _) => RARE_FACT_SENDS * doublings,
            GossipItem::Fact(..) | GossipItem::Renewal(_) => VOLATILE_SENDS,
        };
        let class = |item: &GossipItem| gossip_queue::class(item, is_local);
        queue.take(budget, class, |item| self.item_bytes(item), sends)
    }

    fn item_bytes(&self, item: &GossipItem) -> Option<usize> {
        match item {
            GossipItem::Member(node) | GossipItem::MemberChange(node) => {
                self.table.get(node).map(row_bytes)
            }
            GossipItem::Object(key) | GossipItem::Renewal(key) => {
                self.stamps.get(key).map(|stamp| stamp.key.len() + STAMP_BYTES)
            }
            GossipItem::Fact(kind, node) => {
                let fact = self.fact(*kind, node)?;
                let is_sendable = fact.value.len() <= MAX_FACT_BYTES;
                is_sendable.then(|| FACT_BYTES + fact.node.len() + fact.value.len())
            }
        }
    }

    fn add(&self, gossip: &mut Gossip, item: GossipItem) {
        match item {
            GossipItem::Member(node) | GossipItem::MemberChange(node) => {
                let is_present = gossip.members.iter().any(|row| row.node == node);
                let row = self.table.get(&node).filter(|_| !is_present);
                gossip.members.extend(row.cloned());
            }
            GossipItem::Object(key) | GossipItem::Renewal(key) => {
                gossip.objects.extend(self.stamps.get(&key).cloned());
            }
            GossipItem::Fact(kind, node) => gossip.facts.extend(self.fact(kind, &node)),
        }
    }
}

fn row_bytes(row: &MemberRow) -> usize {
    let texts = [
        &row.node,
        &row.data_centre,
        &row.region,
        &row.peer_address,
        &row.caller_address,
        &row.operator_address,
    ];
    let accusers: usize = row.accusers.iter().map(|accuser| accuser.len() + 1).sum();
    ROW_BYTES + accusers + texts.iter().map(|text| text.len()).sum::<usize>()
}
