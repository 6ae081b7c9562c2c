//! Tests of the group planner.

use crate::util::engine;
use guavaladder_serving::expired_members::ExpiryCause;
use guavaladder_serving::fleet_config::Engine;
use guavaladder_serving::group_plan::PlanInput;
use guavaladder_serving::group_plan::PlanInstance;
use guavaladder_serving::group_plan::PlanStep;
use guavaladder_serving::group_plan::plan;
use guavaladder_serving::instance::MembershipState;
use rstest::rstest;
use std::collections::BTreeSet;

/// Returns an instance without weights and without a group.
fn bare(id: String, domain: &str) -> PlanInstance {
    PlanInstance {
        id,
        domain: domain.to_string(),
        is_suspect: false,
        is_draining: false,
        is_evacuated: false,
        expiry_cause: None,
        is_reserved: false,
        staging: None,
        staged: vec![],
        last_model: None,
        membership: None,
    }
}

/// Returns a free instance with the weights of a model.
fn staged(id: &str, domain: &str, model: &str) -> PlanInstance {
    PlanInstance { staged: vec![model.to_string()], ..bare(id.to_string(), domain) }
}

/// Returns the members of an open group, the head first.
fn open_group(name: &str, domain: &str, model: &str, size: usize) -> Vec<PlanInstance> {
    let member = |rank: usize| {
        let state = if rank == 0 { MembershipState::Open } else { MembershipState::Ready };
        PlanInstance {
            last_model: Some(model.to_string()),
            membership: Some((name.to_string(), 5, rank, state)),
            ..staged(&format!("{name}-{rank}"), domain, model)
        }
    };
    (0..size).map(member).collect()
}

fn steps(instances: &[PlanInstance], down: &[&str], loads: usize) -> Vec<PlanStep> {
    steps_after(instances, down, &[], loads)
}

/// Returns the planned steps after this node has dissolved some groups.
fn steps_after(
    instances: &[PlanInstance],
    down: &[&str],
    dissolved: &[&str],
    loads: usize,
) -> Vec<PlanStep> {
    let keys = |names: &[&str]| -> BTreeSet<(String, u64)> {
        names.iter().map(|name| (name.to_string(), 5)).collect()
    };
    let (down, dissolved) = (keys(down), keys(dissolved));
    plan(&PlanInput {
        down: &down,
        dissolved: &dissolved,
        active_loads: loads,
        ..base_input(&engine(), instances)
    })
}

/// Returns the input of a stable fleet without faults, dissolved groups or running steps.
fn base_input<'a>(engine: &'a Engine, instances: &'a [PlanInstance]) -> PlanInput<'a> {
    static NONE: BTreeSet<(String, u64)> = BTreeSet::new();
    PlanInput {
        engine,
        instances,
        down: &NONE,
        dissolved: &NONE,
        assembling: &[],
        active_loads: 0,
        is_fleet_stable: true,
        is_absence_trusted: true,
        demand: None,
    }
}

fn assemblies(steps: &[PlanStep]) -> Vec<(String, String, usize)> {
    let assembly = |step: &PlanStep| match step {
        PlanStep::Assemble { model, domain, loads, .. } => {
            Some((model.clone(), domain.clone(), *loads))
        }
        _ => None,
    };
    steps.iter().filter_map(assembly).collect()
}

#[test]
fn larger_model_is_assembled_first_in_a_cold_fleet() {
    let instances: Vec<PlanInstance> =
        (0..16).map(|i| bare(format!("i{i:02}"), if i < 8 { "d0" } else { "d1" })).collect();
    let found = assemblies(&steps(&instances, &[], 0));
    assert_eq!(found[0], ("large".to_string(), "d1".to_string(), 4));
    assert!(found.iter().map(|(_, _, loads)| loads).sum::<usize>() <= 12);
}

