//! Tests of requests that run at most once, with faults that could run a request twice or lose its
//! outcome.

use guavaladder_lib::at_most_once;
use guavaladder_lib::at_most_once::BeginOutcome;
use guavaladder_lib::generated::engine::PlainReply;
use guavaladder_lib::generated::requests::ErrorCode;
use guavaladder_lib::generated::requests::LedgerAnswer;
use guavaladder_lib::generated::requests::LedgerEntry;
use guavaladder_lib::generated::requests::LedgerOp;
use guavaladder_lib::generated::requests::LedgerShard;
use guavaladder_lib::generated::requests::LedgerState;
use guavaladder_lib::generated::requests::RequestState;
use guavaladder_lib::ledger;
use guavaladder_lib::ledger_key;
use guavaladder_lib::ledger_key::KEY_WINDOW;
use guavaladder_lib::ledger_shard::ShardContent;
use guavaladder_lib::ledger_writer::WRITE_INTERVAL;
use guavaladder_lib::plain_call;
use guavaladder_lib::platform::MAX_OBJECT_BYTES;
use guavaladder_lib::request::Request;
use guavaladder_lib::request::RequestError;
use guavaladder_lib::request::RunStatus;
use guavaladder_lib::request_path::RequestPath;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::fake_store::StoreFaults;
use guavaladder_testutils::request_rig::FILING;
use guavaladder_testutils::request_rig::RequestRig;
use guavaladder_testutils::request_rig::filing;
use guavaladder_testutils::request_rig::plain_address;
use guavaladder_testutils::token_text::plain_response;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

async fn rig(nodes: usize) -> RequestRig {
    RequestRig::new(nodes, 0, 1, EngineOptions::new()).await
}

fn key(rig: &RequestRig, index: usize) -> String {
    format!("{:013}-random{index:06}", rig.clock.unix().as_millis())
}

async fn call(path: &RequestPath, req: Request) -> Result<PlainReply, RequestError> {
    let limits = path.limits(&req.customer, &req.service_id)?;
    plain_call::call(path, Arc::new(req), limits).await
}

#[tokio::test(start_paused = true)]
async fn call_resent_returns_stored_response() {
    let rig = rig(2).await;
    let key = key(&rig, 0);
    let first = call(&rig.nodes[0].path, filing("a1", &key, "pay 5")).await.unwrap();
    assert_eq!(first.body, plain_response(FILING, "pay", "pay 5"));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let again = call(&rig.nodes[1].path, filing("a2", &key, "pay 5")).await.unwrap();
    assert_eq!(again, first);
    assert_eq!(rig.fake_instances.execution_count(&key), 1);
    let status = at_most_once::status(&rig.nodes[1].path, "c0", &key).await.unwrap();
    assert_eq!(status.state, RequestState::Whole);
}

#[tokio::test(start_paused = true)]
async fn call_with_used_key_and_different_body_is_refused() {
    let rig = rig(1).await;
    let key = key(&rig, 0);
    call(&rig.nodes[0].path, filing("a1", &key, "pay 5")).await.unwrap();
    let e = call(&rig.nodes[0].path, filing("a2", &key, "pay 6")).await.unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::KeyReused, RunStatus::NotRun));
    assert_eq!(rig.fake_instances.execution_count(&key), 1);
}

#[tokio::test(start_paused = true)]
async fn call_at_two_nodes_concurrently_runs_once() {
    let rig = rig(2).await;
    for index in 0..20 {
        let key = key(&rig, index);
        let (a, b) = tokio::join!(
            call(&rig.nodes[0].path, filing("a", &key, "dispatch")),
            call(&rig.nodes[1].path, filing("b", &key, "dispatch")),
        );
        assert_eq!(rig.fake_instances.execution_count(&key), 1);
        assert_eq!(usize::from(a.is_ok()) + usize::from(b.is_ok()), 1, "{a:?} {b:?}");
        let e = a.and(b).unwrap_err();
        assert_eq!((e.code, e.ran), (ErrorCode::InProgress, RunStatus::MaybeRun));
    }
}

#[tokio::test(start_paused = true)]
async fn call_while_store_is_unavailable_is_not_run() {
    let rig = rig(1).await;
    rig.store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    let new_key = key(&rig, 0);
    let first = Request { is_first_send: true, ..filing("a", &new_key, "pay") };
    let e = call(&rig.nodes[0].path, first).await.unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::LedgerAway, RunStatus::NotRun));
    assert!(e.retry_after.is_some());
    let e = call(&rig.nodes[0].path, filing("b", &new_key, "pay")).await.unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::LedgerAway, RunStatus::MaybeRun));
    assert_eq!(rig.fake_instances.execution_count(&new_key), 0);
    rig.store.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_secs(60)).await;
    call(&rig.nodes[0].path, filing("c", &key(&rig, 1), "pay")).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn call_resent_while_store_is_unavailable_is_unknown() {
    let rig = rig(2).await;
    let key = key(&rig, 0);
    let first = Request { is_first_send: true, ..filing("a", &key, "pay") };
    call(&rig.nodes[0].path, first).await.unwrap();
    rig.store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    // The caller lost the first response and resends the request to another node within a second.
    let e = call(&rig.nodes[1].path, filing("b", &key, "pay")).await.unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::LedgerAway, RunStatus::MaybeRun));
    assert_eq!(rig.fake_instances.execution_count(&key), 1);
}

