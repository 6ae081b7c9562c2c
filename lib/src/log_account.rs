//! Account of how requests ended, from the log lines of several nodes: by route and second, with the reasons of
//! those that were not served in time.
//!
//! Lines of successful requests are sampled and frequent lines are limited, so the counts are lower bounds. The
//! account states how many lines were left out.

use crate::log_explain::LogLine;
use guavaladder_proc_macros::common_derives;
use std::collections::BTreeMap;
use std::time::Duration;

/// How a request ended.
#[common_derives(Copy, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// It got its complete response.
    Answered,
    /// It got its complete response, but the first part of it arrived after the limit of its route.
    AnsweredLate,
    /// It was refused although its replicas had free slots.
    RefusedWithFreeSlots,
    /// It was refused since all slots of its replicas were taken.
    RefusedWithoutSlots,
    /// It was refused since it had no replica.
    RefusedWithoutReplica,
    /// It was refused for another reason, or rejected by the configuration in force.
    RefusedOtherwise,
    /// It was sent to a replica and got no complete response.
    Lost,
    /// Its caller disconnected first.
    Abandoned,
}

impl Outcome {
    /// Returns the name of the outcome as it is printed.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::AnsweredLate => "answered late",
            Self::RefusedWithFreeSlots => "refused, slots free",
            Self::RefusedWithoutSlots => "refused, no slot free",
            Self::RefusedWithoutReplica => "refused, no replica",
            Self::RefusedOtherwise => "refused otherwise",
            Self::Lost => "lost",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Requests of a route with the same outcome.
#[common_derives]
pub struct AccountRow {
    /// Name of the route; empty where the lines do not name it.
    pub route: String,
    /// How the requests ended.
    pub outcome: Outcome,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests by the reason that the lines state.
    pub reasons: BTreeMap<String, u64>,
    /// Seconds since the first line in which the most of them ended, with their number, most first.
    pub worst_seconds: Vec<(u64, u64)>,
}

/// How the requests in the logs of several nodes ended.
#[common_derives]
pub struct Account {
    /// Number of nodes whose lines were read.
    pub nodes: usize,
    /// Time of the first line, in seconds since the Unix epoch.
    pub first_unix_s: f64,
    /// Requests by route and outcome.
    pub rows: Vec<AccountRow>,
    /// Number of failed attempts by cause. Their requests went on.
    pub moves: BTreeMap<String, u64>,
    /// Number of lines that the nodes left out of their logs, by kind.
    pub left_out: BTreeMap<String, u64>,
}

/// Number of worst seconds that a row names.
const WORST_SECONDS: usize = 3;

/// Requests of a route with the same outcome, while lines are read.
#[derive(Debug, Default)]
struct Tally {
    requests: u64,
    reasons: BTreeMap<String, u64>,
    seconds: BTreeMap<u64, u64>,
}

/// Returns the account of several nodes' lines. `first_limits` holds for each route how long the first part of
/// a response may take; responses of other routes do not count as late.
pub fn account(lines: &[LogLine], first_limits: &BTreeMap<String, Duration>) -> Account {
    let first_unix_s = lines.iter().map(|line| line.unix_s).fold(f64::INFINITY, f64::min);
    let mut tallies: BTreeMap<(String, Outcome), Tally> = BTreeMap::new();
    let (mut moves, mut left_out) = (BTreeMap::new(), BTreeMap::new());
    for line in lines {
        let field = |name: &str| line.field(name).unwrap_or_default().to_string();
        match line.name.as_str() {
            "request_moved" => *moves.entry(field("cause")).or_default() += 1,
            "log_lines_left_out" => {
                *left_out.entry(field("kind")).or_default() += number(line, "lines");
            }
            _ => {}
        }
        let Some(outcome) = outcome(line, first_limits) else { continue };
        let tally = tallies.entry((field("route"), outcome)).or_default();
        tally.requests += 1;
        if let Some(reason) = line.field("reason").or(line.field("cause")) {
            *tally.reasons.entry(reason.to_string()).or_default() += 1;
        }
        *tally.seconds.entry((line.unix_s - first_unix_s) as u64).or_default() += 1;
    }
    let rows = tallies.into_iter().map(|((route, outcome), tally)| {
        let mut worst_seconds: Vec<(u64, u64)> = tally.seconds.into_iter().collect();
        worst_seconds.sort_by_key(|(second, requests)| (u64::MAX - requests, *second));
        worst_seconds.truncate(WORST_SECONDS);
        let (requests, reasons) = (tally.requests, tally.reasons);
        AccountRow { route, outcome, requests, reasons, worst_seconds }
    });
    let mut nodes: Vec<&str> = lines.iter().map(|line| line.source.as_str()).collect();
    nodes.sort_unstable();
    nodes.dedup();
    Account { nodes: nodes.len(), first_unix_s, rows: rows.collect(), moves, left_out }
}

/// Returns how a request ended that a line is about; `None` for a line about something else.
fn outcome(line: &LogLine, first_limits: &BTreeMap<String, Duration>) -> Option<Outcome> {
    Some(match line.name.as_str() {
        "request_answered" => {
            let limit = line.field("route").and_then(|route| first_limits.get(route));
            match (limit, millis(line, "first")) {
                (Some(limit), Some(first)) if first > *limit => Outcome::AnsweredLate,
                _ => Outcome::Answered,
            }
        }
        "request_turned_away" => {
            let slots = number(line, "places");
            match line.field("reason") {
                Some("no_replica") => Outcome::RefusedWithoutReplica,
                Some("all_busy") if number(line, "running") < slots => {
                    Outcome::RefusedWithFreeSlots
                }
                Some("all_busy") => Outcome::RefusedWithoutSlots,
                _ => Outcome::RefusedOtherwise,
            }
        }
        "request_rejected" | "crashing_request_refused" => Outcome::RefusedOtherwise,
        "request_lost" => Outcome::Lost,
        "request_abandoned" => Outcome::Abandoned,
        _ => return None,
    })
}

fn number(line: &LogLine, field: &str) -> u64 {
    line.field(field).and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn millis(line: &LogLine, field: &str) -> Option<Duration> {
    let millis = line.field(field)?.strip_suffix("ms")?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
