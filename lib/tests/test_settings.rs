//! Tests of the validation of settings files.

use guavaladder_lib::settings;
use rstest::rstest;
use std::path::Path;

/// Returns valid settings with the value of `key` replaced by the JSON text `value`, or with the key
/// removed if `value` is empty.
fn settings_with(key: &str, value: &str) -> String {
    let mut document = serde_json::json!({
        "node": "entry-1", "data_centre": "dc-1", "region": "agreste",
        "platform": "127.0.0.1:7000", "fleet_key_file": "/dev/null",
        "caller_listen": "127.0.0.1:7001", "operator_listen": "127.0.0.1:7002",
        "peer_listen": "127.0.0.1:7003",
    });
    match value.is_empty() {
        true => {
            document.as_object_mut().unwrap().remove(key);
        }
        false => document[key] = serde_json::from_str(value).unwrap(),
    }
    document.to_string()
}

#[test]
fn parse_valid() {
    let settings = settings::parse(&settings_with("shutdown_ms", "1500")).unwrap();
    assert_eq!(settings.node, "entry-1");
    assert_eq!(settings.shutdown.as_millis(), 1500);
    assert!(!settings.test_hooks);
}

#[rstest]
#[case::unknown_key("plattform", "1", "/plattform", "did you mean \"platform\"?")]
#[case::unknown_key_without_similar_key("colour", "1", "/colour", "remove the key")]
#[case::missing_key("node", "", "/node", "add the key \"node\"")]
#[case::wrong_type("node", "7", "/node", "a value of type string")]
#[case::empty_string("node", "\"\"", "/node", "1 or more characters")]
#[case::above_range("shutdown_ms", "3600001", "/shutdown_ms", "3600000 or less")]
#[case::below_range("gossip_ms", "19", "/gossip_ms", "20 or more")]
#[case::pattern("bootstrap_operator", "\"secret\"", "/bootstrap_operator", "a text that matches")]
#[case::host_name("platform", "\"platform:80\"", "/platform", "`ip:port`")]
#[case::address_without_port("peer_listen", "\"127.0.0.1\"", "/peer_listen", "`ip:port`")]
#[case::peer("peers", "[\"127.0.0.1:1\", \"x\"]", "/peers/1", "`ip:port`")]
#[case::unreadable("fleet_key_file", "\"/none\"", "/fleet_key_file", "readable file")]
fn parse_reports_problem(
    #[case] key: &str,
    #[case] value: &str,
    #[case] path: &str,
    #[case] expected: &str,
) {
    let problems = settings::parse(&settings_with(key, value)).unwrap_err();
    assert_eq!(problems.len(), 1, "{problems:?}");
    let line = problems[0].to_string();
    assert!(line.starts_with(&format!("{path}: found ")), "{line}");
    assert!(line.contains(expected) && line.contains("hint: ") && !line.contains('\n'), "{line}");
}

#[test]
fn parse_reports_all_problems() {
    let text = settings_with("gossip_ms", "0").replace("\"node\":\"entry-1\"", "\"node\":5");
    let problems = settings::parse(&text).unwrap_err();
    let paths: Vec<&str> = problems.iter().map(|p| p.path.as_str()).collect();
    assert_eq!(paths, ["/gossip_ms", "/node"]);
}

#[rstest]
#[case::empty("", "syntax error at line 1")]
#[case::truncated("{\"node\":", "syntax error at line 1")]
#[case::array("[]", "a value of type object")]
fn parse_refuses_text_that_is_no_object(#[case] text: &str, #[case] expected: &str) {
    let problems = settings::parse(text).unwrap_err();
    assert!(problems[0].to_string().contains(expected), "{problems:?}");
}

#[test]
fn read_missing_file() {
    let e = settings::read(Path::new("/no/such/settings.json")).unwrap_err();
    let line = e.to_string();
    assert!(line.starts_with("/no/such/settings.json: found an unreadable file"), "{line}");
}

#[test]
fn parse_invalid_value_is_shortened() {
    let value = format!("\"blake3:{}\"", "x".repeat(10_000));
    let problems = settings::parse(&settings_with("bootstrap_operator", &value)).unwrap_err();
    assert!(problems[0].to_string().len() < 400);
}

#[test]
fn parse_treats_null_as_absent() {
    assert_eq!(settings::parse(&settings_with("statsd", "null")).unwrap().statsd, None);
    let problems = settings::parse(&settings_with("node", "null")).unwrap_err();
    assert_eq!(problems[0].path, "/node");
}
