//! Tests that the fleet counts as stable once few of its instances are newly registered.

use guavaladder_serving::registration_tracker::RegistrationTracker;
use std::time::Duration;
use tokio::time::Instant;

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("i-{i}")).collect()
}

#[test]
fn starting_fleet_is_unstable_until_few_instances_are_new() {
    let start = Instant::now();
    let mut tracker = RegistrationTracker::new();
    for step in 1..=10u32 {
        tracker.record(ids(4 * step as usize).iter(), start + Duration::from_millis(300) * step);
        assert!(!tracker.is_stable(), "{step}");
    }
    tracker.record(ids(40).iter(), start + Duration::from_millis(3900));
    assert!(tracker.is_stable());
}

/// Half of the instances are replaced, one every 0.7 s.
#[test]
fn gradual_replacement_keeps_the_fleet_stable() {
    let start = Instant::now();
    let mut tracker = RegistrationTracker::new();
    tracker.record(ids(48).iter(), start);
    for step in 1..=24u32 {
        let now = start + Duration::from_secs(2) + Duration::from_millis(700) * step;
        tracker.record(ids(48 + step as usize).iter(), now);
        assert!(tracker.is_stable(), "{step}");
    }
}
