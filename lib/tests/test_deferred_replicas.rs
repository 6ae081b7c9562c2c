//! Tests of upstreams that refuse requests and ask this node for time.

use guavaladder_lib::plain_call;
use guavaladder_lib::request::Request;
use guavaladder_lib::request::RequestError;
use guavaladder_lib::request::RunStatus;
use guavaladder_lib::request_path::RequestPath;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::request_rig::DRAFTING;
use guavaladder_testutils::request_rig::LOOKUP;
use guavaladder_testutils::request_rig::RequestRig;
use guavaladder_testutils::request_rig::address;
use guavaladder_testutils::request_rig::drafting;
use guavaladder_testutils::request_rig::generate_text;
use guavaladder_testutils::request_rig::plain_address;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time that the upstreams ask for, and within which they must get nothing.
const ASKED: Duration = Duration::from_secs(3);
/// Number of groups.
const REPLICAS: u32 = 2;
/// Number of the only instance of the plain service.
const PLAIN: usize = 3;

/// Returns the addresses that get the requests of a service.
fn addresses(is_stream: bool) -> Vec<String> {
    match is_stream {
        true => (0..REPLICAS).map(|replica| address(replica, 0)).collect(),
        false => vec![plain_address(PLAIN)],
    }
}

async fn send(path: &RequestPath, number: usize, is_stream: bool) -> Result<(), RequestError> {
    let req = drafting(&format!("r{number}"), "c0", &format!("inspect {number} length:3"), 3);
    if is_stream {
        return generate_text(path, req).await.map(|_| ());
    }
    let req = Request { service_id: LOOKUP.to_string(), path: "rate".to_string(), ..req };
    let limits = path.limits("c0", &req.service_id)?;
    plain_call::call(path, Arc::new(req), limits).await.map(|_| ())
}

/// All upstreams refuse; callers are refused at once, and learn when the first of them takes requests again.
#[rstest]
#[case::plain(false)]
#[case::engine(true)]
#[tokio::test(start_paused = true)]
async fn upstreams_that_ask_for_time_get_requests(#[case] is_stream: bool) {
    let rig = RequestRig::new(1, REPLICAS, 2, EngineOptions::new()).await;
    let (path, fakes) = (&rig.nodes[0].path, &rig.fake_instances);
    for address in addresses(is_stream) {
        fakes.set_deferral(&address, Some(ASKED));
    }
    let begin = Instant::now();
    let (mut number, mut last) = (0, None);
    while begin.elapsed() < ASKED - Duration::from_millis(200) {
        number += 1;
        last = send(path, number, is_stream).await.err();
        sleep(Duration::from_millis(20)).await;
    }
    for address in addresses(is_stream) {
        assert!(fakes.deferred(&address) <= 1, "{} at {address}", fakes.deferred(&address));
    }
    let refusal = last.expect("a refusal");
    assert_eq!(refusal.ran, RunStatus::NotRun);
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(1)));
    addresses(is_stream).iter().for_each(|address| fakes.set_deferral(address, None));
    sleep(Duration::from_millis(400)).await;
    send(path, 0, is_stream).await.expect("a response");
}

/// The other replica serves what one refuses, and the refusals are no failures of it.
#[tokio::test(start_paused = true)]
async fn replica_that_asks_for_time_is_ejected_instead() {
    let rig = RequestRig::new(1, REPLICAS, 2, EngineOptions::new()).await;
    let (path, fakes) = (&rig.nodes[0].path, &rig.fake_instances);
    fakes.set_deferral(&address(0, 0), Some(Duration::from_secs(1)));
    let begin = Instant::now();
    let mut number = 0;
    while begin.elapsed() < 2 * ASKED {
        number += 1;
        send(path, number, true).await.expect("a response");
        sleep(Duration::from_millis(30)).await;
    }
    let refused = fakes.deferred(&address(0, 0));
    assert!((4..=7).contains(&refused), "{refused}");
    let replicas = path.routes().replicas(DRAFTING);
    assert!(replicas.iter().all(|replica| !replica.is_ejected()));
}
