//! Voluntary changes of groups: leaving members, surplus groups and rolling changes of the model,
//! its version, the adapter or the role.

use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::planner::PlanBuilder;
use crate::planner_types::ModelSpec;
use crate::planner_types::ServiceTarget;

/// Drains groups with leaving members, and drops or drains groups beyond the wanted number.
pub(crate) fn drain_leaving_and_surplus(builder: &mut PlanBuilder<'_>, target: &ServiceTarget) {
    for group in serving(builder, target) {
        if builder.has_leaving_member(&group) {
            builder.drain(&group, "a member is leaving");
        }
    }
    drop_surplus_forming(builder, target);
    drain_surplus_serving(builder, target);
}

/// Advances a rolling change by one step: forms a replacement group if instances are free,
/// otherwise drains an outdated group if the disruption budget permits.
pub(crate) fn advance_rolling_change(builder: &mut PlanBuilder<'_>, target: &ServiceTarget) {
    let outdated = outdated(builder, target);
    let Some(first) = outdated.first() else { return };
    if serving(builder, target).len() < builder.active(target).len() {
        return;
    }
    let mut pool = builder.pool();
    if let Some(formation) = pool.form(target, 1).pop() {
        builder.add_group(target, formation, "replaces an outdated group");
        return;
    }
    if target.disruptions > 0 {
        builder.drain(first, "the group is outdated and no instances are free for a replacement");
    }
}

/// Drops groups being formed that exceed the wanted number plus the replacements of outdated
/// groups.
fn drop_surplus_forming(builder: &mut PlanBuilder<'_>, target: &ServiceTarget) {
    let replacing = outdated(builder, target).len();
    let active: Vec<GroupRecord> = builder.active(target).into_iter().cloned().collect();
    let surplus = active.len().saturating_sub(target.groups + replacing);
    let mut forming: Vec<&GroupRecord> =
        active.iter().filter(|group| group.state != GroupState::Serving).collect();
    forming.sort_by_key(|group| (group.state as u8, std::cmp::Reverse(group.loads)));
    for group in forming.into_iter().take(surplus) {
        builder.drop_group(group, "more groups than wanted".to_string());
    }
}

fn drain_surplus_serving(builder: &mut PlanBuilder<'_>, target: &ServiceTarget) {
    let mut serving = serving(builder, target);
    let surplus = serving.len().saturating_sub(target.groups);
    serving.sort_by_key(|group| ModelSpec::of_group(group) == target.spec);
    for group in serving.iter().take(surplus) {
        builder.drain(group, "more groups than wanted");
    }
}

fn serving(builder: &PlanBuilder<'_>, target: &ServiceTarget) -> Vec<GroupRecord> {
    let active = builder.active(target).into_iter();
    active.filter(|group| group.state == GroupState::Serving).cloned().collect()
}

fn outdated(builder: &PlanBuilder<'_>, target: &ServiceTarget) -> Vec<GroupRecord> {
    let is_outdated = |group: &GroupRecord| {
        ModelSpec::of_group(group) != target.spec || group.role != target.role
    };
    serving(builder, target).into_iter().filter(is_outdated).collect()
}
