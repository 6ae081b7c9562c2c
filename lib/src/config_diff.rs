//! Differences between two configurations, place by place.

use crate::generated::config::FleetConfig;
use crate::generated::operator::ConfigDifference;
use serde_json::Map;
use serde_json::Value;
use std::collections::BTreeSet;

/// Most differences that are told.
const MAX_DIFFERENCES: usize = 200;

/// Returns the places in which two configurations differ, in path order.
pub fn diff(before: Option<&FleetConfig>, after: Option<&FleetConfig>) -> Vec<ConfigDifference> {
    let json = |config: Option<&FleetConfig>| {
        let value = config.and_then(|config| serde_json::to_value(config).ok());
        value.unwrap_or_else(|| Value::Object(Map::new()))
    };
    diff_json(&json(before), &json(after))
}

/// Returns the places in which two JSON documents differ, in path order.
pub fn diff_json(before: &Value, after: &Value) -> Vec<ConfigDifference> {
    let mut differences = vec![];
    walk("", before, after, &mut differences);
    differences.truncate(MAX_DIFFERENCES);
    differences
}

fn walk(path: &str, before: &Value, after: &Value, out: &mut Vec<ConfigDifference>) {
    if before == after {
        return;
    }
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => walk_objects(path, before, after, out),
        (Value::Array(before), Value::Array(after)) => walk_arrays(path, before, after, out),
        _ => out.push(ConfigDifference {
            path: path.to_string(),
            before: text(before),
            after: text(after),
        }),
    }
}

fn walk_objects(
    path: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    out: &mut Vec<ConfigDifference>,
) {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let (before, after) = (before.get(key), after.get(key));
        let path = format!("{path}/{}", escape(key));
        walk(&path, before.unwrap_or(&Value::Null), after.unwrap_or(&Value::Null), out);
    }
}

/// Compares lists of objects with an `id` by that id, and other lists by position.
fn walk_arrays(path: &str, before: &[Value], after: &[Value], out: &mut Vec<ConfigDifference>) {
    walk_objects(path, &keyed(before), &keyed(after), out);
}

/// Escapes a key for a JSON pointer.
pub fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

fn keyed(items: &[Value]) -> Map<String, Value> {
    let key = |i: usize, item: &Value| match item["id"].as_str() {
        Some(id) => id.to_string(),
        None => i.to_string(),
    };
    items.iter().enumerate().map(|(i, item)| (key(i, item), item.clone())).collect()
}

fn text(value: &Value) -> Option<String> {
    if value.is_null() { None } else { Some(value.to_string()) }
}
