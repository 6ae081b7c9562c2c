//! Tests of the fake platform and upstreams through the HTTP clients that the daemon uses.

use futures_util::StreamExt;
use guavaladder_bench::fake_fleet::DomainPlan;
use guavaladder_bench::fake_fleet::FakeFleet;
use guavaladder_bench::fake_fleet::PlainPlan;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::engine::RecordStream;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::engine_http::HttpEngine;
use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::GroupRole;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::Order;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::engine::PlainRequest;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_lib::generated::platform::PutObject;
use guavaladder_lib::generated::platform::PutOutcome;
use guavaladder_lib::plain_service::PlainService;
use guavaladder_lib::plain_service_http::HttpPlainService;
use guavaladder_lib::platform::ObjectStore;
use guavaladder_lib::platform::PlatformError;
use guavaladder_lib::platform_http::HttpPlatform;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::fake_store::StoreFaults;
use guavaladder_testutils::token_text::ModelOutput;
use guavaladder_testutils::token_text::plain_response;
use std::time::Duration;

const PROMPT: &str = "soot in the flue length:40";

async fn fleet() -> FakeFleet {
    let mut fleet = FakeFleet::start().await.unwrap();
    let options = EngineOptions::default()
        .with_load_time(Duration::ZERO)
        .with_token_times(Duration::ZERO, Duration::from_millis(1));
    let plan = DomainPlan {
        domain: "d".to_string(),
        data_centre: "norte".to_string(),
        kind: "fenced".to_string(),
        instances: 1,
        options: options.clone(),
    };
    fleet.add_domain(&plan).await.unwrap();
    let plan = PlainPlan {
        service: "filing".to_string(),
        data_centre: "norte".to_string(),
        instances: 1,
        options,
    };
    fleet.add_plain(&plan).await.unwrap();
    fleet
}

/// Forms a group of the only engine and waits until it is ready.
async fn join_group(engine: &HttpEngine, address: &str) {
    let assignment = Assignment {
        group: "g".to_string(),
        epoch: 1,
        shard: 0,
        members: vec!["d-i0".to_string()],
        service: "drafting".to_string(),
        model: "m".to_string(),
        version: "1".to_string(),
        adapter: None,
        role: GroupRole::Full,
    };
    let order = Order {
        order: "o".to_string(),
        domain: "d".to_string(),
        epoch: 1,
        deadline_unix: Clock::new().unix() + Duration::from_secs(60),
        action: OrderAction::Join(assignment),
    };
    engine.order(address, &order).await.unwrap();
    while engine.status(address).await.unwrap().state != MemberState::Ready {
        tokio::task::yield_now().await;
    }
}

fn request() -> GenerateRequest {
    GenerateRequest {
        request: "r".to_string(),
        attempt: 1,
        group: "g".to_string(),
        epoch: 1,
        prompt: PROMPT.to_string(),
        max_tokens: 100,
        priority: Priority::Normal,
        adapter: None,
        offset: 0,
        emitted: vec![],
        idempotency_key: None,
    }
}

async fn text(mut records: RecordStream) -> Result<String, UpstreamError> {
    let mut text = String::new();
    while let Some(record) = records.next().await {
        if let StreamRecord::Tokens(record) = record? {
            text.push_str(&record.tokens.concat());
        }
    }
    Ok(text)
}

#[tokio::test]
async fn generate_complete_response() {
    let fleet = fleet().await;
    let address = fleet.address_of("d-i0").unwrap();
    let engine = HttpEngine::new();
    join_group(&engine, &address).await;
    let records = engine.generate(&address, &request()).await.unwrap();
    let expected = ModelOutput::new("m", "1", None, PROMPT, 100).text();
    assert_eq!(text(records).await, Ok(expected));
    assert!(fleet.fake_instances.violations().is_empty());
}

#[tokio::test]
async fn kill_interrupts_streams_and_refuses_connections() {
    let fleet = fleet().await;
    let address = fleet.address_of("d-i0").unwrap();
    let engine = HttpEngine::new();
    join_group(&engine, &address).await;
    let mut records = engine.generate(&address, &request()).await.unwrap();
    assert!(records.next().await.unwrap().is_ok());
    fleet.kill(&address);
    assert!(matches!(text(records).await, Err(UpstreamError::Interrupted { .. })));
    let killed = engine.status(&address).await;
    assert!(matches!(killed, Err(UpstreamError::Unreachable { .. })), "{killed:?}");
    fleet.revive(&address).await.unwrap();
    assert_eq!(engine.status(&address).await.unwrap().state, MemberState::Idle);
}

#[tokio::test]
async fn stalled_connections_leave_new_ones_working() {
    let fleet = fleet().await;
    let address = fleet.address_of("d-i0").unwrap();
    let engine = HttpEngine::new();
    join_group(&engine, &address).await;
    let mut records = engine.generate(&address, &request()).await.unwrap();
    assert!(records.next().await.unwrap().is_ok());
    // Leaves an idle connection in the pool, which is stalled as well.
    engine.status(&address).await.unwrap();
    fleet.stall_connections(&address);
    drop(records);
    assert_eq!(engine.status(&address).await.unwrap().state, MemberState::Ready);
}

#[tokio::test]
async fn call_plain_service() {
    let fleet = fleet().await;
    let address = fleet.address_of("filing-norte-0").unwrap();
    let service = HttpPlainService::new();
    let req = PlainRequest {
        request: "r".to_string(),
        path: "pay".to_string(),
        body: "{}".to_string(),
        idempotency_key: Some("k".to_string()),
        epoch: 1,
    };
    let reply = service.call(&address, &req).await.unwrap();
    assert_eq!(reply.body, plain_response("filing", "pay", "{}"));
    assert_eq!(service.takes_work(&address).await, Ok(true));
    assert_eq!(fleet.fake_instances.execution_count("k"), 1);
}

#[tokio::test]
async fn platform_put_get_watch() {
    let fleet = fleet().await;
    let platform = HttpPlatform::new(fleet.platform_address().to_string());
    let key = "config/a b&c=ü";
    let put = PutObject { key: key.to_string(), if_version: 0, value: "{}".to_string() };
    assert_eq!(platform.put(&put).await, Ok(PutOutcome::Written(1)));
    assert_eq!(platform.get(key).await.unwrap().unwrap().version, 1);
    assert_eq!(platform.get("config/other").await, Ok(None));
    let batch = platform.watch("config/", 0, Duration::from_secs(1)).await.unwrap();
    assert_eq!(batch.changes[0].key, key);
    assert_eq!(platform.list("config/").await.unwrap().objects.len(), 1);
    fleet.store.set_faults(StoreFaults { lose_responses: 1.0, ..StoreFaults::default() });
    let lost = platform.delete(key, 1).await;
    assert!(matches!(lost, Err(PlatformError::ResponseLost { .. })), "{lost:?}");
    assert_eq!(platform.get(key).await, Ok(None));
    fleet.store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    assert!(matches!(platform.put(&put).await, Err(PlatformError::NotApplied { .. })));
}
