//! Differences between two configurations, by JSON path.

use crate::generated::config::FleetConfig;
use crate::generated::operator::ConfigDifference;
use serde_json::Map;
use serde_json::Value;
use std::collections::BTreeSet;

/// Maximum number of differences that are returned.
const MAX_DIFFERENCES: usize = 200;

/// Returns the values in which two configurations differ, in path order.
pub fn diff(before: Option<&FleetConfig>, after: Option<&FleetConfig>) -> Vec<ConfigDifference> {
    let json = |config: Option<&FleetConfig>| {
        let value = config.and_then(|config| serde_json::to_value(config).ok());
        value.unwrap_or_else(|| Value::Object(Map::new()))
    };
    diff_json(&json(before), &json(after))
}

/// Returns the values in which two JSON documents differ, in path order.
pub fn diff_json(before: &Value, after: &Value) -> Vec<ConfigDifference> {
    let mut differences = vec![];
    compare("", before, after, &mut differences);
    differences.truncate(MAX_DIFFERENCES);
    differences
}

fn compare(path: &str, before: &Value, after: &Value, differences: &mut Vec<ConfigDifference>) {
    if before == after {
        return;
    }
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => {
            compare_objects(path, before, after, differences)
        }
        (Value::Array(before), Value::Array(after)) => {
            compare_arrays(path, before, after, differences)
        }
        _ => differences.push(ConfigDifference {
            path: path.to_string(),
            before: json_text(before),
            after: json_text(after),
        }),
    }
}

fn compare_objects(
    path: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    differences: &mut Vec<ConfigDifference>,
) {
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let (before, after) = (before.get(key), after.get(key));
        let path = format!("{path}/{}", escape(key));
        compare(&path, before.unwrap_or(&Value::Null), after.unwrap_or(&Value::Null), differences);
    }
}

/// Compares lists of objects with an `id` by that id, and other lists by position.
fn compare_arrays(
    path: &str,
    before: &[Value],
    after: &[Value],
    differences: &mut Vec<ConfigDifference>,
) {
    compare_objects(path, &index_by_id(before), &index_by_id(after), differences);
}

/// Escapes a key for use in a JSON pointer.
pub fn escape(key: &str) -> String {
    key.replace('~', "~0").replace('/', "~1")
}

/// Returns the items of a list by their `id`, or by their position if they have none.
fn index_by_id(items: &[Value]) -> Map<String, Value> {
    let key = |i: usize, item: &Value| match item["id"].as_str() {
        Some(id) => id.to_string(),
        None => i.to_string(),
    };
    items.iter().enumerate().map(|(i, item)| (key(i, item), item.clone())).collect()
}

fn json_text(value: &Value) -> Option<String> {
    if value.is_null() { None } else { Some(value.to_string()) }
}
