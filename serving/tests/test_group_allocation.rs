//! Tests of the allocation of groups to models by measured demand.

use crate::util::engine;
use crate::util::model;
use guavaladder_serving::fleet_config::Engine;
use guavaladder_serving::group_allocation::AllocationDemand;
use guavaladder_serving::group_allocation::AllocationHistory;
use guavaladder_serving::group_allocation::GroupCounts;
use guavaladder_serving::group_allocation::max_loads_in_window;
use guavaladder_serving::group_allocation::next_move;
use guavaladder_serving::group_plan::InstanceUse;
use guavaladder_serving::group_plan::Plan;
use guavaladder_serving::group_plan::PlanInput;
use guavaladder_serving::group_plan::PlanInstance;
use guavaladder_serving::group_plan::PlanStep;
use guavaladder_serving::group_plan::plan_all;
use guavaladder_serving::instance::MembershipState;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Returns an engine whose large groups have 16 instances and whose small ones have 4, of 30 slots each.
fn uneven_engine() -> Engine {
    let models = vec![model("large", 16, 0.5), model("small", 4, 0.5)];
    Engine { slots: 30, models, ..engine() }
}

fn demand(large: f64, small: f64) -> AllocationDemand {
    let needed = [("large".to_string(), large), ("small".to_string(), small)].into();
    AllocationDemand { needed, can_move: true, load_allowance: 25 }
}

fn bare(id: &str, domain: &str) -> PlanInstance {
    PlanInstance {
        id: id.to_string(),
        domain: domain.to_string(),
        is_suspect: false,
        is_draining: false,
        expiry_cause: None,
        is_reserved: false,
        staging: None,
        staged: vec![],
        last_model: None,
        membership: None,
        is_evacuated: false,
    }
}

fn with_weights(prefix: &str, domain: &str, model: &str, count: usize) -> Vec<PlanInstance> {
    let instance = |i: usize| PlanInstance {
        last_model: Some(model.to_string()),
        ..bare(&format!("{prefix}-{i:02}"), domain)
    };
    (0..count).map(instance).collect()
}

fn open_groups(domain: &str, model: &str, size: usize, count: usize) -> Vec<PlanInstance> {
    let group = |number: usize| {
        let name = format!("{domain}-{model}-{number}");
        let mut members = with_weights(&name, domain, model, size);
        for (rank, member) in members.iter_mut().enumerate() {
            let state = if rank == 0 { MembershipState::Open } else { MembershipState::Ready };
            member.membership = Some((name.clone(), 5, rank, state));
        }
        members
    };
    (0..count).flat_map(group).collect()
}

fn planned(instances: &[PlanInstance], demand: &AllocationDemand, loads: usize) -> Plan {
    planned_in(&uneven_engine(), instances, Some(demand), loads)
}

fn planned_in(
    engine: &Engine,
    instances: &[PlanInstance],
    demand: Option<&AllocationDemand>,
    loads: usize,
) -> Plan {
    let none = BTreeSet::new();
    plan_all(&PlanInput {
        engine,
        instances,
        down: &none,
        dissolved: &none,
        assembling: &[],
        active_loads: loads,
        is_fleet_stable: true,
        is_absence_trusted: true,
        demand,
    })
}

fn assembled(plan: &Plan) -> Vec<(&str, usize)> {
    let assembly = |step| match step {
        &PlanStep::Assemble { ref model, loads, .. } => Some((model.as_str(), loads)),
        _ => None,
    };
    plan.steps.iter().filter_map(assembly).collect()
}

fn staged(plan: &Plan) -> Vec<(&str, &str)> {
    let staged = plan.steps.iter().filter_map(|step| match step {
        PlanStep::Stage { instance, model } => Some((instance.as_str(), model.as_str())),
        _ => None,
    });
    staged.collect()
}

fn dissolved(plan: &Plan) -> Vec<&PlanStep> {
    plan.steps.iter().filter(|step| matches!(step, PlanStep::Dissolve { .. })).collect()
}

