//! Gossip state of one node, shared by its tasks.

use crate::cx::Cx;
use crate::election;
use crate::facts::Fact;
use crate::facts::FactKind;
use crate::generated::peer::MemberHealth;
use crate::generated::peer::MemberRow;
use crate::generated::peer::ObjectStamp;
use crate::gossip_queue::GossipItem;
use crate::gossip_queue::GossipQueue;
use crate::ids::Address;
use crate::ids::DataCentreId;
use crate::ids::Incarnation;
use crate::ids::NodeId;
use crate::ids::RegionId;
use crate::member_table::MemberTable;
use crate::member_view::Members;
use crate::object_digest::DOMAIN_PREFIX;
use crate::object_digest::StampCache;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of relays of a data centre, and of a region.
pub const RELAYS: usize = 2;
/// Election subject for the relays of a data centre.
pub const RELAY_SUBJECT: &str = "relay";
/// Election subject for the relays between regions.
pub const REGION_RELAY_SUBJECT: &str = "region-relay";

/// A part of the fleet that this node sends gossip to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// This node's data centre.
    Local,
    /// Another data centre of this region.
    DataCentre(DataCentreId),
    /// Another region.
    Region(RegionId),
}

/// Gossip state of a node.
pub struct GossipState {
    /// Context of the node.
    pub cx: Cx,
    /// Member table.
    pub table: MemberTable,
    /// Stamps of the shared objects.
    pub stamps: StampCache,
    /// Outgoing updates by scope; scopes other than the local one exist while this node is a relay.
    pub queues: BTreeMap<Scope, GossipQueue>,
    /// Whether an update is queued that should not wait for the next period.
    pub urgent: bool,
    /// Change count of the member table when the member view was last published.
    pub published_changes: Option<u64>,
    /// Data centres that are currently silent.
    pub silent: BTreeSet<DataCentreId>,
    /// Versions of this node's facts that were last queued, by kind.
    queued_facts: BTreeMap<FactKind, (Incarnation, u64)>,
}

impl GossipState {
    /// Creates the state of a node that knows only itself.
    pub fn new(cx: Cx, now: Duration) -> Self {
        let own = own_row(&cx);
        let mut queues = BTreeMap::from([(Scope::Local, GossipQueue::new())]);
        if let Some(local) = queues.get_mut(&Scope::Local) {
            local.push(GossipItem::Member(own.node.clone()));
        }
        Self {
            table: MemberTable::new(own, now),
            cx,
            stamps: StampCache::new(),
            queues,
            urgent: true,
            published_changes: None,
            silent: BTreeSet::new(),
            queued_facts: BTreeMap::new(),
        }
    }

    /// Queues an item for every scope that it is relevant to.
    pub fn push(&mut self, item: GossipItem) {
        let origin = self.origin(&item);
        for (scope, queue) in &mut self.queues {
            let is_relevant = match scope {
                Scope::Local => true,
                Scope::DataCentre(id) => is_fleet_wide(&item) && origin.0.as_ref() != Some(id),
                Scope::Region(id) => is_fleet_wide(&item) && origin.1.as_ref() != Some(id),
            };
            if is_relevant {
                queue.push(item.clone());
            }
        }
    }

    /// Queues the changes of the object view since the last call.
    pub fn queue_object_changes(&mut self) {
        let view = self.cx.view.clone();
        for (old, new) in self.stamps.refresh(&view) {
            let is_renewal = old.is_some_and(|old| old.content == new.content);
            if !is_renewal {
                self.urgent = true;
                self.push(GossipItem::Object(new.key));
            } else if self.is_own_domain(&new) {
                self.push(GossipItem::Renewal(new.key));
            }
        }
    }

    /// Queues the facts of this node that changed since the last call.
    pub fn queue_own_facts(&mut self) {
        for kind in FactKind::ALL {
            let Some(fact) = self.cx.facts.get(kind, self.cx.node()) else { continue };
            let version = (fact.incarnation, fact.sequence);
            if self.queued_facts.insert(kind, version) != Some(version) {
                self.push(GossipItem::Fact(kind, fact.node));
            }
        }
    }

    /// Adds and removes the queues for other data centres and regions.
    pub fn set_relay_scopes(&mut self, members: &Members) {
        let wanted = self.wanted_scopes(members);
        self.queues.retain(|scope, _| *scope == Scope::Local || wanted.contains(scope));
        for scope in wanted {
            if self.queues.contains_key(&scope) {
                continue;
            }
            let mut queue = GossipQueue::new();
            let own_data_centre = self.table.own().data_centre.clone();
            for row in self.table.rows().filter(|row| row.data_centre == own_data_centre) {
                for kind in FactKind::ALL.into_iter().filter(|kind| kind.is_fleet_wide()) {
                    queue.push(GossipItem::Fact(kind, row.node.clone()));
                }
            }
            self.queues.insert(scope, queue);
        }
    }

