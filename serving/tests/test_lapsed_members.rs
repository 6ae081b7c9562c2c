//! Tests of what becomes of members whose entries were removed.

use crate::util::member;
use guavaladder_serving::instance::Instance;
use guavaladder_serving::instance::MembershipState;
use guavaladder_serving::lapsed_members::Lapse;
use guavaladder_serving::lapsed_members::LapsedMembers;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

fn lapsed(ids: &[&str], since: Instant) -> Vec<(Instant, Instance)> {
    let instance = |id: &&str| (since, member(id, "large", 1, MembershipState::Ready));
    ids.iter().map(instance).collect()
}

#[rstest]
#[case::one_leaves(&["a"], Lapse::Leaving)]
#[case::two_leave(&["a", "b"], Lapse::Leaving)]
#[case::many_are_cut_off(&["a", "b", "c"], Lapse::CutOff)]
fn verdict_by_company(#[case] ids: &[&str], #[case] verdict: Lapse) {
    let start = Instant::now();
    let mut members = LapsedMembers::new();
    let entries = lapsed(ids, start);
    assert_eq!(members.review(&entries, start).len(), ids.len());
    assert_eq!(members.lapse("a"), Some(Lapse::Recent));
    members.review(&entries, start + Duration::from_millis(700));
    assert_eq!(members.lapse("a"), Some(verdict));
}

#[test]
fn member_that_does_not_answer_is_gone_and_no_company() {
    let start = Instant::now();
    let mut members = LapsedMembers::new();
    let entries = lapsed(&["a", "b", "c"], start);
    members.review(&entries, start);
    members.answered("c", false);
    members.answered("a", true);
    members.review(&entries, start + Duration::from_millis(700));
    assert_eq!(members.lapse("c"), None);
    assert_eq!(members.lapse("a"), Some(Lapse::Leaving));
}

#[test]
fn members_are_asked_at_intervals_until_they_are_gone_or_back() {
    let start = Instant::now();
    let mut members = LapsedMembers::new();
    let entries = lapsed(&["a", "b"], start);
    assert_eq!(members.review(&entries, start), [0, 1]);
    let soon = start + Duration::from_millis(100);
    assert_eq!(members.review(&entries, soon), Vec::<usize>::new());
    members.answered("a", false);
    let later = start + Duration::from_millis(500);
    assert_eq!(members.review(&entries, later), [1]);
    members.review(&[], later);
    assert_eq!(members.lapse("b"), None);
}
