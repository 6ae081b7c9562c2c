//! Tests of deriving replicas from the registered instances.

use crate::util::SERVICE;
use crate::util::config;
use crate::util::instance;
use crate::util::member;
use guavaladder_serving::instance::Instance;
use guavaladder_serving::instance::MembershipState::Broken;
use guavaladder_serving::instance::MembershipState::Closing;
use guavaladder_serving::instance::MembershipState::Joining;
use guavaladder_serving::instance::MembershipState::Open;
use guavaladder_serving::instance::MembershipState::Ready;
use guavaladder_serving::replica_set::ReplicaSet;
use rstest::rstest;

fn replicas(instances: &[Instance], service: &str) -> usize {
    ReplicaSet::derive(instances.iter(), [].iter(), &config(1)).of_service(service).len()
}

fn group() -> Vec<Instance> {
    vec![member("a", "small", 0, Open), member("b", "small", 1, Ready)]
}

#[test]
fn complete_and_open_group_is_a_replica() {
    let set = ReplicaSet::derive(group().iter(), [].iter(), &config(1));
    let replica = &set.of_service(SERVICE)[0];
    assert_eq!(replica.key, "g#7");
    assert_eq!(replica.instance, "a");
    assert_eq!(replica.members.len(), 2);
    assert_eq!(replica.slots, 26);
}

#[rstest]
#[case::member_missing(|group: &mut Vec<Instance>| { group.pop(); })]
#[case::head_missing(|group: &mut Vec<Instance>| { group.remove(0); })]
#[case::head_ready(|group: &mut Vec<Instance>| group[0] = member("a", "small", 0, Ready))]
#[case::head_closing(|group: &mut Vec<Instance>| group[0] = member("a", "small", 0, Closing))]
#[case::member_joining(|group: &mut Vec<Instance>| group[1] = member("b", "small", 1, Joining))]
#[case::member_broken(|group: &mut Vec<Instance>| group[1] = member("b", "small", 1, Broken))]
#[case::member_draining(|group: &mut Vec<Instance>| group[1].is_draining = true)]
#[case::member_of_another_service(|group: &mut Vec<Instance>| group[1].service = "orders".to_string())]
#[case::duplicate_rank(|group: &mut Vec<Instance>| group[1] = member("b", "small", 0, Open))]
#[case::additional_member(|group: &mut Vec<Instance>| group.push(member("c", "small", 2, Ready)))]
#[case::unknown_model(|group: &mut Vec<Instance>| group[0].engine.model = Some("x".to_string()))]
#[case::other_epoch(|group: &mut Vec<Instance>| {
    if let Some(membership) = &mut group[1].engine.membership {
        membership.epoch = 8;
    }
})]
fn incomplete_or_closed_group_is_not_a_replica(#[case] change: fn(&mut Vec<Instance>)) {
    let mut instances = group();
    change(&mut instances);
    assert_eq!(replicas(&instances, SERVICE), 0);
}

#[test]
fn plain_instances_are_replicas_unless_they_drain() {
    let mut draining = instance("y", "orders");
    draining.is_draining = true;
    let unknown = instance("z", "nobody");
    let instances = [instance("x", "orders"), draining, unknown];
    assert_eq!(replicas(&instances, "orders"), 1);
    assert_eq!(replicas(&instances, "nobody"), 0);
}

/// Members whose entries expired because they cannot reach the store still serve, as long as the head is
/// registered.
#[rstest]
#[case::member(1, 1)]
#[case::head(0, 0)]
fn group_with_an_expired_entry(#[case] rank: usize, #[case] count: usize) {
    let mut registered = group();
    let expired = [registered.remove(rank)];
    let set = ReplicaSet::derive(registered.iter(), expired.iter(), &config(1));
    assert_eq!(set.of_service(SERVICE).len(), count);
}
