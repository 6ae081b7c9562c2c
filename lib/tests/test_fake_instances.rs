//! Tests of the fake engines that other tests use.

use futures_util::StreamExt;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::FinishReason;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::GroupRole;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::Order;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::engine::OrderReply;
use guavaladder_lib::generated::engine::PlainRequest;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_lib::generated::platform::InstanceRole;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_lib::plain_service::PlainService;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::execution_oracle::ViolationKind;
use guavaladder_testutils::fake_instances::FakeInstances;
use guavaladder_testutils::token_text::ModelOutput;
use guavaladder_testutils::token_text::POISON_MARKER;
use std::time::Duration;

const EPOCH: u64 = 3;

fn info(index: u32, role: InstanceRole) -> InstanceInfo {
    InstanceInfo {
        instance: format!("i{index}"),
        address: format!("10.0.0.{index}:80"),
        role,
        domain: "d1".to_string(),
        data_centre: "dc1".to_string(),
        region: "r1".to_string(),
        accelerators: 8,
        kind: "gpu".to_string(),
        service: Some("filing".to_string()),
        state: InstanceState::Live,
    }
}

fn fake_instances(engines: u32) -> FakeInstances {
    let fake_instances = FakeInstances::new(Clock::with_tokio_time(Duration::from_secs(1_000)));
    for index in 0..engines {
        fake_instances.add_instance(info(index, InstanceRole::Engine), EngineOptions::default());
    }
    fake_instances.add_instance(info(99, InstanceRole::Plain), EngineOptions::default());
    fake_instances
}

fn assignment(shard: u32) -> Assignment {
    Assignment {
        group: "g1".to_string(),
        epoch: EPOCH,
        shard,
        members: vec!["i0".to_string(), "i1".to_string()],
        service: "drafting".to_string(),
        model: "m".to_string(),
        version: "1".to_string(),
        adapter: None,
        role: GroupRole::Full,
    }
}

fn order(id: &str, epoch: u64, action: OrderAction) -> Order {
    let deadline_unix = Duration::from_secs(2_000);
    Order { order: id.to_string(), domain: "d1".to_string(), epoch, deadline_unix, action }
}

fn request(prompt: &str) -> GenerateRequest {
    GenerateRequest {
        request: "r1".to_string(),
        attempt: 7,
        group: "g1".to_string(),
        epoch: EPOCH,
        prompt: prompt.to_string(),
        max_tokens: 100,
        priority: Priority::Normal,
        adapter: None,
        offset: 0,
        emitted: vec![],
        idempotency_key: None,
    }
}

fn address(index: u32) -> String {
    format!("10.0.0.{index}:80")
}

async fn join(fake_instances: &FakeInstances, index: u32) {
    let join = order(&format!("join{index}"), EPOCH, OrderAction::Join(assignment(index)));
    let reply = fake_instances.order(&address(index), &join).await.unwrap();
    assert!(matches!(reply, OrderReply::Accepted(_)), "{reply:?}");
}

async fn complete_group() -> FakeInstances {
    let fake_instances = fake_instances(2);
    join(&fake_instances, 0).await;
    join(&fake_instances, 1).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    fake_instances
}

async fn collect(
    fake_instances: &FakeInstances,
    req: &GenerateRequest,
) -> (String, Option<FinishReason>) {
    let mut records = fake_instances.generate(&address(0), req).await.unwrap();
    let (mut text, mut reason) = (String::new(), None);
    while let Some(record) = records.next().await {
        match record {
            Ok(StreamRecord::Accepted(_)) => {}
            Ok(StreamRecord::Tokens(record)) => text.push_str(&record.tokens.concat()),
            Ok(StreamRecord::End(record)) => reason = Some(record.reason),
            Err(_) => break,
        }
    }
    (text, reason)
}

#[tokio::test(start_paused = true)]
async fn generate_complete_response() {
    let fake_instances = complete_group().await;
    let answer = ModelOutput::new("m", "1", None, "hello", 100);
    let collected = collect(&fake_instances, &request("hello")).await;
    assert_eq!(collected, (answer.text(), Some(FinishReason::Stop)));
    assert_eq!(fake_instances.executions().len(), 1);
    assert!(fake_instances.violations().is_empty());
}

#[tokio::test(start_paused = true)]
async fn generate_resumed_from_emitted_tokens() {
    let fake_instances = complete_group().await;
    let answer = ModelOutput::new("m", "1", None, "hello length:20", 100);
    let mut req = request("hello length:20");
    req.offset = 5;
    assert!(matches!(
        fake_instances.generate(&address(0), &req).await.err(),
        Some(UpstreamError::Refused { .. })
    ));
    req.emitted = answer.tokens(0, 5);
    assert_eq!(collect(&fake_instances, &req).await.0, answer.tokens(5, 20).concat());
    req.emitted[2] = "other".to_string();
    collect(&fake_instances, &req).await;
    assert_eq!(fake_instances.violations()[0].kind, ViolationKind::WrongResume);
}

#[tokio::test(start_paused = true)]
async fn generate_on_partial_group_is_a_violation() {
    let fake_instances = fake_instances(2);
    join(&fake_instances, 0).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    collect(&fake_instances, &request("hello")).await;
    assert_eq!(fake_instances.violations()[0].kind, ViolationKind::PartialGroup);
}

