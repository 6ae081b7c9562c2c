//! Generates the metric catalogue from the constants of the metric names.

use anyhow::Result;
use anyhow::ensure;
use std::fmt::Write;

/// Returns the Markdown catalogue; `source` is the Rust source of the metric names, whose doc
/// comments become the descriptions.
pub fn catalogue(source: &str) -> Result<String> {
    let mut out = String::from(
        "# Metrics\n\nThe daemon sends these metrics to statsd under the prefix `guavaladder.` where \
         the settings name a\nserver. This page is generated from `lib/src/metric_names.rs` by \
         `guavaladder-gen`.\n\n| name | meaning |\n| --- | --- |\n",
    );
    let mut description = String::new();
    let mut declaration = String::new();
    for line in source.lines() {
        if let Some(doc) = line.strip_prefix("/// ") {
            description = format!("{description} {doc}").trim().to_string();
            continue;
        }
        declaration.push_str(line);
        if !line.ends_with(';') && line.starts_with("pub const") {
            continue;
        }
        if let Some((_, value)) = declaration.split_once(": &str =") {
            let name = value.trim().trim_end_matches(';').trim_matches('"');
            ensure!(!description.is_empty(), "metric {name} has no description");
            writeln!(out, "| `{name}` | {description} |")?;
        }
        declaration.clear();
        description.clear();
    }
    Ok(out)
}
