//! Orders that follow from the difference between a domain's record and its members' reports.

use crate::generated::engine::Assignment;
use crate::generated::engine::MemberState;
use crate::generated::engine::OrderAction;
use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::group_verify::assignment_of;
use crate::group_verify::has_weights;
use crate::group_verify::is_standby;
use crate::ids::Address;
use crate::ids::Epoch;
use crate::ids::InstanceId;
use crate::planner_types::MemberFacts;
use crate::planner_types::ModelSpec;
use crate::planner_types::ServiceTarget;
use std::collections::BTreeMap;

/// An order that an instance needs now.
#[derive(Debug, Clone, PartialEq)]
pub struct NeededOrder {
    /// The instance.
    pub instance: InstanceId,
    /// Its address.
    pub address: Address,
    /// What is asked.
    pub action: OrderAction,
}

/// Group that no instance is in; an order about it only carries the fencing number.
pub const FENCE_GROUP: &str = "-";

impl NeededOrder {
    /// Returns an order that changes nothing but the highest fencing number seen.
    pub fn fence(instance: &str, address: &str) -> Self {
        let action = OrderAction::Release(FENCE_GROUP.to_string());
        Self { instance: instance.to_string(), address: address.to_string(), action }
    }

    /// Tells whether the order only carries the fencing number.
    pub fn is_fence(&self) -> bool {
        self.action == OrderAction::Release(FENCE_GROUP.to_string())
    }
}

/// What the record wants of an instance.
enum Claim<'a> {
    Member { group: &'a GroupRecord, shard: usize },
    Standby { group: &'a GroupRecord, index: usize },
    None,
}

/// Returns the orders that bring the members closer to the record, at most one for each instance.
pub fn needed_orders(
    groups: &[GroupRecord],
    members: &BTreeMap<InstanceId, MemberFacts>,
    targets: &[ServiceTarget],
    epoch: Epoch,
) -> Vec<NeededOrder> {
    let claims = claims(groups);
    let answering = members.iter().filter(|(_, facts)| facts.is_responding());
    let order = |(id, facts): (&InstanceId, &MemberFacts)| {
        let claim = claims.get(id.as_str()).unwrap_or(&Claim::None);
        let action = action_for(claim, facts, targets, epoch)?;
        Some(NeededOrder { instance: id.clone(), address: facts.address.clone(), action })
    };
    answering.filter_map(order).collect()
}

/// Tells whether an order takes an instance out of a group whose lead may still take requests.
///
/// `may_be_routed` tells whether routers may still send requests to a group.
pub fn breaks_routed_group(
    order: &NeededOrder,
    members: &BTreeMap<InstanceId, MemberFacts>,
    may_be_routed: impl Fn(&str) -> bool,
) -> bool {
    let moves = matches!(
        order.action,
        OrderAction::Regroup(_) | OrderAction::Release(_) | OrderAction::Reload(_)
    );
    let held = members.get(&order.instance).and_then(MemberFacts::assignment);
    let Some(held) = held.filter(|held| moves && !order.is_fence() && !is_standby(held)) else {
        return false;
    };
    let Some(lead) = held.members.first().filter(|lead| **lead != order.instance) else {
        return false;
    };
    match members.get(lead).filter(|lead| lead.is_responding()) {
        Some(lead) => {
            let theirs = lead.assignment().map(|theirs| (&theirs.group, theirs.epoch));
            let is_in_it = theirs == Some((&held.group, held.epoch));
            is_in_it && lead.state() == Some(MemberState::Ready)
        }
        None => may_be_routed(&held.group),
    }
}

fn claims(groups: &[GroupRecord]) -> BTreeMap<&str, Claim<'_>> {
    let mut claims = BTreeMap::new();
    for group in groups {
        for (index, standby) in group.standbys.iter().enumerate() {
            claims.insert(standby.as_str(), Claim::Standby { group, index });
        }
    }
    for group in groups {
        for (shard, member) in group.members.iter().enumerate() {
            claims.insert(member.instance.as_str(), Claim::Member { group, shard });
        }
    }
    claims
}

fn action_for(
    claim: &Claim<'_>,
    facts: &MemberFacts,
    targets: &[ServiceTarget],
    epoch: Epoch,
) -> Option<OrderAction> {
    let state = facts.state()?;
    match claim {
        Claim::Member { group, shard } => member_action(group, *shard, facts, state),
        Claim::Standby { group, index } => {
            let spec = ModelSpec::of_group(group);
            let is_kept = facts
                .assignment()
                .is_some_and(|held| is_standby(held) && ModelSpec::of_assignment(held) == spec);
            match state {
                MemberState::Idle => {
                    let shard = group.members.len() + index;
                    let wanted = Assignment { epoch, ..assignment_of(group, shard) };
                    Some(OrderAction::Join(wanted))
                }
                MemberState::Loading | MemberState::Ready if is_kept => None,
                _ => release(facts),
            }
        }
        Claim::None => {
            let is_useful = facts.is_eligible() && holds_wanted_weights(facts, targets);
            match is_useful {
                // Its group is not recorded any more, so it must not take requests.
                true if state == MemberState::Ready => drain_member(facts),
                true => None,
                false => release(facts),
            }
        }
    }
}

fn member_action(
    group: &GroupRecord,
    shard: usize,
    facts: &MemberFacts,
    state: MemberState,
) -> Option<OrderAction> {
    let wanted = assignment_of(group, shard);
    let holds_it = facts.assignment() == Some(&wanted);
    match group.state {
        GroupState::Draining => {
            let is_taking_work = holds_it && state == MemberState::Ready;
            is_taking_work.then(|| OrderAction::Drain(group.group.clone()))
        }
        GroupState::Released => release(facts),
        // A serving group whose members differ is judged first.
        GroupState::Serving => None,
        GroupState::Reserved | GroupState::Loading | GroupState::Verifying => {
            if holds_it && matches!(state, MemberState::Ready | MemberState::Loading) {
                return None;
            }
            if has_weights(facts, &ModelSpec::of_group(group), shard) {
                return Some(OrderAction::Regroup(wanted));
            }
            let may_load = group.state != GroupState::Reserved;
            match state {
                MemberState::Idle => may_load.then_some(OrderAction::Join(wanted)),
                _ => release(facts),
            }
        }
    }
}

fn drain_member(facts: &MemberFacts) -> Option<OrderAction> {
    let held = facts.assignment().filter(|held| !is_standby(held))?;
    Some(OrderAction::Drain(held.group.clone()))
}

fn release(facts: &MemberFacts) -> Option<OrderAction> {
    facts.assignment().map(|held: &Assignment| OrderAction::Release(held.group.clone()))
}

/// Tells whether a member of no group has weights that its domain may need again.
fn holds_wanted_weights(facts: &MemberFacts, targets: &[ServiceTarget]) -> bool {
    let Some(held) = facts.assignment() else { return false };
    let spec = ModelSpec::of_assignment(held);
    targets
        .iter()
        .any(|target| target.spec == spec && has_weights(facts, &spec, held.shard as usize))
}
