//! Tests that the operator documentation matches the code, and of the metrics that it lists.

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
fn platform_page_lists_every_metric() {
    let page = page("operators/platform.md");
    for (name, help) in CATALOGUE {
        assert!(page.contains(&format!("| `{name}` | {help} |")), "no row for {name}");
    }
}

/// Guards against example log lines on the page that the command named there no longer finds by the
/// request's id.
#[test]
fn log_lines_on_the_operations_page_can_be_explained() {
    let page = page("OPERATIONS.md");
    let lines: Vec<_> = page
        .lines()
        .filter_map(|line| {
            // The page shows explained lines: time, node, event. A log has the level before the event.
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
        let timeline = log_explain::explain(request, &lines);
        assert!(timeline.lines.iter().any(|line| line.name == event), "{request}: {timeline:?}");
    }
}

#[test]
fn series_are_bounded_and_label_values_are_sanitized() {
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
