//! Tests of the rate limits of the event log.

use crate::util::log;
use guavaladder_lib::event_log;
use guavaladder_lib::generated::events::Event;
use std::time::Duration;

/// Maximum lines per second of an event kind other than a successful request.
const MAX_LINES_PER_SECOND: usize = 60;
/// Maximum bytes per second of a node's log lines of one event kind.
const MAX_BYTES_PER_SECOND: usize = 32 << 10;

fn rejected(number: usize) -> Event {
    Event::RequestRejected {
        request: format!("{number:016x}"),
        route: "unknown".to_string(),
        status: 401,
        reason: "the API key is missing or unknown".to_string(),
        config: 7,
    }
}

/// Load pattern: a caller with an unknown key sends 10,000 requests per second.
#[tokio::test(start_paused = true)]
async fn many_rejected_requests_stay_within_the_limit() {
    let log = log();
    for number in 0..10_000 {
        log.record(rejected(number));
    }
    let recent = log.events().recent();
    assert_eq!(recent.len(), MAX_LINES_PER_SECOND);
    let bytes: usize = recent.iter().map(|event| event_log::render(&event.event).len()).sum();
    assert!(bytes < MAX_BYTES_PER_SECOND, "{bytes} bytes");
    tokio::time::advance(Duration::from_secs(1)).await;
    log.record(rejected(10_000));
    let dropped = log.events().recent().into_iter().find_map(|event| match event.event {
        Event::LogLinesLeftOut { lines, kind, .. } => Some((lines, kind)),
        _ => None,
    });
    assert_eq!(dropped, Some((9_940, "request_rejected".to_string())));
}

/// Each event kind has its own limit.
#[tokio::test(start_paused = true)]
async fn busy_event_kind_does_not_limit_other_kinds() {
    let log = log();
    for number in 0..10_000 {
        log.record(rejected(number));
    }
    let (instance, reason) = ("i-1".to_string(), "its entry was removed".to_string());
    let gone = Event::InstanceGone { instance, reason };
    log.record(gone.clone());
    assert_eq!(log.events().recent().last().map(|event| event.event.clone()), Some(gone));
}
