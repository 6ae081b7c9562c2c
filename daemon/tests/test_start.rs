//! Tests of arguments, settings and listeners at the start.

use crate::process::Folder;
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
fn arguments_wrong(#[case] args: &[&str], #[case] says: &str) {
    let output = run(args);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.starts_with("error: ") && stderr.contains(says), "{stderr}");
}

#[rstest]
#[case::help(&["--help"], "Usage: guavaladderd --config FILE")]
#[case::version(&["--version"], "guavaladderd 0.")]
fn arguments_information(#[case] args: &[&str], #[case] says: &str) {
    let output = run(args);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains(says));
}

#[test]
fn check_valid_settings() {
    let folder = Folder::new("check");
    let file = folder.write("settings.json", &folder.settings().to_string());
    let output = run(&["--config", &file, "--check"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("the settings are valid"));
}

#[test]
fn settings_wrong_one_line_each() {
    let folder = Folder::new("wrong");
    let mut settings = folder.settings();
    settings["gossip_ms"] = 1.into();
    settings["region"] = 7.into();
    let file = folder.write("settings.json", &settings.to_string());
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
fn start_busy_port(#[case] setting: &str) {
    let folder = Folder::new(setting);
    let settings = folder.settings();
    let address = settings[setting].as_str().unwrap().to_string();
    let _holder = (TcpListener::bind(&address).unwrap(), UdpSocket::bind(&address).unwrap());
    let file = folder.write("settings.json", &settings.to_string());
    let output = run(&["--config", &file]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains(&format!("{setting}: {address} is in use; hint: ")), "{stderr}");
    assert!(!stderr.contains("panicked"), "{stderr}");
}

#[test]
fn start_wrong_log_config() {
    let folder = Folder::new("log");
    let mut settings = folder.settings();
    settings["log_config"] = folder.write("log.json", "{\"root\": 1}").into();
    let file = folder.write("settings.json", &settings.to_string());
    let output = run(&["--config", &file]);
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("log_config: ") && stderr.contains("hint: "), "{stderr}");
}
