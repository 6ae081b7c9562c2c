//! Tests of requests that crash replicas, and of the requests that run at the same time.

use guavaladder_lib::clock::Clock;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::facts::FactKind;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::requests::ErrorCode;
use guavaladder_lib::generated::requests::SuspectFact;
use guavaladder_lib::generation::GenerationEvent;
use guavaladder_lib::gossip_build::MAX_FACT_BYTES;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::prefix_hash::PREFIX_BYTES;
use guavaladder_lib::request_path::RequestPath;
use guavaladder_lib::suspects::Suspects;
use guavaladder_lib::suspects::Verdict;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::request_rig::RequestRig;
use guavaladder_testutils::request_rig::address;
use guavaladder_testutils::request_rig::drafting;
use guavaladder_testutils::request_rig::generate_text;
use guavaladder_testutils::token_text::ModelOutput;
use guavaladder_testutils::token_text::POISON_MARKER;
use proptest::prelude::*;
use proptest::test_runner::Config;
use rstest::rstest;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of replicas that one request may crash.
const MAX_CRASHES: usize = 3;

fn count_crashed(rig: &RequestRig, replicas: u32) -> usize {
    let is_ready = |replica: &u32| {
        let status = rig.fake_instances.peek_status(&address(*replica, 0));
        status.is_some_and(|status| status.state == MemberState::Ready)
    };
    (0..replicas).filter(|replica| !is_ready(replica)).count()
}

async fn bystander(path: RequestPath, prompt: String) {
    let (text, _) = generate_text(&path, drafting(&prompt, "c1", &prompt, 200)).await.unwrap();
    assert_eq!(text, ModelOutput::new("m", "1", None, &prompt, 200).text());
}

