//! Tests of requests whose replicas fall silent for about a second and go on. A silence is no crash, and
//! costs a caller no part of its response.

use guavaladder_lib::generated::engine::FinishReason;
use guavaladder_lib::generation::GenerationEvent;
use guavaladder_lib::metric_names;
use guavaladder_lib::plain_call;
use guavaladder_lib::request::Request;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::request_rig::LOOKUP;
use guavaladder_testutils::request_rig::RequestRig;
use guavaladder_testutils::request_rig::address;
use guavaladder_testutils::request_rig::drafting;
use guavaladder_testutils::request_rig::filing;
use guavaladder_testutils::request_rig::generate_text;
use guavaladder_testutils::request_rig::plain_address;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Length of a pause that replicas survive.
const PAUSE: Duration = Duration::from_secs(1);
/// Number of groups.
const REPLICAS: u32 = 4;

/// Pauses an instance for `PAUSE`.
fn pause(rig: &RequestRig, address: String) {
    let fake_instances = rig.fake_instances.clone();
    fake_instances.pause(&address);
    tokio::spawn(async move {
        sleep(PAUSE).await;
        fake_instances.resume(&address);
    });
}

/// Returns the number of the replica that runs a stream.
fn replica_with_stream(rig: &RequestRig) -> Option<u32> {
    (0..REPLICAS).find(|replica| rig.fake_instances.open_streams(&address(*replica, 0)) > 0)
}

/// Runs a generation and pauses the head of its replica each time that `interval` more tokens have
/// arrived; returns the length of the response.
async fn run_with_pauses(rig: &RequestRig, req: Request, pauses: usize) -> Result<usize, String> {
    let path = &rig.nodes[0].path;
    let limits = path.limits("c0", &req.service_id).map_err(|e| e.message)?;
    let mut generation =
        path.generate(Arc::new(req), limits, vec![]).await.map_err(|e| e.message)?;
    let mut paused = 0;
    loop {
        match generation.next().await.map_err(|e| format!("{:?}: {}", e.code, e.message))? {
            GenerationEvent::Tokens(range) => {
                if paused < pauses && range.contains(&(30 * (paused + 1))) {
                    paused += 1;
                    let replica = replica_with_stream(rig).expect("a replica with the stream");
                    pause(rig, address(replica, 0));
                }
            }
            GenerationEvent::End(reason) => {
                assert_eq!(reason, FinishReason::Stop);
                return Ok(generation.emitted().len());
            }
            GenerationEvent::Moved => panic!("the stream was moved"),
        }
    }
}

/// The heads of the replicas that run the request pause one after the other.
#[rstest]
#[case::once(1)]
#[case::twice(2)]
#[case::three_times(3)]
#[tokio::test(start_paused = true)]
async fn harmless_request_counts_as_crashing_since_its_replicas_paused(#[case] pauses: usize) {
    let rig = RequestRig::new(1, REPLICAS, 2, EngineOptions::new()).await;
    let req = drafting("r1", "c0", "inspect length:200", 300);
    let fingerprint = req.fingerprint;
    assert_eq!(run_with_pauses(&rig, req, pauses).await, Ok(200));
    sleep(Duration::from_secs(10)).await;
    assert_eq!(rig.nodes[0].path.suspects().crashes(fingerprint), 0);
}

/// Each attempt beyond the second draws on the budget, which is used up.
#[tokio::test(start_paused = true)]
async fn stream_is_cut_since_the_retry_budget_is_used_up() {
    let rig = RequestRig::new(1, REPLICAS, 2, EngineOptions::new()).await;
    while rig.nodes[0].path.retry_budget().withdraw() {}
    let req = drafting("r1", "c0", "inspect length:200", 300);
    assert_eq!(run_with_pauses(&rig, req, 3).await, Ok(200));
}

/// Streams at four replicas, of which three pause one after the other, each for a second.
#[tokio::test(start_paused = true)]
async fn harmless_streams_are_cut_or_refused_beside_pauses() {
    let rig = RequestRig::new(1, REPLICAS, 2, EngineOptions::new()).await;
    let mut streams = vec![];
    for number in 0..40 {
        let path = rig.nodes[0].path.clone();
        let prompt = format!("inspect {number} length:400");
        let key = format!("{:013}-random{number:06}", rig.clock.unix().as_millis());
        let key = (number % 4 == 0).then_some(key);
        let req = Request { key, ..drafting(&format!("r{number}"), "c0", &prompt, 500) };
        streams.push(tokio::spawn(async move { generate_text(&path, req).await }));
        sleep(Duration::from_millis(25)).await;
    }
    for replica in 0..3 {
        pause(&rig, address(replica, 0));
        sleep(PAUSE + Duration::from_millis(200)).await;
    }
    let mut failed = BTreeMap::new();
    for stream in streams {
        if let Err(e) = stream.await.expect("a task that ends") {
            *failed.entry(format!("{:?}", e.code)).or_insert(0) += 1;
        }
    }
    let retries = rig.nodes[0].cx.metrics.value(metric_names::RETRIES);
    assert!(failed.is_empty(), "{failed:?} of 40, {retries} retries");
}

