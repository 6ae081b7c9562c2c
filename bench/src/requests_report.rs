//! Figures of the `requests` measurement.

use crate::call_record::Outcome;
use crate::requests::CUSTOMERS;
use crate::requests::LARGE_CUSTOMERS;
use crate::requests::Sample;
use crate::requests::TOKENS;
use guavaladder_testutils::execution_oracle::Execution;
use serde_json::Value;
use serde_json::json;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// Shortest gap at which a stream counts as interrupted; several times the usual event interval.
const MIN_INTERRUPTION: Duration = Duration::from_millis(100);

/// Percentiles of a set of durations in milliseconds.
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
    /// Maximum.
    pub max: f64,
}

/// Figures of one run.
pub struct Figures {
    /// Number of requests in the burst phase, by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Percentage of the requests in the burst phase with a complete response or a refusal as not
    /// run.
    pub complete_or_refused: f64,
    /// Time to the first token by customer in the burst phase.
    pub first_token: Vec<Percentiles>,
    /// Time to the first token by customer in the baseline phase, in which only small customers
    /// send.
    pub first_token_baseline: Vec<Percentiles>,
    /// Mean time between tokens of each complete response to a small customer in the burst phase.
    pub between_tokens: Percentiles,
    /// Longest gap of each interrupted stream in the burst phase.
    pub gaps: Percentiles,
    /// Largest ratio of a small customer's p95 to the first token in the burst phase to that in the
    /// baseline phase.
    pub unfairness: f64,
    /// Executions beyond the first of each request, as a percentage of the requests that ran.
    pub retries: f64,
    /// Duration of the calls with an idempotency key that completed in the burst phase.
    pub calls: Percentiles,
    /// Writes of ledger shards per second in the burst phase.
    pub ledger_writes: f64,
    /// Descriptions of the violations of guarantees.
    pub violations: Vec<String>,
}

impl Figures {
    /// Computes the figures from the samples of both phases and the executions of the fakes.
    pub fn new(
        baseline: &[Sample],
        burst: &[Sample],
        executions: &[Execution],
        ledger_writes: f64,
        violations: Vec<String>,
    ) -> Self {
        let percentiles_of = |samples: &[Sample], customer: usize| {
            let own = samples.iter().filter(|s| s.customer == customer && !s.is_call);
            percentiles(own.filter_map(|sample| sample.record.first_token).collect())
        };
        let first_token: Vec<_> =
            (0..CUSTOMERS).map(|customer| percentiles_of(burst, customer)).collect();
        let first_token_baseline: Vec<_> =
            (0..CUSTOMERS).map(|c| percentiles_of(baseline, c)).collect();
        let ratio =
            |customer: usize| first_token[customer].p95 / first_token_baseline[customer].p95;
        let gaps = burst.iter().map(|sample| sample.record.longest_gap);
        let completed_calls = burst.iter().filter(|s| s.is_call && is_complete(s));
        let small =
            burst.iter().filter(|s| s.customer >= LARGE_CUSTOMERS && !s.is_call && is_complete(s));
        Self {
            complete_or_refused: complete_or_refused(burst),
            unfairness: (LARGE_CUSTOMERS..CUSTOMERS).map(ratio).fold(0.0, f64::max),
            between_tokens: percentiles(small.filter_map(between_tokens).collect()),
            gaps: percentiles(gaps.filter(|gap| *gap >= MIN_INTERRUPTION).collect()),
            retries: retries(executions),
            calls: percentiles(completed_calls.map(|s| s.record.ended - s.record.began).collect()),
            outcomes: outcomes(burst),
            first_token,
            first_token_baseline,
            ledger_writes,
            violations,
        }
    }

    /// Returns the figures as a JSON object.
    pub fn to_json(&self, seed: u64) -> Value {
        json!({
            "seed": seed,
            "outcomes": self.outcomes,
            "whole_or_refused_percent": self.complete_or_refused,
            "first_token_ms": self.first_token.iter().copied().map(Percentiles::to_json).collect::<Vec<_>>(),
            "first_token_alone_ms":
                self.first_token_baseline.iter().copied().map(Percentiles::to_json).collect::<Vec<_>>(),
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

/// Formats the figures as a table.
pub fn table(figures: &Figures) -> String {
    let mut out = String::new();
    let mut row = |name: &str, value: String| {
        // Writing to a string does not fail.
        let _ = writeln!(out, "{name:<34} {value}");
    };
    for (outcome, count) in &figures.outcomes {
        row(&format!("burst: {outcome}"), count.to_string());
    }
    row("complete or refused as not run", format!("{:.3} %", figures.complete_or_refused));
    for (customer, first) in figures.first_token.iter().enumerate() {
        let baseline = figures.first_token_baseline[customer].p95;
        let text = format!(
            "p50 {:.0} p95 {:.0} p99 {:.0} ms of {}; baseline p95 {baseline:.0} ms",
            first.p50, first.p95, first.p99, first.count
        );
        row(&format!("first token, customer {customer}"), text);
    }
    row("worst small p95 / baseline p95", format!("{:.2}", figures.unfairness));
    row("between tokens p95, small", format!("{:.1} ms", figures.between_tokens.p95));
    let gaps = figures.gaps;
    let text =
        format!("p50 {:.0} p95 {:.0} max {:.0} ms of {}", gaps.p50, gaps.p95, gaps.max, gaps.count);
    row("gaps of interrupted streams", text);
    row("retries", format!("{:.2} %", figures.retries));
    let calls = figures.calls;
    let text = format!("p50 {:.0} p95 {:.0} ms of {}", calls.p50, calls.p95, calls.count);
    row("calls with idempotency key", text);
    row("ledger writes", format!("{:.1}/s", figures.ledger_writes));
    row("violations", figures.violations.len().to_string());
    for violation in &figures.violations {
        row("violation", violation.clone());
    }
    out
}

/// Computes the percentiles of durations.
pub fn percentiles(mut durations: Vec<Duration>) -> Percentiles {
    durations.sort();
    let percentile = |fraction: f64| {
        let index = (durations.len() as f64 * fraction).ceil() as usize;
        let duration = durations.get(index.saturating_sub(1)).copied().unwrap_or_default();
        duration.as_secs_f64() * 1000.0
    };
    Percentiles {
        count: durations.len(),
        p50: percentile(0.5),
        p95: percentile(0.95),
        p99: percentile(0.99),
        max: percentile(1.0),
    }
}

fn is_complete(sample: &Sample) -> bool {
    matches!(sample.record.outcome, Outcome::Complete(_))
}

fn between_tokens(sample: &Sample) -> Option<Duration> {
    let first_token = sample.record.first_token?;
    let total = sample.record.ended - sample.record.began;
    Some(total.saturating_sub(first_token) / (TOKENS - 1))
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

fn complete_or_refused(samples: &[Sample]) -> f64 {
    let is_conclusive =
        |s: &&Sample| matches!(s.record.outcome, Outcome::Complete(_) | Outcome::NotRun(_));
    100.0 * samples.iter().filter(is_conclusive).count() as f64 / samples.len().max(1) as f64
}

fn retries(executions: &[Execution]) -> f64 {
    let mut by_request: HashMap<&str, usize> = HashMap::new();
    for execution in executions {
        *by_request.entry(&execution.request).or_default() += 1;
    }
    let extra: usize = by_request.values().map(|count| count - 1).sum();
    100.0 * extra as f64 / by_request.len().max(1) as f64
}
