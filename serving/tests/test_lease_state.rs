//! Tests of the lease state: expiry and allocation of epochs.

use guavaladder_lib::clock::Clock;
use guavaladder_serving::lease_state::LeaseState;
use guavaladder_serving::lease_state::era_of_term;
use guavaladder_serving::lease_state::next_term;
use guavaladder_serving::lease_state::term_of_epoch;
use guavaladder_serving::store_era::MAX_ERA;
use guavaladder_serving::store_era::Revision;
use guavaladder_serving::store_era::StoreEra;
use proptest::prelude::*;
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn lease_expires_during_suspension() {
    let clock = Clock::with_tokio_time(Duration::ZERO);
    let lease = LeaseState::new(clock.clone(), StoreEra::new());
    assert_eq!(lease.term(), None);
    lease.set_held(3, Revision::from(40), clock.now(), clock.now() + Duration::from_secs(2));
    assert_eq!(lease.term(), Some(3));
    clock.advance(Duration::from_secs(2));
    assert_eq!(lease.term(), None);
    assert_eq!(lease.next_epoch(), None);
}

#[tokio::test(start_paused = true)]
async fn epochs_increase_across_renewals_and_terms() {
    let clock = Clock::with_tokio_time(Duration::ZERO);
    let lease = LeaseState::new(clock.clone(), StoreEra::new());
    let mut last = 0;
    for term in [3, 3, 4] {
        let until = clock.now() + Duration::from_secs(2);
        lease.set_held(term, Revision::from(40), clock.now(), until);
        for _ in 0..3 {
            let epoch = lease.next_epoch().unwrap();
            assert!(epoch > last);
            last = epoch;
        }
    }
    lease.release();
    assert_eq!(lease.next_epoch(), None);
}

/// Another node may have acquired the lease since.
#[tokio::test(start_paused = true)]
async fn lease_is_void_once_the_store_has_returned_from_an_older_copy() {
    let (clock, era) = (Clock::with_tokio_time(Duration::ZERO), StoreEra::new());
    let lease = LeaseState::new(clock.clone(), era.clone());
    era.observe(1, Instant::now());
    let (revision, until) = (Revision { era: 1, number: 40 }, clock.now() + Duration::from_secs(2));
    lease.set_held(next_term(0, 1), revision, clock.now(), until);
    assert!(lease.term().is_some() && lease.next_epoch().is_some());
    era.observe(2, Instant::now());
    assert_eq!((lease.term(), lease.next_epoch(), lease.renewal()), (None, None, None));
}

proptest! {
    /// Whatever the store still holds of the last lease, a term of a later era is larger than all of earlier
    /// eras, and terms grow within an era. Epochs stay exact in any parser of JSON.
    #[test]
    fn next_term_is_larger_than_all_before(
        era in 0..=MAX_ERA,
        lost in 0u64..1_000_000,
        kept in 0u64..1_000_000,
    ) {
        let last_of_era = next_term(0, era) + lost;
        let after_return = next_term(kept.min(last_of_era), era + 1);
        prop_assert!(after_return > last_of_era);
        prop_assert!(next_term(after_return, era + 1) > after_return);
        prop_assert_eq!(era_of_term(last_of_era), era);
        let epoch = last_of_era * 1_000_000 + 999_999;
        prop_assert_eq!(term_of_epoch(epoch), last_of_era);
        prop_assert!(epoch < 1 << 53);
    }
}
