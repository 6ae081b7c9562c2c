//! Formation of groups from free instances, with as few weight loads as possible.
//!
//! Survivors of broken groups keep their weights in the pool, so two broken groups whose missing
//! shards differ are merged into a whole one without any load.

use crate::generated::engine::MemberState;
use crate::group_verify::has_weights;
use crate::group_verify::is_standby;
use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::planner_types::MemberFacts;
use crate::planner_types::ModelSpec;
use crate::planner_types::ServiceTarget;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The free instances of a domain.
#[derive(Debug, Clone)]
pub struct Pool<'a> {
    members: &'a BTreeMap<InstanceId, MemberFacts>,
    free: BTreeSet<InstanceId>,
}

/// A new group: its instances in shard order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Formation {
    /// Instances in shard order.
    pub members: Vec<InstanceId>,
    /// How many of them have to load weights.
    pub loads: usize,
}

/// Free instances by what they can give to a service.
struct Supply {
    by_shard: Vec<Vec<InstanceId>>,
    standbys: Vec<InstanceId>,
    blank: Vec<InstanceId>,
}

impl<'a> Pool<'a> {
    /// Returns the pool of the eligible instances that are not claimed.
    pub fn new(
        members: &'a BTreeMap<InstanceId, MemberFacts>,
        claimed: &BTreeSet<InstanceId>,
    ) -> Self {
        let is_free = |(id, facts): &(&InstanceId, &MemberFacts)| {
            facts.is_eligible() && facts.report.is_some() && !claimed.contains(*id)
        };
        let free = members.iter().filter(is_free).map(|(id, _)| id.clone()).collect();
        Self { members, free }
    }

    /// Returns the number of free instances.
    pub fn len(&self) -> usize {
        self.free.len()
    }

    /// Tells whether no instance is free.
    pub fn is_empty(&self) -> bool {
        self.free.is_empty()
    }

    /// Returns the free instances that a service may use.
    pub fn usable_by(&self, service: &str) -> usize {
        self.free.iter().filter(|id| self.may_use(id, service)).count()
    }

    /// Returns how many whole groups of a service can be formed.
    pub fn possible(&self, target: &ServiceTarget) -> usize {
        self.usable_by(&target.service) / target.group_size.max(1)
    }

    /// Forms up to `wanted` groups of a service and takes their instances out of the pool.
    pub fn form(&mut self, target: &ServiceTarget, wanted: usize) -> Vec<Formation> {
        let count = wanted.min(self.possible(target));
        let mut supply = self.supply(target);
        let mut drafts = vec![vec![None; target.group_size]; count];
        for draft in &mut drafts {
            for (place, loaded) in draft.iter_mut().zip(&mut supply.by_shard) {
                *place = loaded.pop();
            }
        }
        // The first drafts lack the fewest shards, so standbys complete as many groups as they can.
        fill(&mut drafts, &mut supply.standbys);
        let loads = drafts.iter().map(|d| d.iter().filter(|p| p.is_none()).count()).collect();
        let mut rest: Vec<InstanceId> = supply.by_shard.into_iter().flatten().collect();
        rest.extend(supply.standbys);
        rest.extend(supply.blank.into_iter().rev());
        fill(&mut drafts, &mut rest);
        self.take(drafts, loads)
    }

    /// Takes an instance to be kept loaded for a service, preferably one that already is.
    pub fn take_standby(&mut self, service: &ServiceId, spec: &ModelSpec) -> Option<InstanceId> {
        let rank = |id: &&InstanceId| {
            let facts = &self.members[*id];
            let is_loaded = facts
                .assignment()
                .is_some_and(|held| is_standby(held) && ModelSpec::of_assignment(held) == *spec);
            let is_idle = facts.state() == Some(MemberState::Idle);
            (!is_loaded, facts.pinned_to.as_ref() != Some(service), !is_idle)
        };
        let free = self.free.iter().filter(|id| self.may_use(id, service));
        let chosen = free.min_by_key(rank).cloned()?;
        self.free.remove(&chosen);
        Some(chosen)
    }

    fn may_use(&self, id: &str, service: &str) -> bool {
        let pinned_to = self.members.get(id).and_then(|facts| facts.pinned_to.as_deref());
        pinned_to.is_none_or(|pinned| pinned == service)
    }

    fn supply(&self, target: &ServiceTarget) -> Supply {
        let by_shard = vec![vec![]; target.group_size];
        let mut supply = Supply { by_shard, standbys: vec![], blank: vec![] };
        for id in self.free.iter().filter(|id| self.may_use(id, &target.service)) {
            let facts = &self.members[id];
            let held = facts.assignment();
            let shard = held.map(|held| held.shard as usize);
            match (held, shard) {
                (Some(held), _) if is_standby(held) && has_weights(facts, &target.spec, 0) => {
                    supply.standbys.push(id.clone());
                }
                (Some(_), Some(shard))
                    if shard < target.group_size && has_weights(facts, &target.spec, shard) =>
                {
                    supply.by_shard[shard].push(id.clone());
                }
                _ => supply.blank.push(id.clone()),
            }
        }
        let preference = |id: &InstanceId| {
            let facts = &self.members[id];
            let is_idle = facts.state() == Some(MemberState::Idle);
            (facts.pinned_to.is_none(), !is_idle, id.clone())
        };
        supply.blank.sort_by_key(preference);
        supply
    }

    fn take(&mut self, drafts: Vec<Vec<Option<InstanceId>>>, loads: Vec<usize>) -> Vec<Formation> {
        let mut formations = vec![];
        for (draft, loads) in drafts.into_iter().zip(loads) {
            let members: Option<Vec<InstanceId>> = draft.into_iter().collect();
            let Some(members) = members else { continue };
            members.iter().for_each(|id| {
                self.free.remove(id);
            });
            formations.push(Formation { members, loads });
        }
        formations
    }
}

/// Fills the open places of the drafts in order.
fn fill(drafts: &mut [Vec<Option<InstanceId>>], supply: &mut Vec<InstanceId>) {
    let open = drafts.iter_mut().flatten().filter(|place| place.is_none());
    for place in open {
        match supply.pop() {
            Some(id) => *place = Some(id),
            None => return,
        }
    }
}
