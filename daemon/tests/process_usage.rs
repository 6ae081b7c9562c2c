//! Peak memory and file descriptors of a process.

use std::collections::BTreeSet;
use std::fs;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Time without a change after which the peaks are taken as reached.
const STEADY_TIME: Duration = Duration::from_secs(1);
/// Longest time for which they are waited for.
const STEADY_TIMEOUT: Duration = Duration::from_secs(30);
/// States of sockets in `/proc/net/tcp` that hold no data: closed ones whose ports rest, and listeners.
const WITHOUT_DATA: [&str; 2] = ["06", "0A"];

/// Resources that a process uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Resident memory and the bytes that the kernel has received for the process, in bytes.
    pub memory: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Samples the usage of a process in threads.
pub struct UsageMonitor {
    pid: u32,
    is_stopped: Arc<AtomicBool>,
    peak: Arc<Mutex<Usage>>,
    threads: Vec<JoinHandle<()>>,
}

impl UsageMonitor {
    /// Starts to sample a process that listens on the given ports.
    pub fn start(pid: u32, ports: Vec<u16>) -> Self {
        let mut monitor = Self {
            pid,
            is_stopped: Arc::new(AtomicBool::new(false)),
            peak: Arc::new(Mutex::new(Usage::default())),
            threads: vec![],
        };
        monitor.spawn(move || {
            let memory = status_bytes(pid, "VmRSS:")?;
            Some(Usage { memory, descriptors: sockets(pid)?.0 })
        });
        // The table of the sockets of all processes can take long to read.
        monitor.spawn(move || Some(Usage { memory: with_unread(pid, &ports)?, descriptors: 0 }));
        monitor
    }

    fn spawn(&mut self, sample: impl Fn() -> Option<Usage> + Send + 'static) {
        let (is_stopped, peak) = (self.is_stopped.clone(), self.peak.clone());
        self.threads.push(thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                // There is no sample of a process that has ended.
                let usage = sample().unwrap_or_default();
                let mut peak = peak.lock().unwrap();
                peak.memory = peak.memory.max(usage.memory);
                peak.descriptors = peak.descriptors.max(usage.descriptors);
                drop(peak);
                thread::sleep(SAMPLE_INTERVAL);
            }
        }));
    }

    /// Returns the peak of each resource until now.
    pub fn peak(&self) -> Usage {
        let mut peak = *self.peak.lock().unwrap();
        peak.memory = peak.memory.max(self.peak_resident());
        peak
    }

    /// Returns the peak of the resident memory alone until now, in bytes.
    pub fn peak_resident(&self) -> usize {
        status_bytes(self.pid, "VmHWM:").unwrap_or(0)
    }

    /// Waits until the peaks have not changed for some time, but not without end.
    pub async fn wait_until_steady(&self) {
        let start = Instant::now();
        let (mut peaks, mut since) = ((self.peak(), self.peak_resident()), start);
        while since.elapsed() < STEADY_TIME && start.elapsed() < STEADY_TIMEOUT {
            sleep(SAMPLE_INTERVAL).await;
            // Bytes that the process has read do not change the sum.
            let latest = (self.peak(), self.peak_resident());
            if latest != peaks {
                (peaks, since) = (latest, Instant::now());
            }
        }
    }

    /// Stops sampling.
    pub fn stop(self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

/// Returns the resident memory and the unread bytes. Bytes that the process reads meanwhile are not counted
/// twice.
fn with_unread(pid: u32, ports: &[u16]) -> Option<usize> {
    let (_, sockets) = sockets(pid)?;
    let before = status_bytes(pid, "VmRSS:")?;
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let after = status_bytes(pid, "VmRSS:")?;
    let unread: usize = table.lines().filter_map(|line| unread(line, ports, &sockets)).sum();
    Some(before.min(after) + unread)
}

/// Returns the number of open descriptors and the inodes of the sockets among them.
fn sockets(pid: u32) -> Option<(usize, BTreeSet<String>)> {
    let entries = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.flatten();
    let targets: Vec<_> = entries.map(|entry| fs::read_link(entry.path())).collect();
    let inode = |target: &std::path::PathBuf| {
        let text = target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(text.to_string())
    };
    Some((targets.len(), targets.iter().flatten().filter_map(inode).collect()))
}

/// Returns a size in the status of a process, in bytes.
fn status_bytes(pid: u32, name: &str) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: usize = value.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib << 10)
}

/// Returns the unread bytes of a line of `/proc/net/tcp`, if its socket belongs to the process or waits in
/// the queue of one of its listeners.
fn unread(line: &str, ports: &[u16], sockets: &BTreeSet<String>) -> Option<usize> {
    let state = line.split_whitespace().nth(3)?;
    if WITHOUT_DATA.contains(&state) {
        return None;
    }
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (_, port) = fields.get(1)?.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let is_own = ports.contains(&port) || sockets.contains(*fields.get(9)?);
    let (_, received) = fields.get(4)?.split_once(':')?;
    let received = usize::from_str_radix(received, 16).ok()?;
    is_own.then_some(received)
}
