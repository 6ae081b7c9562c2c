//! Fault tests of the log: a reader that stops, is slow or gone, many lines at once, and hostile text.

use guavaladder_lib::event_log;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::serving_settings::LogFormat;
use guavaladder_lib::log_explain;
use guavaladder_lib::log_queue::QueueLog;
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

/// Lines of a burst: several times as many as may wait.
const BURST: u64 = 10_000;
/// Longest time for which a burst may hold the caller up, generous for a busy machine.
const BURST_BOUND: Duration = Duration::from_secs(5);
/// Longest wait for the writing thread.
const PATIENCE: Duration = Duration::from_secs(20);

/// An output that waits for a word before each write.
struct Gate(Receiver<()>);

impl Write for Gate {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output whose reader is gone.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that keeps what is written, each write taking a while.
#[derive(Clone, Default)]
struct Slow {
    text: Arc<Mutex<Vec<u8>>>,
    pause: Duration,
}

impl Write for Slow {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        thread::sleep(self.pause);
        self.text.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Slow {
    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.text.lock().unwrap().clone()).unwrap();
        text.lines().map(str::to_string).collect()
    }

    /// Waits until so many lines were written.
    fn wait_for(&self, count: usize) -> Vec<String> {
        let start = Instant::now();
        while self.lines().len() < count {
            assert!(start.elapsed() < PATIENCE, "{} lines", self.lines().len());
            thread::sleep(Duration::from_millis(5));
        }
        self.lines()
    }
}

fn write(log: &QueueLog, event: &Event) {
    let fields = event.fields();
    let attributes: Vec<(&str, &str)> =
        fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let text = event_log::render(event);
    let metadata = Metadata::builder().level(Level::Info).target("guavaladder").build();
    let mut record = Record::builder();
    record.metadata(metadata).key_values(&attributes);
    log.log(&record.args(format_args!("{text}")).build());
}

fn turned_away(request: &str) -> Event {
    Event::RequestTurnedAway {
        request: request.to_string(),
        route: "r".to_string(),
        status: 503,
        reason: "no free place".to_string(),
        retry_after: Duration::from_secs(1),
        running: 8,
        places: 8,
        replicas: 1,
        config: 7,
    }
}

fn burst(log: &QueueLog) {
    let start = Instant::now();
    for number in 0..BURST {
        write(log, &turned_away(&number.to_string()));
    }
    assert!(start.elapsed() < BURST_BOUND, "the burst took {:?}", start.elapsed());
}

#[test]
fn reader_that_stops_blocks_nobody() {
    let (open, gate) = mpsc::channel();
    let log = QueueLog::new(LevelFilter::Info, LogFormat::Text, Gate(gate)).unwrap();
    burst(&log);
    let dropped = log.dropped().get();
    assert!(dropped > 0 && dropped < BURST, "{dropped} dropped");
    drop(open);
}

#[test]
fn reader_that_is_gone_blocks_nobody() {
    let log = QueueLog::new(LevelFilter::Info, LogFormat::Text, Closed).unwrap();
    burst(&log);
    assert!(log.dropped().get() > 0);
}

#[test]
fn slow_reader_gets_whole_lines_and_the_rest_is_counted() {
    let out = Slow { pause: Duration::from_millis(1), ..Slow::default() };
    let log = QueueLog::new(LevelFilter::Info, LogFormat::Text, out.clone()).unwrap();
    burst(&log);
    let lines = out.wait_for((BURST - log.dropped().get()) as usize);
    assert_eq!(lines.len() as u64 + log.dropped().get(), BURST);
    assert!(lines.iter().all(|line| log_explain::parse(line, "n1").is_some()));
}

#[test]
fn level_off_writes_nothing() {
    let out = Slow::default();
    let log = QueueLog::new(LevelFilter::Off, LogFormat::Text, out.clone()).unwrap();
    write(&log, &turned_away("r1"));
    drop(log);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(out.lines(), Vec::<String>::new());
}

/// A caller chooses its ids; whatever they hold, a line stays one line and its fields stay apart.
#[rstest]
#[case::line_break("a\nb")]
#[case::carriage_return("a\r17.5 INFO GL0523 request_answered request=x")]
#[case::escape("a\u{1b}[2Jb")]
#[case::quote("a\" request=\"x")]
#[case::separator("a\u{2028}b\u{85}c")]
#[case::tab("a\tb\0c")]
#[case::not_ascii("ä=ö")]
#[case::brace("{\"number\":\"GL0001\"}")]
fn hostile_id_stays_one_value(
    #[case] id: &str,
    #[values(LogFormat::Text, LogFormat::Json)] format: LogFormat,
) {
    let out = Slow::default();
    let log = QueueLog::new(LevelFilter::Info, format, out.clone()).unwrap();
    write(&log, &turned_away(id));
    write(&log, &turned_away("next"));
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
fn long_line_is_cut(#[case] format: LogFormat) {
    let out = Slow::default();
    let log = QueueLog::new(LevelFilter::Info, format, out.clone()).unwrap();
    write(&log, &turned_away(&"ä\"".repeat(4000)));
    let lines = out.wait_for(1);
    assert!(lines[0].len() <= 2048, "{} bytes", lines[0].len());
    if format == LogFormat::Json {
        let object: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
        assert_eq!(object["event"], "request_turned_away");
    }
}
