//! Validates JSON documents against the schemas and formats each problem as one line.

use jsonschema::ValidationError;
use jsonschema::error::TypeKind;
use jsonschema::error::ValidationErrorKind;
use serde_json::Value;
use std::fmt;

/// Maximum length of an invalid value in a message, in characters.
const MAX_VALUE_CHARS: usize = 60;

/// A problem in a document, which is displayed as one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// JSON pointer to the invalid value; `/` is the document itself.
    pub path: String,
    /// Value or error that was found.
    pub found: String,
    /// Values that are allowed.
    pub allowed: String,
    /// How to correct the document.
    pub hint: String,
}

impl Problem {
    /// Returns a problem; an empty path is replaced by `/`.
    pub fn new(path: &str, found: &str, allowed: &str, hint: &str) -> Self {
        let path = if path.is_empty() { "/" } else { path };
        Self {
            path: path.to_string(),
            found: found.to_string(),
            allowed: allowed.to_string(),
            hint: hint.to_string(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}; allowed: {}; hint: {}",
            self.path, self.found, self.allowed, self.hint
        )
    }
}

/// Parses `text` as JSON and validates it against `schema`, the text of a JSON schema.
///
/// A key with the value null counts as absent, since records write absent optional values as null.
///
/// Returns the parsed document, or all problems in path order.
pub fn check(schema: &str, text: &str) -> Result<Value, Vec<Problem>> {
    let document = serde_json::from_str(text).map_err(|e| vec![syntax_problem(&e)])?;
    let document = without_nulls(document);
    let schema: Value = serde_json::from_str(schema).map_err(|e| vec![schema_problem(&e)])?;
    let validator = jsonschema::validator_for(&schema).map_err(|e| vec![schema_problem(&e)])?;
    let mut problems: Vec<Problem> = vec![];
    for e in validator.iter_errors(&document) {
        problems.extend(to_problems(&schema, &e));
    }
    problems.sort_by(|a, b| a.path.cmp(&b.path));
    if problems.is_empty() { Ok(document) } else { Err(problems) }
}

/// Removes all object keys whose value is null, at every depth.
pub fn without_nulls(value: Value) -> Value {
    match value {
        Value::Object(object) => {
            let kept = object.into_iter().filter(|(_, value)| !value.is_null());
            Value::Object(kept.map(|(key, value)| (key, without_nulls(value))).collect())
        }
        Value::Array(items) => Value::Array(items.into_iter().map(without_nulls).collect()),
        other => other,
    }
}

/// Formats a value as JSON, shortened to fit on the line of a message.
pub fn display_value(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}...")
}

fn syntax_problem(e: &serde_json::Error) -> Problem {
    let found = format!("a syntax error at line {} column {} ({e})", e.line(), e.column());
    Problem::new(
        "/",
        &found,
        "one JSON object",
        "look for a missing comma, quote or bracket at this position",
    )
}

fn schema_problem(e: &dyn fmt::Display) -> Problem {
    let found = format!("an unusable schema in this build ({e})");
    Problem::new("/", &found, "a valid schema", "report this as a bug")
}

/// Converts an error of the validator; an error with several unknown keys becomes several problems.
fn to_problems(schema: &Value, e: &ValidationError<'_>) -> Vec<Problem> {
    let path = e.instance_path().as_str();
    let found = display_value(e.instance());
    let problem = |allowed: &str, hint: &str| vec![Problem::new(path, &found, allowed, hint)];
    match e.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let known = known_keys(schema, e.instance());
            unexpected.iter().map(|key| unknown_key(path, key, &known)).collect()
        }
        ValidationErrorKind::Required { property } => {
            let key = property.as_str().unwrap_or_default();
            let path = format!("{path}/{key}");
            let hint = format!("add the key {key:?}");
            vec![Problem::new(&path, "nothing", "a value; the key is required", &hint)]
        }
        ValidationErrorKind::Type { kind } => {
            let allowed = format!("a value of type {}", type_names(kind));
            problem(&allowed, "change the type of the value")
        }
        ValidationErrorKind::Minimum { limit } => {
            problem(&format!("{limit} or more"), "raise the value")
        }
        ValidationErrorKind::Maximum { limit } => {
            problem(&format!("{limit} or less"), "lower the value")
        }
        ValidationErrorKind::MinLength { limit } => {
            problem(&format!("{limit} or more characters"), "write a longer text")
        }
        ValidationErrorKind::MaxLength { limit } => {
            problem(&format!("at most {limit} characters"), "write a shorter text")
        }
        ValidationErrorKind::MaxItems { limit } => {
            problem(&format!("at most {limit} items"), "remove items")
        }
        ValidationErrorKind::Pattern { pattern } => {
            problem(&format!("a text that matches {pattern}"), "correct the text")
        }
        ValidationErrorKind::Enum { options } => {
            problem(&format!("one of {options}"), "use one of these values")
        }
        _ => problem(&e.to_string(), "see the JSON schemas in schema/"),
    }
}

fn type_names(kind: &TypeKind) -> String {
    match kind {
        TypeKind::Single(name) => name.to_string(),
        TypeKind::Multiple(names) => {
            names.iter().map(|name| name.to_string()).collect::<Vec<_>>().join(" or ")
        }
    }
}

fn unknown_key(path: &str, key: &str, known: &[String]) -> Problem {
    let path = format!("{path}/{key}");
    let hint = match known.iter().find(|name| is_similar(name, key)) {
        Some(name) => format!("did you mean {name:?}?"),
        None => "remove the key".to_string(),
    };
    let allowed = match known.is_empty() {
        true => "no such key".to_string(),
        false => format!("the keys {}", known.join(", ")),
    };
    Problem::new(&path, "an unknown key", &allowed, &hint)
}

/// Returns the keys of the schema definition that shares the most keys with an object.
fn known_keys(schema: &Value, object: &Value) -> Vec<String> {
    let Some(object) = object.as_object() else { return vec![] };
    let Some(defs) = schema["$defs"].as_object() else { return vec![] };
    let shared = |def: &Value| {
        let properties = def["properties"].as_object();
        properties.map_or(0, |known| object.keys().filter(|key| known.contains_key(*key)).count())
    };
    let best = defs.values().max_by_key(|def| shared(def));
    let properties = best.and_then(|def| def["properties"].as_object());
    properties.map(|known| known.keys().cloned().collect()).unwrap_or_default()
}

/// Returns whether the edit distance (Levenshtein) of two keys is at most two.
pub fn is_similar(a: &str, b: &str) -> bool {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()] <= 2
}
