//! The burn report as one self-contained HTML page with SVG plots.

use crate::burn_report_text;
use crate::generated::burn::BurnAlert;
use crate::generated::burn::BurnReport;
use crate::generated::burn::ObjectiveBurn;
use std::fmt::Write;

/// Width and height of a plot in pixels.
const PLOT: (f64, f64) = (560.0, 120.0);
/// Minutes that a plot covers.
const PLOT_MINUTES: f64 = 360.0;
/// Smallest burn rate at the top of the vertical axis.
const MIN_AXIS_RATE: f64 = 2.0;
/// Longest distance in minutes between two points that are connected by a line.
const MAX_GAP_MINUTES: u64 = 20;

const STYLE: &str = "body{font:14px system-ui,sans-serif;margin:2em;max-width:60em}\
pre{background:#f4f4f4;padding:1em;overflow:auto}svg{background:#fafafa;border:1px solid #ccc}\
.fast{color:#b00020}.slow{color:#a05a00}.none{color:#2a6a2a}";

/// Renders the report as a page without scripts or external resources.
pub fn render(report: &BurnReport) -> String {
    let mut out = String::from("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    let _ = write!(out, "<title>Burn report</title><style>{STYLE}</style></head><body>");
    let _ = write!(
        out,
        "<h1>Burn report</h1><p>Created at Unix time {} s. The dashed line marks a burn rate of 1, \
         which consumes exactly the error budget.</p>",
        report.unix.as_secs()
    );
    let _ = write!(out, "<pre>{}</pre>", escape(&burn_report_text::render(report)));
    let now = report.unix.as_secs() / 60;
    for service in &report.services {
        let _ = write!(out, "<h2>{}</h2>", escape(&service.service));
        for burn in &service.objectives {
            let class = burn.alert.name();
            let note = match burn.alert {
                BurnAlert::None => "",
                BurnAlert::Slow => ": slow burn alert",
                BurnAlert::Fast => ": fast burn alert",
            };
            let name = burn.objective.name().replace('_', " ");
            let _ = write!(out, "<h3 class=\"{class}\">{name}{note}</h3>{}", plot(burn, now));
        }
    }
    out.push_str("</body></html>\n");
    out
}

fn plot(burn: &ObjectiveBurn, now: u64) -> String {
    let (width, height) = PLOT;
    let highest = burn.points.iter().map(|point| point.burn_rate).fold(MIN_AXIS_RATE, f64::max);
    let x = |minute: u64| width * (1.0 - now.saturating_sub(minute) as f64 / PLOT_MINUTES);
    let y = |rate: f64| height * (1.0 - rate / highest);
    let mut out = format!("<svg width=\"{width}\" height=\"{height}\" role=\"img\">");
    let budget = y(1.0);
    let _ = write!(
        out,
        "<line x1=\"0\" x2=\"{width}\" y1=\"{budget:.1}\" y2=\"{budget:.1}\" stroke=\"#888\" \
         stroke-dasharray=\"4\"/><text x=\"4\" y=\"12\" font-size=\"11\">{highest:.1}</text>"
    );
    let mut path = String::new();
    let mut last: Option<u64> = None;
    for point in &burn.points {
        let is_connected = last.is_some_and(|last| point.minute - last <= MAX_GAP_MINUTES);
        let command = if is_connected { 'L' } else { 'M' };
        let _ = write!(path, "{command}{:.1} {:.1}", x(point.minute), y(point.burn_rate));
        let _ = write!(
            out,
            "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"2\" fill=\"#234\"/>",
            x(point.minute),
            y(point.burn_rate)
        );
        last = Some(point.minute);
    }
    let _ = write!(out, "<path d=\"{path}\" fill=\"none\" stroke=\"#234\"/></svg>");
    out
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
