//! Tests of parsing log lines and of the timeline of a request.

use guavaladder_lib::log_explain::LogLine;
use guavaladder_lib::log_explain::explain;
use guavaladder_lib::log_explain::parse;

const LOG: &str = r#"1782743484.210 WARN GL0515 replica_suspected replica=m-5#5 cause=silent silent_for=164ms
1782743484.320 WARN GL0516 replica_down replica=m-5#5 member=i-7 cause="no answer to the connection within 110ms" source=silent
1782743484.321 INFO GL0525 request_moved request=r1 replica=m-5#5 attempt=1 cause="the replica was found to be down" events=18 after=1206ms
1782743484.322 INFO GL0525 request_moved request=r2 replica=m-5#5 attempt=1 cause="the replica was found to be down" events=3 after=200ms
something else that is no event
1782743484.350 INFO GL0520 group_dissolved group=m-5 reason="it was found to be down" outcome="the head left" took=9ms
1782743485.900 INFO GL0523 request_answered request=r1 route=r-1 replica=m-8#8 status=200 attempts=2 ahead=4 first=220ms took=2790ms config=3
1782743499.000 INFO GL0516 replica_down replica=m-5#5 member=i-9 cause=x source=peer
"#;

fn lines() -> Vec<LogLine> {
    LOG.lines().filter_map(|line| parse(line, "n1")).collect()
}

#[test]
fn timeline_contains_lines_of_the_request_and_its_replicas() {
    let timeline = explain("r1", &lines());
    let names: Vec<&str> = timeline.lines.iter().map(|line| line.name.as_str()).collect();
    assert_eq!(
        names,
        [
            "replica_suspected",
            "replica_down",
            "request_moved",
            "group_dissolved",
            "request_answered"
        ]
    );
    assert_eq!(timeline.sources, ["n1"]);
    let cause = timeline.lines[1].field("cause");
    assert_eq!(cause, Some("no answer to the connection within 110ms"));
}

#[test]
fn timeline_of_an_unknown_request_is_empty() {
    assert_eq!(explain("r9", &lines()).lines, vec![]);
}

#[test]
fn parse_prefers_the_node_named_in_the_line() {
    let line =
        parse("   2.49 n7 17.5 INFO GL0525 request_moved request=r1 events=0", "file").unwrap();
    assert_eq!((line.source.as_str(), line.unix_s), ("n7", 17.5));
    assert_eq!(parse("17.5 INFO GLxxxx name a=b", "file"), None);
    assert_eq!(parse("", "file"), None);
}

/// Callers choose their request ids, so quotes, spaces and `=` within a value must not end the value or
/// add a field.
#[test]
fn parse_keeps_escaped_quotes_within_a_value() {
    let line = r#"17.5 INFO GL0525 request_moved request="a\" replica=x b" cause="y\\z""#;
    let line = parse(line, "n1").unwrap();
    assert_eq!(line.field("request"), Some("a\" replica=x b"));
    assert_eq!(line.field("replica"), None);
    assert_eq!(line.field("cause"), Some("y\\z"));
}