/// The observed overload: 4 large and 16 small groups serve, the other instances have no weights, and both
/// models fall short of their peaks with a margin. Guards against loads for a fifth large group, which take as
/// long as those for four small ones.
#[test]
fn loads_are_spent_where_they_restore_the_most_slots() {
    let mut instances = vec![];
    for domain in 0..6 {
        let name = format!("d{domain}");
        let large = usize::from(domain < 4);
        instances.extend(open_groups(&name, "large", 16, large));
        let small = if domain < 4 { 2 } else { 4 };
        instances.extend(open_groups(&name, "small", 4, small));
        let rest = 37 - 16 * large - 4 * small;
        instances.extend((0..rest).map(|i| bare(&format!("{name}-e{i:02}"), &name)));
    }
    let demand = demand(90.0, 560.0);
    let plan = planned(&instances, &demand, 0);
    assert_eq!(assembled(&plan), [("small", 4), ("small", 4), ("small", 4)]);
    assert_eq!(dissolved(&plan), Vec::<&PlanStep>::new());
    // By the shares, the large model is the one that is served least.
    let by_shares = planned_in(&uneven_engine(), &instances, None, 0);
    assert_eq!(assembled(&by_shares)[0], ("large", 16));
    let target = |model: usize| plan.models[model].target;
    assert!(target(0) >= 4 && target(1) >= 24, "{:?}", plan.models);
}

/// Guards against starving a model while another one, which takes fewer loads, is short for long.
#[test]
fn model_without_a_group_goes_first() {
    let mut instances = open_groups("d0", "small", 4, 4);
    instances.extend((0..20).map(|i| bare(&format!("e{i:02}"), "d0")));
    let plan = planned(&instances, &demand(20.0, 560.0), 0);
    assert_eq!(assembled(&plan), [("large", 16)]);
}

/// A large group lost a member, and its domain has an instance without weights. Guards against loads for other
/// groups while one load restores 30 slots.
#[test]
fn large_group_that_lacks_one_member_is_completed_first() {
    let mut instances = with_weights("l", "d0", "large", 15);
    instances.extend(open_groups("d1", "large", 16, 3));
    instances.extend(open_groups("d2", "small", 4, 8));
    instances.extend((0..6).map(|i| bare(&format!("e{i}"), "d0")));
    let plan = planned(&instances, &demand(90.0, 560.0), 5);
    assert_eq!(staged(&plan), [("e0", "large")]);
}

/// Guards against 15 members of a large group that wait for another one while the small model is short.
#[test]
fn members_left_of_a_large_group_are_used_for_the_small_model() {
    let mut instances = with_weights("l", "d0", "large", 15);
    instances.extend(open_groups("d1", "large", 16, 4));
    instances.extend(open_groups("d2", "small", 4, 8));
    let plan = planned(&instances, &demand(60.0, 560.0), 0);
    let small = staged(&plan).into_iter().filter(|(_, model)| *model == "small").count();
    assert_eq!((small, staged(&plan).len()), (6, 6), "{:?}", plan.steps);
    // What is being staged counts for the group, and is assembled once all four are.
    for instance in &mut instances[..3] {
        instance.staged = vec!["small".to_string()];
    }
    instances[3].staging = Some("small".to_string());
    instances[3].is_reserved = true;
    let then = planned(&instances, &demand(60.0, 560.0), 1);
    assert_eq!(assembled(&then), []);
    instances[3].staged = vec!["small".to_string()];
    (instances[3].staging, instances[3].is_reserved) = (None, false);
    let last = planned(&instances, &demand(60.0, 560.0), 0);
    assert_eq!(assembled(&last), [("small", 0)]);
}

/// Guards against members left of a large group being converted where the small model has enough.
#[test]
fn members_left_of_a_large_group_keep_their_weights_if_no_model_is_short() {
    let mut instances = with_weights("l", "d0", "large", 15);
    instances.extend(open_groups("d1", "large", 16, 3));
    instances.extend(open_groups("d2", "small", 4, 8));
    let plan = planned(&instances, &demand(60.0, 100.0), 0);
    let small = staged(&plan).into_iter().filter(|(_, model)| *model == "small").count();
    assert_eq!(small, 0, "{:?}", plan.steps);
}