#[rstest]
#[case::one_after_another(1)]
#[case::three_at_once(3)]
#[tokio::test(start_paused = true)]
async fn poison_request_crashes_at_most_three_replicas(#[case] at_once: usize) {
    const REPLICAS: u32 = 12;
    let rig = RequestRig::new(3, REPLICAS, 2, EngineOptions::new()).await;
    let mut bystanders = vec![];
    for index in 0..60 {
        let path = rig.nodes[index % 3].path.clone();
        let prompt = format!("beside {index} length:150");
        bystanders.push(tokio::spawn(bystander(path, prompt)));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let poison = format!("label {POISON_MARKER}");
    let mut refusals = 0;
    for round in 0..8 {
        let mut sent = vec![];
        for copy in 0..at_once {
            let path = rig.nodes[(round + copy) % 3].path.clone();
            let req = drafting(&format!("p{round}-{copy}"), "c0", &poison, 50);
            sent.push(tokio::spawn(async move { generate_text(&path, req).await }));
        }
        while !sent.iter().all(|sent| sent.is_finished()) {
            tokio::time::sleep(Duration::from_millis(200)).await;
            rig.gossip();
        }
        for sent in sent {
            let e = sent.await.unwrap().unwrap_err();
            refusals += usize::from(e.code == ErrorCode::Poisonous);
        }
    }
    for bystander in bystanders {
        bystander.await.unwrap();
    }
    let crashes = count_crashed(&rig, REPLICAS);
    assert!(crashes <= MAX_CRASHES, "{crashes} replicas crashed");
    assert_eq!(refusals, 8 * at_once);
    assert_eq!(rig.fake_instances.violations(), vec![]);
}

/// No two requests are alike, and all have the same prefix.
#[tokio::test(start_paused = true)]
async fn requests_that_share_a_prefix_which_crashes_replicas_are_sent_on() {
    const REPLICAS: u32 = 12;
    let rig = RequestRig::new(3, REPLICAS, 2, EngineOptions::new()).await;
    let mut bystanders = vec![];
    let shared = "-".repeat(PREFIX_BYTES);
    for index in 0..60 {
        let path = rig.nodes[index % 3].path.clone();
        bystanders.push(tokio::spawn(bystander(path, format!("{shared} {index} length:150"))));
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    for round in 0..16 {
        let path = rig.nodes[round % 3].path.clone();
        let prompt = format!("{POISON_MARKER}{shared} {round}");
        let req = drafting(&format!("p{round}"), "c0", &prompt, 50);
        let sent = tokio::spawn(async move { generate_text(&path, req).await });
        while !sent.is_finished() {
            tokio::time::sleep(Duration::from_millis(200)).await;
            rig.gossip();
        }
        sent.await.unwrap().unwrap_err();
    }
    for bystander in bystanders {
        bystander.await.unwrap();
    }
    let crashes = count_crashed(&rig, REPLICAS);
    println!("{crashes} replicas crashed");
    assert!(crashes <= MAX_CRASHES + 2, "{crashes} replicas crashed");
    bystander(rig.nodes[0].path.clone(), format!("{shared} later length:20")).await;
}

#[tokio::test(start_paused = true)]
async fn completed_request_is_cleared() {
    let rig = RequestRig::new(1, 3, 1, EngineOptions::new()).await;
    let path = &rig.nodes[0].path;
    let prompt = "length:100";
    let req = drafting("r", "c0", prompt, 100);
    let fingerprint = req.fingerprint;
    let limits = path.limits("c0", "drafting").unwrap();
    let mut answer = path.generate(Arc::new(req), limits, vec![]).await.unwrap();
    answer.next().await.unwrap();
    let busy = (0..3).find(|r| rig.fake_instances.open_streams(&address(*r, 0)) > 0).unwrap();
    rig.fake_instances.kill(&address(busy, 0));
    while !matches!(answer.next().await.unwrap(), GenerationEvent::End(_)) {}
    assert_eq!(path.suspects().verdict(fingerprint, 2), Verdict::Clear);
}

fn suspects() -> Suspects {
    Suspects::new(cx("n"))
}

fn cx(node: &str) -> Cx {
    let settings = serde_json::from_value(serde_json::json!({
        "node": node, "data_centre": "dc", "region": "r", "platform": "127.0.0.1:1",
        "fleet_key_file": "/dev/null", "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
    }))
    .unwrap();
    let clock = Clock::with_tokio_time(Duration::from_secs(1_700_000_000));
    Cx::new(settings, clock, Metrics::new())
}

/// Sends a node's published suspects to another one, as the gossip does.
fn send_suspects(from: &Cx, to: &Cx) {
    for fact in from.facts.all(FactKind::SuspectRequests) {
        if fact.value.len() <= MAX_FACT_BYTES && fact.node != to.node() {
            to.facts.merge(fact);
        }
    }
}

/// A fact that is too large is sent to no node, and one crash makes as many suspects as requests were
/// running.
#[tokio::test(start_paused = true)]
async fn suspects_of_a_busy_replica_are_not_sent() {
    let (a, b) = (cx("a"), cx("b"));
    let (at_a, at_b) = (Suspects::new(a.clone()), Suspects::new(b.clone()));
    for crash in 0..3 {
        at_a.record_crash(1, u64::MAX - crash);
        for bystander in 0..60 {
            at_a.record_crash(u64::MAX - 100 * crash - bystander, u64::MAX - crash);
        }
    }
    send_suspects(&a, &b);
    at_b.refresh();
    assert_eq!(at_b.verdict(1, 3), Verdict::Convicted);
}

/// The facts of a node are removed when it is dead, and those of an earlier run once it publishes again.
#[rstest]
#[case::dead(false)]
#[case::restarted(true)]
#[tokio::test(start_paused = true)]
async fn conviction_is_forgotten_with_the_node_that_saw_the_crashes(#[case] is_restarted: bool) {
    let (a, b, c) = (cx("a"), cx("b"), cx("c"));
    let (at_a, at_b, at_c) =
        (Suspects::new(a.clone()), Suspects::new(b.clone()), Suspects::new(c.clone()));
    for crash in 0..3 {
        at_a.record_crash(1, crash);
    }
    send_suspects(&a, &b);
    at_b.refresh();
    assert_eq!(at_b.verdict(1, 3), Verdict::Convicted);
    if is_restarted {
        let fact = SuspectFact { suspects: vec![], cleared: vec![] };
        let value = postcard::to_stdvec(&fact).unwrap();
        b.facts.publish("a", a.incarnation + 1, FactKind::SuspectRequests, value);
    } else {
        b.facts.remove_node("a");
    }
    at_b.refresh();
    assert_eq!(at_b.verdict(1, 3), Verdict::Convicted);
    send_suspects(&b, &c);
    at_c.refresh();
    assert_eq!(at_c.verdict(1, 3), Verdict::Convicted);
}

#[tokio::test(start_paused = true)]
async fn verdict_distinguishes_poison_from_bystander() {
    let suspects = suspects();
    suspects.record_crash(1, 10);
    suspects.record_crash(2, 10);
    assert_eq!(suspects.verdict(1, 2), Verdict::Suspect);
    suspects.record_crash(1, 11);
    assert_eq!(suspects.verdict(1, 2), Verdict::Convicted);
    assert_eq!(suspects.verdict(2, 2), Verdict::Suspect);
    suspects.record_crash(2, 11);
    assert_eq!(suspects.verdict(1, 2), Verdict::Isolate);
    assert_eq!(suspects.verdict(2, 2), Verdict::Isolate);
    suspects.clear(2);
    assert_eq!(suspects.verdict(1, 2), Verdict::Convicted);
    assert_eq!(suspects.verdict(2, 2), Verdict::Clear);
}

#[derive(Debug, Clone, Copy)]
enum Observation {
    Crashed(u64, u64),
    Cleared(u64),
}

fn observations() -> impl Strategy<Value = Vec<Observation>> {
    let observation = prop_oneof![
        3 => (0..5u64, 0..8u64).prop_map(|(f, crash)| Observation::Crashed(f, crash)),
        1 => (0..5u64).prop_map(Observation::Cleared),
    ];
    proptest::collection::vec(observation, 0..30)
}

/// Reference model on plain sets: crashes known when a request was cleared, and those that follow within
/// a minute, do not count.
fn expected(observations: &[Observation], fingerprint: u64, limit: usize) -> Verdict {
    let mut all: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
    let mut cleared: BTreeSet<u64> = BTreeSet::new();
    for observation in observations {
        match *observation {
            Observation::Crashed(f, crash) => {
                all.entry(f).or_default().insert(crash);
            }
            Observation::Cleared(f) => {
                cleared.insert(f);
            }
        }
    }
    let counts = |f: &u64| match cleared.contains(f) {
        true => BTreeSet::new(),
        false => all.get(f).cloned().unwrap_or_default(),
    };
    let own = counts(&fingerprint);
    let is_shared = all.keys().any(|f| *f != fingerprint && counts(f).is_superset(&own));
    match own.len() {
        0 => Verdict::Clear,
        3.. => Verdict::Convicted,
        n if n < limit => Verdict::Suspect,
        _ if is_shared => Verdict::Isolate,
        _ => Verdict::Convicted,
    }
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, cases: 200, ..Config::default() })]

    #[test]
    fn verdict_matches_reference_model(observations in observations(), limit in 1..=3usize) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let suspects = suspects();
            for observation in &observations {
                match *observation {
                    Observation::Crashed(f, crash) => {
                        suspects.record_crash(f, crash);
                    }
                    Observation::Cleared(f) => suspects.clear(f),
                }
            }
            for fingerprint in 0..5 {
                let verdict = suspects.verdict(fingerprint, limit as u32);
                assert_eq!(verdict, expected(&observations, fingerprint, limit));
            }
        });
    }
}
