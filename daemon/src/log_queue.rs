//! A log to standard output that never blocks: lines wait in a bounded queue for a writing thread,
//! and are dropped and counted when its reader is slow or gone.

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Lines that may wait.
const QUEUE_LEN: usize = 2048;
/// Longest line, in bytes; the rest is cut off.
const MAX_LINE_BYTES: usize = 2048;

/// Count of the lines that were dropped.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns the count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

struct QueueLog {
    tx: SyncSender<String>,
    dropped: DroppedLines,
    level: LevelFilter,
}

/// Starts the log with a level and returns the count of its dropped lines.
pub fn start(level: LevelFilter) -> anyhow::Result<DroppedLines> {
    let (tx, rx) = mpsc::sync_channel(QUEUE_LEN);
    let dropped = DroppedLines::default();
    thread::Builder::new().name("log".to_string()).spawn(move || write_lines(&rx))?;
    let log = QueueLog { tx, dropped: dropped.clone(), level };
    log::set_boxed_logger(Box::new(log))?;
    log::set_max_level(level);
    Ok(dropped)
}

impl Log for QueueLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let is_own = metadata.target().starts_with("guavaladder");
        is_own && metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if self.tx.try_send(line(record)).is_err() {
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Returns a record as one line; a line break within it does not end it.
fn line(record: &Record<'_>) -> String {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let level = record.level();
    let mut line =
        format!("{}.{:03} {level} {}", unix.as_secs(), unix.subsec_millis(), record.args());
    if line.len() > MAX_LINE_BYTES {
        let end = (0..=MAX_LINE_BYTES).rev().find(|end| line.is_char_boundary(*end)).unwrap_or(0);
        line.truncate(end);
    }
    if line.contains(['\n', '\r']) {
        line = line.replace(['\n', '\r'], " ");
    }
    line.push('\n');
    line
}

/// Writes lines until standard output is gone; what comes later is dropped by the full queue.
fn write_lines(rx: &Receiver<String>) {
    let mut out = io::stdout();
    while let Ok(first) = rx.recv() {
        let mut text = first;
        while let Ok(more) = rx.try_recv() {
            text.push_str(&more);
            if text.len() > (MAX_LINE_BYTES << 4) {
                break;
            }
        }
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
