//! A daemon with its own interface, little memory and few connections, beside clients that stall.

use crate::load_run;
use crate::load_run::LoadRun;
use crate::load_run::Outcome;
use crate::process::TestDir;
use crate::stalling_client::RawRequest;
use crate::stalling_client::StallingClient;
use guavaladder_bench::fake_fleet::FakeFleet;
use guavaladder_bench::fake_fleet::PlainPlan;
use guavaladder_lib::config_view::CONFIG_KEY;
use guavaladder_lib::token_hash::hash_token;
use guavaladder_testutils::engine_options::EngineOptions;
use serde_json::Value;
use serde_json::json;
use std::fs::File;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::MutexGuard;
use tokio::time::sleep;
use tokio::time::timeout;

/// Memory of the daemon's machine, in MiB.
pub const MEMORY_MB: usize = 64;
/// Maximum number of connections of callers.
pub const MAX_CONNECTIONS: usize = 128;
/// Maximum number of descriptors beside the connections of callers: connections of operators and to other
/// processes, and files.
pub const OTHER_DESCRIPTORS: usize = 256 + 256;
/// Maximum number of descriptors.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + OTHER_DESCRIPTORS;
/// Maximum length of a request body, in bytes.
pub const MAX_BODY: usize = 1 << 20;
/// Token of a caller.
pub const TOKEN: &str = "caller-token";
const OPERATOR_TOKEN: &str = "operator-token";
/// Time that a call of the service `slow` takes.
const SLOW_TIME: Duration = Duration::from_secs(30);
/// Time for which ordinary requests are tried until one is served.
const SERVED_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two of them.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A listener of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    Callers,
    Operators,
}

/// A daemon that logs to a file; killed when dropped.
struct LoggedDaemon(Child);

impl LoggedDaemon {
    fn start(settings: &str, log: &str) -> Self {
        let daemon = Command::new(env!("CARGO_BIN_EXE_guavaladderd"))
            .args(["--config", settings])
            .stderr(File::create(log).unwrap())
            .spawn();
        Self(daemon.unwrap())
    }

    fn is_running(&mut self) -> bool {
        self.0.try_wait().unwrap().is_none()
    }
}

impl Drop for LoggedDaemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A daemon with the plain services `filing` and `slow`.
pub struct DaemonStand {
    daemon: LoggedDaemon,
    callers: SocketAddr,
    operators: SocketAddr,
    _fleet: FakeFleet,
    _dir: TestDir,
    _lock: MutexGuard<'static, ()>,
}

impl DaemonStand {
    /// Starts the daemon and waits until it serves.
    pub async fn new(test: &str) -> Self {
        Self::with_connections(test, MAX_CONNECTIONS).await
    }

    /// Starts a daemon with another limit on the connections of callers.
    pub async fn with_connections(test: &str, max_connections: usize) -> Self {
        let lock = load_run::lock().await;
        let mut fleet = FakeFleet::start().await.unwrap();
        let slow = EngineOptions { plain_time: SLOW_TIME, ..EngineOptions::default() };
        for (service, options) in [("filing", EngineOptions::default()), ("slow", slow)] {
            let (service, data_centre) = (service.to_string(), "dc-1".to_string());
            let plan = PlainPlan { service, data_centre, instances: 1, options };
            fleet.add_plain(&plan).await.unwrap();
        }
        fleet.store.seed(CONFIG_KEY, &configuration().to_string());
        let dir = TestDir::new(&format!("memory-{test}"));
        let mut settings = dir.settings();
        settings["platform"] = json!(fleet.platform_address());
        settings["bootstrap_operator"] = json!(hash_token(OPERATOR_TOKEN));
        settings["memory_mb"] = json!(MEMORY_MB);
        settings["max_connections"] = json!(max_connections);
        let address = |name: &str| settings[name].as_str().unwrap().parse().unwrap();
        let (callers, operators) = (address("caller_listen"), address("operator_listen"));
        let file = dir.write("settings.json", &settings.to_string());
        let daemon = LoggedDaemon::start(&file, &dir.write("log", ""));
        let stand = Self { daemon, callers, operators, _fleet: fleet, _dir: dir, _lock: lock };
        assert!(stand.is_served().await, "the daemon did not start serving");
        stand
    }

    /// Returns the address of a listener.
    pub fn address(&self, listener: Listener) -> SocketAddr {
        match listener {
            Listener::Callers => self.callers,
            Listener::Operators => self.operators,
        }
    }

    /// Runs clients of one kind, sends ordinary requests beside them and afterwards, and returns what was
    /// seen.
    pub async fn run(
        &mut self,
        client: &StallingClient,
        listener: Listener,
        count: usize,
    ) -> Outcome {
        let (to, pid) = (self.address(listener), self.daemon.0.id());
        let ports = vec![self.callers.port(), self.operators.port()];
        let run = LoadRun { client, to, count, pid, ports };
        let outcome = run.run(async || self.is_served().await, async || self.is_operated().await);
        let outcome = outcome.await;
        Outcome { is_running: self.daemon.is_running(), ..outcome }
    }

    /// Tries calls until one has been served.
    async fn is_served(&self) -> bool {
        let call = call().with_header("Content-Length", "6").with_body(b"a body");
        self.is_ok(self.callers, &call).await
    }

    /// Tries requests of an operator until one has been answered.
    async fn is_operated(&self) -> bool {
        let status = RawRequest::new("GET", "/operator/v1/status")
            .with_header("Authorization", &format!("Bearer {OPERATOR_TOKEN}"));
        self.is_ok(self.operators, &status).await
    }

    async fn is_ok(&self, to: SocketAddr, request: &RawRequest) -> bool {
        let start = Instant::now();
        while start.elapsed() < SERVED_TIMEOUT {
            let sent = timeout(RESPONSE_TIMEOUT, send(to, request));
            if sent.await.ok().flatten().is_some_and(|status| status == "200") {
                return true;
            }
            sleep(RETRY_INTERVAL).await;
        }
        false
    }
}

/// Sends a request on a new connection and returns the status of the response.
pub async fn send(to: SocketAddr, request: &RawRequest) -> Option<String> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(&request.clone().with_header("Connection", "close").to_bytes()).await.ok()?;
    let mut received = vec![];
    // The other side may reset the connection behind its response.
    let _ = stream.read_to_end(&mut received).await;
    let text = String::from_utf8_lossy(&received).into_owned();
    text.split(' ').nth(1).map(str::to_string)
}

/// Returns a call of the service `filing` without a body.
pub fn call() -> RawRequest {
    call_of("filing")
}

/// Returns a call of a service without a body.
pub fn call_of(service: &str) -> RawRequest {
    RawRequest::new("POST", &format!("/v1/call/{service}/a"))
        .with_header("Authorization", &format!("Bearer {TOKEN}"))
}

fn configuration() -> Value {
    let plain = json!({"kind": "plain", "replicas": 1, "idempotent": true});
    json!({
        "version": 1, "change_id": "c", "author": "test", "reason": "test", "accepted_unix_ms": 0,
        "config": {
            "defaults": {"max_prompt_bytes": MAX_BODY},
            "services": {"filing": plain, "slow": plain},
            "customers": {"a": {"weight": 10, "burst": 1000, "tokens": [hash_token(TOKEN)]}},
        },
    })
}