#[tokio::test(start_paused = true)]
async fn generate_refused_for_another_epoch() {
    let fake_instances = complete_group().await;
    let mut req = request("hello");
    req.epoch += 1;
    let refused = fake_instances.generate(&address(0), &req).await.err();
    assert!(matches!(refused, Some(UpstreamError::Refused { .. })));
}

#[tokio::test(start_paused = true)]
async fn cancel_frees_the_slot_of_an_unread_stream() {
    let fake_instances = complete_group().await;
    let capacity = EngineOptions::default().capacity;
    let mut unread = vec![];
    for attempt in 0..u64::from(capacity) {
        let req = GenerateRequest { attempt, ..request("a") };
        unread.push(fake_instances.generate(&address(0), &req).await.unwrap());
    }
    let next = GenerateRequest { attempt: 1_000, ..request("b") };
    let mut stream = fake_instances.generate(&address(0), &next).await.unwrap();
    assert!(matches!(stream.next().await, Some(Ok(StreamRecord::Accepted(_)))));
    let blocked = tokio::time::timeout(Duration::from_secs(60), stream.next()).await;
    assert!(blocked.is_err(), "the stream started although the batch was full");
    fake_instances.cancel(&address(0), 0).await.unwrap();
    assert!(matches!(stream.next().await, Some(Ok(StreamRecord::Tokens(_)))));
}

#[tokio::test(start_paused = true)]
async fn killed_member_breaks_the_group() {
    let fake_instances = complete_group().await;
    let mut records = fake_instances.generate(&address(0), &request("hello")).await.unwrap();
    assert!(records.next().await.unwrap().is_ok());
    assert!(records.next().await.unwrap().is_ok());
    fake_instances.kill(&address(1));
    assert!(matches!(records.next().await, Some(Err(UpstreamError::Interrupted { .. }))));
    assert_eq!(fake_instances.peek_status(&address(0)).unwrap().state, MemberState::Failed);
    assert!(matches!(
        fake_instances.status(&address(1)).await,
        Err(UpstreamError::Unreachable { .. })
    ));
}

#[tokio::test(start_paused = true)]
async fn generate_poisoned_prompt_breaks_the_group() {
    let fake_instances = complete_group().await;
    let (text, reason) = collect(&fake_instances, &request(POISON_MARKER)).await;
    assert_eq!((text.as_str(), reason), ("", None));
    assert_eq!(fake_instances.peek_status(&address(1)).unwrap().state, MemberState::Failed);
}

#[tokio::test(start_paused = true)]
async fn order_with_old_epoch_is_fenced() {
    let fake_instances = complete_group().await;
    let release = order("late", EPOCH - 1, OrderAction::Release("g1".to_string()));
    assert_eq!(fake_instances.order(&address(0), &release).await, Ok(OrderReply::Fenced(EPOCH)));
    fake_instances.set_options(&address(0), EngineOptions::default().with_fencing(false));
    let accepted = fake_instances.order(&address(0), &release).await;
    assert!(matches!(accepted, Ok(OrderReply::Accepted(_))));
}

#[tokio::test(start_paused = true)]
async fn order_takes_effect_after_its_sender_timed_out() {
    let fake_instances = fake_instances(1);
    fake_instances.delay_orders(&address(0), Duration::from_secs(1));
    let join = order("late", EPOCH, OrderAction::Join(assignment(0)));
    let timed_out =
        tokio::time::timeout(Duration::from_millis(10), fake_instances.order(&address(0), &join))
            .await;
    assert!(timed_out.is_err());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fake_instances.peek_status(&address(0)).unwrap().state, MemberState::Loading);
}

#[tokio::test(start_paused = true)]
async fn regroup_keeps_weights_of_survivors() {
    let fake_instances = complete_group().await;
    fake_instances.kill(&address(1));
    let mut regrouped = assignment(0);
    regrouped.members[1] = "i5".to_string();
    let regroup = order("regroup", EPOCH, OrderAction::Regroup(regrouped));
    let reply = fake_instances.order(&address(0), &regroup).await.unwrap();
    assert!(matches!(reply, OrderReply::Accepted(_)), "{reply:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fake_instances.peek_status(&address(0)).unwrap().state, MemberState::Ready);
}

#[tokio::test(start_paused = true)]
async fn calls_with_the_same_key_are_a_violation() {
    let fake_instances = fake_instances(0);
    let req = PlainRequest {
        request: "r1".to_string(),
        path: "pay".to_string(),
        body: "{}".to_string(),
        idempotency_key: Some("k".to_string()),
        epoch: 1,
    };
    assert_eq!(fake_instances.call(&address(99), &req).await.unwrap().status, 200);
    assert!(fake_instances.violations().is_empty());
    fake_instances.call(&address(99), &req).await.unwrap();
    assert_eq!(fake_instances.violations()[0].kind, ViolationKind::RanTwice);
}

#[tokio::test(start_paused = true)]
async fn generate_long_after_leaving_is_a_violation() {
    let fake_instances = complete_group().await;
    fake_instances.set_leaving(&address(1));
    collect(&fake_instances, &request("hello")).await;
    assert!(fake_instances.violations().is_empty());
    tokio::time::sleep(Duration::from_secs(4)).await;
    collect(&fake_instances, &request("hello")).await;
    assert_eq!(fake_instances.violations()[0].kind, ViolationKind::WorkAfterLeaving);
}
