//! Tests of the planner against first-fit assignment and exhaustive search, and of the allocation
//! of groups to domains.

use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::EngineLoad;
use guavaladder_lib::generated::engine::EngineStatus;
use guavaladder_lib::generated::engine::GroupRole;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::groups::GroupState;
use guavaladder_lib::group_orders::needed_orders;
use guavaladder_lib::load_schedule::groups_to_load;
use guavaladder_lib::planner::plan;
use guavaladder_lib::planner_types::DomainInput;
use guavaladder_lib::planner_types::MemberFacts;
use guavaladder_lib::planner_types::MemberHealth;
use guavaladder_lib::planner_types::ModelSpec;
use guavaladder_lib::planner_types::ServiceTarget;
use guavaladder_lib::replica_allocation::DomainCapacity;
use guavaladder_lib::replica_allocation::ServiceNeed;
use guavaladder_lib::replica_allocation::allocate;
use proptest::prelude::*;
use proptest::test_runner::Config;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Initial state of an instance in a generated domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InitialState {
    Nothing,
    Shard(u32),
    Standby,
    OtherModel,
    Lost,
}

fn initial_state(size: u32) -> impl Strategy<Value = InitialState> {
    prop_oneof![
        3 => Just(InitialState::Nothing),
        4 => (0..size).prop_map(InitialState::Shard),
        1 => Just(InitialState::Standby),
        1 => Just(InitialState::OtherModel),
        1 => Just(InitialState::Lost),
    ]
}

fn facts(id: &str, initial: InitialState, size: u32) -> MemberFacts {
    let assignment = |model: &str, shard: u32| Assignment {
        group: format!("old-{id}"),
        epoch: 1,
        shard,
        members: (0..size).map(|i| if i == shard { id.to_string() } else { "x".into() }).collect(),
        service: "s".to_string(),
        model: model.to_string(),
        version: "1".to_string(),
        adapter: None,
        role: GroupRole::Full,
    };
    let (state, held) = match initial {
        InitialState::Nothing | InitialState::Lost => (MemberState::Idle, None),
        InitialState::Shard(shard) => (MemberState::Failed, Some(assignment("m", shard))),
        InitialState::Standby => (MemberState::Ready, Some(assignment("m", size))),
        InitialState::OtherModel => (MemberState::Failed, Some(assignment("other", 0))),
    };
    let health = match initial {
        InitialState::Lost => MemberHealth::Lost,
        _ => MemberHealth::Responding,
    };
    let report = EngineStatus {
        instance: id.to_string(),
        state,
        assignment: held,
        highest_epoch: 1,
        load: EngineLoad { running: 0, queued: 0, capacity: 1, age: Duration::ZERO },
    };
    MemberFacts {
        address: format!("{id}:1"),
        health,
        report: Some(report),
        accepts_groups: true,
        must_leave: false,
        lacks_weights: false,
        pinned_to: None,
    }
}

fn input(all: &[InitialState], size: u32, groups: usize) -> DomainInput {
    let member = |(i, initial): (usize, &InitialState)| {
        let id = format!("i{i}");
        (id.clone(), facts(&id, *initial, size))
    };
    let spec = ModelSpec { model: "m".into(), version: "1".into(), adapter: None };
    let target = ServiceTarget {
        service: "s".to_string(),
        groups,
        group_size: size as usize,
        priority: 50,
        spec,
        role: GroupRole::Full,
        downtime_weight: 0.5,
        disruptions: 1,
    };
    DomainInput {
        epoch: 2,
        groups: vec![],
        members: all.iter().enumerate().map(member).collect(),
        targets: vec![target],
        draining_for: BTreeMap::new(),
        drain: Duration::from_secs(30),
        stragglers: BTreeSet::new(),
        next_group: 1,
        id_prefix: "d-2".to_string(),
    }
}

fn needs_load(initial: InitialState, shard: usize) -> usize {
    match initial {
        InitialState::Standby => 0,
        InitialState::Shard(held) if held as usize == shard => 0,
        _ => 1,
    }
}

/// Returns the fewest weight loads with which the shards from `position` on can be filled, by
/// exhaustive search.
fn least_loads(
    all: &[InitialState],
    used: &mut Vec<bool>,
    position: usize,
    positions: usize,
    size: usize,
) -> usize {
    if position == positions {
        return 0;
    }
    let mut best = usize::MAX;
    for i in 0..all.len() {
        if used[i] || all[i] == InitialState::Lost {
            continue;
        }
        used[i] = true;
        let rest = least_loads(all, used, position + 1, positions, size);
        best = best.min(rest.saturating_add(needs_load(all[i], position % size)));
        used[i] = false;
    }
    best
}

