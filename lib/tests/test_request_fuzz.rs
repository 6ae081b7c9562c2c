//! Compares the request path with a naive single-replica one, and checks it under random faults.

use futures_util::StreamExt;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::generated::engine::FinishReason;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_lib::plain_call;
use guavaladder_lib::request::RunStatus;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::fake_store::StoreFaults;
use guavaladder_testutils::request_rig::EPOCH;
use guavaladder_testutils::request_rig::RequestRig;
use guavaladder_testutils::request_rig::address;
use guavaladder_testutils::request_rig::drafting;
use guavaladder_testutils::request_rig::filing;
use guavaladder_testutils::request_rig::generate_text;
use guavaladder_testutils::request_rig::group_id;
use guavaladder_testutils::token_text::ModelOutput;
use proptest::prelude::*;
use proptest::test_runner::Config;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// Reference implementation: one replica, one attempt, no queue.
async fn naive(rig: &RequestRig, prompt: &str, max_tokens: u32) -> (String, FinishReason) {
    let req: GenerateRequest = serde_json::from_value(serde_json::json!({
        "request": "naive", "attempt": 1, "group": group_id(0), "epoch": EPOCH, "prompt": prompt,
        "max_tokens": max_tokens, "priority": "normal", "offset": 0, "emitted": [],
    }))
    .unwrap();
    let mut records = rig.fake_instances.generate(&address(0, 0), &req).await.unwrap();
    let mut text = String::new();
    while let Some(record) = records.next().await {
        match record.unwrap() {
            StreamRecord::Accepted(_) => {}
            StreamRecord::Tokens(tokens) => text.push_str(&tokens.tokens.concat()),
            StreamRecord::End(end) => return (text, end.reason),
        }
    }
    panic!("the stream ended without an end record");
}

#[derive(Debug, Clone)]
enum Step {
    /// Sends two copies of a body with a key, starting at a node.
    Send { node: usize, key: usize, body: usize },
    /// Advances the time.
    Wait { seconds: u64 },
    /// Sets the faults of the store.
    Store { is_unavailable: bool, loses_responses: bool },
    /// Sets whether upstreams lose responses after execution.
    Upstreams { lose_responses: bool },
    /// Kills or revives an upstream.
    Upstream { index: usize, is_alive: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..3usize, 0..4usize, 0..2usize)
            .prop_map(|(node, key, body)| Step::Send { node, key, body }),
        1 => (1..30u64).prop_map(|seconds| Step::Wait { seconds }),
        1 => any::<(bool, bool)>()
            .prop_map(|(is_unavailable, loses_responses)| Step::Store { is_unavailable, loses_responses }),
        1 => any::<bool>().prop_map(|lose_responses| Step::Upstreams { lose_responses }),
        1 => (0..3usize, any::<bool>())
            .prop_map(|(index, is_alive)| Step::Upstream { index, is_alive }),
    ];
    proptest::collection::vec(step, 1..25)
}

fn plain(index: usize) -> String {
    guavaladder_testutils::request_rig::plain_address(index)
}

