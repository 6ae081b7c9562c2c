//! Tests of a generation request whose replicas fail, stall, drain or are full.

use guavaladder_lib::event_log::render;
use guavaladder_lib::generated::engine::FinishReason;
use guavaladder_lib::generated::requests::ErrorCode;
use guavaladder_lib::generation::GenerationEvent;
use guavaladder_lib::metric_names;
use guavaladder_lib::request::RunStatus;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::request_rig::RequestRig;
use guavaladder_testutils::request_rig::address;
use guavaladder_testutils::request_rig::drafting;
use guavaladder_testutils::request_rig::generate_text;
use guavaladder_testutils::token_text::ModelOutput;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest acceptable gap in a stream that is resumed.
const GAP_TARGET: Duration = Duration::from_secs(1);

/// Fault that is injected at the replica in the middle of a stream.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Kill,
    KillMember,
    Pause,
    Silence,
    Drain,
}

fn expected_text(prompt: &str, max_tokens: u32) -> String {
    ModelOutput::new("m", "1", None, prompt, max_tokens).text()
}

/// Returns the index of the replica that is running a stream.
fn replica_with_stream(rig: &RequestRig, replicas: u32) -> u32 {
    (0..replicas)
        .find(|replica| rig.fake_instances.open_streams(&address(*replica, 0)) > 0)
        .unwrap()
}

fn inject(rig: &RequestRig, replica: u32, fault: Fault) {
    let first = address(replica, 0);
    match fault {
        Fault::None => {}
        Fault::Kill => rig.fake_instances.kill(&first),
        Fault::KillMember => rig.fake_instances.kill(&address(replica, 1)),
        Fault::Pause => rig.fake_instances.pause(&first),
        Fault::Silence => rig.fake_instances.stall_streams(&first),
        Fault::Drain => rig.fake_instances.set_leaving(&first),
    }
}

#[rstest]
#[case::none(Fault::None)]
#[case::kill(Fault::Kill)]
#[case::kill_member(Fault::KillMember)]
#[case::pause(Fault::Pause)]
#[case::silence(Fault::Silence)]
#[case::drain(Fault::Drain)]
#[tokio::test(start_paused = true)]
async fn next_returns_all_tokens_despite_fault(#[case] fault: Fault) {
    let options =
        EngineOptions { drain_grace: Some(Duration::from_millis(100)), ..EngineOptions::new() };
    let rig = RequestRig::new(1, 3, 2, options).await;
    let prompt = "inspect length:100";
    let path = &rig.nodes[0].path;
    let limits = path.limits("c0", "drafting").unwrap();
    let req = drafting("r1", "c0", prompt, 200);
    let mut generation = path.generate(Arc::new(req), limits, vec![]).await.unwrap();
    let mut longest_gap = Duration::ZERO;
    let mut last_tokens_at = Instant::now();
    let reason = loop {
        match generation.next().await.unwrap() {
            GenerationEvent::Tokens(range) => {
                longest_gap = longest_gap.max(last_tokens_at.elapsed());
                last_tokens_at = Instant::now();
                if range.contains(&30) {
                    inject(&rig, replica_with_stream(&rig, 3), fault);
                }
            }
            GenerationEvent::End(reason) => break reason,
            GenerationEvent::Moved => panic!("the stream was moved"),
        }
    };
    assert_eq!(reason, FinishReason::Stop);
    assert_eq!(generation.emitted().concat(), expected_text(prompt, 200));
    assert!(longest_gap < GAP_TARGET, "{longest_gap:?}");
    assert_eq!(rig.fake_instances.violations(), vec![]);
}

#[tokio::test(start_paused = true)]
async fn drop_cancels_upstream() {
    let rig = RequestRig::new(1, 1, 1, EngineOptions::new()).await;
    let path = &rig.nodes[0].path;
    let limits = path.limits("c0", "drafting").unwrap();
    let req = drafting("r1", "c0", "length:1000", 1000);
    let mut generation = path.generate(Arc::new(req), limits, vec![]).await.unwrap();
    generation.next().await.unwrap();
    assert_eq!(rig.fake_instances.open_streams(&address(0, 0)), 1);
    drop(generation);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(rig.fake_instances.open_streams(&address(0, 0)), 0);
    assert_eq!(path.running(), 0);
}

#[tokio::test(start_paused = true)]
async fn generate_resumes_callers_stream() {
    let rig = RequestRig::new(2, 2, 1, EngineOptions::new()).await;
    let prompt = "length:60";
    let whole = ModelOutput::new("m", "1", None, prompt, 100);
    let path = &rig.nodes[1].path;
    let limits = path.limits("c0", "drafting").unwrap();
    let req = drafting("r1", "c0", prompt, 100);
    let mut generation = path.generate(Arc::new(req), limits, whole.tokens(0, 25)).await.unwrap();
    let GenerationEvent::Tokens(first) = generation.next().await.unwrap() else {
        panic!("expected tokens first")
    };
    assert_eq!(first.start, 25);
    while !matches!(generation.next().await.unwrap(), GenerationEvent::End(_)) {}
    assert_eq!(generation.emitted().concat(), whole.text());
    assert_eq!(rig.fake_instances.violations(), vec![]);
}

