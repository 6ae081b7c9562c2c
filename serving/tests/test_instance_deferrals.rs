//! Tests of the times for which instances want no requests.

use guavaladder_serving::instance_deferrals::InstanceDeferrals;
use guavaladder_serving::instance_deferrals::MAX_DEFERRAL;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

const RUN: u64 = 7;

/// The answer to a request that was under way asks for less, or was itself late.
#[rstest]
#[case::shorter_later(&[(0, 3000), (100, 200)], 3000)]
#[case::longer_later(&[(0, 200), (100, 3000)], 3100)]
#[case::ended_before(&[(0, 200), (1000, 500)], 1500)]
fn shorter_time_replaces_a_longer_one(#[case] asked: &[(u64, u64)], #[case] until: u64) {
    let (deferrals, begin) = (InstanceDeferrals::new(), Instant::now());
    let at = |ms: u64| begin + Duration::from_millis(ms);
    for (when, time) in asked {
        deferrals.record(RUN, Duration::from_millis(*time), at(*when));
    }
    let (last, _) = asked[asked.len() - 1];
    assert_eq!(deferrals.wait(RUN, at(last)), Some(Duration::from_millis(until - last)));
    assert_eq!(deferrals.wait(RUN, at(until)), None);
}

/// Up to the bound, which keeps an instance whose answer is wrong from being lost for good.
#[rstest]
#[case::minute(Duration::from_secs(60), Duration::from_secs(60))]
#[case::half_an_hour(Duration::from_secs(1800), Duration::from_secs(1800))]
#[case::bound(MAX_DEFERRAL, MAX_DEFERRAL)]
#[case::more(Duration::MAX, MAX_DEFERRAL)]
fn long_time_is_cut_short(#[case] asked: Duration, #[case] kept: Duration) {
    let (deferrals, begin) = (InstanceDeferrals::new(), Instant::now());
    deferrals.record(RUN, asked, begin);
    assert_eq!(deferrals.wait(RUN, begin), Some(kept));
}