/// No instance is free, the small model is short and the large one has twice what it needs. Guards against
/// keeping them so, against more than one group at a time, and against the same group being assembled again.
#[test]
fn group_of_a_model_that_has_more_than_it_needs_is_dissolved() {
    let mut instances = open_groups("d0", "large", 16, 2);
    instances.extend(open_groups("d1", "large", 16, 2));
    instances.extend(open_groups("d2", "small", 4, 8));
    let needed = demand(60.0, 360.0);
    let plan = planned(&instances, &needed, 0);
    assert!(
        matches!(dissolved(&plan)[..], [PlanStep::Dissolve { is_graceful: true, members, .. }] if members.len() == 16),
        "{:?}",
        plan.steps
    );
    let no_move = AllocationDemand { can_move: false, ..needed.clone() };
    assert_eq!(planned(&instances, &no_move, 0).steps, []);
    // While loads are running at the limit, a dissolved group would only be idle.
    assert_eq!(dissolved(&planned(&instances, &needed, 6)), Vec::<&PlanStep>::new());
    instances[..16].iter_mut().for_each(|member| member.membership = None);
    let then = planned(&instances, &no_move, 0);
    assert_eq!(assembled(&then), []);
    assert_eq!(staged(&then).iter().filter(|(_, model)| *model == "small").count(), 6);
}

/// Guards against dissolving groups of a model that is itself short or would be, against leaving it none, and
/// against dissolving anything while free instances are left.
#[test]
fn nothing_is_dissolved_that_its_own_model_needs() {
    let engine = uneven_engine();
    let counts = |large: usize, small: usize| -> GroupCounts {
        let key = |model: &str| ("d0".to_string(), model.to_string());
        [(key("large"), large), (key("small"), small)].into()
    };
    let none = BTreeMap::new();
    for (large, need) in [(4, 90.0), (2, 40.0), (1, 5.0), (1, 0.0)] {
        let found = next_move(&engine, &demand(need, 560.0), &counts(large, 8), &none);
        assert_eq!(found, None, "{large} groups for {need}");
    }
    let free = [("d1".to_string(), 4)].into();
    assert_eq!(next_move(&engine, &demand(20.0, 560.0), &counts(4, 8), &free), None);
    let found = next_move(&engine, &demand(20.0, 560.0), &counts(4, 8), &none).unwrap();
    assert_eq!((found.from.as_str(), found.to.as_str(), found.groups), ("large", "small", 1));
    let found = next_move(&engine, &demand(90.0, 60.0), &counts(1, 12), &none).unwrap();
    assert_eq!((found.from.as_str(), found.to.as_str(), found.groups), ("small", "large", 4));
}

/// Demand in waves around the limit must not dissolve groups in each of them.
#[test]
fn moves_need_a_lasting_shortage_and_time_between_them() {
    let (mut history, start) = (AllocationHistory::new(), Instant::now());
    let short = ["small".to_string()];
    let after = |seconds| start + Duration::from_secs(seconds);
    history.record_short(&short, after(0));
    assert!(!history.can_move(after(3)));
    history.record_short(&[], after(3));
    history.record_short(&short, after(4));
    assert!(!history.can_move(after(7)));
    assert!(history.can_move(after(8)));
    history.record_move(after(8));
    history.record_short(&short, after(9));
    assert!(!history.can_move(after(22)));
    assert!(history.can_move(after(23)));
}

/// The platform bounds the loads that begin in 5 s: 4 a second, a tenth more, and 3.
#[test]
fn loads_that_begin_are_bounded() {
    let (engine, mut history, start) = (uneven_engine(), AllocationHistory::new(), Instant::now());
    assert_eq!(max_loads_in_window(&engine), 25);
    history.record_loads(16, start);
    assert_eq!(history.load_allowance(&engine, start + Duration::from_secs(4)), 9);
    assert_eq!(history.load_allowance(&engine, start + Duration::from_secs(5)), 25);
    let instances: Vec<PlanInstance> = (0..37).map(|i| bare(&format!("e{i:02}"), "d0")).collect();
    let few = AllocationDemand { load_allowance: 3, ..demand(0.0, 560.0) };
    let plan = planned(&instances, &few, 0);
    assert!(plan.steps.iter().map(PlanStep::loads).sum::<usize>() <= 3, "{:?}", plan.steps);
}

