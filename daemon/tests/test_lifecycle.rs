//! Tests of a running daemon: signals, logs, and a platform that does not answer.

use crate::process::Daemon;
use crate::process::Folder;
use crate::process::run;
use serde_json::Value;
use serde_json::json;

#[test]
fn terminate_ends_gracefully() {
    let folder = Folder::new("terminate");
    let file = folder.write("settings.json", &folder.settings().to_string());
    let mut daemon = Daemon::start(&file);
    daemon.terminate();
    daemon.wait_for("GL0002 shutdown_started node=entry-1 bound=2000ms");
    daemon.wait_for("GL0003 shutdown_finished node=entry-1 moved=0");
    assert_eq!(daemon.wait(), 0);
}

#[test]
fn terminate_twice_ends_at_once() {
    let folder = Folder::new("twice");
    let mut settings = folder.settings();
    settings["shutdown_ms"] = 3_600_000.into();
    let file = folder.write("settings.json", &settings.to_string());
    let mut daemon = Daemon::start(&file);
    daemon.terminate();
    daemon.wait_for("GL0002");
    daemon.terminate();
    daemon.wait_for("a second signal ends the shutdown");
    assert_eq!(daemon.wait(), 0);
}

#[test]
fn second_daemon_with_the_same_settings() {
    let folder = Folder::new("second");
    let file = folder.write("settings.json", &folder.settings().to_string());
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
fn log_json_has_fields() {
    let folder = Folder::new("json");
    let log = folder.write("daemon.log", "");
    let mut settings = folder.settings();
    settings["log_config"] = folder.write("log.json", &log_config(&log)).into();
    let file = folder.write("settings.json", &settings.to_string());
    let mut daemon = Daemon::start_silent(&file, &log);
    daemon.terminate();
    assert_eq!(daemon.wait(), 0);
    let text = std::fs::read_to_string(&log).unwrap();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines[0]["attributes"]["node"], "entry-1");
    assert!(lines[0]["message"].as_str().unwrap().starts_with("GL0001 started node=entry-1"));
}

#[test]
fn log_full_disk_is_reported_once_and_serving_goes_on() {
    let folder = Folder::new("full");
    let mut settings = folder.settings();
    settings["log_config"] = folder.write("log.json", &log_config("/dev/full")).into();
    let file = folder.write("settings.json", &settings.to_string());
    let mut daemon = Daemon::start_until(&file, "the log can't be written");
    daemon.terminate();
    assert_eq!(daemon.wait(), 0);
}
