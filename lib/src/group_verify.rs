//! Verification of groups by the members' own reports.

use crate::generated::engine::Assignment;
use crate::generated::engine::MemberState;
use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::ids::InstanceId;
use crate::planner_types::MemberFacts;
use crate::planner_types::MemberHealth;
use crate::planner_types::ModelSpec;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// What the members' reports say about a group.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupCondition {
    /// Every member reports its place, loaded and joined.
    Whole,
    /// Every member holds its place or is on the way to it.
    Forming,
    /// A member did not answer lately; the others are in their places.
    Unconfirmed {
        /// The silent member.
        member: InstanceId,
    },
    /// A member lost its place.
    Broken {
        /// What was seen.
        reason: String,
    },
}

/// Returns the assignment that a group's record gives to a shard.
pub fn assignment_of(group: &GroupRecord, shard: usize) -> Assignment {
    Assignment {
        group: group.group.clone(),
        epoch: group.epoch,
        shard: shard as u32,
        members: group.members.iter().map(|member| member.instance.clone()).collect(),
        service: group.service.clone(),
        model: group.model.clone(),
        version: group.version.clone(),
        adapter: group.adapter.clone(),
        role: group.role,
    }
}

/// Tells whether an assignment is that of a standby, which is loaded for any shard.
pub fn is_standby(held: &Assignment) -> bool {
    held.shard as usize >= held.members.len()
}

/// Tells whether an instance with this assignment can take a shard without loading weights.
pub fn has_weights(facts: &MemberFacts, spec: &ModelSpec, shard: usize) -> bool {
    let Some(held) = facts.assignment() else { return false };
    let is_loaded = matches!(
        facts.state(),
        Some(MemberState::Ready | MemberState::Draining | MemberState::Failed)
    );
    let is_fitting = is_standby(held) || held.shard as usize == shard;
    is_loaded && !facts.lacks_weights && is_fitting && ModelSpec::of_assignment(held) == *spec
}

/// Judges a group by the reports of its members.
pub fn judge(
    group: &GroupRecord,
    members: &BTreeMap<InstanceId, MemberFacts>,
    stragglers: &BTreeSet<InstanceId>,
) -> GroupCondition {
    let mut is_whole = true;
    let mut silent = None;
    for (shard, member) in group.members.iter().enumerate() {
        let Some(facts) = members.get(&member.instance) else {
            return broken(&member.instance, "is no longer listed");
        };
        if facts.address != member.address {
            return broken(&member.instance, "has another address");
        }
        match facts.health {
            MemberHealth::Lost => return broken(&member.instance, "does not answer"),
            // A new owner leaves a serving group alone until it knows more.
            MemberHealth::Unknown => {
                is_whole = false;
                continue;
            }
            MemberHealth::Silent => {
                silent.get_or_insert_with(|| member.instance.clone());
                continue;
            }
            MemberHealth::Responding | MemberHealth::Flapping => {}
        }
        if stragglers.contains(&member.instance) {
            return broken(&member.instance, "loads far more slowly than the others");
        }
        match place_of(group, shard, facts) {
            Place::Taken => {}
            Place::OnTheWay => is_whole = false,
            Place::Lost(reason) => return broken(&member.instance, reason),
        }
    }
    match silent {
        Some(member) => GroupCondition::Unconfirmed { member },
        None if is_whole => GroupCondition::Whole,
        None => GroupCondition::Forming,
    }
}

enum Place {
    Taken,
    OnTheWay,
    Lost(&'static str),
}

/// Compares a member's report with its place in the record.
fn place_of(group: &GroupRecord, shard: usize, facts: &MemberFacts) -> Place {
    let is_forming =
        !matches!(group.state, GroupState::Serving | GroupState::Draining | GroupState::Released);
    let is_loading = matches!(group.state, GroupState::Reserved | GroupState::Loading);
    let wanted = assignment_of(group, shard);
    let holds_it = facts.assignment() == Some(&wanted);
    match (holds_it, facts.state()) {
        (true, Some(MemberState::Ready)) => Place::Taken,
        (true, Some(MemberState::Draining))
            if matches!(group.state, GroupState::Serving | GroupState::Draining) =>
        {
            Place::Taken
        }
        (true, Some(MemberState::Loading)) if is_forming => Place::OnTheWay,
        (true, Some(MemberState::Failed)) if is_forming => Place::Lost("failed while joining"),
        (true, _) => Place::Lost("is not ready"),
        (false, _) if facts.health == MemberHealth::Flapping => Place::Lost("restarts too often"),
        // A group that has served is not joined anew under the same id: a router may still know it.
        (false, Some(_)) if is_loading => Place::OnTheWay,
        (false, Some(MemberState::Idle)) => Place::Lost("restarted"),
        (false, _) if is_forming => {
            let spec = ModelSpec::of_group(group);
            match has_weights(facts, &spec, shard) || facts.state() == Some(MemberState::Loading) {
                true => Place::OnTheWay,
                false => Place::Lost("holds other weights"),
            }
        }
        (false, _) => Place::Lost("reports another group"),
    }
}

fn broken(member: &str, what: &str) -> GroupCondition {
    GroupCondition::Broken { reason: format!("{member} {what}") }
}
