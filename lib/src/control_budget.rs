//! Budget and metering of the control traffic between nodes.

use crate::cx::Cx;
use crate::generated::events::Event;
use crate::metric_names;
use rustix::time::ClockId;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Bytes per second of control traffic that a node may send.
pub const BYTES_PER_SECOND: f64 = 4096.0;
/// CPU time that control work may use, in percent of a core.
pub const CPU_PERCENT: f64 = 2.3;
/// Memory that control work may use, in bytes.
pub const MEMORY_BYTES: u64 = 32 * 1024 * 1024;
/// Fraction of the byte rate that is planned for gossip; the rest is for exchanges and urgent
/// updates.
const PLANNED_FRACTION: f64 = 0.85;
/// Time for which unused bytes accumulate.
const BURST: Duration = Duration::from_secs(2);
/// Fraction of the available bytes that one message may use.
const MESSAGE_FRACTION: f64 = 0.25;
/// Number of bytes that a message may always carry in addition to its header.
const MIN_MESSAGE_BYTES: usize = 160;
/// Maximum number of bytes that a message may carry, so that it fits into one packet.
pub const MAX_MESSAGE_BYTES: usize = 1100;
/// Period over which the usage is measured and compared with the budget.
const METER_PERIOD: Duration = Duration::from_secs(10);
/// Minimum interval between two events about an exceeded budget.
const EVENT_INTERVAL: Duration = Duration::from_secs(60);

/// Usage of the budget over the last period.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ControlUsage {
    /// Bytes sent per second.
    pub bytes_per_second: f64,
    /// CPU usage in percent of a core.
    pub cpu_percent: f64,
    /// Resident memory of the whole process, including its requests.
    pub memory_bytes: u64,
}

#[derive(Debug)]
struct Meter {
    tokens: f64,
    refilled_at: Duration,
    period_start: Duration,
    bytes_at_start: i64,
    cpu: Duration,
    last: ControlUsage,
    last_event: Option<Duration>,
}

/// Handle to the control budget of a node.
#[derive(Clone)]
pub struct ControlBudget {
    cx: Cx,
    meter: Arc<Mutex<Meter>>,
}

impl ControlBudget {
    /// Creates a budget with one second's worth of bytes available.
    pub fn new(cx: Cx) -> Self {
        let now = cx.clock.now();
        let meter = Meter {
            tokens: BYTES_PER_SECOND,
            refilled_at: now,
            period_start: now,
            bytes_at_start: 0,
            cpu: Duration::ZERO,
            last: ControlUsage::default(),
            last_event: None,
        };
        Self { cx, meter: Arc::new(Mutex::new(meter)) }
    }

    /// Returns the number of bytes that the next message may carry in addition to its header.
    pub fn message_bytes(&self) -> usize {
        let mut meter = self.lock();
        let now = self.cx.clock.now();
        let elapsed = now.saturating_sub(meter.refilled_at).as_secs_f64();
        let rate = BYTES_PER_SECOND * PLANNED_FRACTION;
        let limit = rate * BURST.as_secs_f64();
        meter.tokens = (meter.tokens + elapsed * rate).min(limit);
        meter.refilled_at = now;
        let allowed = (meter.tokens * MESSAGE_FRACTION).max(0.0) as usize;
        allowed.clamp(MIN_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
    }

    /// Charges sent bytes to the budget.
    pub fn spend(&self, bytes: usize) {
        let mut meter = self.lock();
        let limit = BYTES_PER_SECOND * BURST.as_secs_f64();
        meter.tokens = (meter.tokens - bytes as f64).max(-limit);
    }

    /// Runs control work and records the CPU time that it used.
    pub fn timed<T>(&self, work: impl FnOnce() -> T) -> T {
        let start = thread_cpu();
        let result = work();
        let used = thread_cpu().saturating_sub(start);
        self.lock().cpu += used;
        let micros = used.as_micros() as i64;
        self.cx.metrics.count(metric_names::CONTROL_CPU_MICROSECONDS, micros);
        result
    }

    /// Returns the usage over the last complete period.
    pub fn last_usage(&self) -> ControlUsage {
        self.lock().last
    }

    /// At the end of a period, updates the gauges and records an event if the budget was exceeded.
    pub fn measure(&self) {
        let now = self.cx.clock.now();
        let sent = self.cx.metrics.value(metric_names::PEER_BYTES_SENT);
        let mut meter = self.lock();
        let elapsed = now.saturating_sub(meter.period_start);
        if elapsed < METER_PERIOD {
            return;
        }
        let last = ControlUsage {
            bytes_per_second: (sent - meter.bytes_at_start) as f64 / elapsed.as_secs_f64(),
            cpu_percent: meter.cpu.as_secs_f64() / elapsed.as_secs_f64() * 100.0,
            memory_bytes: resident_bytes(),
        };
        meter.last = last;
        meter.period_start = now;
        meter.bytes_at_start = sent;
        meter.cpu = Duration::ZERO;
        let is_over_budget =
            last.bytes_per_second > BYTES_PER_SECOND || last.cpu_percent > CPU_PERCENT;
        let is_due = meter.last_event.is_none_or(|last| now >= last + EVENT_INTERVAL);
        if is_over_budget && is_due {
            meter.last_event = Some(now);
        }
        drop(meter);
        let metrics = &self.cx.metrics;
        metrics.gauge(metric_names::CONTROL_BYTES_PER_SECOND, last.bytes_per_second as u64);
        metrics.gauge(metric_names::CONTROL_MEMORY_BYTES, last.memory_bytes);
        if is_over_budget && is_due {
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

/// Returns the resident memory of the process, or 0 if it is not available.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
