//! Tests of a running daemon: stop signals, logging, and a platform that does not respond.

use crate::process::Daemon;
use crate::process::TestDir;
use crate::process::run;
use serde_json::Value;
use serde_json::json;

#[test]
fn sigterm_shuts_down_gracefully() {
    let dir = TestDir::new("terminate");
    let file = dir.write("settings.json", &dir.settings().to_string());
    let mut daemon = Daemon::start(&file);
    daemon.terminate();
    daemon.wait_for("GL0002 shutdown_started node=entry-1 bound=2000ms");
    daemon.wait_for("GL0003 shutdown_finished node=entry-1 moved=0");
    assert_eq!(daemon.wait(), 0);
}

#[test]
fn second_sigterm_aborts_graceful_shutdown() {
    let dir = TestDir::new("twice");
    let mut settings = dir.settings();
    settings["shutdown_ms"] = 3_600_000.into();
    let file = dir.write("settings.json", &settings.to_string());
    let mut daemon = Daemon::start(&file);
    daemon.terminate();
    daemon.wait_for("GL0002");
    daemon.terminate();
    daemon.wait_for("received a second signal; aborting the graceful shutdown");
    assert_eq!(daemon.wait(), 0);
}

#[test]
fn second_daemon_with_same_settings_fails_to_start() {
    let dir = TestDir::new("second");
    let file = dir.write("settings.json", &dir.settings().to_string());
    let mut daemon = Daemon::start(&file);
    let output = run(&["--config", &file]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("is in use; hint: stop the process that listens there"), "{stderr}");
    daemon.terminate();
    assert_eq!(daemon.wait(), 0);
}

fn log_config(path: &str) -> String {
    json!({
        "appenders": {"file": {"kind": "file", "path": path, "encoder": {"kind": "json"}}},
        "root": {"level": "info", "appenders": ["file"]},
    })
    .to_string()
}

#[test]
fn json_log_contains_event_fields() {
    let dir = TestDir::new("json");
    let log = dir.write("daemon.log", "");
    let mut settings = dir.settings();
    settings["log_config"] = dir.write("log.json", &log_config(&log)).into();
    let file = dir.write("settings.json", &settings.to_string());
    let mut daemon = Daemon::start_with_log_file(&file, &log);
    daemon.terminate();
    assert_eq!(daemon.wait(), 0);
    let text = std::fs::read_to_string(&log).unwrap();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines[0]["attributes"]["node"], "entry-1");
    assert!(lines[0]["message"].as_str().unwrap().starts_with("GL0001 started node=entry-1"));
}

#[test]
fn full_disk_is_reported_and_daemon_keeps_running() {
    let dir = TestDir::new("full");
    let mut settings = dir.settings();
    settings["log_config"] = dir.write("log.json", &log_config("/dev/full")).into();
    let file = dir.write("settings.json", &settings.to_string());
    let mut daemon = Daemon::start_until(&file, "can't write to the log");
    daemon.terminate();
    assert_eq!(daemon.wait(), 0);
}
