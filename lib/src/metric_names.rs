//! Stable names of the metrics; `docs/metrics.md` lists them.

/// Every metric name with its meaning.
pub const ALL: &[(&str, &str)] = &[];
