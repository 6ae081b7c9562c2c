//! Test helpers that run the daemon as a process.

use serde_json::Value;
use serde_json::json;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStderr;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// A temporary directory with a fleet key file; removed when dropped.
pub struct TestDir {
    path: PathBuf,
}

impl TestDir {
    /// Creates a directory named after the test.
    pub fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("guavaladderd-{test}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        fs::write(path.join("key"), format!("{}\n", "ab".repeat(32))).unwrap();
        Self { path }
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Returns valid settings of a node on the users' platform, with the store at the given address.
    pub fn serving_settings(&self, store: &str) -> Value {
        let peers: SocketAddr = free_address().parse().unwrap();
        json!({
            "node": "entry-1", "data_centre": "east", "peer_port": peers.port(), "store": store,
            "listen": {
                "callers": free_address(), "readiness": free_address(),
                "directory": free_address(),
            },
            "bounds": {"shutdown_s": 2, "retry_slack": 100000},
        })
    }

    /// Returns valid settings of a node, with free ports.
    pub fn settings(&self) -> Value {
        json!({
            "node": "entry-1", "data_centre": "dc-1", "region": "agreste",
            "platform": free_address(), "fleet_key_file": self.path.join("key"),
            "caller_listen": free_address(), "operator_listen": free_address(),
            "peer_listen": free_address(), "shutdown_ms": 2000,
        })
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Returns a local address that is not in use.
///
/// The ports are below the ephemeral range, so the system does not assign them to outgoing connections
/// before the test binds them.
pub fn free_address() -> String {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) as u32;
        let port = 12_000 + (std::process::id() * 64 + offset) % 18_000;
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok() {
            return address;
        }
    }
}

/// Runs the daemon until it exits and returns its output.
pub fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_guavaladderd")).args(args).output().unwrap()
}

/// A running daemon; killed when dropped.
pub struct Daemon {
    child: Child,
    stderr: BufReader<ChildStderr>,
}

impl Daemon {
    /// Starts the daemon with a settings file and waits for the start event on standard error.
    pub fn start(settings: &str) -> Self {
        Self::start_until(settings, "GL0001")
    }

    /// Starts the daemon and waits until its log file contains the start event.
    pub fn start_with_log_file(settings: &str, log: &str) -> Self {
        let mut daemon = Self::spawn(settings);
        while !fs::read_to_string(log).unwrap().contains("GL0001") {
            assert!(daemon.child.try_wait().unwrap().is_none(), "the daemon exited");
            std::thread::yield_now();
        }
        daemon
    }

    /// Starts the daemon and waits until standard error contains `text`.
    pub fn start_until(settings: &str, text: &str) -> Self {
        let mut daemon = Self::spawn(settings);
        daemon.wait_for(text);
        daemon
    }

    fn spawn(settings: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_guavaladderd"))
            .args(["--config", settings])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        Self { child, stderr }
    }

    /// Reads standard error up to the first line that contains `text`, and returns that line.
    pub fn wait_for(&mut self, text: &str) -> String {
        let mut line = String::new();
        while self.stderr.read_line(&mut line).unwrap() > 0 {
            if line.contains(text) {
                return line;
            }
            line.clear();
        }
        panic!("the daemon exited without logging {text}");
    }

    /// Sends SIGTERM to the daemon.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal to the daemon, for example `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the daemon to exit and returns its exit status.
    pub fn wait(&mut self) -> i32 {
        self.child.wait().unwrap().code().unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running daemon on the users' platform; killed when dropped.
pub struct ServingDaemon {
    child: Child,
}

impl ServingDaemon {
    /// Starts the daemon with a settings file and redirects its standard output to `stdout`.
    pub fn start(settings: &str, stdout: Stdio) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_guavaladderd"))
            .args(["--serve", "--config", settings])
            .stdout(stdout)
            .spawn()
            .unwrap();
        Self { child }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the daemon, for example `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Closes the read end of the daemon's standard output.
    pub fn close_stdout(&mut self) {
        drop(self.child.stdout.take());
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for ServingDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
