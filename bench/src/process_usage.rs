//! CPU time and memory of a process, read from `/proc`.

use anyhow::Context;
use anyhow::Result;
use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Number of fields between the program name and the CPU times.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Returns the user and system CPU time of a process.
pub fn cpu_time(pid: u32) -> Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name in parentheses may contain spaces.
    let (_, rest) = text.rsplit_once(')').context("the stat file has no program name")?;
    let mut fields = rest.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let mut ticks = || fields.next().and_then(|text| text.parse::<u64>().ok());
    let user = ticks().context("the stat file has no user time")?;
    let system = ticks().context("the stat file has no system time")?;
    Ok(Duration::from_millis((user + system) * 1000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of a process in kilobytes.
pub fn memory_kb(pid: u32) -> Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("the status file has no VmRSS line")?;
    let number = line.split_whitespace().nth(1).context("the VmRSS line has no number")?;
    Ok(number.parse()?)
}
