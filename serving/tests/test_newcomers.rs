//! Tests of when the instance list counts as complete.

use guavaladder_serving::newcomers::RegistrationTracker;
use std::time::Duration;
use tokio::time::Instant;

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("i-{i}")).collect()
}

#[test]
fn fleet_that_starts_is_unsettled_until_few_are_new() {
    let start = Instant::now();
    let mut newcomers = RegistrationTracker::new();
    for step in 1..=10u32 {
        newcomers.record(ids(4 * step as usize).iter(), start + Duration::from_millis(300) * step);
        assert!(!newcomers.is_stable(), "{step}");
    }
    newcomers.record(ids(40).iter(), start + Duration::from_millis(3900));
    assert!(newcomers.is_stable());
}

/// Half of the instances are replaced, one each 0.7 s.
#[test]
fn instances_that_come_one_by_one_do_not_unsettle_the_list() {
    let start = Instant::now();
    let mut newcomers = RegistrationTracker::new();
    newcomers.record(ids(48).iter(), start);
    for step in 1..=24u32 {
        let now = start + Duration::from_secs(2) + Duration::from_millis(700) * step;
        newcomers.record(ids(48 + step as usize).iter(), now);
        assert!(newcomers.is_stable(), "{step}");
    }
}
