//! Tests of the lease state: expiry and allocation of epochs.

use guavaladder_lib::clock::Clock;
use guavaladder_serving::lease_state::LeaseState;
use std::time::Duration;

#[tokio::test(start_paused = true)]
async fn lease_expires_during_suspension() {
    let clock = Clock::with_tokio_time(Duration::ZERO);
    let lease = LeaseState::new(clock.clone());
    assert_eq!(lease.term(), None);
    lease.set_held(3, 40, clock.now(), clock.now() + Duration::from_secs(2));
    assert_eq!(lease.term(), Some(3));
    clock.advance(Duration::from_secs(2));
    assert_eq!(lease.term(), None);
    assert_eq!(lease.next_epoch(), None);
}

#[tokio::test(start_paused = true)]
async fn epochs_increase_across_renewals_and_terms() {
    let clock = Clock::with_tokio_time(Duration::ZERO);
    let lease = LeaseState::new(clock.clone());
    let mut last = 0;
    for term in [3, 3, 4] {
        lease.set_held(term, 40, clock.now(), clock.now() + Duration::from_secs(2));
        for _ in 0..3 {
            let epoch = lease.next_epoch().unwrap();
            assert!(epoch > last);
            last = epoch;
        }
    }
    lease.release();
    assert_eq!(lease.next_epoch(), None);
}
