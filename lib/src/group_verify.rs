//! Verification of groups against the reports of their members.

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

/// Condition of a group according to its members' reports.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupCondition {
    /// Every member reports its assignment, loaded and joined.
    Complete,
    /// Every member holds its assignment or may still reach it.
    Forming,
    /// A member is silent; no other member has lost its assignment.
    Unconfirmed {
        /// The silent member.
        member: InstanceId,
    },
    /// A member lost its assignment.
    Broken {
        /// Member and what is wrong with it.
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
pub fn is_standby(assignment: &Assignment) -> bool {
    assignment.shard as usize >= assignment.members.len()
}

/// Tells whether an instance with this assignment can take a shard without loading weights.
pub fn has_weights(facts: &MemberFacts, spec: &ModelSpec, shard: usize) -> bool {
    let Some(assignment) = facts.assignment() else { return false };
    let is_loaded = matches!(
        facts.state(),
        Some(MemberState::Ready | MemberState::Draining | MemberState::Failed)
    );
    let matches_shard = is_standby(assignment) || assignment.shard as usize == shard;
    is_loaded
        && !facts.lacks_weights
        && matches_shard
        && ModelSpec::of_assignment(assignment) == *spec
}

/// Determines the condition of a group from the reports of its members.
pub fn group_condition(
    group: &GroupRecord,
    members: &BTreeMap<InstanceId, MemberFacts>,
    stragglers: &BTreeSet<InstanceId>,
) -> GroupCondition {
    let mut is_complete = true;
    let mut silent = None;
    for (shard, member) in group.members.iter().enumerate() {
        let Some(facts) = members.get(&member.instance) else {
            return broken(&member.instance, "is no longer in the instance list");
        };
        if facts.address != member.address {
            return broken(&member.instance, "has a different address");
        }
        match facts.health {
            MemberHealth::Lost => return broken(&member.instance, "does not respond"),
            // A new owner does not change a serving group before it knows each member's state.
            MemberHealth::Unknown => {
                is_complete = false;
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
        match assignment_state(group, shard, facts) {
            AssignmentState::Held => {}
            AssignmentState::InProgress => is_complete = false,
            AssignmentState::Lost(reason) => return broken(&member.instance, reason),
        }
    }
    match silent {
        Some(member) => GroupCondition::Unconfirmed { member },
        None if is_complete => GroupCondition::Complete,
        None => GroupCondition::Forming,
    }
}

enum AssignmentState {
    Held,
    InProgress,
    Lost(&'static str),
}

/// Compares a member's report with its assignment in the record.
fn assignment_state(group: &GroupRecord, shard: usize, facts: &MemberFacts) -> AssignmentState {
    let is_forming =
        !matches!(group.state, GroupState::Serving | GroupState::Draining | GroupState::Released);
    let is_loading = matches!(group.state, GroupState::Reserved | GroupState::Loading);
    let wanted = assignment_of(group, shard);
    let has_wanted = facts.assignment() == Some(&wanted);
    match (has_wanted, facts.state()) {
        (true, Some(MemberState::Ready)) => AssignmentState::Held,
        (true, Some(MemberState::Draining))
            if matches!(group.state, GroupState::Serving | GroupState::Draining) =>
        {
            AssignmentState::Held
        }
        (true, Some(MemberState::Loading)) if is_forming => AssignmentState::InProgress,
        (true, Some(MemberState::Failed)) if is_forming => {
            AssignmentState::Lost("failed while joining")
        }
        (true, _) => AssignmentState::Lost("is not ready"),
        (false, _) if facts.health == MemberHealth::Flapping => {
            AssignmentState::Lost("restarts too often")
        }
        // A group that has served is not joined again under the same id, since a router may still
        // send requests to it.
        (false, Some(_)) if is_loading => AssignmentState::InProgress,
        (false, Some(MemberState::Idle)) => AssignmentState::Lost("restarted"),
        (false, _) if is_forming => {
            let spec = ModelSpec::of_group(group);
            match has_weights(facts, &spec, shard) || facts.state() == Some(MemberState::Loading) {
                true => AssignmentState::InProgress,
                false => AssignmentState::Lost("holds different weights"),
            }
        }
        (false, _) => AssignmentState::Lost("reports a different group"),
    }
}

fn broken(member: &str, problem: &str) -> GroupCondition {
    GroupCondition::Broken { reason: format!("{member} {problem}") }
}
