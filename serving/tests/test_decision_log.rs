//! Tests of the bounds of the log of decisions.

use crate::util::log;
use guavaladder_lib::event_log;
use guavaladder_lib::generated::events::Event;
use std::time::Duration;

/// Lines of a kind that are no ordinary successes, in a second.
const NOTABLE_LINES: usize = 60;
/// Bytes a second in which a node's lines of one kind have to stay.
const MAX_BYTES: usize = 32 << 10;

fn rejected(number: usize) -> Event {
    Event::RequestRejected {
        request: format!("{number:016x}"),
        route: "unknown".to_string(),
        status: 401,
        reason: "no known key".to_string(),
        config: 7,
    }
}

/// Load pattern: a caller with a wrong key sends 10,000 requests a second.
#[tokio::test(start_paused = true)]
async fn failing_requests_by_the_thousand_stay_within_the_budget() {
    let log = log();
    for number in 0..10_000 {
        log.record(rejected(number));
    }
    let recent = log.events().recent();
    assert_eq!(recent.len(), NOTABLE_LINES);
    let bytes: usize = recent.iter().map(|event| event_log::render(&event.event).len()).sum();
    assert!(bytes < MAX_BYTES, "{bytes} bytes");
    tokio::time::advance(Duration::from_secs(1)).await;
    log.record(rejected(10_000));
    let told = log.events().recent().into_iter().find_map(|event| match event.event {
        Event::LogLinesLeftOut { lines, kind, .. } => Some((lines, kind)),
        _ => None,
    });
    assert_eq!(told, Some((9_940, "request_rejected".to_string())));
}

/// Other kinds keep their own budgets meanwhile.
#[tokio::test(start_paused = true)]
async fn busy_kind_leaves_the_others_their_lines() {
    let log = log();
    for number in 0..10_000 {
        log.record(rejected(number));
    }
    let (instance, reason) = ("i-1".to_string(), "its entry was removed".to_string());
    let gone = Event::InstanceGone { instance, reason };
    log.record(gone.clone());
    assert_eq!(log.events().recent().last().map(|event| event.event.clone()), Some(gone));
}
