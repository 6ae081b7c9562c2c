//! Tests of the crash record that identifies requests which crash replicas.

use guavaladder_lib::generated::serving_peer::CrashMark;
use guavaladder_serving::crash_keys::CrashKeys;
use guavaladder_serving::crash_keys::CrashSubject;
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

/// A crash takes all requests of a replica with it, each with parts that no other request has.
#[test]
fn mark_of_a_crashing_part_is_dropped_in_a_crowd() {
    const BAD: u64 = 7;
    let (local, other) = (CrashRecord::new(), CrashRecord::new());
    let start = Instant::now();
    for replica in 0..4 {
        let now = start + Duration::from_millis(400) * replica as u32;
        for beside in 0..200 {
            local.record_crash(
                CrashMark { fingerprint: 1000 * (replica + 1) + beside, replica },
                now,
            );
            if beside == 100 {
                local.record_crash(CrashMark { fingerprint: BAD, replica }, now);
            }
        }
        let marks = local.recent_marks(now);
        assert!(marks.len() <= 256, "{} marks", marks.len());
        assert!(marks.contains(&CrashMark { fingerprint: BAD, replica }));
        other.merge(&marks, now);
    }
    assert_eq!(other.crash_count(BAD), 4);
    assert!(other.is_refused(BAD));
}

/// The first part of most prompts runs at every crash, and completes all the time.
#[test]
fn marks_of_parts_that_complete_are_sent() {
    let record = CrashRecord::new();
    let now = Instant::now();
    let keys = CrashKeys::new(1, None, &[2, 3]);
    record.record_completion(&keys, now);
    for (fingerprint, _) in keys.all() {
        assert_eq!(record.record_crash(CrashMark { fingerprint, replica: 9 }, now), 0);
    }
    assert_eq!(record.recent_marks(now), []);
}

#[test]
fn keys_of_a_request() {
    let keys = |model, parts: &[u128]| CrashKeys::new(5, model, parts);
    assert_eq!(keys(None, &[]).all().count(), 1, "no parts");
    assert_eq!(keys(None, &[1]).all().count(), 1, "the last part is the request's own");
    assert_eq!(keys(None, &[1, 1, 2, 9]).all().count(), 3, "a part is named once");
    let subjects: Vec<CrashSubject> = keys(None, &[1, 2, 9]).all().map(|(_, s)| s).collect();
    let expected = [CrashSubject::Request, CrashSubject::Part(1), CrashSubject::Part(2)];
    assert_eq!(subjects, expected);
    assert_eq!(keys(None, &[1, 2, 9]).all().nth(2), keys(None, &[1, 2, 8]).all().nth(2));
    assert_ne!(keys(Some("a"), &[1, 9]).all().nth(1), keys(Some("b"), &[1, 9]).all().nth(1));
}
