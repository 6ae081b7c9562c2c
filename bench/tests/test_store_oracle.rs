//! Tests that the store oracle detects violations in constructed writes, and tests of the soak's
//! fault schedule.

use guavaladder_bench::soak_schedule;
use guavaladder_bench::soak_schedule::ALL_KINDS;
use guavaladder_bench::store_oracle;
use guavaladder_bench::store_oracle::StoreViolationKind;
use guavaladder_testutils::fake_store::StoreWrite;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use std::time::Duration;

fn config(version: u64) -> (String, Value) {
    let record = json!({
        "version": version, "change_id": "c", "author": "a", "reason": "r",
        "accepted_unix_ms": 1, "config": {"defaults": {}},
    });
    ("config/current".to_string(), record)
}

fn group(id: &str, instance: &str, state: &str) -> Value {
    json!({
        "group": id, "service": "s", "epoch": 1, "state": state, "model": "m", "version": "1",
        "members": [{"instance": instance, "address": "a"}], "role": "full", "generation": 1,
    })
}

fn domain(id: &str, owner: &str, epoch: u64, groups: &[Value]) -> (String, Value) {
    let record = json!({
        "domain": id, "data_centre": "d", "region": "r", "owner": owner, "epoch": epoch,
        "lease_ms": 1000, "renewals": 1, "write_id": "w", "groups": groups,
    });
    (format!("domains/{id}"), record)
}

fn check(writes: Vec<(String, Value)>) -> Vec<StoreViolationKind> {
    let writes = writes.into_iter().enumerate().map(|(index, (key, value))| StoreWrite {
        at: Duration::from_secs(index as u64),
        key,
        version: index as u64 + 1,
        value: Some(value.to_string()),
    });
    let writes: Vec<StoreWrite> = writes.collect();
    store_oracle::check(&writes).into_iter().map(|violation| violation.kind).collect()
}

#[rstest]
#[case::increasing(vec![1, 2, 3], vec![])]
#[case::reverted(vec![1, 2, 1], vec![StoreViolationKind::NoRevert])]
#[case::written_twice(vec![1, 2, 2], vec![StoreViolationKind::NoRevert])]
fn check_config_versions(#[case] versions: Vec<u64>, #[case] expected: Vec<StoreViolationKind>) {
    assert_eq!(check(versions.into_iter().map(config).collect()), expected);
}

#[rstest]
#[case::one_group_each("i2", "serving", vec![])]
#[case::shared_in_domain("i1", "serving", vec![StoreViolationKind::OneGroup])]
#[case::shared_with_released("i1", "released", vec![])]
fn check_members(
    #[case] other: &str,
    #[case] state: &str,
    #[case] expected: Vec<StoreViolationKind>,
) {
    let groups = [group("g1", "i1", "serving"), group("g2", other, state)];
    assert_eq!(check(vec![domain("d1", "n1", 1, &groups)]), expected);
}

#[test]
fn check_members_across_domains() {
    let first = domain("d1", "n1", 1, &[group("g1", "i1", "serving")]);
    let second = domain("d2", "n1", 1, &[group("g2", "i1", "loading")]);
    assert_eq!(check(vec![first, second]), [StoreViolationKind::OneGroup]);
}

#[rstest]
#[case::renewed("n1", 1, vec![])]
#[case::taken_over("n2", 2, vec![])]
#[case::taken_over_without_new_epoch("n2", 1, vec![StoreViolationKind::GrowingEpoch])]
#[case::older("n1", 0, vec![StoreViolationKind::GrowingEpoch])]
fn check_owner(#[case] owner: &str, #[case] epoch: u64, #[case] expected: Vec<StoreViolationKind>) {
    let writes = vec![domain("d1", "n1", 1, &[]), domain("d1", owner, epoch, &[])];
    assert_eq!(check(writes), expected);
}

#[test]
fn schedule_is_deterministic_and_has_every_kind() {
    let within = Duration::from_secs(30);
    let faults = soak_schedule::schedule(7, within);
    assert_eq!(faults, soak_schedule::schedule(7, within));
    assert_ne!(faults, soak_schedule::schedule(8, within));
    for kind in ALL_KINDS {
        assert!(faults.iter().any(|fault| fault.kind == kind), "{kind:?}");
    }
}
