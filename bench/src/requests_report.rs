//! Figures of the `requests` measurement.

use crate::call_record::Outcome;
use crate::requests::CUSTOMERS;
use crate::requests::LARGE;
use crate::requests::Sample;
use crate::requests::TOKENS;
use guavaladder_testutils::execution_oracle::Execution;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// Gap in a stream from which it counts as interrupted: several times the usual pause.
const INTERRUPTION: Duration = Duration::from_millis(100);

/// Percentiles of a set of durations, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Percentiles {
    /// Number of durations.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Greatest.
    pub max: f64,
}

/// Figures of one run.
pub struct Figures {
    /// Requests by how they ended, in the burst.
    pub outcomes: BTreeMap<String, usize>,
    /// Requests of the burst that ended wholly or with a truthful refusal, in percent.
    pub whole_or_refused: f64,
    /// Time to the first token by customer, in the burst.
    pub first_token: Vec<Percentiles>,
    /// Time to the first token of the small customers by themselves.
    pub first_token_alone: Vec<Percentiles>,
    /// Mean time between tokens of each whole answer of small customers.
    pub between_tokens: Percentiles,
    /// Longest gap of each interrupted stream.
    pub gaps: Percentiles,
    /// Worst small customer's p95 in the burst against its p95 alone.
    pub unfairness: f64,
    /// Executions beyond the first of each request, in percent of the requests that ran.
    pub retries: f64,
    /// Time of the calls with a key that were answered, in the burst.
    pub calls: Percentiles,
    /// Writes of ledger shards a second.
    pub ledger_writes: f64,
    /// Broken promises.
    pub violations: Vec<String>,
}

impl Figures {
    /// Works out the figures.
    pub fn new(
        alone: &[Sample],
        burst: &[Sample],
        executions: &[Execution],
        ledger_writes: f64,
        violations: Vec<String>,
    ) -> Self {
        let of = |samples: &[Sample], customer: usize| {
            let own = samples.iter().filter(|s| s.customer == customer && !s.is_call);
            percentiles(own.filter_map(|sample| sample.record.first_token).collect())
        };
        let first_token: Vec<_> = (0..CUSTOMERS).map(|customer| of(burst, customer)).collect();
        let first_token_alone: Vec<_> = (0..CUSTOMERS).map(|c| of(alone, c)).collect();
        let ratio = |customer: usize| first_token[customer].p95 / first_token_alone[customer].p95;
        let gaps = burst.iter().map(|sample| sample.record.longest_gap);
        let answered = burst.iter().filter(|s| s.is_call && is_whole(s));
        let small = burst.iter().filter(|s| s.customer >= LARGE && !s.is_call && is_whole(s));
        Self {
            whole_or_refused: whole_or_refused(burst),
            unfairness: (LARGE..CUSTOMERS).map(ratio).fold(0.0, f64::max),
            between_tokens: percentiles(small.filter_map(between_tokens).collect()),
            gaps: percentiles(gaps.filter(|gap| *gap >= INTERRUPTION).collect()),
            retries: retries(executions),
            calls: percentiles(answered.map(|s| s.record.ended - s.record.began).collect()),
            outcomes: outcomes(burst),
            first_token,
            first_token_alone,
            ledger_writes,
            violations,
        }
    }

    /// Returns the figures as one line of JSON.
    pub fn to_json(&self, seed: u64) -> Value {
        json!({
            "seed": seed,
            "outcomes": self.outcomes,
            "whole_or_refused_percent": self.whole_or_refused,
            "first_token_ms": self.first_token.iter().copied().map(Percentiles::to_json).collect::<Vec<_>>(),
            "first_token_alone_ms":
                self.first_token_alone.iter().copied().map(Percentiles::to_json).collect::<Vec<_>>(),
            "between_tokens_ms": self.between_tokens.to_json(),
            "gap_ms": self.gaps.to_json(),
            "small_p95_to_alone": self.unfairness,
            "retries_percent": self.retries,
            "keyed_call_ms": self.calls.to_json(),
            "ledger_writes_per_s": self.ledger_writes,
            "violations": self.violations,
        })
    }
}

