//! Counters and latency histograms of a node, served in the Prometheus text format.
//!
//! Label values come from fixed sets or from the configuration, and the number of series is bounded.

use crate::dialect::ObjectKind;
use guavaladder_lib::byte_budget::ByteBudget;
use guavaladder_lib::byte_budget::ByteUse;
use guavaladder_lib::byte_budget::NoRoom;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Maximum number of series of one metric; further ones are summed in the series `other`.
const MAX_SERIES: usize = 200;
/// Maximum duration in a histogram; longer ones are recorded as this one.
const MAX_DURATION_US: u64 = 60_000_000;
/// Quantiles in the summary of a histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// Names of all metrics with their help texts.
pub const CATALOGUE: [(&str, &str); 38] = [
    ("requests_total", "Requests of callers, by route and outcome."),
    ("first_event_seconds", "Time to the first byte of an answer, by route, in seconds."),
    ("request_seconds", "Time to the end of an answer, by route, in seconds."),
    ("sends_total", "Sends to replicas, by service and outcome."),
    ("moves_total", "Sends beyond the first of a request, by service and cause."),
    (
        "retries_total",
        "Sends beyond the first of a request, by service and whether they were withdrawn from the retry budget or free, as no replica had received the request.",
    ),
    (
        "retries_withheld_total",
        "Requests that were not sent to another replica after a failed attempt, by service and reason.",
    ),
    ("replicas_returned_total", "Silent replicas that went on."),
    ("stream_events_total", "Stream events that were passed on, by service."),
    ("connections_opened_total", "New connections to replicas, by service."),
    ("store_calls_total", "Calls to the platform's store, by call and kind of object."),
    ("store_failures_total", "Calls to the platform's store that failed, by call."),
    (
        "list_watches_lost_total",
        "Watches of the instance list that were given up, since another node was ahead of them.",
    ),
    ("store_returns_total", "Returns of the store from an older copy that this node noticed."),
    ("orders_total", "Orders to instances, by order and outcome."),
    ("reports_total", "Questions to instances for their state, by cause."),
    ("replicas_down_total", "Replicas that were found to be down, by source."),
    (
        "crash_marks_total",
        "Crashes that this node saw (own), by kind (request or part of a prompt), and requests or parts that it refuses by crashes that it learned of (learned).",
    ),
    (
        "rate_limits_total",
        "Limits on the rate of an instance that were named, changed or ended, by source: an answer to this node (own) or another node (learned).",
    ),
    (
        "link_checks_total",
        "Checks whether this node reaches instances, after a connection to one failed, by outcome: one accepted (working), none answered (broken), some refused and none accepted (refused), or this process was late (delayed).",
    ),
    (
        "requests_relayed_total",
        "Requests that were passed on to another node, or received from one, by direction.",
    ),
    (
        "cold_instances_total",
        "Instances that turned cold, by source: first seen by this node (new), their entry, an answer, or another node (learned).",
    ),
    (
        "cold_sends_total",
        "Requests sent to replicas that only elected nodes send to, by service and reason (cold or filling).",
    ),
    (
        "stated_loads_total",
        "Loads that replicas of services scheduled by measurements stated in responses, by outcome.",
    ),
    ("log_lines_dropped_total", "Lines of the log that were dropped since its reader was slow."),
    (
        "evacuations_total",
        "Data centres that were evacuated or taken back, by data centre and change.",
    ),
    (
        "evacuated_since_seconds",
        "Unix time at which this node learned that a data centre is evacuated, by data centre, in seconds; absent while it is not.",
    ),
    (
        "evacuated_requests",
        "Requests of this node that still run in an evacuated data centre, by data centre.",
    ),
    (
        "admission_refusals_total",
        "Requests of services scheduled by measurements that were refused, by route and reason.",
    ),
    (
        "customer_use_reports_total",
        "Reports of what customers use while a model is scarce, by direction.",
    ),
    (
        "model_slots",
        "Slots of a model of a measured service, by service, model and state: needed by demand, serving, or planned. Set by the holder of the lease.",
    ),
    (
        "instances_by_use",
        "Instances of a measured service, by service and use. Set by the holder of the lease.",
    ),
    (
        "open_connections",
        "Open connections, by listener and state: idle, in an unfinished head or body, busy with a request, unread after the deadline of the request, or lingering while what follows a response is discarded.",
    ),
    (
        "connections_closed_total",
        "Connections that the node closed, by listener and reason: to make room for others (idle, head, body, unread or lingering), since all others were busy (refused), or since a head took too long (header_timeout) or a response was not read (unread_timeout).",
    ),
    ("held_bytes", "Bytes that are held for callers, by use; the use `waiting` is waited for."),
    ("held_bytes_limit", "Limit on the bytes that are held for callers."),
    (
        "no_room_total",
        "Request bodies, responses and stream events for which there was no room, by use and reason.",
    ),
    ("bodies_ended_total", "Unfinished bodies that were ended since others needed their room."),
];