/// Guards against instances that are counted twice or not at all.
#[test]
fn every_instance_has_one_use() {
    let mut instances = open_groups("d0", "small", 4, 2);
    instances.extend(with_weights("s", "d0", "small", 2));
    instances.extend((0..3).map(|i| bare(&format!("e{i}"), "d0")));
    instances[10].staging = Some("large".to_string());
    instances[10].is_reserved = true;
    instances[11].is_suspect = true;
    instances[9].is_reserved = true;
    let plan = planned(&instances, &demand(0.0, 20.0), 1);
    let expected = [
        (InstanceUse::Serving, 8),
        (InstanceUse::Assembling, 1),
        (InstanceUse::Staging, 1),
        (InstanceUse::Spare, 1),
        (InstanceUse::WithoutWeights, 1),
        (InstanceUse::Unusable, 1),
    ];
    assert_eq!(plan.uses, expected.into());
}

/// Fleet of 6 domains with 37 instances each, whose steps take as long as on the platform: 14 s for a load, of
/// which 6 run at full speed; an instance is lost every 2.5 s, and another one without weights starts 2 s later.
struct Simulation {
    instances: Vec<PlanInstance>,
    running: Vec<Running>,
    engine: Engine,
    random: u64,
    next_id: usize,
    next_epoch: u64,
}

/// A step that is being executed.
struct Running {
    step: PlanStep,
    loads: usize,
    seconds_left: f64,
}

impl Simulation {
    const TICK: f64 = 0.25;

    /// Returns the fleet at the start of traffic: 4 large and 16 small groups serve.
    fn new(seed: u64) -> Self {
        let mut instances = vec![];
        for domain in 0..6 {
            let name = format!("d{domain}");
            let (large, small) = if domain < 4 { (1, 2) } else { (0, 4) };
            instances.extend(open_groups(&name, "large", 16, large));
            instances.extend(open_groups(&name, "small", 4, small));
            let rest = 37 - 16 * large - 4 * small;
            instances.extend((0..rest).map(|i| bare(&format!("{name}-e{i:02}"), &name)));
        }
        let (running, engine) = (vec![], uneven_engine());
        Self { instances, running, engine, random: seed, next_id: 0, next_epoch: 6 }
    }

