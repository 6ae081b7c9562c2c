//! Merging of received gossip into the local state.

use crate::facts::Fact;
use crate::generated::events::Event;
use crate::generated::peer::Gossip;
use crate::generated::peer::MemberHealth;
use crate::generated::peer::MemberRow;
use crate::generated::peer::ObjectStamp;
use crate::generated::peer::PeerObject;
use crate::gossip_build::MAX_FACT_BYTES;
use crate::gossip_queue::GossipItem;
use crate::gossip_state::GossipState;
use crate::ids::NodeId;
use crate::member_table::DATA_CENTRE_SUSPECT_AFTER;
use crate::member_table::MergeOutcome;
use crate::object_digest;
use crate::object_digest::SHARED_PREFIXES;
use crate::object_view::ViewedObject;
use std::sync::Arc;
use std::time::Duration;

impl GossipState {
    /// Merges the gossip of a message and returns the keys of the objects that have to be pulled.
    pub fn merge_gossip(&mut self, gossip: &Gossip, now: Duration) -> Vec<String> {
        for row in &gossip.members {
            self.merge_row(row, now);
        }
        self.table.merge_heartbeats(&gossip.beats, now);
        for fact in &gossip.facts {
            self.merge_fact(fact);
        }
        let wanted = gossip.objects.iter().filter(|stamp| self.needs_pull(stamp));
        let wanted: Vec<String> = wanted.map(|stamp| stamp.key.clone()).collect();
        self.queue_object_changes();
        wanted
    }

    /// Merges the row of one member.
    pub fn merge_row(&mut self, row: &MemberRow, now: Duration) {
        let old = self.table.get(&row.node).cloned();
        match self.table.merge(row, now) {
            MergeOutcome::Unchanged => {}
            MergeOutcome::Refuted => {
                self.urgent = true;
                let refutation = u64::from(self.table.own().refutation);
                self.push(GossipItem::MemberChange(row.node.clone()));
                self.cx.record(Event::SuspicionRefuted {
                    node: row.node.clone(),
                    refutation,
                    late_by: Duration::ZERO,
                });
            }
            MergeOutcome::Changed => {
                let is_state_change = old
                    .as_ref()
                    .is_some_and(|old| old.health != row.health || old.leaving != row.leaving);
                self.urgent |= is_state_change || old.is_none();
                let node = row.node.clone();
                self.push(match is_state_change {
                    true => GossipItem::MemberChange(node),
                    false => GossipItem::Member(node),
                });
                self.record_change(old.as_ref(), row);
            }
        }
    }

    /// Marks a node as suspect on behalf of `accuser`, which is this node or a witness.
    pub fn mark_suspect(&mut self, node: &str, accuser: &str, now: Duration) {
        if !self.table.mark_suspect(node, accuser, now) {
            return;
        }
        self.urgent = true;
        self.push(GossipItem::MemberChange(node.to_string()));
        let accusers = self.table.get(node).map(|row| row.accusers.join(" "));
        self.cx.record(Event::MemberSuspected {
            node: node.to_string(),
            accusers: accusers.unwrap_or_default(),
        });
    }

    /// Declares members dead whose suspicion has timed out, and removes old rows of dead members.
    pub fn expire(&mut self, now: Duration) {
        let suspected_for = crate::member_table::SUSPICION_TIMEOUT;
        for node in self.table.expire_suspicions(now) {
            self.urgent = true;
            self.push(GossipItem::MemberChange(node.clone()));
            self.cx.facts.remove_node(&node);
            let accusers = self.table.get(&node).map(|row| row.accusers.join(" "));
            let accusers = accusers.unwrap_or_default();
            self.cx.record(Event::MemberDead { node, accusers, suspected_for });
        }
        for node in self.table.prune(now) {
            self.cx.facts.remove_node(&node);
        }
    }

    /// Records an event for each data centre that became silent or is heard again.
    pub fn record_silence_changes(&mut self, now: Duration) {
        for data_centre in self.table.data_centres() {
            let silent_for = self.table.silence(&data_centre, now);
            let is_silent = silent_for >= DATA_CENTRE_SUSPECT_AFTER;
            if is_silent && self.silent.insert(data_centre.clone()) {
                self.cx.record(Event::DataCentreSilent { data_centre, silent_for });
            } else if !is_silent && self.silent.remove(&data_centre) {
                self.cx.record(Event::DataCentreHeard { data_centre });
            }
        }
    }

    /// Merges an object that was pulled from a peer.
    pub fn merge_object(&mut self, object: PeerObject) {
        if !is_shared(&object.key) {
            return;
        }
        let value = object.value.map(Arc::from);
        self.cx.view.apply(ViewedObject { key: object.key, version: object.version, value });
    }

    /// Merges a fact; facts of unknown and dead nodes are dropped, which bounds memory use.
    pub fn merge_fact(&mut self, fact: &Fact) {
        let row = self.table.get(&fact.node);
        let is_alive = row.is_some_and(|row| row.health != MemberHealth::Dead);
        let is_own = fact.node == self.cx.node();
        if !is_alive || is_own || fact.value.len() > MAX_FACT_BYTES {
            return;
        }
        if self.cx.facts.merge(fact.clone()) {
            self.push(GossipItem::Fact(fact.kind, fact.node.clone()));
        }
    }

    /// Returns whether an object has to be pulled. A lease renewal needs no pull and is applied from
    /// its stamp.
    fn needs_pull(&self, stamp: &ObjectStamp) -> bool {
        if !is_shared(&stamp.key) {
            return false;
        }
        let Some(known) = self.stamps.get(&stamp.key) else { return true };
        if known.version >= stamp.version {
            return false;
        }
        if known.content != stamp.content {
            return true;
        }
        let object = self.cx.view.get(&stamp.key);
        if let Some(renewed) =
            object.and_then(|object| object_digest::apply_renewal(&object, stamp))
        {
            self.cx.view.apply(renewed);
        }
        false
    }

    fn record_change(&self, old: Option<&MemberRow>, row: &MemberRow) {
        let node: NodeId = row.node.clone();
        let is_new_incarnation = old.is_none_or(|old| old.incarnation != row.incarnation);
        let old_health = old.map(|old| old.health);
        let event = match row.health {
            MemberHealth::Dead if old_health != Some(MemberHealth::Dead) => Event::MemberDead {
                node: node.clone(),
                accusers: row.accusers.join(" "),
                suspected_for: Duration::ZERO,
            },
            MemberHealth::Live if is_new_incarnation || old_health == Some(MemberHealth::Dead) => {
                Event::MemberJoined {
                    node: node.clone(),
                    data_centre: row.data_centre.clone(),
                    incarnation: row.incarnation,
                }
            }
            MemberHealth::Live if row.leaving && old.is_some_and(|old| !old.leaving) => {
                Event::MemberLeaving { node: node.clone() }
            }
            _ => return,
        };
        if row.health == MemberHealth::Dead {
            self.cx.facts.remove_node(&node);
        }
        self.cx.record(event);
    }
}

fn is_shared(key: &str) -> bool {
    SHARED_PREFIXES.iter().any(|prefix| key.starts_with(prefix))
}