/// Instances of six domains register two at a time in different orders. Each domain must end up with one
/// large and one small group; small groups must not use up the instances of large ones.
#[test]
fn cold_fleet_gets_the_same_groups_in_any_registration_order() {
    for seed in 0..20u64 {
        let mut order: Vec<usize> = (0..48).collect();
        order.sort_by_key(|i| (*i as u64 + 1).wrapping_mul(seed * 2 + 2_654_435_761) % 1009);
        let mut fleet: Vec<PlanInstance> = vec![];
        let engine = engine();
        let mut groups = 0;
        for step in 0..80 {
            for i in order.iter().skip(fleet.len()).take(2) {
                fleet.push(bare(format!("i{i:02}"), &format!("d{}", i / 8)));
            }
            let input = PlanInput { is_fleet_stable: step > 40, ..base_input(&engine, &fleet) };
            let steps = plan(&input);
            for step in steps {
                let PlanStep::Assemble { model, members, .. } = step else { continue };
                groups += 1;
                for (rank, id) in members.iter().enumerate() {
                    let member = fleet.iter_mut().find(|i| i.id == *id).unwrap();
                    let state =
                        if rank == 0 { MembershipState::Open } else { MembershipState::Ready };
                    member.staged = vec![model.clone()];
                    member.last_model = Some(model.clone());
                    member.membership = Some((format!("g{groups}"), 5, rank, state));
                }
            }
        }
        let heads = |model: &str| {
            let is_head = |i: &&PlanInstance| i.membership.as_ref().is_some_and(|m| m.2 == 0);
            let of_model = |i: &&PlanInstance| i.last_model.as_deref() == Some(model);
            fleet.iter().filter(is_head).filter(of_model).count()
        };
        assert_eq!((heads("large"), heads("small")), (6, 6), "seed {seed}");
    }
}

/// Loading weights in a cold start takes seconds, in which many plans are made. Guards against assembling
/// a second group while the first one, which the domain's target already covers, is being assembled.
#[test]
fn group_being_assembled_is_not_assembled_again() {
    let engine = engine();
    let mut fleet: Vec<PlanInstance> = (0..8).map(|i| bare(format!("i{i}"), "d0")).collect();
    fleet[..6].iter_mut().for_each(|instance| instance.is_reserved = true);
    let domain_and_model = |model: &str| ("d0".to_string(), model.to_string());
    let assembling = [domain_and_model("large"), domain_and_model("small")];
    let input = PlanInput { assembling: &assembling, ..base_input(&engine, &fleet) };
    assert_eq!(assemblies(&plan(&input)), vec![]);
}

#[test]
fn unstable_fleet_reserves_instances_for_the_larger_model() {
    let instances: Vec<PlanInstance> = (0..3).map(|i| bare(format!("i{i}"), "d0")).collect();
    let engine = engine();
    let stable = base_input(&engine, &instances);
    let input = PlanInput { is_fleet_stable: false, ..stable.clone() };
    assert_eq!(assemblies(&plan(&input)), vec![]);
    assert_eq!(assemblies(&plan(&stable)), vec![("small".to_string(), "d0".to_string(), 2)]);
}

#[test]
fn group_that_lost_a_member_is_reassembled_with_the_staged_spare() {
    let mut instances = open_group("g", "d0", "large", 4);
    instances.remove(2);
    instances.push(staged("spare", "d0", "large"));
    let first = steps(&instances, &[], 0);
    assert!(
        matches!(&first[0], PlanStep::Dissolve { group, is_graceful: false, .. } if group == "g"),
        "{first:?}"
    );
    // Once the head has left, the members and the spare form a new group without loading weights.
    instances[0].membership = None;
    let then = steps_after(&instances, &[], &["g"], 0);
    let members = then.iter().find_map(|step| match step {
        PlanStep::Assemble { members, loads: 0, .. } => Some(members.clone()),
        _ => None,
    });
    let mut members = members.expect("an assembly");
    members.sort();
    assert_eq!(members, ["g-0", "g-1", "g-3", "spare"]);
}

#[test]
fn group_found_down_is_dissolved_although_its_entries_are_complete() {
    let instances = open_group("g", "d0", "large", 4);
    assert_eq!(steps(&instances, &[], 0), vec![]);
    let found = steps(&instances, &["g"], 0);
    assert!(matches!(&found[..], [PlanStep::Dissolve { is_graceful: false, .. }]), "{found:?}");
}

#[test]
fn group_of_a_leaving_member_is_dissolved_gracefully() {
    let mut instances = open_group("g", "d0", "large", 4);
    instances[3].is_draining = true;
    let found = steps(&instances, &[], 0);
    assert!(matches!(&found[..], [PlanStep::Dissolve { is_graceful: true, .. }]), "{found:?}");
}

/// A head partitioned from the store loses its entry but continues to serve with its members. Guards
/// against assigning the members to another group before they have left this one.
#[test]
fn members_of_an_unregistered_head_leave_before_they_join() {
    let mut instances = open_group("g", "d0", "large", 4);
    instances.remove(0);
    instances.push(staged("spare", "d0", "large"));
    let found = steps(&instances, &[], 0);
    assert_eq!(assemblies(&found), vec![]);
    assert!(
        matches!(&found[..], [PlanStep::Dissolve { head: None, members, .. }] if members.len() == 3)
    );
    instances.iter_mut().for_each(|instance| instance.membership = None);
    assert_eq!(assemblies(&steps(&instances, &[], 0)).len(), 1);
}

