//! The burn report as a plain-text table.

use crate::generated::burn::BurnReport;
use std::fmt::Write;

/// Coverage of a window below which its burn rate is marked as based on short history.
const FULL_COVERAGE: f64 = 0.95;

/// Renders the report as a table. Burn rates of windows without enough history are marked with `~`.
pub fn render(report: &BurnReport) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<16} {:<22} {:>8} {:>9} {:>9} {:>9} {:>9}  alert",
        "SERVICE", "OBJECTIVE", "TARGET", "5 MIN", "30 MIN", "1 H", "6 H"
    );
    for service in &report.services {
        for burn in &service.objectives {
            let rates = burn.windows.iter().map(|window| {
                let mark = if window.coverage < FULL_COVERAGE { "~" } else { "" };
                format!("{mark}{:.2}", window.burn_rate)
            });
            let rates: Vec<String> = rates.map(|rate| format!("{rate:>9}")).collect();
            let _ = writeln!(
                out,
                "{:<16} {:<22} {:>8} {}  {}",
                service.service,
                burn.objective.name(),
                burn.target,
                rates.join(" "),
                burn.alert.name()
            );
        }
    }
    for service in &report.services {
        let latencies =
            [("first token", &service.first_token), ("between", &service.between_tokens)];
        for (name, latency) in latencies.into_iter().filter(|(_, l)| !l.p50.is_zero()) {
            let _ = writeln!(
                out,
                "{:<16} {name:<22} p50 {} ms, p95 {} ms, p99 {} ms",
                service.service,
                latency.p50.as_millis(),
                latency.p95.as_millis(),
                latency.p99.as_millis()
            );
        }
    }
    write_sources(&mut out, report);
    out
}

fn write_sources(out: &mut String, report: &BurnReport) {
    let _ = writeln!(out, "\nmerged from {} nodes", report.nodes.len());
    if !report.thin.is_empty() {
        let nodes = report.thin.join(", ");
        let _ = writeln!(out, "short history (~): started within the last 6 h: {nodes}");
    }
    if !report.missing.is_empty() {
        let _ = writeln!(out, "no response, requests not included: {}", report.missing.join(", "));
    }
}