    /// Returns whether this node is a relay of its data centre.
    pub fn is_relay(&self, members: &Members) -> bool {
        let own = self.table.own();
        election::is_elected(members, &own.data_centre, RELAY_SUBJECT, &own.node, RELAYS)
    }

    /// Returns the peer address of a member.
    pub fn address(&self, node: &str) -> Option<Address> {
        self.table.get(node).map(|row| row.peer_address.clone())
    }

    /// Returns a fact, unless its node is unknown or dead.
    pub fn fact(&self, kind: FactKind, node: &str) -> Option<Fact> {
        let is_alive = self.table.get(node).is_some_and(|row| row.health != MemberHealth::Dead);
        self.cx.facts.get(kind, node).filter(|_| is_alive)
    }

    fn wanted_scopes(&self, members: &Members) -> Vec<Scope> {
        if !self.is_relay(members) {
            return vec![];
        }
        let own = self.table.own();
        let mut scopes: Vec<Scope> = vec![];
        for row in self.table.rows().filter(|row| row.data_centre != own.data_centre) {
            let scope = match row.region == own.region {
                true => Scope::DataCentre(row.data_centre.clone()),
                false if self.is_region_relay(members) => Scope::Region(row.region.clone()),
                false => continue,
            };
            if !scopes.contains(&scope) {
                scopes.push(scope);
            }
        }
        scopes
    }

    /// Returns whether this node forwards gossip between regions, as one of the relays of its region.
    fn is_region_relay(&self, members: &Members) -> bool {
        let own = self.table.own();
        let data_centres = members
            .values()
            .filter(|member| member.region == own.region)
            .map(|member| member.data_centre.as_str())
            .collect::<BTreeSet<_>>();
        let relays = data_centres.into_iter().flat_map(|id| {
            let live = election::live_in_data_centre(members, id);
            election::elect(RELAY_SUBJECT, live.map(|member| member.node.as_str()), RELAYS)
        });
        let relays: Vec<NodeId> = relays.collect();
        let elected =
            election::elect(REGION_RELAY_SUBJECT, relays.iter().map(String::as_str), RELAYS);
        elected.contains(&own.node)
    }

    /// Returns whether a fabric domain's record belongs to this node's data centre.
    fn is_own_domain(&self, stamp: &ObjectStamp) -> bool {
        if !stamp.key.starts_with(DOMAIN_PREFIX) {
            return false;
        }
        let object = self.cx.view.get(&stamp.key);
        let text = object.and_then(|object| object.value);
        let record = text.and_then(|text| serde_json::from_str::<serde_json::Value>(&text).ok());
        let data_centre =
            record.and_then(|record| Some(record["data_centre"].as_str()?.to_string()));
        data_centre.as_ref() == Some(&self.table.own().data_centre)
    }

    /// Returns the data centre and region where an item originates, if it belongs to a node.
    fn origin(&self, item: &GossipItem) -> (Option<DataCentreId>, Option<RegionId>) {
        let node = match item {
            GossipItem::Member(node)
            | GossipItem::MemberChange(node)
            | GossipItem::Fact(_, node) => node,
            GossipItem::Object(_) | GossipItem::Renewal(_) => return (None, None),
        };
        let row = self.table.get(node);
        (row.map(|row| row.data_centre.clone()), row.map(|row| row.region.clone()))
    }
}

fn is_fleet_wide(item: &GossipItem) -> bool {
    match item {
        GossipItem::Member(_) | GossipItem::MemberChange(_) | GossipItem::Object(_) => true,
        GossipItem::Fact(kind, _) => kind.is_fleet_wide(),
        GossipItem::Renewal(_) => false,
    }
}

fn own_row(cx: &Cx) -> MemberRow {
    let settings = &cx.settings;
    let caller_address = settings.caller_address.as_ref().unwrap_or(&settings.caller_listen);
    MemberRow {
        node: settings.node.clone(),
        incarnation: cx.incarnation,
        refutation: 0,
        health: MemberHealth::Live,
        leaving: false,
        accusers: vec![],
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        peer_address: settings.peer_listen.clone(),
        caller_address: caller_address.clone(),
        operator_address: settings.operator_listen.clone(),
    }
}
