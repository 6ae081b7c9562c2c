//! Daemon processes that a bench starts, signals by their id, and ends.

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::token_hash::hash_token;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use std::fs;
use std::fs::File;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// First port that daemons are given.
const FIRST_PORT: u32 = 12_000;
/// Ports that daemons are given.
const PORTS: u32 = 18_000;
/// Distance of the first ports of two runs with neighbouring process ids.
const PORTS_PER_RUN: u32 = 64;

/// Token of the operator in all benches.
pub const OPERATOR_TOKEN: &str = "bench-operator";

/// Longest time for a daemon to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two looks at a process.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// A fleet key of 64 hexadecimal digits.
const FLEET_KEY: &str = "5a17c0de5a17c0de5a17c0de5a17c0de5a17c0de5a17c0de5a17c0de5a17c0de\n";

/// Where the files of one bench run are; removed when it is dropped, unless it is kept.
#[derive(Debug)]
pub struct RunDirectory {
    path: PathBuf,
    is_kept: bool,
}

impl RunDirectory {
    /// Makes a directory below the system's directory for temporary files.
    pub fn new(name: &str) -> Result<Self> {
        let path = std::env::temp_dir().join(format!("guavaladder-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).with_context(|| format!("cannot make {}", path.display()))?;
        fs::write(path.join("fleet.key"), FLEET_KEY)?;
        Ok(Self { path, is_kept: false })
    }

    /// Returns the path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the files, for a look at the logs of a failed run.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        if !self.is_kept {
            // A leftover directory for temporary files does no harm.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// One daemon.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Settings that it was started with.
    pub settings: DaemonSettings,
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

/// What differs between the daemons of a run.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// Id of the node.
    pub node: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Address of the platform.
    pub platform: String,
    /// Peer addresses to join by.
    pub peers: Vec<String>,
    /// Bound on a graceful shutdown.
    pub shutdown: Duration,
}

impl DaemonProcess {
    /// Writes the settings of a daemon on free ports; it is started separately.
    pub fn new(program: &Path, directory: &RunDirectory, plan: DaemonPlan) -> Result<Self> {
        let settings = DaemonSettings {
            node: plan.node.clone(),
            data_centre: plan.data_centre,
            region: plan.region,
            platform: plan.platform,
            fleet_key_file: directory.path().join("fleet.key").display().to_string(),
            caller_listen: free_address()?,
            caller_address: None,
            operator_listen: free_address()?,
            peer_listen: free_address()?,
            peers: plan.peers,
            bootstrap_operator: Some(hash_token(OPERATOR_TOKEN)),
            log_config: None,
            statsd: None,
            shutdown: plan.shutdown,
            gossip: Duration::from_millis(200),
            test_hooks: true,
        };
        let settings_file = directory.path().join(format!("{}.json", plan.node));
        let mut text = serde_json::to_value(&settings)?;
        if let Some(members) = text.as_object_mut() {
            members.retain(|_, value| !value.is_null());
        }
        fs::write(&settings_file, serde_json::to_string_pretty(&text)?)?;
        let log_file = directory.path().join(format!("{}.log", plan.node));
        let program = program.to_path_buf();
        Ok(Self { settings, program, settings_file, log_file, child: None })
    }

    /// Sets another period of the gossip; call it before the start.
    pub fn with_gossip(mut self, period: Duration) -> Result<Self> {
        self.settings.gossip = period;
        fs::write(&self.settings_file, serde_json::to_string_pretty(&self.settings)?)?;
        Ok(self)
    }

    /// Starts the process and waits until it listens for callers.
    pub async fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log_file)?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        let until = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(&self.settings.caller_listen).await.is_err() {
            if let Some(status) = self.try_wait()? {
                bail!("{} ended at start with {status}: {}", self.settings.node, self.log_tail());
            }
            if Instant::now() > until {
                bail!("{} does not listen: {}", self.settings.node, self.log_tail());
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        kill(Pid::from_raw(child.id() as i32), signal).context("cannot signal the daemon")
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let until = Instant::now() + timeout;
        loop {
            if let Some(status) = self.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if Instant::now() > until {
                bail!("{} did not end within {timeout:?}", self.settings.node);
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells whether the process was started and has not been seen to end.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the end of the log.
    pub fn log_tail(&self) -> String {
        let log = fs::read_to_string(&self.log_file).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(8).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    /// Returns the file of the log.
    pub fn log_file(&self) -> &Path {
        &self.log_file
    }

    fn try_wait(&mut self) -> Result<Option<ExitStatus>> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?),
            None => bail!("{} is not running", self.settings.node),
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the daemon's program beside this one, built anew when cargo runs this program.
pub fn daemon_program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let directory = own.parent().context("this program has no directory")?;
    // The tests' programs are one level below the others.
    let directory = match directory.file_name().and_then(|name| name.to_str()) {
        Some("deps") => directory.parent().context("no target directory")?,
        _ => directory,
    };
    let program = directory.join("guavaladderd");
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(Path::new(&cargo), directory)?;
    }
    if !program.exists() {
        bail!("{} is missing; build the workspace first", program.display());
    }
    Ok(program)
}

fn build(cargo: &Path, directory: &Path) -> Result<()> {
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "-p", "guavaladderd", "-p", "guavaladder"]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.status().context("cannot run cargo")?;
    if !status.success() {
        bail!("cargo could not build the daemon");
    }
    Ok(())
}

/// Returns an address that is free for both UDP and TCP.
///
/// Ports below the range that the system gives to outgoing connections are not taken before the
/// daemon binds them; the process id keeps runs at the same time apart.
fn free_address() -> Result<String> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..PORTS {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (std::process::id() * PORTS_PER_RUN + step) % PORTS;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free port from {FIRST_PORT} on")
}
