//! Tests of admission in a model of a fleet under scarcity.

use crate::admission_model::Kind;
use crate::admission_model::Method;
use crate::admission_model::Outcomes;
use crate::admission_model::Scenario;
use crate::admission_model::simulate;
use crate::util;
use guavaladder_serving::fleet_config::Engine;

fn engine() -> Engine {
    Engine { slots: 30, steps_per_pass: 2, ..util::engine() }
}

fn notes(rate: f64) -> Kind {
    Kind {
        route: "notes",
        urgency: 1,
        rate,
        prompt_tokens: 714.0,
        events: 31.0,
        target_s: 0.25,
        deadline_s: 5.0,
        value: 1.9,
        late_value: 0.47,
    }
}

/// 12 groups of 30 slots for about 0.85 s each.
fn scenario(load: f64, nodes: usize) -> Scenario {
    Scenario { seconds: 24.0, ..Scenario::new(vec![notes(381.0 * load)], nodes, 12) }
}

fn run(scenario: &Scenario, method: Method) -> Outcomes {
    let outcomes = simulate(scenario, method, &engine());
    println!("{} nodes, {method:?}: {outcomes}", scenario.nodes);
    outcomes
}

/// Guards against refusals and reserves while there is capacity.
#[test]
fn everything_is_admitted_while_there_is_capacity() {
    for nodes in [8, 60] {
        let outcomes = run(&scenario(0.6, nodes), Method::Admission);
        assert_eq!(outcomes.returned.0, 0.0, "callers were refused");
        assert!(outcomes.all.served() > 0.999);
    }
}

/// Guards against overload that makes responses late instead of refusing some of the requests: nodes send by loads
/// that are tenths of a second old, and callers that were refused come back. A request that was refused must not
/// take the slot of one whose response can be on time, as it does if all are admitted alike or those first that
/// came back. A short wait at the node gains nothing.
#[test]
fn overload_leaves_slots_to_responses_that_are_on_time() {
    for (nodes, gain) in [(8, 0.0), (60, 0.05)] {
        let mut earned = [0.0; 5];
        let mut late = [0.0; 2];
        for seed in [7, 8, 9] {
            let scenario = Scenario { seed, ..scenario(1.5, nodes) };
            let methods = [
                Method::Admission,
                Method::Before,
                Method::Alike,
                Method::ReturnedFirst,
                Method::ShortWait,
            ];
            for (i, method) in methods.into_iter().enumerate() {
                let outcomes = run(&scenario, method);
                earned[i] += outcomes.all.earned() / 3.0;
                if i < late.len() {
                    late[i] += outcomes.all.late / outcomes.all.asked / 3.0;
                }
            }
        }
        println!("{nodes} nodes: earned {earned:.3?}, late {late:.3?}");
        assert!(earned[0] > earned[1] + gain, "{earned:?}");
        assert!(earned[0] > earned[2] + 0.1 && earned[0] > earned[3] + 0.2, "{earned:?}");
        assert!(late[0] < late[1] * 0.8, "{late:?}");
        assert!(earned[4] < earned[0] + 0.02, "a short wait gains: {earned:?}");
    }
}

/// Guards against a kind that is served less often, or earns less of its value, than a less urgent one of the same
/// model, and against a reserve that starves the less urgent one.
#[test]
fn more_urgent_requests_are_served_first_and_others_still() {
    for load in [1.2, 2.0] {
        let less_urgent = Kind { route: "checks", urgency: 2, ..notes(190.0 * load) };
        let mut scenario = scenario(0.5 * load, 20);
        scenario.kinds.push(less_urgent);
        let outcomes = run(&scenario, Method::Admission);
        let (urgent, other) = (outcomes.kinds["notes"], outcomes.kinds["checks"]);
        println!("served {:.3} and {:.3}", urgent.served(), other.served());
        assert!(urgent.served() > other.served() - 0.05);
        assert!(urgent.earned() > other.earned() - 0.15);
        assert!(other.served() > outcomes.all.served() / 4.0);
    }
}

/// Guards against a customer with most of the requests that takes the slots of the others, and against one that is
/// starved for that.
#[test]
fn customer_with_most_requests_costs_itself() {
    let mut scenario = scenario(1.5, 20);
    scenario.customers = [vec![16.0], vec![1.0; 8]].concat();
    let outcomes = run(&scenario, Method::Admission);
    let served: Vec<f64> = outcomes.customers.values().map(|tally| tally.served()).collect();
    println!("served {served:.3?}");
    let others = served[1..].iter().sum::<f64>() / 8.0;
    assert!(others > 0.85 && others > served[0] + 0.2, "{served:?}");
    assert!(served.iter().all(|served| *served > outcomes.all.served() / 4.0), "{served:?}");
}

/// Guards against callers that gain by coming back before the time that they were told.
#[test]
fn callers_that_come_back_at_once_gain_nothing() {
    let scenario = Scenario { impatient: Some(0), customers: vec![1.0; 4], ..scenario(1.5, 8) };
    let outcomes = run(&scenario, Method::Admission);
    let earned: Vec<f64> = outcomes.customers.values().map(|tally| tally.earned()).collect();
    println!("earned {earned:.3?}");
    let others = earned[1..].iter().sum::<f64>() / 3.0;
    assert!(earned[0] < others + 0.03, "{earned:?}");
}

/// Guards against large requests that are starved since they have less value for each slot second.
#[test]
fn large_requests_are_served_at_least_half_as_often() {
    for load in [1.2, 2.0] {
        let outcomes = run(&scenario(load, 20), Method::Admission);
        let kind = outcomes.kinds["notes"].served();
        for band in [1, 2] {
            let served = outcomes.sizes[&("notes", band)].served();
            println!("band {band}: {served:.3} of {kind:.3}");
            assert!(served > kind / 2.0);
        }
    }
}

/// Guards against nodes that cut themselves or others off when they hear nothing of each other's customers.
#[test]
fn nodes_without_reports_of_others_are_no_worse_than_before() {
    let scenario = Scenario { hears_reports: false, ..scenario(1.5, 60) };
    let admission = run(&scenario, Method::Admission);
    let before = run(&scenario, Method::Before);
    assert!(admission.all.earned() > before.all.earned());
    assert_eq!(admission.all.refused_idle, 0.0);
}

/// Guards against refusals while slots are free: half of the groups fail, and there is a shortage from one moment to
/// the next; then waves and bursts end it and begin it.
#[test]
fn nothing_is_refused_while_half_of_the_slots_are_free() {
    let fails = Scenario { stop: Some((10.0, 6)), ..scenario(0.7, 20) };
    let waves = Scenario { wave: (0.55, 8.0), burst: 1.6, ..scenario(0.8, 20) };
    for scenario in [fails, waves] {
        let outcomes = run(&scenario, Method::Admission);
        assert!(outcomes.returned.0 > 0.0, "nothing was refused");
        assert_eq!(outcomes.all.refused_idle, 0.0);
        assert!(outcomes.all.earned() > run(&scenario, Method::Before).all.earned() - 0.02);
    }
}