#[tokio::test(start_paused = true)]
async fn call_resent_to_node_in_shutdown_is_unknown() {
    let rig = rig(2).await;
    let key = key(&rig, 0);
    call(&rig.nodes[0].path, filing("a", &key, "pay")).await.unwrap();
    rig.nodes[1].path.drain(Duration::ZERO, Duration::ZERO).await;
    let e = call(&rig.nodes[1].path, filing("b", &key, "pay")).await.unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::ShuttingDown, RunStatus::MaybeRun));
}

#[tokio::test(start_paused = true)]
async fn call_with_lost_store_responses_runs_once() {
    let rig = rig(2).await;
    rig.store.set_faults(StoreFaults { lose_responses: 0.7, ..StoreFaults::default() });
    for index in 0..20 {
        let key = key(&rig, index);
        let result = call(&rig.nodes[index % 2].path, filing("a", &key, "pay")).await;
        let _ = call(&rig.nodes[(index + 1) % 2].path, filing("b", &key, "pay")).await;
        let runs = rig.fake_instances.execution_count(&key);
        assert!(runs <= 1, "{runs} runs");
        if let Err(e) = result {
            assert!(runs == 0 || e.ran == RunStatus::MaybeRun, "{e:?} after {runs} runs");
        }
    }
}

#[rstest]
#[case::before_upstream(false)]
#[case::after_upstream(true)]
#[tokio::test(start_paused = true)]
async fn call_after_node_was_killed_is_unknown(#[case] was_sent: bool) {
    let mut rig = rig(2).await;
    let key = key(&rig, 0);
    let req = filing("a", &key, "pay");
    let outcome = at_most_once::begin(&rig.nodes[0].path, &req, &key).await.unwrap();
    let BeginOutcome::Run(run) = outcome else { panic!("the key already had a ledger entry") };
    if was_sent {
        let plain_req = serde_json::from_value(serde_json::json!({
            "request": "a", "path": "pay", "body": "pay", "idempotency_key": key, "epoch": 1,
        }));
        let plain = rig.nodes[0].path.plain();
        plain.call(&plain_address(0), &plain_req.unwrap()).await.unwrap();
    }
    // A killed process neither records a result nor runs destructors.
    std::mem::forget(run);
    rig.nodes.remove(0);
    rig.publish();
    for attempt in ["b", "c"] {
        let e = call(&rig.nodes[0].path, filing(attempt, &key, "pay")).await.unwrap_err();
        assert_eq!((e.code, e.ran), (ErrorCode::OutcomeUnknown, RunStatus::MaybeRun));
    }
    assert_eq!(rig.fake_instances.execution_count(&key), usize::from(was_sent));
    let status = at_most_once::status(&rig.nodes[0].path, "c0", &key).await.unwrap();
    assert_eq!(status.state, RequestState::Unknown);
}

#[tokio::test(start_paused = true)]
async fn call_with_lost_upstream_response_is_never_run_again() {
    let rig = rig(1).await;
    let options = EngineOptions { plain_lose_responses: 1.0, ..EngineOptions::new() };
    for index in 0..3 {
        rig.fake_instances.set_options(&plain_address(index), options.clone());
    }
    let key = key(&rig, 0);
    for attempt in ["a", "b", "c"] {
        let e = call(&rig.nodes[0].path, filing(attempt, &key, "pay")).await.unwrap_err();
        assert_eq!(e.ran, RunStatus::MaybeRun);
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(rig.fake_instances.execution_count(&key), 1);
}

#[tokio::test(start_paused = true)]
async fn call_refused_once_never_runs_with_same_key() {
    let rig = rig(2).await;
    for index in 0..3 {
        rig.fake_instances.kill(&plain_address(index));
    }
    let key = key(&rig, 0);
    let e = call(&rig.nodes[0].path, filing("a", &key, "pay")).await.unwrap_err();
    assert_eq!(e.ran, RunStatus::NotRun);
    for index in 0..3 {
        rig.fake_instances.revive(&plain_address(index));
    }
    tokio::time::sleep(Duration::from_secs(40)).await;
    // A later copy of the request must not run, since the caller was told that it was not run.
    let e = call(&rig.nodes[1].path, filing("b", &key, "pay")).await.unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::KeyRefused, RunStatus::NotRun));
    assert_eq!(rig.fake_instances.execution_count(&key), 0);
}

