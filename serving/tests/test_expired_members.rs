//! Tests of the classification of members whose entries were removed.

use crate::util::member;
use guavaladder_serving::expired_members::ExpiredMembers;
use guavaladder_serving::expired_members::ExpiryCause;
use guavaladder_serving::instance::Instance;
use guavaladder_serving::instance::MembershipState;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

fn expired(ids: &[&str], since: Instant) -> Vec<(Instant, Instance)> {
    let instance = |id: &&str| (since, member(id, "large", 1, MembershipState::Ready));
    ids.iter().map(instance).collect()
}

#[rstest]
#[case::one_is_leaving(&["a"], ExpiryCause::Leaving)]
#[case::two_are_leaving(&["a", "b"], ExpiryCause::Leaving)]
#[case::many_are_partitioned(&["a", "b", "c"], ExpiryCause::Partitioned)]
fn cause_depends_on_number_of_expired_members(#[case] ids: &[&str], #[case] cause: ExpiryCause) {
    let start = Instant::now();
    let mut members = ExpiredMembers::new();
    let entries = expired(ids, start);
    assert_eq!(members.update(&entries, start).len(), ids.len());
    assert_eq!(members.cause("a"), Some(ExpiryCause::Undetermined));
    members.update(&entries, start + Duration::from_millis(700));
    assert_eq!(members.cause("a"), Some(cause));
}

#[test]
fn member_that_failed_its_check_is_gone_and_not_counted() {
    let start = Instant::now();
    let mut members = ExpiredMembers::new();
    let entries = expired(&["a", "b", "c"], start);
    members.update(&entries, start);
    members.record_check("c", false);
    members.record_check("a", true);
    members.update(&entries, start + Duration::from_millis(700));
    assert_eq!(members.cause("c"), None);
    assert_eq!(members.cause("a"), Some(ExpiryCause::Leaving));
}

#[test]
fn members_are_checked_at_intervals_until_gone_or_registered() {
    let start = Instant::now();
    let mut members = ExpiredMembers::new();
    let entries = expired(&["a", "b"], start);
    assert_eq!(members.update(&entries, start), [0, 1]);
    let soon = start + Duration::from_millis(100);
    assert_eq!(members.update(&entries, soon), Vec::<usize>::new());
    members.record_check("a", false);
    let later = start + Duration::from_millis(500);
    assert_eq!(members.update(&entries, later), [1]);
    members.update(&[], later);
    assert_eq!(members.cause("b"), None);
}
