//! Merges the log lines of several nodes into the timeline of a request.
//!
//! The timeline contains the lines that name the request, and those that name a replica or group to
//! which the request was sent, from shortly before its first line to shortly after its last.

use guavaladder_proc_macros::common_derives;
use serde_json::Value;
use std::collections::BTreeSet;
use std::str::CharIndices;

/// Time before and after a request within which lines about its replicas are included, in seconds.
const MARGIN_S: f64 = 4.0;
/// Event field that contains the id of a request.
const REQUEST_FIELD: &str = "request";
/// Event fields that contain the id of a replica or a group.
const REPLICA_FIELDS: [&str; 2] = ["replica", "group"];

/// A log line that records an event.
#[common_derives]
pub struct LogLine {
    /// Node or file that the line comes from.
    pub source: String,
    /// Time on the clock of that node, in seconds since the Unix epoch.
    pub unix_s: f64,
    /// Number of the event, for example `GL0523`.
    pub number: String,
    /// Name of the event.
    pub name: String,
    /// Names and values of the event's fields, in the order of the line.
    pub fields: Vec<(String, String)>,
}

/// Log lines that belong to a request.
#[common_derives]
pub struct RequestTimeline {
    /// Id of the request.
    pub request: String,
    /// Lines by time; since the clocks of nodes may differ, the order between nodes is approximate.
    pub lines: Vec<LogLine>,
    /// Nodes or files that the lines come from.
    pub sources: Vec<String>,
}

/// Returns the timeline of a request from the lines of several logs.
pub fn explain(request: &str, lines: &[LogLine]) -> RequestTimeline {
    let request_lines: Vec<&LogLine> =
        lines.iter().filter(|line| line.field(REQUEST_FIELD) == Some(request)).collect();
    let replicas: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| line.replicas())
        .filter(|name| !name.is_empty())
        .collect();
    let from = request_lines.iter().map(|line| line.unix_s).fold(f64::MAX, f64::min) - MARGIN_S;
    let to = request_lines.iter().map(|line| line.unix_s).fold(f64::MIN, f64::max) + MARGIN_S;
    let is_related = |line: &&LogLine| {
        let is_near = (from..=to).contains(&line.unix_s);
        let names_other = line.field(REQUEST_FIELD).is_some_and(|named| named != request);
        let names_replica = line.replicas().any(|name| replicas.contains(name));
        line.field(REQUEST_FIELD) == Some(request) || (is_near && !names_other && names_replica)
    };
    let mut selected: Vec<LogLine> = lines.iter().filter(is_related).cloned().collect();
    selected.sort_by(|a, b| a.unix_s.total_cmp(&b.unix_s));
    let sources: BTreeSet<String> = selected.iter().map(|line| line.source.clone()).collect();
    RequestTimeline {
        request: request.to_string(),
        lines: selected,
        sources: sources.into_iter().collect(),
    }
}

/// Parses one line; returns `None` for a line that records no event. `source` is used if the line does
/// not contain the name of a node before the time.
pub fn parse(line: &str, source: &str) -> Option<LogLine> {
    if let Some(start) = line.find('{')
        && let Ok(object) = serde_json::from_str::<Value>(&line[start..])
    {
        let source = line[..start].split_whitespace().next_back().unwrap_or(source);
        return parse_json(&object, source);
    }
    let start = line.find(" GL")? + 1;
    let mut parts = line[start..].splitn(3, ' ');
    let number = parts.next()?.to_string();
    let name = parts.next()?.to_string();
    let is_number = number.len() == 6 && number[2..].bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return None;
    }
    let mut preceding = line[..start].split_whitespace().rev();
    preceding.next()?;
    let unix_s = preceding.next()?.parse().ok()?;
    let source = preceding.next().unwrap_or(source).to_string();
    let fields = parse_fields(parts.next().unwrap_or_default());
    Some(LogLine { source, unix_s, number, name, fields })
}

/// Parses a line in the log's JSON format.
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

/// Parses fields in the form `key=value key="value with spaces"`.
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

/// Returns the unescaped value up to its closing quote, and the rest of the text.
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

/// Returns the character for the escape sequence after a backslash.
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
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the ids of the replicas and groups that the line names, without their epochs.
    fn replicas(&self) -> impl Iterator<Item = &str> {
        let named = REPLICA_FIELDS.iter().filter_map(|name| self.field(name));
        named.map(|name| name.split('#').next().unwrap_or(name))
    }

    /// Formats the line as text.
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
