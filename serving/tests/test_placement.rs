//! Tests of the choice of a replica and of load shedding.

use crate::util::engine;
use guavaladder_serving::load_table::ReplicaState;
use guavaladder_serving::placement::Candidate;
use guavaladder_serving::placement::NoCapacity;
use guavaladder_serving::placement::PlacementInput;
use guavaladder_serving::placement::Timeliness;
use guavaladder_serving::placement::choose;
use guavaladder_serving::placement::occupancy;
use guavaladder_serving::placement::retry_after;
use guavaladder_serving::placement::retry_after_refusal;
use guavaladder_serving::rate_limits::RateAllowance;
use guavaladder_serving::replica_set::Replica;
use std::sync::Arc;
use std::time::Duration;

fn candidate(name: &str, data_centre: &str, running: u32) -> Candidate {
    let replica = Replica {
        key: name.to_string(),
        hash: 0,
        service: "drafting".to_string(),
        instance: name.to_string(),
        run: 0,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: data_centre.to_string(),
        slots: 26,
        model: Some("large".to_string()),
        is_node: false,
        members: vec![],
    };
    let state = ReplicaState { remote: running, ..ReplicaState::unknown() };
    Candidate { replica: Arc::new(replica), state, rate: RateAllowance::Available }
}

fn chosen(candidates: &[Candidate], timeliness: Timeliness) -> Result<String, NoCapacity> {
    let engine = engine();
    let input = PlacementInput {
        data_centre: "east",
        engine: Some(&engine),
        timeliness,
        nodes: 7,
        capacity_ratio: None,
    };
    choose(candidates, &input).map(|replica| replica.key.clone())
}

#[test]
fn choice_depends_on_requests_of_all_nodes() {
    let candidates = [candidate("a", "east", 12), candidate("b", "east", 3)];
    assert_eq!(chosen(&candidates, Timeliness::OnTime), Ok("b".to_string()));
}

/// 75 nodes choose at the same time based on the same loads; they must not all choose the same replica.
#[test]
fn many_nodes_spread_requests_over_the_replicas() {
    let candidates: Vec<Candidate> =
        (0..24).map(|i| candidate(&format!("r{i:02}"), "east", 5 + i % 3)).collect();
    let engine = engine();
    let input = PlacementInput {
        data_centre: "east",
        engine: Some(&engine),
        timeliness: Timeliness::OnTime,
        nodes: 75,
        capacity_ratio: None,
    };
    let mut placed = std::collections::BTreeMap::new();
    for _ in 0..150 {
        let replica = choose(&candidates, &input).unwrap();
        *placed.entry(replica.key.clone()).or_insert(0) += 1;
    }
    assert!(placed.values().max().unwrap() < &25, "{placed:?}");
}

#[test]
fn choice_prefers_the_own_data_centre() {
    let candidates = [candidate("a", "west", 5), candidate("b", "east", 5)];
    assert_eq!(chosen(&candidates, Timeliness::OnTime), Ok("b".to_string()));
}

#[test]
fn choice_avoids_replicas_that_are_down_ejected_or_slow() {
    let mut down = candidate("down", "east", 0);
    down.state.is_down = true;
    let mut ejected = candidate("ejected", "east", 0);
    ejected.state.is_ejected = true;
    let mut slow = candidate("slow", "east", 0);
    slow.state.slowness = 5.0;
    let healthy = candidate("healthy", "west", 20);
    let candidates = [down.clone(), ejected.clone(), slow, healthy];
    assert_eq!(chosen(&candidates, Timeliness::OnTime), Ok("healthy".to_string()));
    // An ejected replica is better than none; one that is down is not.
    assert_eq!(chosen(&[down.clone(), ejected], Timeliness::OnTime), Ok("ejected".to_string()));
    assert_eq!(chosen(&[down], Timeliness::OnTime), Err(NoCapacity::NoReplica));
}

#[test]
fn overload_refuses_new_requests_but_not_started_ones() {
    let candidates = [candidate("a", "east", 60), candidate("b", "east", 60)];
    assert_eq!(chosen(&candidates, Timeliness::OnTime), Err(NoCapacity::AllBusy));
    assert!(chosen(&candidates, Timeliness::Begun).is_ok());
    let sum = occupancy(&candidates);
    assert_eq!((sum.running, sum.slots, sum.replicas), (120, 52, 2));
}

