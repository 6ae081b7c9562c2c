//! Joins the log lines of several nodes into one account of a request.
//!
//! The account holds the lines that name the request, and those that name a replica or group which
//! the request was sent to, from shortly before its first line to shortly after its last.

use guavaladder_proc_macros::common_derives;
use serde_json::Value;
use std::collections::BTreeSet;
use std::str::CharIndices;

/// Time around a request in which lines about its replicas belong to its account, in seconds.
const MARGIN_S: f64 = 4.0;
/// Fields whose values name a request, a replica or a group.
const REQUEST_FIELD: &str = "request";
const REPLICA_FIELDS: [&str; 2] = ["replica", "group"];

/// One line of a log.
#[common_derives]
pub struct LogLine {
    /// Node or file that it comes from.
    pub source: String,
    /// Time on that node's own clock, in seconds since the Unix epoch.
    pub unix_s: f64,
    /// Number of the event, as `GL0523`.
    pub number: String,
    /// Name of the event.
    pub name: String,
    /// Fields in order.
    pub fields: Vec<(String, String)>,
}

/// What the logs tell of a request.
#[common_derives]
pub struct Account {
    /// Request.
    pub request: String,
    /// Lines by time; nodes' clocks may differ.
    pub lines: Vec<LogLine>,
    /// Nodes whose lines the account holds.
    pub sources: Vec<String>,
}

/// Returns the account of a request from the lines of several logs.
pub fn explain(request: &str, lines: &[LogLine]) -> Account {
    let own: Vec<&LogLine> =
        lines.iter().filter(|line| line.field(REQUEST_FIELD) == Some(request)).collect();
    let replicas: BTreeSet<&str> =
        own.iter().flat_map(|line| line.replicas()).filter(|name| !name.is_empty()).collect();
    let from = own.iter().map(|line| line.unix_s).fold(f64::MAX, f64::min) - MARGIN_S;
    let to = own.iter().map(|line| line.unix_s).fold(f64::MIN, f64::max) + MARGIN_S;
    let is_related = |line: &&LogLine| {
        let is_near = (from..=to).contains(&line.unix_s);
        let names_other = line.field(REQUEST_FIELD).is_some_and(|named| named != request);
        let names_replica = line.replicas().any(|name| replicas.contains(name));
        line.field(REQUEST_FIELD) == Some(request) || (is_near && !names_other && names_replica)
    };
    let mut found: Vec<LogLine> = lines.iter().filter(is_related).cloned().collect();
    found.sort_by(|a, b| a.unix_s.total_cmp(&b.unix_s));
    let sources: BTreeSet<String> = found.iter().map(|line| line.source.clone()).collect();
    Account { request: request.to_string(), lines: found, sources: sources.into_iter().collect() }
}

/// Parses one line; `None` for a line that records no event. Where no node stands before the time,
/// `source` names where the line comes from.
pub fn parse(line: &str, source: &str) -> Option<LogLine> {
    if let Some(start) = line.find('{')
        && let Ok(object) = serde_json::from_str::<Value>(&line[start..])
    {
        let source = line[..start].split_whitespace().next_back().unwrap_or(source);
        return parse_json(&object, source);
    }
    let start = line.find(" GL")? + 1;
    let mut words = line[start..].splitn(3, ' ');
    let number = words.next()?.to_string();
    let name = words.next()?.to_string();
    let is_number = number.len() == 6 && number[2..].bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    let mut before = line[..start].split_whitespace().rev();
    before.next()?;
    let unix_s = before.next()?.parse().ok()?;
    let source = before.next().unwrap_or(source).to_string();
    let fields = parse_fields(words.next().unwrap_or_default());
    Some(LogLine { source, unix_s, number, name, fields })
}

/// Parses a line of the log's JSON form.
fn parse_json(object: &Value, source: &str) -> Option<LogLine> {
    let text = |value: &Value| value.as_str().map(str::to_string);
    let fields = object["fields"].as_object()?.iter();
    Some(LogLine {
        source: source.to_string(),
        unix_s: object["unix_s"].as_f64()?,
        number: text(&object["number"])?,
        name: text(&object["event"])?,
        fields: fields.filter_map(|(key, value)| Some((key.clone(), text(value)?))).collect(),
    })
}

/// Parses `key=value key="value with spaces"`.
fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = vec![];
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted),
            None => match after.split_once(' ') {
                Some((value, next)) => (value.to_string(), next),
                None => (after.to_string(), ""),
            },
        };
        fields.push((key.trim().to_string(), value));
        rest = next;
    }
    fields
}

/// Returns the value up to its closing quote, and what follows.
fn quoted_value(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, text[at + 1..].trim_start()),
            '\\' => value.extend(unescaped(&mut chars)),
            c => value.push(c),
        }
    }
    (value, "")
}

/// Returns the character that an escape stands for.
fn unescaped(chars: &mut CharIndices<'_>) -> Option<char> {
    match chars.next()?.1 {
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        '0' => Some('\0'),
        'u' => {
            let digits: String =
                chars.map(|(_, c)| c).skip(1).take_while(|digit| *digit != '}').collect();
            char::from_u32(u32::from_str_radix(&digits, 16).ok()?)
        }
        escaped => Some(escaped),
    }
}

impl LogLine {
    /// Returns a field's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the replicas and groups that the line names, without their epochs.
    fn replicas(&self) -> impl Iterator<Item = &str> {
        let named = REPLICA_FIELDS.iter().filter_map(|name| self.field(name));
        named.map(|name| name.split('#').next().unwrap_or(name))
    }

    /// Returns the line for a reader.
    pub fn text(&self) -> String {
        let field = |(key, value): &(String, String)| format!("{key}={value:?}");
        let fields: Vec<String> = self.fields.iter().map(field).collect();
        format!(
            "{:.3} {} {} {} {}",
            self.unix_s,
            self.source,
            self.number,
            self.name,
            fields.join(" ")
        )
    }
}
