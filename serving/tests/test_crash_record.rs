//! Tests of the record of crashing requests.

use guavaladder_lib::generated::serving_peer::CrashMark;
use guavaladder_serving::crash_record::CONVICTING_CRASHES;
use guavaladder_serving::crash_record::CrashRecord;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn crashes_are_counted_over_all_nodes_once_each() {
    let (own, other) = (CrashRecord::new(), CrashRecord::new());
    let now = Instant::now();
    for replica in 0..2 {
        own.crashed(CrashMark { fingerprint: 9, replica }, now);
    }
    other.crashed(CrashMark { fingerprint: 9, replica: 2 }, now);
    own.merge(&other.news(now), now);
    own.merge(&other.news(now), now);
    assert_eq!(own.crashes(9), CONVICTING_CRASHES);
    assert_eq!(own.crashes(8), 0);
}

#[test]
fn crashes_are_forgotten_and_told_for_a_while() {
    let record = CrashRecord::new();
    let now = Instant::now();
    record.crashed(CrashMark { fingerprint: 9, replica: 1 }, now);
    assert_eq!(record.news(now).len(), 1);
    assert_eq!(record.news(now + Duration::from_secs(3)).len(), 0);
    record.crashed(CrashMark { fingerprint: 7, replica: 1 }, now + Duration::from_secs(200));
    assert_eq!(record.crashes(9), 0);
}