/// Returns the weight loads of first-fit assignment, which takes the instances in order regardless
/// of their loaded weights.
fn first_fit_loads(all: &[InitialState], positions: usize, size: usize) -> usize {
    let usable = all.iter().filter(|initial| **initial != InitialState::Lost);
    usable
        .take(positions)
        .enumerate()
        .map(|(position, initial)| needs_load(*initial, position % size))
        .sum()
}

fn config() -> Config {
    Config { failure_persistence: None, ..Config::with_cases(200) }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn plan_equals_exhaustive_search(
        (size, all) in (2u32..=3).prop_flat_map(|size| {
            (Just(size), proptest::collection::vec(initial_state(size), 2..7))
        }),
        groups in 1usize..=2,
    ) {
        let planned = plan(&input(&all, size, groups));
        let usable = all.iter().filter(|initial| **initial != InitialState::Lost).count();
        let possible = groups.min(usable / size as usize);
        prop_assert_eq!(planned.groups.len(), possible);
        let positions = possible * size as usize;
        let loads: u32 = planned.groups.iter().map(|group| group.loads).sum();
        let best = least_loads(&all, &mut vec![false; all.len()], 0, positions, size as usize);
        prop_assert_eq!(loads as usize, best, "the plan does not need the fewest weight loads");
        prop_assert!(loads as usize <= first_fit_loads(&all, positions, size as usize));
        let mut seen = BTreeSet::new();
        for group in &planned.groups {
            for id in group.members.iter().map(|m| &m.instance).chain(&group.standbys) {
                prop_assert!(seen.insert(id.clone()), "{} is assigned twice", id);
                let index: usize = id[1..].parse().unwrap();
                prop_assert!(all[index] != InitialState::Lost);
            }
        }
    }

    #[test]
    fn plan_is_stable(
        all in proptest::collection::vec(initial_state(3), 3..12),
        groups in 1usize..=3,
    ) {
        let mut input = input(&all, 3, groups);
        let mut first = plan(&input);
        let granted = groups_to_load(first.groups.iter(), 32);
        for group in first.groups.iter_mut().filter(|g| granted.contains(&g.group)) {
            group.state = GroupState::Loading;
        }
        input.groups = first.groups.clone();
        input.next_group = first.next_group;
        let second = plan(&input);
        prop_assert_eq!(first.groups, second.groups);
        prop_assert!(second.changes.is_empty(), "{:?}", second.changes);
    }

    #[test]
    fn allocate_fits_and_respects_priority(
        shared in proptest::collection::vec(0usize..40, 1..6),
        replicas in proptest::collection::vec(0usize..12, 2),
        sizes in proptest::collection::vec(1usize..=16, 2),
    ) {
        let domains: BTreeMap<String, DomainCapacity> = shared.iter().enumerate().map(|(i, n)| {
            let capacity =
                DomainCapacity { shared: *n, has_fabric: true, ..DomainCapacity::default() };
            (format!("d{i}"), capacity)
        }).collect();
        let need = |i: usize| ServiceNeed {
            service: format!("s{i}"),
            replicas: replicas[i],
            group_size: sizes[i],
            priority: 90 - i as u32,
            downtime_weight: 0.5,
            allow_spanning: false,
        };
        let allocation = allocate(&domains, &[need(0), need(1)]);
        let count = |d: &str, s: &str| {
            allocation.get(d).and_then(|wanted| wanted.get(s)).copied().unwrap_or(0)
        };
        for (id, capacity) in &domains {
            let used = count(id, "s0") * sizes[0] + count(id, "s1") * sizes[1];
            prop_assert!(used <= capacity.shared);
        }
        // The service of the highest priority gets as many groups as the domains can hold.
        let most: usize = shared.iter().map(|n| n / sizes[0]).sum();
        let got: usize = domains.keys().map(|id| count(id, "s0")).sum();
        prop_assert_eq!(got, most.min(replicas[0]));
    }
}

#[test]
fn plan_keeps_group_with_member_of_other_weights() {
    let all = [InitialState::Nothing, InitialState::OtherModel, InitialState::Nothing];
    let mut input = input(&all, 3, 1);
    let first = plan(&input);
    input.groups = first.groups;
    let orders = needed_orders(&input.groups, &input.members, &input.targets, 2);
    let is_released = orders
        .iter()
        .any(|order| order.instance == "i1" && matches!(order.action, OrderAction::Release(_)));
    assert!(is_released, "{orders:?}");
    let second = plan(&input);
    assert_eq!(second.changes, vec![]);
    assert_eq!(second.groups.len(), 1);
}