/// Right after a store outage or the start of this node, expired entries may not be restored yet.
#[test]
fn missing_entries_dissolve_no_group_while_they_may_be_restored() {
    let engine = engine();
    for missing in [0, 2] {
        let mut instances = open_group("g", "d0", "large", 4);
        instances.remove(missing);
        instances.push(staged("spare", "d0", "large"));
        let input = PlanInput { is_absence_trusted: false, ..base_input(&engine, &instances) };
        assert_eq!(plan(&input), vec![]);
    }
}

#[test]
fn members_of_an_unresponsive_head_leave_individually() {
    let mut instances = open_group("g", "d0", "large", 4);
    instances[0].is_suspect = true;
    let found = steps(&instances, &["g"], 0);
    assert!(
        matches!(&found[..], [PlanStep::Dissolve { head: None, members, .. }] if members.len() == 3)
    );
    // No step is due for an unresponsive head whose members are gone.
    instances.truncate(1);
    assert_eq!(steps(&instances, &["g"], 0), vec![]);
}

#[rstest]
#[case::ready_group_is_opened(MembershipState::Ready, true)]
#[case::joining_group_is_not(MembershipState::Joining, false)]
fn assembled_group_of_an_earlier_lease_holder(
    #[case] last: MembershipState,
    #[case] is_opened: bool,
) {
    let mut instances = open_group("g", "d0", "large", 4);
    for instance in &mut instances {
        if let Some(membership) = &mut instance.membership {
            membership.3 = MembershipState::Ready;
        }
    }
    if let Some(membership) = &mut instances[3].membership {
        membership.3 = last;
    }
    let found = steps(&instances, &[], 0);
    let opens = found.iter().any(|step| matches!(step, PlanStep::Open { .. }));
    assert_eq!(opens, is_opened, "{found:?}");
}

#[test]
fn no_step_uses_reserved_instances() {
    let mut instances = open_group("g", "d0", "large", 4);
    instances.iter_mut().for_each(|instance| instance.is_reserved = true);
    assert_eq!(steps(&instances, &["g"], 0), vec![]);
}

#[test]
fn new_instance_is_staged_for_the_model_with_the_shortage() {
    let mut instances = open_group("g", "d0", "large", 4);
    instances.extend(open_group("h", "d0", "small", 2));
    instances.push(bare("new".to_string(), "d0"));
    let found = steps(&instances, &[], 0);
    let step = PlanStep::Stage { instance: "new".to_string(), model: "large".to_string() };
    assert_eq!(found, vec![step]);
    // No load is started beyond the limit of concurrent loads.
    assert_eq!(steps(&instances, &[], 6), vec![]);
}

/// After some losses most free instances of a domain hold weights of the model whose group is complete,
/// while the other model's group is missing.
#[test]
fn surplus_instances_are_staged_for_a_missing_group() {
    let mut instances = open_group("g", "d0", "large", 4);
    instances.extend((0..3).map(|i| staged(&format!("s-{i}"), "d0", "large")));
    instances.push(staged("s-3", "d0", "small"));
    let found = steps(&instances, &[], 0);
    let staging =
        |step: &PlanStep| matches!(step, PlanStep::Stage { model, .. } if model == "small");
    // One of the three stays as the spare of the large group; with s-3 the small group gets a spare too.
    assert_eq!(found.iter().filter(|step| staging(step)).count(), 2, "{found:?}");
    assert_eq!(found.len(), 2, "{found:?}");
}

#[test]
fn surplus_instances_keep_their_weights_if_no_group_is_missing() {
    let mut instances = open_group("g", "d0", "large", 4);
    instances.extend(open_group("h", "d0", "small", 2));
    instances.extend((0..2).map(|i| staged(&format!("s-{i}"), "d0", "large")));
    assert_eq!(steps(&instances, &[], 0), vec![]);
}