/// Handle to the metrics of a node.
#[derive(Debug, Clone, Default)]
pub struct ServingMetrics {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    counters: BTreeMap<&'static str, BTreeMap<String, u64>>,
    histograms: BTreeMap<&'static str, BTreeMap<String, Histogram<u32>>>,
    gauges: BTreeMap<&'static str, BTreeMap<String, u64>>,
    /// Account whose numbers are shown.
    memory: Option<ByteBudget>,
}

impl Inner {
    fn update_memory(&mut self) {
        let Some(memory) = self.memory.clone() else { return };
        let used = ByteUse::ALL.map(|byte_use| (byte_use.name(), memory.used(byte_use)));
        let used = used.into_iter().chain([("waiting", memory.waiting())]);
        let held = used.map(|(name, bytes)| (format_labels(&[("use", name)]), bytes as u64));
        self.gauges.insert("held_bytes", held.collect());
        let limit = BTreeMap::from([(String::new(), memory.limit() as u64)]);
        self.gauges.insert("held_bytes_limit", limit);
        let ended = BTreeMap::from([(String::new(), memory.ended_receipts())]);
        self.counters.insert("bodies_ended_total", ended);
    }
}

impl ServingMetrics {
    /// Returns metrics without any series.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a finished request.
    pub fn request(&self, route: &str, outcome: &str) {
        self.count("requests_total", &[("route", route), ("outcome", outcome)], 1);
    }

    /// Records the time to the first byte of a response.
    pub fn first_event(&self, route: &str, took: Duration) {
        self.record_duration("first_event_seconds", route, took);
    }

    /// Records the time to the end of a response.
    pub fn request_duration(&self, route: &str, took: Duration) {
        self.record_duration("request_seconds", route, took);
    }

    /// Counts a send to a replica.
    pub fn send(&self, service: &str, outcome: &str) {
        self.count("sends_total", &[("service", service), ("outcome", outcome)], 1);
    }

    /// Counts an attempt that failed, after which the request may be sent to another replica.
    pub fn failover(&self, service: &str, cause: &str) {
        self.count("moves_total", &[("service", service), ("cause", cause)], 1);
    }

    /// Counts sends beyond the first of a request.
    pub fn retries(&self, service: &str, budget: &str, retries: u64) {
        self.count("retries_total", &[("service", service), ("budget", budget)], retries);
    }

    /// Counts a request that is not sent to another replica after a failed attempt.
    pub fn retry_withheld(&self, service: &str, reason: &str) {
        self.count("retries_withheld_total", &[("service", service), ("reason", reason)], 1);
    }

    /// Counts a silent replica that went on.
    pub fn replica_returned(&self) {
        self.count("replicas_returned_total", &[], 1);
    }

    /// Counts stream events that were forwarded to callers.
    pub fn stream_events(&self, service: &str, events: u64) {
        self.count("stream_events_total", &[("service", service)], events);
    }

    /// Counts a new connection to a replica.
    pub fn connection_opened(&self, service: &str) {
        self.count("connections_opened_total", &[("service", service)], 1);
    }

    /// Sets the number of open connections of a listener in a state.
    pub fn open_connections(&self, listener: &str, state: &str, connections: u64) {
        let labels = [("listener", listener), ("state", state)];
        self.set("open_connections", &labels, connections);
    }

    /// Counts a connection of a listener that the node closed.
    pub fn connection_closed(&self, listener: &str, reason: &str) {
        let labels = [("listener", listener), ("reason", reason)];
        self.count("connections_closed_total", &labels, 1);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, call: &str, kind: ObjectKind) {
        let kind = match kind {
            ObjectKind::Config => "config",
            ObjectKind::Instances => "instances",
            ObjectKind::Nodes => "nodes",
            ObjectKind::Leases => "leases",
            ObjectKind::FleetKey => "fleet_key",
            ObjectKind::CrashingRequests => "crashing_requests",
            ObjectKind::Evacuations => "evacuations",
        };
        self.count("store_calls_total", &[("call", call), ("kind", kind)], 1);
    }