#[tokio::test(start_paused = true)]
async fn call_tries_next_upstream_when_one_is_unreachable() {
    let rig = rig(1).await;
    rig.fake_instances.kill(&plain_address(0));
    rig.fake_instances.kill(&plain_address(1));
    for index in 0..6 {
        let key = key(&rig, index);
        call(&rig.nodes[0].path, filing("a", &key, &format!("pay {index}"))).await.unwrap();
        assert_eq!(rig.fake_instances.execution_count(&key), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn execute_locally_keeps_concurrent_writes_of_other_node() {
    let rig = rig(2).await;
    let entry = |index: usize, node: &str| LedgerEntry {
        key: key(&rig, index),
        customer: "c0".to_string(),
        fingerprint: 1,
        node: node.to_string(),
        incarnation: 1,
        attempt: format!("{node} {index}"),
        epoch: 0,
        state: LedgerState::Started,
        status: 0,
        answer: None,
    };
    // Both nodes write the shard. The first one continues with a stale cached copy and must not
    // overwrite the entry of the second one.
    let put = |entry: LedgerEntry| LedgerOp::Put(entry);
    let (first, second) = (rig.nodes[0].path.ledger(), rig.nodes[1].path.ledger());
    first.execute_locally(3, put(entry(0, "n0"))).await;
    second.execute_locally(3, put(entry(1, "n1"))).await;
    let LedgerAnswer::Entry(stored) = first.execute_locally(3, put(entry(1, "n0"))).await else {
        panic!("the operation returned no entry");
    };
    assert_eq!(stored.attempt, "n1 1");
    first.execute_locally(3, put(entry(2, "n0"))).await;
    let object = rig.store.peek("ledger/3").unwrap();
    let shard: LedgerShard = serde_json::from_str(&object.value).unwrap();
    assert_eq!(shard.entries.len(), 3);
}

#[tokio::test(start_paused = true)]
async fn call_store_writes_are_bounded_by_shards_not_requests() {
    let rig = rig(1).await;
    let before = rig.store.calls().writes();
    let started = rig.clock.now();
    let mut calls = vec![];
    for index in 0..2000 {
        let (path, req) =
            (rig.nodes[0].path.clone(), filing(&format!("a{index}"), &key(&rig, index), "pay"));
        calls.push(tokio::spawn(async move { call(&path, req).await.is_ok() }));
        if index % 20 == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let mut complete = 0;
    for call in calls {
        complete += usize::from(call.await.unwrap());
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let elapsed = rig.clock.now() - started;
    let writes = rig.store.calls().writes() - before;
    let intervals = elapsed.as_millis().div_ceil(WRITE_INTERVAL.as_millis()) as u64 + 1;
    assert!(writes <= intervals * u64::from(ledger::SHARD_COUNT), "{writes} writes in {elapsed:?}");
    assert!(complete > 1500, "{complete} of 2000 requests completed");
}

#[rstest]
#[case::now(0, None)]
#[case::old_enough(-599, None)]
#[case::too_old(-601, Some(RunStatus::MaybeRun))]
#[case::skewed(29, None)]
#[case::future(31, Some(RunStatus::NotRun))]
fn check_window_by_age(#[case] offset: i64, #[case] expected: Option<RunStatus>) {
    let unix = Duration::from_secs(1_700_000_000);
    let created = (1_700_000_000 + offset) * 1000;
    let result = ledger_key::check(&format!("{created}-abcdefgh"), unix);
    assert_eq!(result.err().map(|e| e.ran), expected);
}

#[rstest]
#[case::empty("")]
#[case::no_random("1700000000000")]
#[case::short_random("1700000000000-abc")]
#[case::short_time("170000000000-abcdefgh")]
#[case::sign("+170000000000-abcdefgh")]
#[case::slash("1700000000000-abcd/fgh")]
#[case::long("1700000000000-aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
fn check_malformed(#[case] key: &str) {
    let e = ledger_key::check(key, Duration::from_secs(1_700_000_000)).unwrap_err();
    assert_eq!((e.code, e.ran), (ErrorCode::KeyMalformed, RunStatus::NotRun));
}

#[test]
fn apply_keeps_shard_below_size_limit() {
    let unix = Duration::from_secs(1_700_000_000);
    let mut shard = ShardContent::new(0);
    let mut refused = 0;
    for index in 0..10_000 {
        let entry = LedgerEntry {
            key: format!("{}-{index:08}", unix.as_millis()),
            customer: "customer".to_string(),
            fingerprint: u64::MAX,
            node: "node".to_string(),
            incarnation: u64::MAX,
            attempt: "f".repeat(48),
            epoch: u64::MAX,
            state: LedgerState::Done,
            status: 200,
            answer: Some("\"".repeat(500)),
        };
        let (answer, _) = shard.apply(&LedgerOp::Put(entry));
        refused += usize::from(matches!(answer, LedgerAnswer::NotWritten(_)));
    }
    let text = serde_json::to_string(&shard.to_stored("w".to_string())).unwrap();
    assert!(text.len() < MAX_OBJECT_BYTES, "{}", text.len());
    assert!(refused > 0 && shard.len() > 1000, "{refused} refused, {} stored", shard.len());
    shard.remove_expired(unix + KEY_WINDOW);
    assert!(!shard.is_empty());
    shard.remove_expired(unix + KEY_WINDOW + Duration::from_secs(61));
    assert!(shard.is_empty());
}
