//! Tests of the shares of file descriptors.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use crate::fleet::start_streams;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::CallerConnection;
use guavaladder_platform_testutils::event_ids;
use guavaladder_serving::descriptor_budget::DescriptorBudget;
use guavaladder_serving::descriptor_budget::DescriptorShares;
use http::Method;

#[test]
fn shares_never_exceed_the_descriptors_of_the_process() {
    for max_descriptors in (64..5_000).chain([65_536, 1_000_000]) {
        let shares = DescriptorShares::new(max_descriptors);
        assert_eq!(shares.total(), max_descriptors);
        assert_eq!(shares.callers, max_descriptors / 2);
        assert!(shares.upstream > 0 && shares.control > 0, "{shares:?}");
    }
}

#[test]
fn connections_to_replicas_use_only_what_callers_leave() {
    let budget = DescriptorBudget::new(1000);
    let shares = budget.shares;
    budget.set_callers(shares.callers - 3);
    let taken: Vec<_> = std::iter::from_fn(|| budget.take_upstream()).collect();
    assert_eq!(taken.len(), shares.upstream + 3);
    assert_eq!(budget.max_callers(), shares.callers - 3);
    assert!(!budget.has_upstream());
    drop(taken);
    assert_eq!((budget.upstream(), budget.max_callers()), (0, shares.callers));
    budget.set_callers(shares.callers);
    let taken: Vec<_> = std::iter::from_fn(|| budget.take_upstream()).collect();
    assert_eq!(taken.len(), shares.upstream);
}

/// Running requests must not use up the descriptors of the process; those beyond are refused and not run, and no
/// replica is suspected for it.
#[tokio::test]
async fn requests_without_a_descriptor_are_refused_and_blame_no_replica() {
    let mut fleet = Fleet::with_events(5, 40).await;
    fleet.max_descriptors = Some(64);
    fleet.add_first_node("drafting", 2).await;
    let cx = fleet.nodes[0].cx.clone();
    let mut callers = vec![];
    for _ in 0..4 {
        let mut caller = CallerConnection::open(fleet.callers(0)).await.expect("a connection");
        let response = caller.send(&Call::new(Method::GET, "/nowhere/")).await;
        assert_eq!(response.expect("a response").status().as_u16(), 404);
        callers.push(caller);
    }
    let taken: Vec<_> = std::iter::from_fn(|| cx.descriptors.take_upstream()).collect();
    for caller in &mut callers {
        let response = caller.send(&Call::new(Method::POST, "/draft/x")).await;
        let response = response.expect("a response");
        assert_eq!(response.status().as_u16(), 503);
        assert!(response.headers().contains_key("retry-after"));
    }
    drop((taken, callers));
    for response in start_streams(fleet.callers(0), 4) {
        let response = response.await.expect("a call that ends").expect("a response");
        assert_eq!(event_ids(&response).len(), 40);
    }
    assert_eq!(cx.metrics.sum("moves_total"), 0);
    eventually(|| cx.descriptors.upstream() <= 8).await;
    let limit = cx.descriptors.shares.upstream + cx.descriptors.shares.callers;
    let streams = start_streams(fleet.callers(0), 2 * limit);
    for response in streams {
        // The node closes connections for which it has no place.
        let Some(response) = response.await.expect("a call that ends") else { continue };
        match response.status().as_u16() {
            200 => assert_eq!(event_ids(&response).len(), 40),
            status => assert!([429, 503].contains(&status), "{status}"),
        }
        assert!(cx.descriptors.upstream() <= limit);
    }
    assert_eq!(fleet.fake_platform.violations(), vec![]);
}
