//! Starts, signals and terminates the daemon processes of a benchmark.

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

/// First port in the range that daemons listen on.
const FIRST_PORT: u32 = 12_000;
/// Number of ports in the range that daemons listen on.
const PORT_COUNT: u32 = 18_000;
/// Offset between the first ports of two runs with consecutive process ids.
const PORTS_PER_RUN: u32 = 64;

/// Memory of each daemon in MiB, equal to the default of the settings.
const MEMORY_MB: u32 = 8192;
/// Maximum number of connections of callers, equal to the default of the settings.
const MAX_CONNECTIONS: u32 = 20_000;

/// Operator token of all benchmarks.
pub const OPERATOR_TOKEN: &str = "bench-operator";

/// Timeout for a daemon to listen after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Content of the fleet key file: 64 hexadecimal digits.
const FLEET_KEY: &str = "5a17c0de5a17c0de5a17c0de5a17c0de5a17c0de5a17c0de5a17c0de5a17c0de\n";

/// Directory for the files of one benchmark run, removed on drop unless [`RunDirectory::keep`] was
/// called.
#[derive(Debug)]
pub struct RunDirectory {
    path: PathBuf,
    is_kept: bool,
}

impl RunDirectory {
    /// Creates the directory in the system's directory for temporary files and writes the fleet
    /// key.
    pub fn new(name: &str) -> Result<Self> {
        let path = std::env::temp_dir().join(format!("guavaladder-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).with_context(|| format!("cannot create {}", path.display()))?;
        fs::write(path.join("fleet.key"), FLEET_KEY)?;
        Ok(Self { path, is_kept: false })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps the files on drop, so that the logs of a failed run can be inspected.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for RunDirectory {
    fn drop(&mut self) {
        if !self.is_kept {
            // A temporary directory that cannot be removed is harmless.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// Daemon process with its settings and its log file.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Settings of the daemon.
    pub settings: DaemonSettings,
    program: PathBuf,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

/// Settings that differ between the daemons of a run.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    /// Node id.
    pub node: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Region of the node.
    pub region: String,
    /// Address of the platform.
    pub platform: String,
    /// Addresses of the peers through which the node joins the fleet.
    pub peers: Vec<String>,
    /// Timeout of a graceful shutdown.
    pub shutdown: Duration,
}

impl DaemonProcess {
    /// Writes the settings of a daemon that listens on free ports, without starting it.
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
            memory_mb: MEMORY_MB,
            max_connections: MAX_CONNECTIONS,
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

    /// Sets the gossip period; must be called before [`DaemonProcess::start`].
    pub fn with_gossip(mut self, period: Duration) -> Result<Self> {
        self.settings.gossip = period;
        fs::write(&self.settings_file, serde_json::to_string_pretty(&self.settings)?)?;
        Ok(self)
    }

    /// Starts the process and waits until it accepts connections of callers.
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
        let deadline = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(&self.settings.caller_listen).await.is_err() {
            if let Some(status) = self.try_wait()? {
                bail!(
                    "{} exited during startup with {status}: {}",
                    self.settings.node,
                    self.log_tail()
                );
            }
            if Instant::now() > deadline {
                bail!(
                    "{} does not accept connections after {START_TIMEOUT:?}: {}",
                    self.settings.node,
                    self.log_tail()
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        kill(Pid::from_raw(child.id() as i32), signal).context("cannot signal the daemon")
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if Instant::now() > deadline {
                bail!("{} did not exit within {timeout:?}", self.settings.node);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills the process immediately.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells whether the process was started and its exit has not been observed.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the process id.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        let log = fs::read_to_string(&self.log_file).unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(8).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    /// Returns the path of the log file.
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

/// Returns the path of the daemon executable in the directory of this one.
///
/// Builds the daemon first when cargo runs this program, so that it is up to date.
pub fn daemon_program() -> Result<PathBuf> {
    let own_program = std::env::current_exe()?;
    let directory = own_program.parent().context("the path of this program has no directory")?;
    // Cargo places test executables in `deps`, one level below the other executables.
    let directory = match directory.file_name().and_then(|name| name.to_str()) {
        Some("deps") => {
            directory.parent().context("the `deps` directory has no parent directory")?
        }
        _ => directory,
    };
    let program = directory.join("guavaladderd");
    if let Some(cargo) = std::env::var_os("CARGO") {
        build(Path::new(&cargo), directory)?;
    }
    if !program.exists() {
        bail!("{} does not exist; build the workspace first", program.display());
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
/// The ports lie below the ephemeral port range of the system, so that no outgoing connection takes
/// a port before the daemon binds it. The process id determines the first port, so that concurrent
/// runs use different ports.
fn free_address() -> Result<String> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..PORT_COUNT {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (std::process::id() * PORTS_PER_RUN + step) % PORT_COUNT;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free port in the range of {PORT_COUNT} ports from {FIRST_PORT}")
}
