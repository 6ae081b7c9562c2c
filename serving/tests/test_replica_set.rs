//! Tests of the replicas that follow from the registered instances.

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
fn group_that_is_whole_and_open_is_a_replica() {
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
#[case::member_leaving(|group: &mut Vec<Instance>| group[1].is_draining = true)]
#[case::member_of_another_service(|group: &mut Vec<Instance>| group[1].service = "orders".to_string())]
#[case::rank_twice(|group: &mut Vec<Instance>| group[1] = member("b", "small", 0, Open))]
#[case::member_too_many(|group: &mut Vec<Instance>| group.push(member("c", "small", 2, Ready)))]
#[case::unknown_model(|group: &mut Vec<Instance>| group[0].engine.model = Some("x".to_string()))]
#[case::other_epoch(|group: &mut Vec<Instance>| {
    if let Some(membership) = &mut group[1].engine.membership {
        membership.epoch = 8;
    }
})]
fn group_that_is_not_whole_is_none(#[case] change: fn(&mut Vec<Instance>)) {
    let mut instances = group();
    change(&mut instances);
    assert_eq!(replicas(&instances, SERVICE), 0);
}

#[test]
fn plain_instances_are_replicas_unless_they_leave() {
    let mut leaving = instance("y", "orders");
    leaving.is_draining = true;
    let unknown = instance("z", "nobody");
    let instances = [instance("x", "orders"), leaving, unknown];
    assert_eq!(replicas(&instances, "orders"), 1);
    assert_eq!(replicas(&instances, "nobody"), 0);
}

/// Members that are cut off from the store go on serving with a head that is registered.
#[rstest]
#[case::member(1, 1)]
#[case::head(0, 0)]
fn group_with_a_lapsed_entry(#[case] rank: usize, #[case] count: usize) {
    let mut registered = group();
    let lapsed = [registered.remove(rank)];
    let set = ReplicaSet::derive(registered.iter(), lapsed.iter(), &config(1));
    assert_eq!(set.of_service(SERVICE).len(), count);
}
