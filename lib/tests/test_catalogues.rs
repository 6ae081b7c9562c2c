//! Tests that the generated pages of events and metrics agree with the schema and the code.

use guavaladder_lib::metric_names;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Events that are declared in the schema but not yet recorded by any code.
const NOT_YET_RECORDED: [&str; 3] = ["member_state", "data_centre_silent", "data_centre_heard"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Returns the name of every declared event, and the start of its table row on the events page.
fn declared_events() -> Vec<(String, String)> {
    let mut events = vec![];
    for entry in fs::read_dir(root().join("schema/events")).unwrap() {
        let text = fs::read_to_string(entry.unwrap().path()).unwrap();
        let area: serde_json::Value = serde_json::from_str(&text).unwrap();
        for event in area["events"].as_array().unwrap() {
            let name = event["name"].as_str().unwrap();
            let number = event["number"].as_u64().unwrap();
            let level = event["level"].as_str().unwrap();
            events.push((name.to_string(), format!("| GL{number:04} | `{name}` | {level} |")));
        }
    }
    events
}

fn camel_case(name: &str) -> String {
    let capitalize = |word: &str| word[..1].to_uppercase() + &word[1..];
    name.split('_').map(capitalize).collect()
}

/// Returns the text of all source files of the library, the daemon and the serving crate, without
/// generated code.
fn sources() -> String {
    let mut text = String::new();
    for directory in ["lib/src", "daemon/src", "serving/src"] {
        for entry in fs::read_dir(root().join(directory)).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "rs") {
                text.push_str(&fs::read_to_string(path).unwrap());
            }
        }
    }
    text
}

#[test]
fn events_page_has_every_event() {
    let page = read("docs/events.md");
    let rows: BTreeSet<&str> = page.lines().filter(|line| line.starts_with("| GL")).collect();
    let events = declared_events();
    assert_eq!(rows.len(), events.len());
    for (_, start) in events {
        assert!(rows.iter().any(|row| row.starts_with(&start)), "no row {start}");
    }
}

#[test]
fn events_are_all_recorded() {
    let sources = sources();
    let is_recorded = |name: &str| sources.contains(&format!("Event::{} {{", camel_case(name)));
    let names = declared_events().into_iter().map(|(name, _)| name);
    let unused: Vec<String> = names.filter(|name| !is_recorded(name)).collect();
    let unexpected: Vec<&String> =
        unused.iter().filter(|name| !NOT_YET_RECORDED.contains(&name.as_str())).collect();
    assert_eq!(unexpected, Vec::<&String>::new(), "declared events that no code records");
}

#[test]
fn metrics_page_has_every_metric() {
    let page = read("docs/metrics.md");
    let rows: BTreeSet<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let row = |(name, meaning): &(&str, &str)| format!("| `{name}` | {meaning} |");
    let expected: Vec<String> = metric_names::ALL.iter().map(row).collect();
    assert_eq!(rows, expected.iter().map(String::as_str).collect());
}