    fn random(&mut self, below: usize) -> usize {
        self.random =
            self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 33) as usize % below
    }

    fn find(&mut self, id: &str) -> Option<&mut PlanInstance> {
        self.instances.iter_mut().find(|instance| instance.id == id)
    }

    fn lose_one(&mut self) {
        let lost = self.random(self.instances.len());
        let domain = self.instances.swap_remove(lost).domain;
        self.next_id += 1;
        self.instances.push(bare(&format!("new-{:04}", self.next_id), &domain));
    }

    fn finish(&mut self, step: PlanStep) {
        let ids = step.instances().to_vec();
        let is_complete = ids.iter().all(|id| self.find(id).is_some());
        self.next_epoch += 1;
        let epoch = self.next_epoch;
        for (rank, id) in ids.iter().enumerate() {
            let Some(instance) = self.find(id) else { continue };
            instance.is_reserved = false;
            match &step {
                PlanStep::Dissolve { .. } => instance.membership = None,
                PlanStep::Stage { model, .. } => {
                    instance.staging = None;
                    instance.staged = vec![model.clone()];
                }
                PlanStep::Assemble { model, .. } => {
                    let state =
                        if rank == 0 { MembershipState::Open } else { MembershipState::Ready };
                    instance.last_model = Some(model.clone());
                    instance.membership =
                        is_complete.then(|| (format!("g{epoch}"), epoch, rank, state));
                }
                PlanStep::Open { .. } => {}
            }
        }
    }

    fn tick(&mut self, demand: Option<&AllocationDemand>) -> Plan {
        let active: usize = self.running.iter().map(|running| running.loads).sum();
        let pace = (6.0 / active.max(1) as f64).min(1.0);
        for running in &mut self.running {
            let pace = if running.loads > 0 { pace } else { 1.0 };
            running.seconds_left -= Self::TICK * pace;
        }
        let (done, running) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.seconds_left <= 0.0);
        self.running = running;
        done.into_iter().for_each(|running: Running| self.finish(running.step));
        let assembling: Vec<(String, String)> = self
            .running
            .iter()
            .filter_map(|running| match &running.step {
                PlanStep::Assemble { domain, model, .. } => Some((domain.clone(), model.clone())),
                _ => None,
            })
            .collect();
        let none = BTreeSet::new();
        let plan = plan_all(&PlanInput {
            engine: &self.engine,
            instances: &self.instances,
            down: &none,
            dissolved: &none,
            assembling: &assembling,
            active_loads: self.running.iter().map(|running| running.loads).sum(),
            is_fleet_stable: true,
            is_absence_trusted: true,
            demand,
        });
        for step in plan.steps.clone() {
            let loads = step.loads();
            let seconds_left = match &step {
                PlanStep::Assemble { .. } if loads == 0 => 1.9,
                PlanStep::Assemble { .. } => 14.3,
                PlanStep::Stage { .. } => 14.0,
                PlanStep::Dissolve { .. } | PlanStep::Open { .. } => 0.3,
            };
            for id in step.instances() {
                let instance = self.instances.iter_mut().find(|i| i.id == *id).unwrap();
                assert!(!instance.is_reserved, "{id} takes part in two steps");
                instance.is_reserved = true;
                if let PlanStep::Stage { model, .. } = &step {
                    instance.staging = Some(model.clone());
                }
            }
            self.running.push(Running { step, loads, seconds_left });
        }
        plan
    }
}

/// Returns the mean part of the needed slots that serves over 48 s, of the large and of the small model, and
/// the mean number of instances that serve.
fn simulate(seed: u64, demand: Option<&AllocationDemand>) -> (f64, f64, f64) {
    let mut fleet = Simulation::new(seed);
    let (mut sums, ticks) = ((0.0, 0.0, 0.0), 192);
    for tick in 0..ticks {
        if tick % 10 == 9 {
            fleet.lose_one();
        }
        let plan = fleet.tick(demand);
        let part = |model: usize, needed: f64| {
            (plan.models[model].serving as f64 * 30.0 / needed).min(1.0)
        };
        sums.0 += part(0, 90.0);
        sums.1 += part(1, 560.0);
        sums.2 += plan.uses[&InstanceUse::Serving] as f64;
    }
    let ticks = f64::from(ticks);
    (sums.0 / ticks, sums.1 / ticks, sums.2 / ticks)
}

/// Guards against an allocation that serves less than the one by the configured shares while instances are
/// lost and loads are scarce, and against one that serves the small model at the expense of the large one.
#[test]
fn more_is_served_by_demand_than_by_shares_while_instances_are_lost() {
    const SEEDS: u64 = 6;
    let demand = demand(90.0, 560.0);
    let mean = |demand: Option<&AllocationDemand>| {
        let (mut sums, n) = ((0.0, 0.0, 0.0), SEEDS as f64);
        for seed in 1..=SEEDS {
            let (large, small, serving) = simulate(seed, demand);
            sums = (sums.0 + large / n, sums.1 + small / n, sums.2 + serving / n);
        }
        sums
    };
    let (by_shares, by_demand) = (mean(None), mean(Some(&demand)));
    println!("part of the need, large and small, and instances that serve:");
    println!("by shares {by_shares:.3?}, by demand {by_demand:.3?}");
    assert!(by_demand.1 > by_shares.1, "small: {by_demand:?}, by shares {by_shares:?}");
    assert!(by_demand.0 > by_shares.0 - 0.05, "large: {by_demand:?}, by shares {by_shares:?}");
}
