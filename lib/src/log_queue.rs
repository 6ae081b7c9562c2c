//! A non-blocking logger: lines are queued for a writer thread, and are dropped and counted when the
//! queue is full because the output is slow, or when the output is closed.

use crate::generated::serving_settings::LogFormat;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Maximum number of queued lines.
const QUEUE_LEN: usize = 2048;
/// Maximum length of a line in bytes; longer lines are truncated.
const MAX_LINE_BYTES: usize = 2048;
/// Number of message bytes kept in a truncated JSON line; escaping may double them.
const MAX_TRUNCATED_MESSAGE_BYTES: usize = MAX_LINE_BYTES / 4;

/// Maximum time for which a flush waits for the output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a flush tries again while the queue is full.
const FLUSH_RETRY_PERIOD: Duration = Duration::from_millis(1);

/// What is queued for the writer thread.
#[derive(Debug)]
enum Entry {
    /// A line to write.
    Line(String),
    /// Tells the sender that all lines before have been written.
    Flush(SyncSender<()>),
}

/// Number of dropped log lines; clones share the counter.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns the number of lines dropped so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Logger that queues its lines for a writer thread.
#[derive(Debug)]
pub struct QueuedLogger {
    tx: SyncSender<Entry>,
    dropped: DroppedLines,
    level: LevelFilter,
    format: LogFormat,
}

impl QueuedLogger {
    /// Returns a logger and starts a thread that writes its lines to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn new(
        level: LevelFilter,
        format: LogFormat,
        out: impl io::Write + Send + 'static,
    ) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE_LEN);
        let writer = thread::Builder::new().name("log".to_string());
        writer.spawn(move || write_lines(&rx, out))?;
        Ok(Self { tx, dropped: DroppedLines::default(), level, format })
    }

    /// Returns the counter of dropped lines.
    pub fn dropped(&self) -> DroppedLines {
        self.dropped.clone()
    }

    /// Installs this as the global logger of the process.
    ///
    /// # Errors
    ///
    /// Fails if a global logger is already installed.
    pub fn install(self) -> Result<(), log::SetLoggerError> {
        let level = self.level;
        log::set_boxed_logger(Box::new(self))?;
        log::set_max_level(level);
        Ok(())
    }
}

impl Log for QueuedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let is_own = metadata.target().starts_with("guavaladder");
        is_own && metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if self.tx.try_send(Entry::Line(format_line(record, self.format))).is_err() {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines before have been written, or for as long as an output may take that does not
    /// accept them.
    fn flush(&self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        let (written, is_written) = mpsc::sync_channel(1);
        let mut entry = Entry::Flush(written);
        while let Err(e) = self.tx.try_send(entry) {
            match e {
                TrySendError::Full(unsent) if Instant::now() < until => entry = unsent,
                _ => return,
            }
            thread::sleep(FLUSH_RETRY_PERIOD);
        }
        // Both errors mean that the lines can't be written in time.
        let _ = is_written.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

/// Formats a record as one line; control characters within it are replaced by spaces.
fn format_line(record: &Record<'_>, format: LogFormat) -> String {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let level = record.level();
    let mut line = match format {
        LogFormat::Text => {
            format!("{}.{:03} {level} {}", unix.as_secs(), unix.subsec_millis(), record.args())
        }
        LogFormat::Json => format_json(record, unix),
    };
    if line.len() > MAX_LINE_BYTES {
        let end = (0..=MAX_LINE_BYTES).rev().find(|end| line.is_char_boundary(*end)).unwrap_or(0);
        line.truncate(end);
    }
    if line.contains(char::is_control) {
        line = line.replace(char::is_control, " ");
    }
    line.push('\n');
    line
}

/// Formats a record as a JSON object.
///
/// If it is too long, the fields are replaced by the length and the message is truncated.
fn format_json(record: &Record<'_>, unix: Duration) -> String {
    let text = record.args().to_string();
    let mut words = text.splitn(3, ' ');
    let number = words.next().filter(|number| number.starts_with("GL"));
    let unix_s = unix.as_millis() as f64 / 1000.0;
    let mut object = json!({"unix_s": unix_s, "level": record.level().as_str()});
    match number.zip(words.next()) {
        Some((number, name)) => {
            let mut fields = Fields(Map::new());
            // `Fields::visit_pair` never fails.
            let _ = record.key_values().visit(&mut fields);
            object["number"] = json!(number);
            object["event"] = json!(name);
            object["fields"] = Value::Object(fields.0);
        }
        None => object["message"] = json!(text),
    }
    let line = escape_controls(&object.to_string());
    if line.len() <= MAX_LINE_BYTES {
        return line;
    }
    object["fields"] = json!({"cut": line.len().to_string()});
    let end = text
        .char_indices()
        .map(|(at, _)| at)
        .take_while(|at| *at < MAX_TRUNCATED_MESSAGE_BYTES)
        .last();
    object["message"] = json!(text[..end.unwrap_or(0)]);
    object.to_string()
}

/// Escapes control characters that JSON permits unescaped within strings.
fn escape_controls(json: &str) -> String {
    let escape = |c: char| match c.is_control() {
        true => format!("\\u{:04x}", c as u32),
        false => c.to_string(),
    };
    match json.contains(char::is_control) {
        true => json.chars().map(escape).collect(),
        false => json.to_string(),
    }
}

/// Collects the key-value pairs of a record.
struct Fields(Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), Value::String(value.to_string()));
        Ok(())
    }
}

/// Writes queued lines until a write fails; all later lines are dropped.
fn write_lines(rx: &Receiver<Entry>, mut out: impl io::Write) {
    while let Ok(first) = rx.recv() {
        let (mut batch, mut flushes) = (String::new(), vec![]);
        let mut next = Ok(first);
        while let Ok(entry) = next {
            match entry {
                Entry::Line(line) => batch.push_str(&line),
                Entry::Flush(written) => flushes.push(written),
            }
            if batch.len() > (MAX_LINE_BYTES << 4) {
                break;
            }
            next = rx.try_recv();
        }
        if out.write_all(batch.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
        for written in flushes {
            // The flush may have timed out.
            let _ = written.try_send(());
        }
    }
}
