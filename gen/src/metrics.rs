//! Generates the page of the metrics from the constants that name them.

use anyhow::Result;
use anyhow::ensure;
use std::fmt::Write;

/// Returns the Markdown page for the source text of the metric names.
pub fn page(source: &str) -> Result<String> {
    let mut out = String::from(
        "# Metrics\n\nThe daemon sends these metrics to statsd under the prefix `guavaladder.` where \
         the settings name a\nserver. This page is generated from `lib/src/metric_names.rs` by \
         `guavaladder-gen`.\n\n| name | meaning |\n| --- | --- |\n",
    );
    let mut meaning = String::new();
    let mut declaration = String::new();
    for line in source.lines() {
        if let Some(doc) = line.strip_prefix("/// ") {
            meaning = format!("{meaning} {doc}").trim().to_string();
            continue;
        }
        declaration.push_str(line);
        if !line.ends_with(';') && line.starts_with("pub const") {
            continue;
        }
        if let Some((_, value)) = declaration.split_once(": &str =") {
            let name = value.trim().trim_end_matches(';').trim_matches('"');
            ensure!(!meaning.is_empty(), "metric {name} has no description");
            writeln!(out, "| `{name}` | {meaning} |")?;
        }
        declaration.clear();
        meaning.clear();
    }
    Ok(out)
}
