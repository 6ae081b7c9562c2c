//! Reads and validates the daemon's settings file.

use crate::generated::settings::DaemonSettings;
use crate::schema_check;
use crate::schema_check::Problem;
use serde_json::Value;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// JSON schema of the settings file.
pub const SETTINGS_SCHEMA: &str = include_str!("../../schema/settings.json");

/// Keys whose value is an address.
const ADDRESS_KEYS: [&str; 6] =
    ["platform", "caller_listen", "caller_address", "operator_listen", "peer_listen", "statsd"];

/// Keys whose value is the path of a file.
const FILE_KEYS: [&str; 2] = ["fleet_key_file", "log_config"];

/// Errors of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error(
        "{file}: found an unreadable file ({source}); allowed: a readable JSON file; hint: check the path and its permissions"
    )]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is invalid; the message has one line for each problem.
    #[error("{}", problem_lines(file, problems))]
    Problems {
        /// Path of the file.
        file: String,
        /// Every problem found.
        problems: Vec<Problem>,
    },
}

/// Reads a settings file and runs all checks that need no network access.
pub fn read(path: &Path) -> Result<DaemonSettings, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { file: file.clone(), source })?;
    parse(&text).map_err(|problems| SettingsError::Problems { file, problems })
}

/// Parses and validates the text of a settings file; also checks that the files it names can be opened.
pub fn parse(text: &str) -> Result<DaemonSettings, Vec<Problem>> {
    let document = schema_check::check(SETTINGS_SCHEMA, text)?;
    let mut problems = check_addresses(&document);
    problems.extend(check_files(&document));
    if !problems.is_empty() {
        return Err(problems);
    }
    serde_json::from_value(document).map_err(|e| {
        vec![Problem::new(
            "/",
            &e.to_string(),
            "settings that match the schema",
            "correct the file",
        )]
    })
}

fn check_addresses(document: &Value) -> Vec<Problem> {
    let mut problems = vec![];
    for key in ADDRESS_KEYS {
        problems.extend(check_address(&format!("/{key}"), &document[key]));
    }
    for (i, peer) in document["peers"].as_array().into_iter().flatten().enumerate() {
        problems.extend(check_address(&format!("/peers/{i}"), peer));
    }
    problems
}

fn check_address(path: &str, value: &Value) -> Option<Problem> {
    let text = value.as_str()?;
    if text.parse::<SocketAddr>().is_ok() {
        return None;
    }
    let hint = "use an IP address and a port; host names are not resolved";
    Some(Problem::new(
        path,
        &schema_check::display_value(value),
        "`ip:port`, for example 127.0.0.1:7000",
        hint,
    ))
}

fn check_files(document: &Value) -> Vec<Problem> {
    FILE_KEYS.into_iter().filter_map(|key| check_file(&format!("/{key}"), &document[key])).collect()
}

fn check_file(path: &str, value: &Value) -> Option<Problem> {
    let e = fs::File::open(value.as_str()?).err()?;
    let found = format!("{} ({e})", schema_check::display_value(value));
    let hint = "check the path and its permissions";
    Some(Problem::new(path, &found, "the path of a readable file", hint))
}

fn problem_lines(file: &str, problems: &[Problem]) -> String {
    problems.iter().map(|p| format!("{file}: {p}")).collect::<Vec<_>>().join("\n")
}
