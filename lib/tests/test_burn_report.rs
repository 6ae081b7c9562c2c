//! Tests of the burn report.

use guavaladder_lib::burn_report;
use guavaladder_lib::burn_report::BurnTargets;
use guavaladder_lib::burn_report_html;
use guavaladder_lib::burn_report_text;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::generated::burn::BurnAlert;
use guavaladder_lib::generated::burn::BurnReport;
use guavaladder_lib::generated::burn::Objective;
use guavaladder_lib::service_levels::RequestOutcome;
use guavaladder_lib::service_levels::RequestSample;
use guavaladder_lib::service_levels::ServiceLevels;
use guavaladder_testutils::node_fleet::UNIX_BASE;
use rstest::rstest;
use std::time::Duration;

const TARGETS: BurnTargets =
    BurnTargets { latency: 0.95, whole_answers: 0.999, availability: 0.99 };

fn sample(is_met: bool) -> RequestSample {
    RequestSample {
        first_token: Some(Duration::from_millis(if is_met { 300 } else { 3000 })),
        between_tokens: Some(Duration::from_millis(30)),
        first_token_met: is_met,
        between_tokens_met: true,
        outcome: RequestOutcome::Whole,
    }
}

/// Records 20 requests a minute for `minutes` minutes; `late_in_20` of them miss the objective.
async fn record(levels: &ServiceLevels, minutes: u64, late_in_20: u64) {
    for _ in 0..minutes {
        for number in 0..20 {
            levels.record("drafting", "caruaru", &sample(number >= late_in_20));
        }
        tokio::time::advance(Duration::from_secs(60)).await;
    }
}

fn report(levels: &[&ServiceLevels], missing: &[&str], clock: &Clock) -> BurnReport {
    let snapshots: Vec<_> =
        levels.iter().enumerate().map(|(i, levels)| levels.snapshot(&format!("n{i}"))).collect();
    let missing = missing.iter().map(|node| node.to_string()).collect();
    burn_report::merge(&snapshots, missing, &TARGETS, clock.unix())
}

#[rstest]
#[case::none(360, 0, 0, BurnAlert::None)]
#[case::within_budget(360, 1, 0, BurnAlert::None)]
#[case::slow(360, 7, 0, BurnAlert::Slow)]
#[case::fast(360, 20, 0, BurnAlert::Fast)]
#[case::recovered(300, 20, 60, BurnAlert::None)]
#[tokio::test(start_paused = true)]
async fn merge_alert(
    #[case] minutes: u64,
    #[case] late_in_20: u64,
    #[case] good_minutes: u64,
    #[case] expected: BurnAlert,
) {
    let clock = Clock::with_tokio_time(UNIX_BASE);
    let levels = ServiceLevels::new(clock.clone());
    record(&levels, minutes, late_in_20).await;
    record(&levels, good_minutes, 0).await;
    let report = report(&[&levels], &[], &clock);
    let objectives = &report.services[0].objectives;
    let burn = objectives.iter().find(|burn| burn.objective == Objective::FirstToken).unwrap();
    assert_eq!(burn.alert, expected, "{:?}", burn.windows);
}

#[tokio::test(start_paused = true)]
async fn merge_adds_nodes_and_marks_short_history() {
    let clock = Clock::with_tokio_time(UNIX_BASE);
    let old = ServiceLevels::new(clock.clone());
    record(&old, 400, 1).await;
    let new = ServiceLevels::new(clock.clone());
    record(&new, 10, 1).await;
    let report = report(&[&old, &new], &["n9"], &clock);
    assert_eq!(report.thin, ["n1"]);
    assert_eq!(report.missing, ["n9"]);
    let windows = &report.services[0].objectives[0].windows;
    assert_eq!(
        (windows[0].total, windows[0].bad),
        (80, 4),
        "four complete minutes of the new node"
    );
    assert!((windows[0].coverage - 2.0 / 3.0).abs() < 1e-9, "{}", windows[0].coverage);
    assert!(windows[3].coverage < 0.4);
    let text = burn_report_text::render(&report);
    assert!(text.contains("short history (~)") && text.contains("not included: n9"), "{text}");
}

#[tokio::test(start_paused = true)]
async fn render_html_is_self_contained() {
    let clock = Clock::with_tokio_time(UNIX_BASE);
    let levels = ServiceLevels::new(clock.clone());
    levels.record("<b>", "c", &sample(true));
    let page = burn_report_html::render(&report(&[&levels], &[], &clock));
    assert!(page.contains("<svg") && page.contains("&lt;b&gt;"));
    assert!(!page.contains("<b>") && !page.contains("http") && !page.contains("<script"));
}

#[tokio::test(start_paused = true)]
async fn record_memory_is_bounded() {
    let levels = ServiceLevels::new(Clock::with_tokio_time(UNIX_BASE));
    for number in 0..500 {
        levels.record(&format!("s{number}"), "c", &sample(true));
        levels.record("s0", &format!("c{number}"), &sample(true));
    }
    record(&levels, 500, 0).await;
    let snapshot = levels.snapshot("n");
    assert_eq!(snapshot.services.len(), 64);
    assert!(snapshot.services["s0"].customers.len() <= 65);
    assert!(snapshot.services.values().all(|window| window.slots.len() <= 360));
}