    /// Counts a return of the store from an older copy.
    pub fn store_returned(&self) {
        self.count("store_returns_total", &[], 1);
    }

    /// Counts a watch of the instance list that counts as lost.
    pub fn list_watch_lost(&self) {
        self.count("list_watches_lost_total", &[], 1);
    }

    /// Counts a call to the store that failed.
    pub fn store_failure(&self, call: &str) {
        self.count("store_failures_total", &[("call", call)], 1);
    }

    /// Counts an order to an instance.
    pub fn order(&self, order: &str, outcome: &str) {
        self.count("orders_total", &[("order", order), ("outcome", outcome)], 1);
    }

    /// Counts a request to an instance for its report.
    pub fn report(&self, cause: &str) {
        self.count("reports_total", &[("cause", cause)], 1);
    }

    /// Counts a replica that was found to be down.
    pub fn replica_down(&self, source: &str) {
        self.count("replicas_down_total", &[("source", source)], 1);
    }

    /// Counts a limit on the rate of an instance that was named, changed or ended.
    pub fn rate_limit(&self, source: &str) {
        self.count("rate_limits_total", &[("source", source)], 1);
    }

    /// Counts a request that was passed on to another node, or received from one.
    pub fn relayed(&self, direction: &str) {
        self.count("requests_relayed_total", &[("direction", direction)], 1);
    }

    /// Counts a check whether this node reaches instances.
    pub fn link_check(&self, outcome: &str) {
        self.count("link_checks_total", &[("outcome", outcome)], 1);
    }

    /// Counts a crash that was recorded for a request or a part of its prompt (`kind`); `source` names who
    /// observed it.
    pub fn crash_mark(&self, source: &str, kind: &str) {
        self.count("crash_marks_total", &[("source", source), ("kind", kind)], 1);
    }

    /// Counts a data centre that was evacuated or taken back.
    pub fn evacuation(&self, data_centre: &str, change: &str) {
        self.count("evacuations_total", &[("data_centre", data_centre), ("change", change)], 1);
    }