#[tokio::test(start_paused = true)]
async fn generate_without_replicas_is_refused() {
    let rig = RequestRig::new(1, 0, 1, EngineOptions::new()).await;
    let e = generate_text(&rig.nodes[0].path, drafting("r1", "c0", "p", 10)).await.unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::NoReplica, RunStatus::NotRun));
    assert!(e.retry_after.is_some());
}

#[tokio::test(start_paused = true)]
async fn generate_to_dead_replica_tries_another() {
    let rig = RequestRig::new(1, 2, 1, EngineOptions::new()).await;
    rig.fake_instances.kill(&address(0, 0));
    for index in 0..8 {
        let prompt = format!("p{index}");
        let (text, _) =
            generate_text(&rig.nodes[0].path, drafting("r", "c0", &prompt, 50)).await.unwrap();
        assert_eq!(text, expected_text(&prompt, 50));
    }
}

#[tokio::test(start_paused = true)]
async fn drain_finishes_short_streams_and_moves_long_ones() {
    let rig = RequestRig::new(1, 2, 1, EngineOptions::new()).await;
    let path = rig.nodes[0].path.clone();
    let limits = path.limits("c0", "drafting").unwrap();
    let req = |prompt| Arc::new(drafting("r1", "c0", prompt, 100_000));
    let mut short = path.generate(req("length:50"), limits, vec![]).await.unwrap();
    let mut long = path.generate(req("length:100000"), limits, vec![]).await.unwrap();
    let short = tokio::spawn(async move {
        while !matches!(short.next().await.unwrap(), GenerationEvent::End(_)) {}
        short.emitted().len()
    });
    let long = tokio::spawn(async move {
        loop {
            match long.next().await.unwrap() {
                GenerationEvent::Tokens(_) => {}
                GenerationEvent::Moved => return long.emitted().len(),
                GenerationEvent::End(_) => panic!("the long stream ended"),
            }
        }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let draining = tokio::spawn({
        let path = path.clone();
        async move { path.drain(Duration::from_secs(2), Duration::from_secs(2)).await }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    let e = generate_text(&path, drafting("r2", "c0", "p", 10)).await.unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::ShuttingDown, RunStatus::NotRun));
    assert_eq!(draining.await.unwrap(), 1);
    assert_eq!(short.await.unwrap(), 50);
    assert!(long.await.unwrap() > 50);
}

/// The caller reads more slowly than the replica generates, so that tokens are always ready.
#[tokio::test(start_paused = true)]
async fn stream_of_slow_reader_is_not_handed_back() {
    let options = EngineOptions::new().with_token_times(Duration::ZERO, Duration::ZERO);
    let rig = RequestRig::new(1, 1, 1, options).await;
    let path = rig.nodes[0].path.clone();
    let limits = path.limits("c0", "drafting").unwrap();
    let req = Arc::new(drafting("r1", "c0", "length:100000", 100_000));
    let mut stream = path.generate(req, limits, vec![]).await.unwrap();
    let reader = tokio::spawn(async move {
        while !matches!(stream.next().await.unwrap(), GenerationEvent::Moved) {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(path.drain(Duration::ZERO, Duration::from_secs(2)).await, 1);
    reader.await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn next_resumes_within_target_when_replicas_are_full() {
    let rig = RequestRig::new(1, 2, 1, EngineOptions::new().with_capacity(2)).await;
    let path = rig.nodes[0].path.clone();
    let mut running = vec![];
    for index in 0..60 {
        let path = path.clone();
        let prompt = format!("load {index} length:100");
        running.push(tokio::spawn(async move {
            generate_text(&path, drafting(&prompt, "c1", &prompt, 200)).await.is_ok()
        }));
    }
    let prompt = "beside length:100";
    let limits = path.limits("c0", "drafting").unwrap();
    let req = Arc::new(drafting("r", "c0", prompt, 200));
    let mut stream = path.generate(req, limits, vec![]).await.unwrap();
    stream.next().await.unwrap();
    (0..2).for_each(|replica| rig.fake_instances.stall_streams(&address(replica, 0)));
    let silent_since = Instant::now();
    stream.next().await.unwrap();
    assert!(silent_since.elapsed() < GAP_TARGET, "{:?}", silent_since.elapsed());
    while !matches!(stream.next().await.unwrap(), GenerationEvent::End(_)) {}
    assert_eq!(stream.emitted().concat(), expected_text(prompt, 200));
}

#[tokio::test(start_paused = true)]
async fn refused_generate_is_recorded_and_counted() {
    let rig = RequestRig::new(1, 0, 1, EngineOptions::new()).await;
    let path = &rig.nodes[0].path;
    let refused = generate_text(path, drafting("r1", "c0", "inspect", 5)).await.unwrap_err();
    assert_eq!((refused.ran, refused.request.as_deref()), (RunStatus::NotRun, Some("r1")));
    let texts: Vec<String> =
        path.cx().events.mentioning("r1").iter().map(|recorded| render(&recorded.event)).collect();
    let start = "GL0300 request_refused request=r1 customer=c0 service=drafting code=no_replica";
    assert!(texts.len() == 1 && texts[0].starts_with(start), "{texts:?}");
    let metrics = &path.cx().metrics;
    assert_eq!(metrics.value(metric_names::REQUESTS_NOT_RUN), 1);
    assert_eq!(metrics.value(metric_names::REQUESTS_ABANDONED), 0);
}