impl Percentiles {
    fn to_json(self) -> Value {
        json!({
            "count": self.count, "p50": self.p50, "p95": self.p95, "p99": self.p99, "max": self.max,
        })
    }
}

/// Returns the figures as a table for people.
pub fn table(figures: &Figures) -> String {
    let mut out = String::new();
    let mut row = |name: &str, value: String| {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{name:<34} {value}");
    };
    for (outcome, count) in &figures.outcomes {
        row(&format!("burst: {outcome}"), count.to_string());
    }
    row("whole or truthfully refused", format!("{:.3} %", figures.whole_or_refused));
    for (customer, first) in figures.first_token.iter().enumerate() {
        let alone = figures.first_token_alone[customer].p95;
        let text = format!(
            "p50 {:.0} p95 {:.0} p99 {:.0} ms of {}; alone p95 {alone:.0} ms",
            first.p50, first.p95, first.p99, first.count
        );
        row(&format!("first token, customer {customer}"), text);
    }
    row("worst small p95 against alone", format!("{:.2}", figures.unfairness));
    row("between tokens p95, small", format!("{:.1} ms", figures.between_tokens.p95));
    let gaps = figures.gaps;
    let text =
        format!("p50 {:.0} p95 {:.0} max {:.0} ms of {}", gaps.p50, gaps.p95, gaps.max, gaps.count);
    row("gaps of interrupted streams", text);
    row("retries", format!("{:.2} %", figures.retries));
    let calls = figures.calls;
    let text = format!("p50 {:.0} p95 {:.0} ms of {}", calls.p50, calls.p95, calls.count);
    row("calls with a key", text);
    row("ledger writes", format!("{:.1}/s", figures.ledger_writes));
    row("violations", figures.violations.len().to_string());
    for violation in &figures.violations {
        row("violation", violation.clone());
    }
    out
}

/// Returns the percentiles of durations.
pub fn percentiles(mut durations: Vec<Duration>) -> Percentiles {
    durations.sort();
    let at = |part: f64| {
        let index = (durations.len() as f64 * part).ceil() as usize;
        let duration = durations.get(index.saturating_sub(1)).copied().unwrap_or_default();
        duration.as_secs_f64() * 1000.0
    };
    Percentiles { count: durations.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99), max: at(1.0) }
}

fn is_whole(sample: &Sample) -> bool {
    matches!(sample.record.outcome, Outcome::Complete(_))
}

fn between_tokens(sample: &Sample) -> Option<Duration> {
    let first_token = sample.record.first_token?;
    let whole = sample.record.ended - sample.record.began;
    Some(whole.saturating_sub(first_token) / (TOKENS - 1))
}

fn outcomes(samples: &[Sample]) -> BTreeMap<String, usize> {
    let mut outcomes = BTreeMap::new();
    for sample in samples {
        let name = match &sample.record.outcome {
            Outcome::Complete(_) => "whole".to_string(),
            Outcome::NotRun(code) => format!("not_run {code}"),
            Outcome::Unknown(code) => format!("unknown {code}"),
            Outcome::Interrupted(_) => "cut".to_string(),
            Outcome::Malformed(_) => "malformed".to_string(),
        };
        *outcomes.entry(name).or_default() += 1;
    }
    outcomes
}

fn whole_or_refused(samples: &[Sample]) -> f64 {
    let is_clear =
        |s: &&Sample| matches!(s.record.outcome, Outcome::Complete(_) | Outcome::NotRun(_));
    100.0 * samples.iter().filter(is_clear).count() as f64 / samples.len().max(1) as f64
}

fn retries(executions: &[Execution]) -> f64 {
    let mut by_request: HashMap<&str, usize> = HashMap::new();
    for execution in executions {
        *by_request.entry(&execution.request).or_default() += 1;
    }
    let extra: usize = by_request.values().map(|count| count - 1).sum();
    100.0 * extra as f64 / by_request.len().max(1) as f64
}
