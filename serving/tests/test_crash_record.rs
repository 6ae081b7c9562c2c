//! Tests of the crash record that identifies requests which crash replicas.

use guavaladder_lib::generated::serving_peer::CrashMark;
use guavaladder_serving::crash_record::CRASH_REFUSAL_THRESHOLD;
use guavaladder_serving::crash_record::CrashRecord;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn crashes_from_all_nodes_are_counted_once() {
    let (local, other) = (CrashRecord::new(), CrashRecord::new());
    let now = Instant::now();
    for replica in 0..2 {
        local.record_crash(CrashMark { fingerprint: 9, replica }, now);
    }
    other.record_crash(CrashMark { fingerprint: 9, replica: 2 }, now);
    local.merge(&other.recent_marks(now), now);
    local.merge(&other.recent_marks(now), now);
    assert_eq!(local.crash_count(9), CRASH_REFUSAL_THRESHOLD);
    assert_eq!(local.crash_count(8), 0);
}

#[test]
fn marks_expire_and_are_sent_for_a_limited_time() {
    let record = CrashRecord::new();
    let now = Instant::now();
    record.record_crash(CrashMark { fingerprint: 9, replica: 1 }, now);
    assert_eq!(record.recent_marks(now).len(), 1);
    assert_eq!(record.recent_marks(now + Duration::from_secs(3)).len(), 0);
    record.record_crash(CrashMark { fingerprint: 7, replica: 1 }, now + Duration::from_secs(200));
    assert_eq!(record.crash_count(9), 0);
}