/// A generation with a key can't be sent to another replica.
#[tokio::test(start_paused = true)]
async fn generation_with_key_is_cut_since_its_replica_paused() {
    let rig = RequestRig::new(1, REPLICAS, 2, EngineOptions::new()).await;
    let key = format!("{}-k1", rig.clock.unix().as_millis());
    let req = Request {
        key: Some(key),
        service_id: "drafting".to_string(),
        ..drafting("r1", "c0", "inspect length:200", 300)
    };
    assert_eq!(run_with_pauses(&rig, req, 1).await, Ok(200));
}

/// It is told from a pause by its length alone.
#[tokio::test(start_paused = true)]
async fn instance_that_stays_silent_does_not_count_as_crashed() {
    let rig = RequestRig::new(1, 1, 1, EngineOptions::new()).await;
    let path = &rig.nodes[0].path;
    let deadline = Instant::now() + Duration::from_millis(500);
    let req =
        Request { key: None, service_id: LOOKUP.to_string(), deadline, ..filing("r1", "", "body") };
    let fingerprint = req.fingerprint;
    (0..4).for_each(|index| rig.fake_instances.pause(&plain_address(index)));
    let limits = path.limits("c0", &req.service_id).expect("limits");
    assert!(plain_call::call(path, Arc::new(req), limits).await.is_err());
    assert_eq!(path.suspects().crashes(fingerprint), 0);
    sleep(Duration::from_secs(12)).await;
    assert_eq!(path.suspects().crashes(fingerprint), 1);
}

/// The deadlines of the calls pass while their instances are silent.
#[rstest]
#[case::repeatable(false)]
#[case::at_most_once(true)]
#[tokio::test(start_paused = true)]
async fn harmless_call_counts_as_crashing_since_its_instance_paused(#[case] has_key: bool) {
    let rig = RequestRig::new(1, 1, 1, EngineOptions::new()).await;
    let path = &rig.nodes[0].path;
    let key = format!("{}-k1", rig.clock.unix().as_millis());
    let call = filing("r1", &key, "body");
    let deadline = Instant::now() + Duration::from_millis(500);
    let req = match has_key {
        true => Request { deadline, ..call },
        false => Request { key: None, service_id: LOOKUP.to_string(), deadline, ..call },
    };
    let fingerprint = req.fingerprint;
    (0..4).for_each(|index| pause(&rig, plain_address(index)));
    let limits = path.limits("c0", &req.service_id).expect("limits");
    assert!(plain_call::call(path, Arc::new(req), limits).await.is_err());
    sleep(Duration::from_secs(10)).await;
    assert_eq!(path.suspects().crashes(fingerprint), 0);
}

/// The links between the node and all upstreams are broken for a while; no replica has ended.
#[rstest]
#[case::short(200)]
#[case::long(4000)]
#[tokio::test(start_paused = true)]
async fn harmless_request_counts_as_crashing_since_its_node_was_partitioned(#[case] cut_ms: u64) {
    let rig = RequestRig::new(1, REPLICAS, 2, EngineOptions::new()).await;
    let req = drafting("r1", "c0", "inspect length:200", 300);
    let fingerprint = req.fingerprint;
    let (fake_instances, path) = (rig.fake_instances.clone(), rig.nodes[0].path.clone());
    let partition = tokio::spawn(async move {
        sleep(Duration::from_millis(300)).await;
        fake_instances.set_partitioned(true);
        sleep(Duration::from_millis(cut_ms)).await;
        let crashes = path.suspects().crashes(fingerprint);
        fake_instances.set_partitioned(false);
        crashes
    });
    // It may fail if the partition lasts, but not as one that crashes replicas.
    let result = run_with_pauses(&rig, req, 0).await;
    assert!(!result.clone().is_err_and(|e| e.contains("Poison")), "{result:?}");
    assert_eq!(partition.await.expect("a task that ends"), 0, "{result:?}");
    sleep(Duration::from_secs(15)).await;
    assert_eq!(rig.nodes[0].path.suspects().crashes(fingerprint), 0, "{result:?}");
}