    /// Sets the evacuated data centres, each with the Unix time at which this node learned of it and the number of
    /// its requests that still run there.
    pub fn evacuated<'a>(&self, data_centres: impl Iterator<Item = (&'a str, Duration, u64)>) {
        let (mut since, mut running) = (BTreeMap::new(), BTreeMap::new());
        for (data_centre, at, requests) in data_centres {
            let labels = format_labels(&[("data_centre", data_centre)]);
            let labels = bounded_labels(&since, labels);
            since.insert(labels.clone(), at.as_secs());
            running.insert(labels, requests);
        }
        let mut inner = self.lock();
        inner.gauges.insert("evacuated_since_seconds", since);
        inner.gauges.insert("evacuated_requests", running);
    }

    /// Shows the numbers of an account of bytes from now on.
    pub fn watch_memory(&self, memory: &ByteBudget) {
        self.lock().memory = Some(memory.clone());
    }

    /// Counts bytes for which there was no room.
    pub fn no_room(&self, byte_use: ByteUse, reason: NoRoom) {
        let labels = [("use", byte_use.name()), ("reason", reason.name())];
        self.count("no_room_total", &labels, 1);
    }

    /// Counts a request of a measured service that was refused.
    pub fn admission_refusal(&self, route: &str, reason: &str) {
        self.count("admission_refusals_total", &[("route", route), ("reason", reason)], 1);
    }

    /// Counts a report of what customers use.
    pub fn customer_use_report(&self, direction: &str) {
        self.count("customer_use_reports_total", &[("direction", direction)], 1);
    }

    /// Counts an instance that turned cold.
    pub fn cold_instance(&self, source: &str) {
        self.count("cold_instances_total", &[("source", source)], 1);
    }

    /// Counts a request to a replica that only elected nodes send to.
    pub fn cold_send(&self, service: &str, reason: &str) {
        self.count("cold_sends_total", &[("service", service), ("reason", reason)], 1);
    }

    /// Counts a load that a replica stated in a response.
    pub fn stated_load(&self, outcome: &str) {
        self.count("stated_loads_total", &[("outcome", outcome)], 1);
    }

    /// Sets the slots of a model that are needed, serving or planned.
    pub fn model_slots(&self, service: &str, model: &str, state: &str, slots: u64) {
        let labels = [("service", service), ("model", model), ("state", state)];
        self.set("model_slots", &labels, slots);
    }

    /// Sets the number of instances of a service with a use.
    pub fn instances_by_use(&self, service: &str, used_for: &str, instances: u64) {
        self.set("instances_by_use", &[("service", service), ("use", used_for)], instances);
    }

    /// Sets the total number of dropped log lines.
    pub fn log_lines_dropped(&self, lines: u64) {
        let mut inner = self.lock();
        inner.counters.entry("log_lines_dropped_total").or_default().insert(String::new(), lines);
    }

    /// Returns the sum of a counter over all its series.
    pub fn sum(&self, name: &str) -> u64 {
        self.lock().counters.get(name).map_or(0, |series| series.values().sum())
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut inner = self.lock();
        inner.update_memory();
        let mut text = String::new();
        for (name, help) in CATALOGUE {
            let _ = writeln!(text, "# HELP guavaladder_{name} {help}");
            if let Some(series) = inner.counters.get(name) {
                let _ = writeln!(text, "# TYPE guavaladder_{name} counter");
                for (labels, value) in series {
                    let _ = writeln!(text, "guavaladder_{name}{} {value}", braced(labels));
                }
            }
            if let Some(series) = inner.gauges.get(name) {
                let _ = writeln!(text, "# TYPE guavaladder_{name} gauge");
                for (labels, value) in series {
                    let _ = writeln!(text, "guavaladder_{name}{} {value}", braced(labels));
                }
            }
            if let Some(series) = inner.histograms.get(name) {
                let _ = writeln!(text, "# TYPE guavaladder_{name} summary");
                for (labels, histogram) in series {
                    render_summary(&mut text, name, labels, histogram);
                }
            }
        }
        text
    }

    fn count(&self, name: &'static str, labels: &[(&str, &str)], n: u64) {
        let mut inner = self.lock();
        let series = inner.counters.entry(name).or_default();
        let labels = bounded_labels(series, format_labels(labels));
        *series.entry(labels).or_default() += n;
    }

    fn set(&self, name: &'static str, labels: &[(&str, &str)], value: u64) {
        let mut inner = self.lock();
        let series = inner.gauges.entry(name).or_default();
        let labels = bounded_labels(series, format_labels(labels));
        series.insert(labels, value);
    }

    fn record_duration(&self, name: &'static str, route: &str, took: Duration) {
        let mut inner = self.lock();
        let series = inner.histograms.entry(name).or_default();
        let labels = bounded_labels(series, format_labels(&[("route", route)]));
        if !series.contains_key(&labels) {
            match Histogram::new_with_bounds(1, MAX_DURATION_US, 2) {
                Ok(histogram) => {
                    series.insert(labels.clone(), histogram);
                }
                Err(e) => {
                    log::debug!("failed to create a histogram for {name}: {e}");
                    return;
                }
            }
        }
        if let Some(histogram) = series.get_mut(&labels) {
            histogram.saturating_record((took.as_micros() as u64).clamp(1, MAX_DURATION_US));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns `labels`, or the labels of the series `other` if `labels` would exceed the maximum number.
fn bounded_labels<V>(series: &BTreeMap<String, V>, labels: String) -> String {
    match series.len() >= MAX_SERIES && !series.contains_key(&labels) {
        true => "series=\"other\"".to_string(),
        false => labels,
    }
}

fn format_labels(labels: &[(&str, &str)]) -> String {
    let format_label = |(name, value): &(&str, &str)| {
        let is_allowed = |c: &char| c.is_ascii_alphanumeric() || "-_.:/".contains(*c);
        let value: String = value.chars().filter(is_allowed).collect();
        format!("{name}=\"{value}\"")
    };
    labels.iter().map(format_label).collect::<Vec<_>>().join(",")
}

fn braced(labels: &str) -> String {
    if labels.is_empty() { String::new() } else { format!("{{{labels}}}") }
}

fn render_summary(text: &mut String, name: &str, labels: &str, histogram: &Histogram<u32>) {
    let seconds = |us: u64| us as f64 / 1e6;
    for quantile in QUANTILES {
        let value = seconds(histogram.value_at_quantile(quantile));
        let _ = writeln!(text, "guavaladder_{name}{{{labels},quantile=\"{quantile}\"}} {value}");
    }
    let sum = histogram.mean() * histogram.len() as f64 / 1e6;
    let _ = writeln!(text, "guavaladder_{name}_sum{{{labels}}} {sum}");
    let _ = writeln!(text, "guavaladder_{name}_count{{{labels}}} {}", histogram.len());
}
