//! Tests that the operators' pages agree with the program.

use guavaladder_lib::log_explain;
use guavaladder_serving::serving_metrics::CATALOGUE;
use guavaladder_serving::serving_metrics::ServingMetrics;
use std::fs;
use std::path::Path;
use std::time::Duration;

fn page(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs").join(path);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

#[test]
fn operators_page_lists_every_metric() {
    let page = page("operators/platform.md");
    for (name, meaning) in CATALOGUE {
        assert!(page.contains(&format!("| `{name}` | {meaning} |")), "no row of {name}");
    }
}

/// The lines on the page are found from the request's id by the command that the page names.
#[test]
fn operations_page_lines_are_explained_by_the_command() {
    let page = page("OPERATIONS.md");
    let lines: Vec<_> = page
        .lines()
        .filter_map(|line| {
            // The page shows accounts: time, node, event. In a log the level stands before the event.
            let (time, rest) = line.split_once(' ')?;
            let (node, event) = rest.split_once(' ')?;
            log_explain::parse(&format!("{node} {time} INFO {event}"), "page")
        })
        .collect();
    for (request, event) in [
        ("c23e2c036068d2e7", "request_turned_away"),
        ("eca3b455de506b35", "replica_down"),
        ("bc08070bc9ccd8c1", "request_lost"),
    ] {
        let account = log_explain::explain(request, &lines);
        assert!(account.lines.iter().any(|line| line.name == event), "{request}: {account:?}");
    }
}

#[test]
fn metrics_are_bounded_and_hostile_labels_stay_labels() {
    let metrics = ServingMetrics::new();
    for i in 0..1000 {
        metrics.request(&format!("route-{i}"), "answered");
    }
    metrics.request("a\"} evil 1\n", "x");
    metrics.first_event("r", Duration::from_millis(20));
    let text = metrics.render();
    let series = text.lines().filter(|l| l.starts_with("guavaladder_requests_total{")).count();
    assert!(series <= 201, "{series} series");
    assert_eq!(metrics.sum("requests_total"), 1001);
    assert!(!text.contains("evil 1\n\"") && !text.contains("\"} evil"), "{text}");
    assert!(text.contains("guavaladder_first_event_seconds{route=\"r\",quantile=\"0.5\"} 0.02"));
}
