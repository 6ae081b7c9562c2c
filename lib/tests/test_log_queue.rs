//! Tests of the queued logger under faults: an output that blocks, is slow or is closed, bursts of
//! lines, and hostile field values.

use guavaladder_lib::event_log;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_settings::LogFormat;
use guavaladder_lib::log_explain;
use guavaladder_lib::log_queue::QueuedLogger;
use log::Level;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use rstest::rstest;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Lines of a burst: several times the length of the queue.
const BURST: u64 = 10_000;
/// Longest time that logging a burst may take; generous because the machine may be busy.
const MAX_BURST_TIME: Duration = Duration::from_secs(5);
/// Longest wait for the writer thread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// An output that blocks before each write until it receives a message or the sender is dropped.
struct BlockedOutput(Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose reader has closed it.
struct ClosedOutput;

impl Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that collects the written text and waits for `delay` before each write.
#[derive(Clone, Default)]
struct SlowOutput {
    text: Arc<Mutex<Vec<u8>>>,
    delay: Duration,
}

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        thread::sleep(self.delay);
        self.text.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SlowOutput {
    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.text.lock().unwrap().clone()).unwrap();
        text.lines().map(str::to_string).collect()
    }

    /// Waits until `count` lines have been written.
    fn wait_for(&self, count: usize) -> Vec<String> {
        let start = Instant::now();
        while self.lines().len() < count {
            assert!(start.elapsed() < WRITE_TIMEOUT, "{} lines", self.lines().len());
            thread::sleep(Duration::from_millis(5));
        }
        self.lines()
    }
}

fn write(log: &QueuedLogger, event: &Event) {
    let fields = event.fields();
    let attributes: Vec<(&str, &str)> =
        fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let text = event_log::render(event);
    let metadata = Metadata::builder().level(Level::Info).target("guavaladder").build();
    let mut record = Record::builder();
    record.metadata(metadata).key_values(&attributes);
    log.log(&record.args(format_args!("{text}")).build());
}

fn rejected_event(request: &str) -> Event {
    Event::RequestTurnedAway {
        request: request.to_string(),
        route: "r".to_string(),
        status: 503,
        reason: "no free slot".to_string(),
        retry_after: Duration::from_secs(1),
        running: 8,
        places: 8,
        replicas: 1,
        config: 7,
    }
}

fn log_burst(log: &QueuedLogger) {
    let start = Instant::now();
    for number in 0..BURST {
        write(log, &rejected_event(&number.to_string()));
    }
    assert!(start.elapsed() < MAX_BURST_TIME, "the burst took {:?}", start.elapsed());
}

#[test]
fn blocked_output_does_not_block_logging() {
    let (gate_tx, gate_rx) = mpsc::channel();
    let log =
        QueuedLogger::new(LevelFilter::Info, LogFormat::Text, BlockedOutput(gate_rx)).unwrap();
    log_burst(&log);
    let dropped = log.dropped().get();
    assert!(dropped > 0 && dropped < BURST, "{dropped} dropped");
    drop(gate_tx);
}

/// The process exits after it has flushed its log.
#[test]
fn last_lines_before_exit_are_lost() {
    let out = SlowOutput { delay: Duration::from_millis(20), ..SlowOutput::default() };
    let log = QueuedLogger::new(LevelFilter::Info, LogFormat::Text, out.clone()).unwrap();
    for request in ["r1", "r2", "r3"] {
        write(&log, &rejected_event(request));
    }
    log.flush();
    assert_eq!(out.lines().len(), 3);
}

#[test]
fn blocked_output_does_not_block_flush() {
    let (gate_tx, gate_rx) = mpsc::channel();
    let log =
        QueuedLogger::new(LevelFilter::Info, LogFormat::Text, BlockedOutput(gate_rx)).unwrap();
    log_burst(&log);
    let start = Instant::now();
    log.flush();
    assert!(start.elapsed() < MAX_BURST_TIME, "the flush took {:?}", start.elapsed());
    drop(gate_tx);
}

#[test]
fn closed_output_does_not_block_logging() {
    let log = QueuedLogger::new(LevelFilter::Info, LogFormat::Text, ClosedOutput).unwrap();
    log_burst(&log);
    assert!(log.dropped().get() > 0);
}

#[test]
fn slow_output_gets_complete_lines_and_dropped_lines_are_counted() {
    let out = SlowOutput { delay: Duration::from_millis(1), ..SlowOutput::default() };
    let log = QueuedLogger::new(LevelFilter::Info, LogFormat::Text, out.clone()).unwrap();
    log_burst(&log);
    let lines = out.wait_for((BURST - log.dropped().get()) as usize);
    assert_eq!(lines.len() as u64 + log.dropped().get(), BURST);
    assert!(lines.iter().all(|line| log_explain::parse(line, "n1").is_some()));
}

#[test]
fn level_off_writes_no_lines() {
    let out = SlowOutput::default();
    let log = QueuedLogger::new(LevelFilter::Off, LogFormat::Text, out.clone()).unwrap();
    write(&log, &rejected_event("r1"));
    drop(log);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(out.lines(), Vec::<String>::new());
}

/// Callers choose the ids of their requests. An id with line breaks, quotes or other special
/// characters must neither split a log line nor inject fields into it.
#[rstest]
#[case::line_break("a\nb")]
#[case::carriage_return("a\r17.5 INFO GL0523 request_answered request=x")]
#[case::escape("a\u{1b}[2Jb")]
#[case::quote("a\" request=\"x")]
#[case::separator("a\u{2028}b\u{85}c")]
#[case::tab("a\tb\0c")]
#[case::not_ascii("ä=ö")]
#[case::brace("{\"number\":\"GL0001\"}")]
fn hostile_id_is_logged_as_one_value(
    #[case] id: &str,
    #[values(LogFormat::Text, LogFormat::Json)] format: LogFormat,
) {
    let out = SlowOutput::default();
    let log = QueuedLogger::new(LevelFilter::Info, format, out.clone()).unwrap();
    write(&log, &rejected_event(id));
    write(&log, &rejected_event("next"));
    let lines = out.wait_for(2);
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(!lines.concat().contains(char::is_control), "{lines:?}");
    let parsed: Vec<log_explain::LogLine> =
        lines.iter().filter_map(|line| log_explain::parse(line, "n1")).collect();
    assert_eq!(parsed[0].field("request"), Some(id));
    assert_eq!(parsed[0].field("route"), Some("r"));
    assert_eq!(parsed[1].field("request"), Some("next"));
    assert_eq!(parsed[0].source, "n1");
}

#[rstest]
#[case::text(LogFormat::Text)]
#[case::json(LogFormat::Json)]
fn long_line_is_truncated(#[case] format: LogFormat) {
    let out = SlowOutput::default();
    let log = QueuedLogger::new(LevelFilter::Info, format, out.clone()).unwrap();
    write(&log, &rejected_event(&"ä\"".repeat(4000)));
    let lines = out.wait_for(1);
    assert!(lines[0].len() <= 2048, "{} bytes", lines[0].len());
    if format == LogFormat::Json {
        let object: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
        assert_eq!(object["event"], "request_turned_away");
    }
}
