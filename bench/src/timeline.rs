//! Table of the events of a run with their times.

use std::fmt::Write;
use std::time::Duration;
use tokio::time::Instant;

/// Events of a run in chronological order.
#[derive(Debug)]
pub struct Timeline {
    began: Instant,
    is_printed: bool,
    rows: Vec<(Duration, String)>,
}

impl Timeline {
    /// Creates an empty table whose times are relative to now; `is_printed` prints each row when it
    /// is added.
    pub fn new(is_printed: bool) -> Self {
        Self { began: Instant::now(), is_printed, rows: vec![] }
    }

    /// Adds a row with the time since the start.
    pub fn note(&mut self, text: impl Into<String>) {
        let at = self.began.elapsed();
        let text = text.into();
        if self.is_printed {
            println!("{:8.2} s  {text}", at.as_secs_f64());
        }
        self.rows.push((at, text));
    }

    /// Returns the table as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (at, row) in &self.rows {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{:8.2} s  {row}", at.as_secs_f64());
        }
        text
    }
}
