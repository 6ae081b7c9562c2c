//! Formation of groups from free instances, with as few weight loads as possible.
//!
//! Survivors of broken groups keep their weights in the pool, so two broken groups whose missing
//! shards differ are merged into one complete group without any load.

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

/// A new group and the weight loads that it needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Formation {
    /// Instances in shard order.
    pub members: Vec<InstanceId>,
    /// Number of members that have to load weights.
    pub loads: usize,
}

/// Free instances that a service may use, by the weights that they hold.
struct Candidates {
    by_shard: Vec<Vec<InstanceId>>,
    standbys: Vec<InstanceId>,
    without_weights: Vec<InstanceId>,
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

    /// Returns the number of free instances that a service may use.
    pub fn usable_by(&self, service: &str) -> usize {
        self.free.iter().filter(|id| self.may_use(id, service)).count()
    }

    /// Returns how many complete groups of a service can be formed.
    pub fn max_groups(&self, target: &ServiceTarget) -> usize {
        self.usable_by(&target.service) / target.group_size.max(1)
    }

    /// Forms up to `wanted` groups of a service and removes their instances from the pool.
    pub fn form(&mut self, target: &ServiceTarget, wanted: usize) -> Vec<Formation> {
        let count = wanted.min(self.max_groups(target));
        let mut candidates = self.candidates(target);
        let mut groups = vec![vec![None; target.group_size]; count];
        for group in &mut groups {
            for (slot, loaded) in group.iter_mut().zip(&mut candidates.by_shard) {
                *slot = loaded.pop();
            }
        }
        // The first groups lack the fewest shards, so standbys complete as many groups as they can.
        fill_slots(&mut groups, &mut candidates.standbys);
        let loads =
            groups.iter().map(|group| group.iter().filter(|slot| slot.is_none()).count()).collect();
        let mut remaining: Vec<InstanceId> = candidates.by_shard.into_iter().flatten().collect();
        remaining.extend(candidates.standbys);
        remaining.extend(candidates.without_weights.into_iter().rev());
        fill_slots(&mut groups, &mut remaining);
        self.remove_members(groups, loads)
    }

    /// Removes an instance from the pool as a standby of a service, preferably one that is loaded.
    pub fn take_standby(&mut self, service: &ServiceId, spec: &ModelSpec) -> Option<InstanceId> {
        let rank = |id: &&InstanceId| {
            let facts = &self.members[*id];
            let is_loaded = facts.assignment().is_some_and(|assignment| {
                is_standby(assignment) && ModelSpec::of_assignment(assignment) == *spec
            });
            let is_idle = facts.state() == Some(MemberState::Idle);
            (!is_loaded, facts.pinned_to.as_ref() != Some(service), !is_idle)
        };
        let free = self.free.iter().filter(|id| self.may_use(id, service));
        let selected = free.min_by_key(rank).cloned()?;
        self.free.remove(&selected);
        Some(selected)
    }

    fn may_use(&self, id: &str, service: &str) -> bool {
        let pinned_to = self.members.get(id).and_then(|facts| facts.pinned_to.as_deref());
        pinned_to.is_none_or(|pinned| pinned == service)
    }

    fn candidates(&self, target: &ServiceTarget) -> Candidates {
        let by_shard = vec![vec![]; target.group_size];
        let mut candidates = Candidates { by_shard, standbys: vec![], without_weights: vec![] };
        for id in self.free.iter().filter(|id| self.may_use(id, &target.service)) {
            let facts = &self.members[id];
            let assignment = facts.assignment();
            let shard = assignment.map(|assignment| assignment.shard as usize);
            match (assignment, shard) {
                (Some(assignment), _)
                    if is_standby(assignment) && has_weights(facts, &target.spec, 0) =>
                {
                    candidates.standbys.push(id.clone());
                }
                (Some(_), Some(shard))
                    if shard < target.group_size && has_weights(facts, &target.spec, shard) =>
                {
                    candidates.by_shard[shard].push(id.clone());
                }
                _ => candidates.without_weights.push(id.clone()),
            }
        }
        let preference = |id: &InstanceId| {
            let facts = &self.members[id];
            let is_idle = facts.state() == Some(MemberState::Idle);
            (facts.pinned_to.is_none(), !is_idle, id.clone())
        };
        candidates.without_weights.sort_by_key(preference);
        candidates
    }

    fn remove_members(
        &mut self,
        groups: Vec<Vec<Option<InstanceId>>>,
        loads: Vec<usize>,
    ) -> Vec<Formation> {
        let mut formations = vec![];
        for (group, loads) in groups.into_iter().zip(loads) {
            let members: Option<Vec<InstanceId>> = group.into_iter().collect();
            let Some(members) = members else { continue };
            members.iter().for_each(|id| {
                self.free.remove(id);
            });
            formations.push(Formation { members, loads });
        }
        formations
    }
}

/// Fills the empty slots of the groups in order.
fn fill_slots(groups: &mut [Vec<Option<InstanceId>>], instances: &mut Vec<InstanceId>) {
    let empty = groups.iter_mut().flatten().filter(|slot| slot.is_none());
    for slot in empty {
        match instances.pop() {
            Some(id) => *slot = Some(id),
            None => return,
        }
    }
}
