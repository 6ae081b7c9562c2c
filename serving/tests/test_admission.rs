//! Tests of the decision on admission and of the delay after which refused callers return.

use guavaladder_serving::admission::Admission;
use guavaladder_serving::admission::AdmissionInput;
use guavaladder_serving::admission::AdmissionReason;
use guavaladder_serving::admission::ServedRatios;
use guavaladder_serving::admission::Standing;
use guavaladder_serving::admission::decide;
use guavaladder_serving::admission::retry_after;
use guavaladder_serving::placement::Occupancy;
use proptest::prelude::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn input() -> AdmissionInput {
    AdmissionInput {
        occupancy: Occupancy { running: 95, slots: 100, replicas: 5 },
        shortage: 0.2,
        fill_ratio: 1.0,
        has_more_urgent: false,
        urgency_rank: 0.0,
        customer_use: 0.5,
        served: ServedRatios::unknown(),
        standing: Standing::New,
        size: 1.0,
        expected_first_event: 60 * MS,
        expected_stream: 900 * MS,
        target_latency: 250 * MS,
        time_left: 5000 * MS,
    }
}

fn ratio(input: AdmissionInput) -> f64 {
    match decide(&input) {
        Admission::Admit { capacity_ratio, .. } => capacity_ratio,
        Admission::Refuse { .. } => 0.0,
    }
}

#[test]
fn first_rank_uses_the_whole_capacity() {
    assert_eq!(ratio(input()), 1.0);
    assert_eq!(ratio(AdmissionInput { fill_ratio: 0.9, ..input() }), 0.9);
}

/// Guards against an order in which a lower rank takes slots from a higher one.
#[test]
fn lower_ranks_leave_capacity_to_higher_ones() {
    let less_urgent = ratio(AdmissionInput { has_more_urgent: true, ..input() });
    let over_share = ratio(AdmissionInput { customer_use: 1.5, ..input() });
    let standing = |standing| ratio(AdmissionInput { standing, ..input() });
    let is_late = ratio(AdmissionInput { expected_first_event: 300 * MS, ..input() });
    let large = ratio(AdmissionInput { size: 3.0, ..input() });
    assert!(less_urgent < over_share && over_share < large && large < 1.0);
    assert!(standing(Standing::Returned) > is_late);
    assert!(is_late > standing(Standing::Repeated));
    assert!(standing(Standing::Repeated) > standing(Standing::Early));
    assert!(standing(Standing::Returned) < 1.0);
}

/// Guards against refusals for requests that don't come: a reserve without shortage.
#[test]
fn reserves_are_zero_without_shortage() {
    let last = AdmissionInput {
        shortage: 0.0,
        has_more_urgent: true,
        customer_use: 3.0,
        standing: Standing::Early,
        size: 4.0,
        ..input()
    };
    assert_eq!(ratio(last), 1.0);
}

/// Guards against starvation: a reserve that keeps out a kind, a customer or a size altogether.
#[test]
fn those_that_are_served_too_rarely_are_exempt_from_their_reserve() {
    let served = |kind, customer, size| ServedRatios { kind, customer, size };
    let less_urgent = AdmissionInput { has_more_urgent: true, ..input() };
    let over_share = AdmissionInput { customer_use: 5.0, ..input() };
    let large = AdmissionInput { size: 3.0, ..input() };
    assert_eq!(ratio(AdmissionInput { served: served(0.3, 1.0, 1.0), ..less_urgent }), 1.0);
    assert_eq!(ratio(AdmissionInput { served: served(1.0, 0.3, 1.0), ..over_share }), 1.0);
    assert_eq!(ratio(AdmissionInput { served: served(1.0, 1.0, 0.55), ..large }), 1.0);
}

#[test]
fn request_that_cannot_begin_before_its_deadline_is_refused() {
    let overdue = AdmissionInput { expected_first_event: 6000 * MS, ..input() };
    let Admission::Refuse { reason, .. } = decide(&overdue) else { panic!("admitted") };
    assert_eq!(reason, AdmissionReason::Overdue);
}

#[test]
fn standing_follows_from_the_time_that_the_caller_has_left() {
    let timeout = 5000 * MS;
    let standing = |is_retry, is_early, left| Standing::new(is_retry, is_early, left * MS, timeout);
    assert_eq!(standing(false, false, 5000), Standing::New);
    assert_eq!(standing(true, false, 3500), Standing::Returned);
    assert_eq!(standing(true, false, 4600), Standing::Repeated);
    assert_eq!(standing(false, true, 4990), Standing::Early);
    // A caller that claims more time than the route allows has not waited.
    assert_eq!(standing(false, false, 9000), Standing::New);
}

/// Guards against callers that wait as told and count as impatient, or whose response can no longer end in time.
#[test]
fn retry_after_is_honoured_and_recognized() {
    for shortage in [0.0, 0.01, 0.2, 1.0] {
        for urgency_rank in [0.0, 0.5, 1.0] {
            let input = AdmissionInput { shortage, urgency_rank, ..input() };
            let delay = retry_after(&input);
            assert!(delay <= input.time_left / 3, "{delay:?}");
            let left = input.time_left - delay;
            let standing = Standing::new(true, false, left, input.time_left);
            assert_eq!(standing, Standing::Returned);
        }
    }
    let soon = (0..50).map(|_| retry_after(&AdmissionInput { shortage: 0.0, ..input() })).max();
    let later = AdmissionInput { shortage: 0.0, urgency_rank: 1.0, ..input() };
    assert!(soon < (0..50).map(|_| retry_after(&later)).min());
    let long = AdmissionInput { expected_stream: 3700 * MS, ..input() };
    assert!(retry_after(&long) <= 1240 * MS);
}

proptest! {
    /// Guards against a refusal while under half of the slots are in use, whatever was measured.
    #[test]
    fn nothing_is_refused_while_half_of_the_slots_are_free(
        running in 0u32..50,
        shortage in 0.0f64..1.0,
        fill_ratio in 0.0f64..1.0,
        customer_use in 0.0f64..1e9,
        size in 0.0f64..1e9,
        first_ms in 0u64..100_000,
    ) {
        let input = AdmissionInput {
            occupancy: Occupancy { running, slots: 100, replicas: 5 },
            shortage, fill_ratio, customer_use, size,
            has_more_urgent: true,
            standing: Standing::Early,
            expected_first_event: Duration::from_millis(first_ms),
            ..input()
        };
        prop_assert_eq!(ratio(input), 1.0);
        let nearly = AdmissionInput {
            occupancy: Occupancy { running: 60, ..input.occupancy },
            time_left: Duration::from_secs(200),
            ..input
        };
        prop_assert!(ratio(nearly) >= 0.6);
    }
}
