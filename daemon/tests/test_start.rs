//! Tests of the start of the daemon: arguments, settings and listeners.

use crate::process::TestDir;
use crate::process::run;
use rstest::rstest;
use std::net::TcpListener;
use std::net::UdpSocket;

#[rstest]
#[case::nothing(&[], "no settings file; hint: use `guavaladderd --config FILE`")]
#[case::unknown_option(&["--conf", "x"], "hint: see `guavaladderd --help`")]
#[case::extra_argument(&["--config", "x", "y"], "unexpected argument \"y\"")]
#[case::no_file(&["--config", "/no/file"], "/no/file: found an unreadable file")]
#[case::no_file_to_check(&["--check", "--config", "/no/file"], "/no/file: found an unreadable file")]
fn invalid_arguments_are_rejected(#[case] args: &[&str], #[case] expected: &str) {
    let output = run(args);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.starts_with("error: ") && stderr.contains(expected), "{stderr}");
}

#[rstest]
#[case::help(&["--help"], "Usage: guavaladderd --config FILE")]
#[case::version(&["--version"], "guavaladderd 0.")]
fn information_is_printed(#[case] args: &[&str], #[case] expected: &str) {
    let output = run(args);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains(expected));
}

#[test]
fn check_accepts_valid_settings() {
    let dir = TestDir::new("check");
    let file = dir.write("settings.json", &dir.settings().to_string());
    let output = run(&["--config", &file, "--check"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("the settings are valid"));
}

#[test]
fn each_settings_error_is_on_its_own_line() {
    let dir = TestDir::new("wrong");
    let mut settings = dir.settings();
    settings["gossip_ms"] = 1.into();
    settings["region"] = 7.into();
    let file = dir.write("settings.json", &settings.to_string());
    let output = run(&["--config", &file]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let starts: Vec<bool> = stderr
        .lines()
        .zip(["/gossip_ms", "/region"])
        .map(|(line, path)| line.starts_with(&format!("error: {file}: {path}: found ")))
        .collect();
    assert_eq!(starts, [true, true], "{stderr}");
}

#[rstest]
#[case::callers("caller_listen")]
#[case::operators("operator_listen")]
#[case::peers("peer_listen")]
fn port_in_use_is_reported(#[case] setting: &str) {
    let dir = TestDir::new(setting);
    let settings = dir.settings();
    let address = settings[setting].as_str().unwrap().to_string();
    let _sockets = (TcpListener::bind(&address).unwrap(), UdpSocket::bind(&address).unwrap());
    let file = dir.write("settings.json", &settings.to_string());
    let output = run(&["--config", &file]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains(&format!("{setting}: {address} is in use; hint: ")), "{stderr}");
    assert!(!stderr.contains("panicked"), "{stderr}");
}

#[test]
fn invalid_log_config_is_reported() {
    let dir = TestDir::new("log");
    let mut settings = dir.settings();
    settings["log_config"] = dir.write("log.json", "{\"root\": 1}").into();
    let file = dir.write("settings.json", &settings.to_string());
    let output = run(&["--config", &file]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("log_config: ") && stderr.contains("hint: "), "{stderr}");
}