#[rstest]
#[case::member_partitioned(2, ExpiryCause::Partitioned, None)]
#[case::member_cause_undetermined(2, ExpiryCause::Undetermined, None)]
#[case::member_leaving(2, ExpiryCause::Leaving, Some("a member is leaving"))]
#[case::head_partitioned(0, ExpiryCause::Partitioned, Some("its head is not registered"))]
fn group_with_an_expired_entry(
    #[case] rank: usize,
    #[case] expiry_cause: ExpiryCause,
    #[case] dissolved: Option<&str>,
) {
    let mut instances = open_group("g", "d0", "large", 4);
    instances[rank].expiry_cause = Some(expiry_cause);
    let found = steps(&instances, &[], 0);
    let why = found.iter().find_map(|step| match step {
        PlanStep::Dissolve { reason, is_graceful: true, .. } => Some(reason.as_str()),
        _ => None,
    });
    assert_eq!(why, dissolved);
    assert_eq!(found.len(), usize::from(dissolved.is_some()), "{found:?}");
}

/// One of the four instances with weights of the large model was replaced by an instance without weights;
/// the domain has another one without weights, and the small model has its group in another domain.
#[test]
fn instance_without_weights_is_staged_for_a_partial_group() {
    let mut instances = open_group("h", "d1", "small", 2);
    instances.extend((0..3).map(|i| staged(&format!("s-{i}"), "d0", "large")));
    instances.extend((0..2).map(|i| bare(format!("e-{i}"), "d0")));
    let found = steps(&instances, &[], 0);
    assert_eq!(assemblies(&found), vec![]);
    let large =
        |step: &&PlanStep| matches!(step, PlanStep::Stage { model, .. } if model == "large");
    // One instance completes the group, and the other one becomes its spare.
    assert_eq!(found.iter().filter(large).count(), 2, "{found:?}");
}

/// Evacuates the instances of a domain.
fn evacuate(instances: &mut [PlanInstance], domain: &str) {
    instances.iter_mut().filter(|i| i.domain == domain).for_each(|i| i.is_evacuated = true);
}

/// A data centre is evacuated while both domains have instances that are free or without weights. Guards against
/// groups and staging there.
#[test]
fn evacuated_instances_are_neither_assembled_nor_staged() {
    let mut instances: Vec<PlanInstance> = (0..16)
        .map(|i| bare(format!("i{i:02}"), if i < 8 { "d0" } else { "d1" }))
        .chain((0..4).map(|i| staged(&format!("s{i}"), "d1", "large")))
        .collect();
    evacuate(&mut instances, "d1");
    let steps = steps(&instances, &[], 0);
    assert!(assemblies(&steps).iter().all(|(_, domain, _)| domain == "d0"), "{steps:?}");
    assert!(!steps.is_empty());
    let is_evacuated =
        |id: &String| instances.iter().any(|instance| instance.id == *id && instance.is_evacuated);
    assert!(!steps.iter().flat_map(PlanStep::instances).any(is_evacuated), "{steps:?}");
}

/// The only group of the large model is in the evacuated data centre. Guards against counting it as serving, so
/// that the free instances elsewhere go to the small model, and against orders to the evacuated group.
#[test]
fn group_in_an_evacuated_data_centre_is_replaced_elsewhere_and_kept() {
    let mut instances = open_group("gone", "d1", "large", 4);
    instances.extend((0..2).flat_map(|i| open_group(&format!("small-{i}"), "d0", "small", 2)));
    instances.extend((0..4).map(|i| staged(&format!("s{i}"), "d0", "large")));
    instances.extend((4..6).map(|i| staged(&format!("s{i}"), "d0", "small")));
    // A member of the evacuated group is lost, too.
    instances[2].is_suspect = true;
    evacuate(&mut instances, "d1");
    let steps = steps(&instances, &["gone"], 0);
    assert_eq!(assemblies(&steps)[0], ("large".to_string(), "d0".to_string(), 0));
    assert!(!steps.iter().any(|s| matches!(s, PlanStep::Dissolve { .. })), "{steps:?}");
}

/// A group spans two data centres. If its head is evacuated, it gets no requests and its members elsewhere would
/// stay idle; if only a member is, its head goes on to serve.
#[rstest]
#[case::head(0, true)]
#[case::member(3, false)]
fn group_across_data_centres_is_closed_if_its_head_is_evacuated(
    #[case] rank: usize,
    #[case] is_closed: bool,
) {
    let mut instances = open_group("g", "d0", "large", 4);
    instances[rank].is_evacuated = true;
    let steps = steps(&instances, &[], 0);
    let is_closing = |step: &PlanStep| matches!(step, PlanStep::Dissolve { is_graceful: true, .. });
    assert_eq!(steps.iter().any(is_closing), is_closed, "{steps:?}");
    assert_eq!(steps.len(), usize::from(is_closed), "{steps:?}");
}
