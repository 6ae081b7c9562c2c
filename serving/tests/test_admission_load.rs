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
