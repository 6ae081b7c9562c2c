//! What the protocol between nodes may spend, and what it spends.

use crate::cx::Cx;
use crate::generated::events::Event;
use crate::metric_names;
use rustix::time::ClockId;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Bytes a second that a node may send for control.
pub const BYTES_PER_SECOND: f64 = 4096.0;
/// Part of a core that control may use, in percent.
pub const CPU_PERCENT: f64 = 2.3;
/// Memory that control may use.
pub const MEMORY_BYTES: u64 = 32 * 1024 * 1024;
/// Part of the bytes that gossip may plan with; the rest is for exchanges and urgent news.
const PLANNED_PART: f64 = 0.85;
/// Time whose unused bytes may be made up for.
const BURST: Duration = Duration::from_secs(2);
/// Part of the saved-up bytes that one message may use.
const MESSAGE_PART: f64 = 0.25;
/// Bytes that a message may always carry besides its header.
const MIN_MESSAGE_BYTES: usize = 160;
/// Bytes that a message may carry at most, so that it fits one packet.
pub const MAX_MESSAGE_BYTES: usize = 1100;
/// Period over which the use is compared with the budget.
const METER_PERIOD: Duration = Duration::from_secs(10);
/// Shortest time between two events about the same budget.
const EVENT_PERIOD: Duration = Duration::from_secs(60);

/// Use of the budget over the last period.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ControlUse {
    /// Bytes sent a second.
    pub bytes_per_second: f64,
    /// Part of a core in percent.
    pub cpu_percent: f64,
    /// Resident memory of the process, requests included.
    pub memory_bytes: u64,
}

#[derive(Debug)]
struct Meter {
    tokens: f64,
    refilled_at: Duration,
    period_start: Duration,
    bytes_at_start: i64,
    cpu: Duration,
    last: ControlUse,
    last_event: Option<Duration>,
}

/// Handle to the budget of a node.
#[derive(Clone)]
pub struct ControlBudget {
    cx: Cx,
    meter: Arc<Mutex<Meter>>,
}

impl ControlBudget {
    /// Returns a full budget.
    pub fn new(cx: Cx) -> Self {
        let now = cx.clock.now();
        let meter = Meter {
            tokens: BYTES_PER_SECOND,
            refilled_at: now,
            period_start: now,
            bytes_at_start: 0,
            cpu: Duration::ZERO,
            last: ControlUse::default(),
            last_event: None,
        };
        Self { cx, meter: Arc::new(Mutex::new(meter)) }
    }

    /// Returns the bytes that the next message may carry besides its header.
    pub fn message_bytes(&self) -> usize {
        let mut meter = self.lock();
        let now = self.cx.clock.now();
        let elapsed = now.saturating_sub(meter.refilled_at).as_secs_f64();
        let rate = BYTES_PER_SECOND * PLANNED_PART;
        let limit = rate * BURST.as_secs_f64();
        meter.tokens = (meter.tokens + elapsed * rate).min(limit);
        meter.refilled_at = now;
        let allowed = (meter.tokens * MESSAGE_PART).max(0.0) as usize;
        allowed.clamp(MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
    }

    /// Notes bytes that were sent.
    pub fn spend(&self, bytes: usize) {
        let mut meter = self.lock();
        let limit = BYTES_PER_SECOND * BURST.as_secs_f64();
        meter.tokens = (meter.tokens - bytes as f64).max(-limit);
    }

    /// Runs control work and notes its processor time.
    pub fn timed<T>(&self, work: impl FnOnce() -> T) -> T {
        let start = thread_cpu();
        let result = work();
        let used = thread_cpu().saturating_sub(start);
        self.lock().cpu += used;
        let micros = used.as_micros() as i64;
        self.cx.metrics.count(metric_names::CONTROL_CPU_MICROSECONDS, micros);
        result
    }

    /// Returns the use over the last full period.
    pub fn last_use(&self) -> ControlUse {
        self.lock().last
    }

    /// Closes the period when it is over, sets the gauges and records an event when over budget.
    pub fn measure(&self) {
        let now = self.cx.clock.now();
        let sent = self.cx.metrics.value(metric_names::PEER_BYTES_SENT);
        let mut meter = self.lock();
        let elapsed = now.saturating_sub(meter.period_start);
        if elapsed < METER_PERIOD {
            return;
        }
        let last = ControlUse {
            bytes_per_second: (sent - meter.bytes_at_start) as f64 / elapsed.as_secs_f64(),
            cpu_percent: meter.cpu.as_secs_f64() / elapsed.as_secs_f64() * 100.0,
            memory_bytes: resident_bytes(),
        };
        meter.last = last;
        meter.period_start = now;
        meter.bytes_at_start = sent;
        meter.cpu = Duration::ZERO;
        let is_over = last.bytes_per_second > BYTES_PER_SECOND || last.cpu_percent > CPU_PERCENT;
        let is_due = meter.last_event.is_none_or(|last| now >= last + EVENT_PERIOD);
        if is_over && is_due {
            meter.last_event = Some(now);
        }
        drop(meter);
        let metrics = &self.cx.metrics;
        metrics.gauge(metric_names::CONTROL_BYTES_PER_SECOND, last.bytes_per_second as u64);
        metrics.gauge(metric_names::CONTROL_MEMORY_BYTES, last.memory_bytes);
        if is_over && is_due {
            self.cx.record(Event::ControlOverBudget {
                node: self.cx.node().to_string(),
                bytes_per_second: last.bytes_per_second as u64,
                cpu_percent: last.cpu_percent,
                memory_bytes: last.memory_bytes,
                lowest_kind_sent: String::new(),
            });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn thread_cpu() -> Duration {
    let time = rustix::time::clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the resident memory of the process; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
