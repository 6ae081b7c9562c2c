//! Changes on purpose: leaving members, surplus groups and rolling changes of what a group loads.

use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::planner::Draft;
use crate::planner_types::ModelSpec;
use crate::planner_types::ServiceTarget;

/// Drains groups with leaving members and groups beyond the wanted number.
pub(crate) fn retire(draft: &mut Draft<'_>, target: &ServiceTarget) {
    for group in serving(draft, target) {
        if draft.has_leaving_member(&group) {
            draft.drain(&group, "a member goes away");
        }
    }
    drop_surplus_forming(draft, target);
    drain_surplus_serving(draft, target);
}

/// Advances a rolling change by one step: replacement first where instances are free, otherwise
/// within the disruption budget.
pub(crate) fn roll(draft: &mut Draft<'_>, target: &ServiceTarget) {
    let outdated = outdated(draft, target);
    let Some(first) = outdated.first() else { return };
    if serving(draft, target).len() < draft.active(target).len() {
        return;
    }
    let mut pool = draft.pool();
    if let Some(formation) = pool.form(target, 1).pop() {
        draft.add(target, formation, "replaces a group of another version");
        return;
    }
    if target.disruptions > 0 {
        draft.drain(first, "another version is wanted and no instances are free to go first");
    }
}

/// Drops groups on the way to serving that are neither wanted nor replacements.
fn drop_surplus_forming(draft: &mut Draft<'_>, target: &ServiceTarget) {
    let replacing = outdated(draft, target).len();
    let active: Vec<GroupRecord> = draft.active(target).into_iter().cloned().collect();
    let surplus = active.len().saturating_sub(target.groups + replacing);
    let mut forming: Vec<&GroupRecord> =
        active.iter().filter(|group| group.state != GroupState::Serving).collect();
    forming.sort_by_key(|group| (group.state as u8, std::cmp::Reverse(group.loads)));
    for group in forming.into_iter().take(surplus) {
        draft.drop_group(group, "more groups than wanted".to_string());
    }
}

fn drain_surplus_serving(draft: &mut Draft<'_>, target: &ServiceTarget) {
    let mut serving = serving(draft, target);
    let surplus = serving.len().saturating_sub(target.groups);
    serving.sort_by_key(|group| ModelSpec::of_group(group) == target.spec);
    for group in serving.iter().take(surplus) {
        draft.drain(group, "more groups than wanted");
    }
}

fn serving(draft: &Draft<'_>, target: &ServiceTarget) -> Vec<GroupRecord> {
    let active = draft.active(target).into_iter();
    active.filter(|group| group.state == GroupState::Serving).cloned().collect()
}

fn outdated(draft: &Draft<'_>, target: &ServiceTarget) -> Vec<GroupRecord> {
    let is_outdated = |group: &GroupRecord| {
        ModelSpec::of_group(group) != target.spec || group.role != target.role
    };
    serving(draft, target).into_iter().filter(is_outdated).collect()
}