/// Sends two concurrent copies of each request to different nodes, and compares the reported
/// outcomes with the fake upstreams' execution log, by the number of executions for each key.
async fn at_most_once(steps: Vec<Step>) {
    let rig = RequestRig::new(3, 0, 1, EngineOptions::new()).await;
    let made = rig.clock.unix().as_millis();
    let key = |index: usize| format!("{made:013}-fuzzed{index:04}");
    let mut reported_not_run: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Wait { seconds } => tokio::time::sleep(Duration::from_secs(seconds)).await,
            Step::Store { is_unavailable, loses_responses } => rig.store.set_faults(StoreFaults {
                is_unavailable,
                lose_responses: if loses_responses { 0.5 } else { 0.0 },
                ..StoreFaults::default()
            }),
            Step::Upstreams { lose_responses } => {
                let part = if lose_responses { 0.5 } else { 0.0 };
                let options = EngineOptions { plain_lose_responses: part, ..EngineOptions::new() };
                (0..3).for_each(|index| {
                    rig.fake_instances.set_options(&plain(index), options.clone())
                });
            }
            Step::Upstream { index, is_alive: true } => rig.fake_instances.revive(&plain(index)),
            Step::Upstream { index, is_alive: false } => rig.fake_instances.kill(&plain(index)),
            Step::Send { node, key: index, body } => {
                let copy = |turn: usize| {
                    let path = rig.nodes[(node + turn) % 3].path.clone();
                    let id = format!("{number}-{turn}");
                    let req = filing(&id, &key(index), &format!("body {body}"));
                    async move {
                        let limits = path.limits("c0", "filing").unwrap();
                        plain_call::call(&path, Arc::new(req), limits).await
                    }
                };
                let (a, b) = tokio::join!(copy(0), copy(1));
                let runs = rig.fake_instances.execution_count(&key(index));
                assert!(runs <= 1, "{runs} runs of key {index}");
                for result in [a, b] {
                    match result {
                        Ok(_) => assert_eq!(runs, 1),
                        Err(e) if e.ran == RunStatus::NotRun && e.is_confirmed => {
                            reported_not_run.insert((index, body), runs);
                        }
                        Err(_) => {}
                    }
                }
            }
        }
    }
    rig.store.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(30)).await;
    let ran: Vec<String> = rig
        .fake_instances
        .executions()
        .into_iter()
        .map(|e| format!("{:?} {}", e.idempotency_key, e.input))
        .collect();
    for (index, body) in reported_not_run.keys() {
        let input = format!("{:?} pay body {body}", Some(key(*index)));
        assert!(
            !ran.contains(&input),
            "{input} was executed although its caller was told that it was not"
        );
    }
    assert_eq!(rig.fake_instances.violations(), vec![]);
}

/// Sends generation requests while replicas are killed, paused, silenced, slowed down and resumed;
/// each response must be complete.
async fn complete_under_faults(faults: Vec<(u64, u32, u8)>) {
    const REPLICAS: u32 = 4;
    let rig = RequestRig::new(2, REPLICAS, 1, EngineOptions::new()).await;
    let mut running = vec![];
    for index in 0..12 {
        let path = rig.nodes[index % 2].path.clone();
        let prompt = format!("report {index} length:200");
        running.push(tokio::spawn(async move {
            let req = drafting(&prompt, "c0", &prompt, 300);
            (prompt, generate_text(&path, req).await)
        }));
    }
    for (pause, replica, kind) in faults {
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let first = address(replica, 0);
        match kind {
            0 => rig.fake_instances.kill(&first),
            1 => rig.fake_instances.pause(&first),
            2 => rig.fake_instances.stall_streams(&first),
            3 => rig.fake_instances.resume(&first),
            _ => rig.fake_instances.set_slowdown(&first, 20.0),
        }
    }
    // One replica is always available at the end, so that every response can complete.
    let spare = address(REPLICAS - 1, 0);
    rig.fake_instances.resume(&spare);
    rig.fake_instances.set_slowdown(&spare, 1.0);
    for running in running {
        let (prompt, result) = running.await.unwrap();
        let (text, _) = result.unwrap();
        assert_eq!(text, ModelOutput::new("m", "1", None, &prompt, 300).text());
    }
    assert_eq!(rig.fake_instances.violations(), vec![]);
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, cases: 24, ..Config::default() })]

    #[test]
    fn generate_matches_naive_path(prompts in proptest::collection::vec(("[a-z ]{0,40}", 1..80u32), 1..12)) {
        run(async {
            let rig = RequestRig::new(3, 4, 2, EngineOptions::new()).await;
            for (index, (prompt, max_tokens)) in prompts.iter().enumerate() {
                let req = drafting(&format!("r{index}"), "c0", prompt, *max_tokens);
                let response = generate_text(&rig.nodes[index % 3].path, req).await.unwrap();
                assert_eq!(response, naive(&rig, prompt, *max_tokens).await);
            }
        });
    }

    #[test]
    fn call_runs_at_most_once_under_faults(steps in steps()) {
        run(at_most_once(steps));
    }

    #[test]
    fn generate_completes_under_faults(
        faults in proptest::collection::vec((0..400u64, 0..3u32, 0..5u8), 0..8)
    ) {
        run(complete_under_faults(faults));
    }
}
