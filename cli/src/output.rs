//! Formats and prints tables, texts and JSON.

use crate::error::CliError;
use guavaladder_lib::schema_check::without_nulls;
use serde::Serialize;
use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Prints a text and a newline to standard output; a closed pipe is not an error.
pub fn print(text: &str) -> Result<(), CliError> {
    match writeln!(io::stdout(), "{text}") {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(CliError::Output(e)),
        _ => Ok(()),
    }
}

/// Prints a value as indented JSON, without the keys whose value is null.
pub fn print_json(value: &impl Serialize) -> Result<(), CliError> {
    let value = serde_json::to_value(value).map_err(|e| CliError::Output(e.into()))?;
    let value = without_nulls(value);
    let text = serde_json::to_string_pretty(&value).map_err(|e| CliError::Output(e.into()))?;
    print(&text)
}

/// Returns a table with aligned columns.
pub fn table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = headers.iter().map(|header| header.to_string()).collect();
    let width = |column: usize| {
        let cells = std::iter::once(&header).chain(rows).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headers.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    std::iter::once(&header).chain(rows).map(line).collect::<Vec<_>>().join("\n")
}

/// Returns the age of a Unix time as text; the unit grows with the age.
pub fn age(unix: Duration) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = now.saturating_sub(unix).as_secs();
    match seconds {
        0..120 => format!("{seconds} s"),
        120..7200 => format!("{} min", seconds / 60),
        7200..172_800 => format!("{} h", seconds / 3600),
        _ => format!("{} d", seconds / 86_400),
    }
}

/// Returns the time of day of a Unix time, in UTC with milliseconds.
pub fn time_of_day(unix: Duration) -> String {
    let ms = unix.as_millis() % 86_400_000;
    let (hours, minutes, seconds) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1000 % 60);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{:03}", ms % 1000)
}

/// Returns the value as text, or a dash if there is none.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}
