//! Processor time and memory of a process, from `/proc`.

use anyhow::Context;
use anyhow::Result;
use std::fs;
use std::time::Duration;

/// Clock ticks of a second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Fields after the program's name up to the processor times.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Returns the processor time that a process has used.
pub fn cpu_time(pid: u32) -> Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in parentheses may hold spaces.
    let (_, rest) = text.rsplit_once(')').context("no process name")?;
    let mut fields = rest.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let mut ticks = || fields.next().and_then(|text| text.parse::<u64>().ok());
    let user = ticks().context("no user time")?;
    let system = ticks().context("no system time")?;
    Ok(Duration::from_millis((user + system) * 1000 / TICKS_PER_SECOND))
}

/// Returns the memory in use in kilobytes.
pub fn memory_kb(pid: u32) -> Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).context("no VmRSS")?;
    let number = line.split_whitespace().nth(1).context("no number")?;
    Ok(number.parse()?)
}
