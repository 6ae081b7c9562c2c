//! Selection of the gossip payload of a message: queued updates of its scope, within the byte budget.

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

/// Maximum size of a fact's value; larger facts are neither sent nor accepted.
pub const MAX_FACT_BYTES: usize = 700;
/// Encoded size of a stamp without its key.
const STAMP_BYTES: usize = 24;
/// Encoded size of a fact without its value and node id.
const FACT_BYTES: usize = 14;
/// Encoded size of a member row without its strings.
const ROW_BYTES: usize = 18;
/// Number of times that the configuration's stamp or a member change is sent, per doubling of the
/// fleet's size.
const CHANGE_SENDS: u32 = 3;
/// Number of times that the row of a joined member or the stamp of another object is sent, per
/// doubling of the fleet's size; losses are detected by the digests.
const BULK_SENDS: u32 = 1;
/// Number of times that a rarely changing fact is sent, per doubling of the fleet's size.
const RARE_FACT_SENDS: u32 = 2;
/// Number of times that a lease renewal or a frequently changing fact is sent.
const VOLATILE_SENDS: u32 = 4;

impl GossipState {
    /// Builds the gossip payload of a message; the row of `first` is always included.
    pub fn build(
        &mut self,
        scope: &Scope,
        first: Option<&str>,
        budget: usize,
        now: Duration,
    ) -> Gossip {
        let mut gossip = Gossip {
            beats: self.table.recent_heartbeats(now),
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
            GossipItem::MemberChange(_) => CHANGE_SENDS * doublings,
            GossipItem::Object(key) if key == CONFIG_KEY => CHANGE_SENDS * doublings,
            GossipItem::Member(_) | GossipItem::Object(_) => BULK_SENDS * doublings,
            GossipItem::Fact(FactKind::ConfigInForce, _)
            | GossipItem::Fact(FactKind::SuspectRequests, _)
            | GossipItem::Fact(FactKind::LeavingUpstreams, _) => RARE_FACT_SENDS * doublings,
            GossipItem::Fact(..) | GossipItem::Renewal(_) => VOLATILE_SENDS,
        };
        let priority = |item: &GossipItem| gossip_queue::priority(item, is_local);
        queue.select(budget, priority, |item| self.item_bytes(item), sends)
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
