//! Daemons of the serving soak, their disturbances, and the proxy before the store.

use anyhow::Context;
use anyhow::Result;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::json;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

/// Time for which the platform lets a daemon shut down before it kills the process: its `graceS`.
pub const GRACE: Duration = Duration::from_secs(3);
/// UDP port of the messages between the daemons.
const PEER_PORT: u16 = 19_471;
/// Last octet of the address of the first daemon.
const FIRST_HOST: u8 = 100;

/// What disturbs a daemon or the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The daemon was asked to stop.
    Stop,
    /// The daemon got SIGHUP.
    HangUp,
    /// The daemon's links to all instances were cut; callers, the store and the other daemons reach it.
    Partition,
    /// Anything that is not planned.
    Unplanned,
}

/// Periods in which a daemon or the store was disturbed.
#[derive(Debug, Clone, Default)]
pub struct Disturbances {
    periods: Arc<Mutex<Vec<Disturbance>>>,
}

/// A period in which a daemon or the store was disturbed.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Number of the daemon; `None` for the store.
    pub node: Option<usize>,
    /// What disturbed it.
    pub cause: Cause,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Option<Instant>,
}

impl Disturbances {
    /// Records the begin of a disturbance and returns its number.
    pub fn begin(&self, node: Option<usize>, cause: Cause) -> usize {
        let mut periods = self.periods.lock().expect("the lock is not poisoned");
        periods.push(Disturbance { node, cause, from: Instant::now(), until: None });
        periods.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end(&self, number: usize) {
        let mut periods = self.periods.lock().expect("the lock is not poisoned");
        periods[number].until = Some(Instant::now());
    }

    /// Returns whether neither the daemon nor the store was disturbed between two moments. A daemon that is
    /// partitioned from the instances counts as undisturbed.
    pub fn are_absent(&self, node: usize, from: Instant, until: Instant) -> bool {
        self.between(node, from, until).iter().all(|d| d.cause == Cause::Partition)
    }

    /// Returns the partitions of daemons from the instances.
    pub fn partitions(&self) -> Vec<Disturbance> {
        let periods = self.periods.lock().expect("the lock is not poisoned");
        periods.iter().filter(|d| d.cause == Cause::Partition).cloned().collect()
    }

    /// Returns the disturbances of a daemon and of the store that overlap with a period.
    pub fn between(&self, node: usize, from: Instant, until: Instant) -> Vec<Disturbance> {
        let periods = self.periods.lock().expect("the lock is not poisoned");
        let affecting = periods.iter().filter(|d| d.node.is_none_or(|other| other == node));
        affecting.filter(|d| d.overlaps(from, until)).cloned().collect()
    }
}

impl Disturbance {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// What all daemons of a run have in common.
#[derive(Debug)]
pub struct NodePlan {
    /// Program of the daemons.
    pub program: PathBuf,
    /// Program that daemons with an odd number begin with; at each restart a daemon changes to the other
    /// program.
    pub other_program: Option<PathBuf>,
    /// Directory of the settings files.
    pub directory: PathBuf,
    /// Directory of the logs, if they are kept.
    pub logs: Option<PathBuf>,
    /// Address of the store for each daemon.
    pub stores: Vec<SocketAddr>,
    /// Slack of the retry budgets.
    pub retry_slack: usize,
}

/// Daemon process with the settings file from which it is restarted.
#[derive(Debug)]
pub struct NodeProcess {
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Number of times that the process was killed since it had not exited after [`GRACE`].
    pub overdue: usize,
    program: PathBuf,
    /// Program that the daemon is started with next, if it changes at each restart.
    next_program: Option<PathBuf>,
    config: PathBuf,
    /// File that the daemon's log is appended to.
    log: Option<PathBuf>,
    child: Child,
}

impl NodeProcess {
    /// Starts a daemon on an address of its own.
    pub async fn start(plan: &NodePlan, number: u8) -> Result<Self> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = [127, 2 + high % 250, low, FIRST_HOST + number];
        let caller_address = free_address(host).await?;
        let settings = json!({
            "node": format!("n{number}"), "data_centre": "east", "peer_port": PEER_PORT,
            "store": plan.stores[usize::from(number)].to_string(),
            "listen": {
                "callers": caller_address.to_string(),
                "readiness": free_address(host).await?.to_string(),
                "directory": free_address(host).await?.to_string(),
            },
            "bounds": {"shutdown_s": GRACE.as_secs(), "retry_slack": plan.retry_slack},
        });
        let config = plan.directory.join(format!("n{number}.json"));
        std::fs::write(&config, settings.to_string())?;
        let log = plan.logs.as_ref().map(|logs| logs.join(format!("n{number}.log")));
        let mut program = plan.program.clone();
        let mut next_program = plan.other_program.clone();
        if let Some(next) = next_program.as_mut().filter(|_| number % 2 == 1) {
            std::mem::swap(&mut program, next);
        }
        let child = spawn(&program, &config, log.as_deref())?;
        Ok(Self { caller_address, overdue: 0, program, next_program, config, log, child })
    }

    /// Ends the process.
    pub fn terminate(&mut self) {
        // It may have exited already.
        let _ = self.child.start_kill();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = self.child.id().context("a daemon exited unexpectedly")?;
        kill(Pid::from_raw(pid as i32), signal).context("cannot send a signal to a daemon")
    }

    /// Waits until the process has exited, kills it after `deadline`, and starts it again after a delay.
    pub async fn restart(&mut self, deadline: Instant, delay: Duration) -> Result<()> {
        if timeout_at(deadline, self.child.wait()).await.is_err() {
            self.overdue += 1;
            self.child.kill().await?;
        }
        sleep(delay).await;
        if let Some(next) = &mut self.next_program {
            std::mem::swap(&mut self.program, next);
        }
        self.child = spawn(&self.program, &self.config, self.log.as_deref())?;
        Ok(())
    }
}

fn spawn(program: &Path, config: &Path, log: Option<&Path>) -> Result<Child> {
    let output = match log {
        Some(log) => Stdio::from(File::options().create(true).append(true).open(log)?),
        None => Stdio::null(),
    };
    let mut command = Command::new(program);
    command.args(["--serve", "--config"]).arg(config);
    command.stdout(output).stderr(Stdio::inherit()).kill_on_drop(true);
    command.spawn().context("cannot start a daemon")
}

async fn free_address(host: [u8; 4]) -> Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::from((host, 0))).await?;
    Ok(listener.local_addr()?)
}

/// Mode of the proxy between the daemons and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all bytes.
    Forward,
    /// Forwards nothing on open and new connections, without closing them.
    Stalled,
}

/// Starts a proxy for connections to the store and returns its address.
pub async fn start_proxy(
    store: SocketAddr,
    modes: watch::Receiver<ProxyMode>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(client, store, modes.clone()));
        }
    });
    Ok(address)
}

/// Forwards the bytes of a connection while the proxy is not stalled.
async fn forward(mut client: TcpStream, store: SocketAddr, mut modes: watch::Receiver<ProxyMode>) {
    let is_forwarding = |mode: &ProxyMode| *mode == ProxyMode::Forward;
    loop {
        if modes.wait_for(is_forwarding).await.is_err() {
            return;
        }
        let Ok(mut server) = TcpStream::connect(store).await else { return };
        let mut changes = modes.clone();
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut client, &mut server) => return,
            _ = changes.wait_for(|mode| !is_forwarding(mode)) => {}
        }
        // The connection to the store is closed and bytes in transit are lost; the daemon's
        // connection stays open until the daemon times out.
    }
}