#[test]
fn refused_callers_do_not_retry_together() {
    let time_left = Duration::from_secs(6);
    let delays: Vec<Duration> = (0..50).map(|_| retry_after(time_left)).collect();
    let min = delays.iter().min().unwrap();
    let max = delays.iter().max().unwrap();
    assert!(*max > *min + Duration::from_millis(50), "{min:?} to {max:?}");
    // Callers honour up to a third of the time left; at least a fifth leaves time for a repair.
    assert!(*max <= time_left / 3 && *min >= time_left / 5, "{min:?} to {max:?}");
}

/// Simulates a load above the capacity of the groups, for long enough that a queue would be full all the
/// time. Every accepted request gets a slot at once, and throughput is as high as with a queue.
#[test]
fn sustained_overload_fills_the_slots_without_a_queue() {
    let mut candidates = [candidate("a", "east", 0), candidate("b", "east", 0)];
    let (mut accepted, mut refused) = (0, 0);
    for step in 0..3000u32 {
        // A slot becomes free at each group every 60 ms; a request arrives every 20 ms.
        if step % 3 == 0 {
            for candidate in &mut candidates {
                let is_busy = candidate.state.remote >= 20;
                candidate.state.remote -= u32::from(is_busy);
            }
        }
        match chosen(&candidates, Timeliness::OnTime) {
            Ok(key) => {
                let chosen = candidates.iter_mut().find(|c| c.replica.key == key).unwrap();
                chosen.state.remote += 1;
                accepted += 1;
            }
            Err(_) => refused += 1,
        }
        for candidate in &candidates {
            assert!(candidate.state.remote <= candidate.replica.slots + 2);
        }
    }
    assert!(accepted > 1900, "{accepted} accepted, {refused} refused");
}

#[test]
fn last_slots_are_reserved_for_responses_that_can_be_on_time() {
    let candidates = [candidate("a", "east", 24)];
    assert!(chosen(&candidates, Timeliness::OnTime).is_ok());
    assert_eq!(chosen(&candidates, Timeliness::Late), Err(NoCapacity::AllBusy));
    assert!(chosen(&[candidate("a", "east", 15)], Timeliness::Late).is_ok());
}

fn with_rate(candidate: Candidate, rate: RateAllowance) -> Candidate {
    Candidate { rate, ..candidate }
}

#[test]
fn replicas_whose_rate_is_used_up_are_not_chosen() {
    let after = |ms| RateAllowance::After(Duration::from_millis(ms));
    let limited = with_rate(candidate("limited", "east", 0), after(700));
    let left = with_rate(candidate("left", "east", 0), RateAllowance::NotElected);
    let sooner = with_rate(candidate("sooner", "east", 0), after(300));
    let free = candidate("free", "west", 20);
    let busy = candidate("busy", "east", 60);
    let candidates = [limited.clone(), left.clone(), free];
    for timeliness in [Timeliness::OnTime, Timeliness::Late, Timeliness::Begun] {
        assert_eq!(chosen(&candidates, timeliness), Ok("free".to_string()));
    }
    let next = Some(Duration::from_millis(300));
    let all_limited = [limited.clone(), left.clone(), sooner];
    let refused = Err(NoCapacity::RateLimited { next });
    assert_eq!(chosen(&all_limited, Timeliness::OnTime), refused);
    assert_eq!(chosen(&all_limited, Timeliness::Begun), refused);
    let refused = Err(NoCapacity::RateLimited { next: None });
    assert_eq!(chosen(std::slice::from_ref(&left), Timeliness::OnTime), refused);
    assert_eq!(chosen(&[limited, left, busy], Timeliness::OnTime), Err(NoCapacity::AllBusy));
}

#[test]
fn callers_refused_for_a_rate_return_when_it_allows_a_request() {
    let time_left = Duration::from_secs(6);
    let next = Duration::from_millis(300);
    for _ in 0..50 {
        let delay = retry_after_refusal(NoCapacity::RateLimited { next: Some(next) }, time_left);
        assert!(delay >= next && delay <= 2 * next, "{delay:?}");
        let late = NoCapacity::RateLimited { next: Some(Duration::from_secs(30)) };
        assert!(retry_after_refusal(late, time_left) <= time_left / 3);
    }
}
