//! A daemon on the users' platform with little memory and few descriptors, beside clients that stall.

use crate::load_run;
use crate::load_run::LoadRun;
use crate::load_run::Outcome;
use crate::process::ServingDaemon;
use crate::process::TestDir;
use crate::process::free_address;
use crate::stalling_client::StallingClient;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::LoadReplica;
use guavaladder_platform_testutils::ReplicaLoad;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::MutexGuard;
use tokio::time::sleep;

/// Memory of the daemon's machine, in MiB.
pub const MEMORY_MB: usize = 64;
/// Maximum number of descriptors of the daemon.
pub const MAX_DESCRIPTORS: usize = 256;
/// Maximum length of a request body, in bytes.
pub const MAX_BODY: usize = 1 << 20;
/// Time for which ordinary requests are tried until one is served.
const SERVED_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two of them.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A listener of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    Callers,
    Relay,
    Directory,
    Readiness,
    Metrics,
}

/// A daemon with a sound service `orders`, and a service `parcels` with one replica of a given kind.
pub struct ServingStand {
    daemon: ServingDaemon,
    pub callers: SocketAddr,
    settings: Value,
    _fake_platform: FakePlatform,
    _replica: LoadReplica,
    _dir: TestDir,
    _lock: MutexGuard<'static, ()>,
}

impl ServingStand {
    /// Starts the daemon and waits until it serves.
    pub async fn new(test: &str, load: ReplicaLoad) -> Self {
        Self::with_limits(test, load, MEMORY_MB, MAX_DESCRIPTORS).await
    }

    /// Starts a daemon with the given memory in MiB and number of descriptors, and waits until it serves.
    pub async fn with_limits(
        test: &str,
        load: ReplicaLoad,
        memory_mb: usize,
        max_descriptors: usize,
    ) -> Self {
        let lock = load_run::lock().await;
        let store = FakeStore::start().await;
        store.put("config", "main", configuration());
        let replica = LoadReplica::start(load).await.unwrap();
        let entry = json!({
            "service": "parcels", "address": replica.address.to_string(), "zone": "east",
            "version": "v1", "slots": 120, "state": "ready", "coldLeftMs": 0, "sequence": 1,
            "born": 5,
        });
        store.put("servers", "l-00", entry);
        let fake_platform = FakePlatform::new(store);
        let (id, service) = ("p-00".to_string(), "orders".to_string());
        let data_centre = "east".to_string();
        spawn_instance(&fake_platform, InstanceSpec { id, service, domain: None, data_centre })
            .await;
        let dir = TestDir::new(&format!("memory-{test}"));
        let mut settings = dir.serving_settings(&fake_platform.store.address.to_string());
        settings["memory_mb"] = json!(memory_mb);
        settings["max_descriptors"] = json!(max_descriptors);
        settings["metrics_port"] = json!(free_address().parse::<SocketAddr>().unwrap().port());
        let file = dir.write("settings.json", &settings.to_string());
        let log = std::fs::File::create(dir.write("log", "")).unwrap();
        let daemon = ServingDaemon::start(&file, Stdio::from(log));
        let callers = settings["listen"]["callers"].as_str().unwrap().parse().unwrap();
        let stand = Self {
            daemon,
            callers,
            settings,
            _fake_platform: fake_platform,
            _replica: replica,
            _dir: dir,
            _lock: lock,
        };
        assert!(stand.is_served().await, "the node did not start serving");
        stand
    }

    /// Returns the address of a listener.
    pub fn address(&self, listener: Listener) -> SocketAddr {
        let named = |name: &str| self.settings["listen"][name].as_str().unwrap().parse().unwrap();
        let port = |name: &str| {
            let port = self.settings[name].as_u64().unwrap().try_into().unwrap();
            SocketAddr::new(self.callers.ip(), port)
        };
        match listener {
            Listener::Callers => self.callers,
            Listener::Relay => port("peer_port"),
            Listener::Directory => named("directory"),
            Listener::Readiness => named("readiness"),
            Listener::Metrics => port("metrics_port"),
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
        let ports = [
            Listener::Callers,
            Listener::Relay,
            Listener::Directory,
            Listener::Readiness,
            Listener::Metrics,
        ];
        let ports = ports.map(|listener| self.address(listener).port()).to_vec();
        let run =
            LoadRun { client, to: self.address(listener), count, pid: self.daemon.id(), ports };
        let outcome =
            run.run(async || self.is_served().await, async || self.is_answered(listener).await);
        let outcome = outcome.await;
        Outcome { is_running: self.daemon.is_running(), ..outcome }
    }

    /// Tries requests until one with a body and one without have been served.
    async fn is_served(&self) -> bool {
        self.is_status(self.callers, Method::GET, "/look/a", 200).await
            && self.is_status(self.callers, Method::POST, "/book/a", 200).await
    }

    /// Tries requests until a listener has answered one. The relay listener refuses those of clients.
    async fn is_answered(&self, listener: Listener) -> bool {
        let address = self.address(listener);
        match listener {
            Listener::Callers => true,
            Listener::Relay => self.is_status(address, Method::GET, "/look/a", 503).await,
            Listener::Directory => {
                self.is_status(address, Method::GET, "/-/resolve?name=x", 200).await
            }
            Listener::Readiness => self.is_status(address, Method::GET, "/-/ready", 200).await,
            Listener::Metrics => self.is_status(address, Method::GET, "/metrics", 200).await,
        }
    }

    /// Tries requests with a body of 64 KiB until one has been served.
    pub async fn is_body_served(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < SERVED_TIMEOUT {
            let call = Call::new(Method::POST, "/book/a").with_body(&"a".repeat(64 << 10));
            if call.status(self.callers).await == 200 {
                return true;
            }
            sleep(RETRY_INTERVAL).await;
        }
        false
    }

    async fn is_status(&self, to: SocketAddr, method: Method, path: &str, status: u16) -> bool {
        let start = Instant::now();
        while start.elapsed() < SERVED_TIMEOUT {
            if Call::new(method.clone(), path).status(to).await == status {
                return true;
            }
            sleep(RETRY_INTERVAL).await;
        }
        false
    }
}

fn configuration() -> Value {
    let mut configuration = config(5);
    let routes = [("parcel", "idempotent"), ("feed", "streaming")];
    for (name, kind) in routes {
        let route = json!({
            "name": name, "host": "a.example", "pathPrefix": format!("/{name}/"), "kind": kind,
            "timeoutMs": 60000, "targetLatencyMs": 300, "priority": 1, "service": "parcels",
            "maxAttempts": 2, "public": false, "resumable": kind == "streaming",
        });
        configuration["routes"].as_array_mut().unwrap().push(route);
    }
    let service = json!({"name": "parcels", "healthPath": "/health", "maxConnections": 200});
    configuration["services"].as_array_mut().unwrap().push(service);
    configuration["limits"] =
        json!({"maxBodyBytes": MAX_BODY, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000});
    configuration
}
