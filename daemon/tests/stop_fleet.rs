//! Daemons on the users' platform that are stopped while many callers keep their connections.

use crate::kept_callers;
use crate::kept_callers::DEADLINE;
use crate::kept_callers::Message;
use crate::kept_callers::SentRequest;
use crate::process::ServingDaemon;
use crate::process::TestDir;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::NodeLinks;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Timeout for conditions that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Port of the messages between the daemons.
const PEER_PORT: u16 = 19_473;
/// Number of instances of the model engine; two form a replica.
const ENGINES: usize = 12;
/// Number of plain instances.
const PLAIN_INSTANCES: usize = 3;

/// A daemon of a fleet.
pub struct FleetDaemon {
    /// Process of the daemon.
    pub process: ServingDaemon,
    /// Address of its listener for callers.
    pub callers: SocketAddr,
    /// Its links to the instances.
    pub links: NodeLinks,
    /// Path of its settings file.
    pub settings: String,
    /// Path of its log.
    pub log: String,
}

/// Daemons with replicas of a model engine and of a plain service.
pub struct StopFleet {
    /// Replicas and store.
    pub fake_platform: FakePlatform,
    /// Daemons.
    pub daemons: Vec<FleetDaemon>,
    /// Time that the daemons have for a shutdown.
    pub grace: Duration,
    dir: TestDir,
}

/// Returns a configuration whose routes have the deadline of the callers as their timeout.
pub fn configuration(version: u64) -> Value {
    let mut configuration = config(version);
    let routes = configuration["routes"].as_array_mut().unwrap();
    let mut once = routes[0].clone();
    once["name"] = json!("speak");
    once["pathPrefix"] = json!("/speak/");
    once["resumable"] = json!(false);
    routes.push(once);
    for route in routes {
        route["timeoutMs"] = json!(DEADLINE.as_millis() as u64);
    }
    configuration
}

impl StopFleet {
    /// Starts daemons that may take `grace` for a shutdown, and waits until they serve.
    pub async fn new(
        test: &str,
        daemons: usize,
        grace: Duration,
        event_interval: Duration,
        retry_slack: u32,
    ) -> Self {
        let store = FakeStore::start().await;
        store.put("config", "main", configuration(5));
        let mut fake_platform = FakePlatform::new(store);
        fake_platform.event_interval = event_interval;
        let spec = |id: String, service: &str, domain: Option<String>| InstanceSpec {
            id,
            service: service.to_string(),
            domain,
            data_centre: "east".to_string(),
        };
        for i in 0..ENGINES {
            let domain = Some(format!("d{}", i / 2));
            spawn_instance(&fake_platform, spec(format!("i-{i:02}"), "drafting", domain)).await;
        }
        for i in 0..PLAIN_INSTANCES {
            spawn_instance(&fake_platform, spec(format!("p-{i:02}"), "orders", None)).await;
        }
        let mut fleet = Self { fake_platform, daemons: vec![], grace, dir: TestDir::new(test) };
        for number in 0..daemons {
            fleet.start_daemon(number, retry_slack).await;
        }
        fleet.wait_until_serving().await;
        fleet
    }

    async fn start_daemon(&mut self, number: usize, retry_slack: u32) {
        static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = [127, 3 + high % 200, low, NEXT_HOST.fetch_add(1, Ordering::Relaxed)];
        let links = NodeLinks::new();
        let store = self.fake_platform.store.serve_with_links(&links).await;
        let mut settings = self.dir.serving_settings(&store.to_string());
        settings["node"] = json!(format!("n{number}"));
        settings["peer_port"] = json!(PEER_PORT);
        let callers = free_address(host);
        settings["listen"] = json!({
            "callers": callers.to_string(), "readiness": free_address(host).to_string(),
            "directory": free_address(host).to_string(),
        });
        let bounds = json!({"shutdown_s": self.grace.as_secs(), "retry_slack": retry_slack});
        settings["bounds"] = bounds;
        let file = self.dir.write(&format!("n{number}.json"), &settings.to_string());
        let log = self.dir.write(&format!("n{number}.log"), "");
        let process =
            ServingDaemon::start(&file, Stdio::from(std::fs::File::create(&log).unwrap()));
        self.daemons.push(FleetDaemon { process, callers, links, settings: file, log });
    }

    async fn wait_until_serving(&self) {
        let start = Instant::now();
        for daemon in &self.daemons {
            for (method, path) in [(Method::GET, "/look/a"), (Method::POST, "/draft/a")] {
                let call = || Call::new(method.clone(), path).with_deadline(DEADLINE);
                while call().status(daemon.callers).await != 200 {
                    assert!(start.elapsed() < WAIT_TIMEOUT, "the daemons did not start serving");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
        while self.fake_platform.open_groups().len() < ENGINES / 2 {
            assert!(start.elapsed() < WAIT_TIMEOUT, "the groups were not formed");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts callers of a daemon; the messages depend on the seed, and on the number of the caller and of the
    /// request.
    pub fn spawn_callers(
        &self,
        daemon: usize,
        callers: u64,
        until: Instant,
        message: impl Fn(u64) -> Message + Clone + Send + Sync + 'static,
    ) -> JoinSet<Vec<SentRequest>> {
        let to = self.daemons[daemon].callers;
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let (message, mut number) = (message.clone(), 0);
            tasks.spawn(async move {
                let next = move || {
                    number += 1;
                    message(mix(caller << 32 | number))
                };
                kept_callers::call_until(to, until, next).await
            });
        }
        tasks
    }

    /// Waits until a daemon has exited by itself.
    pub async fn wait_until_gone(&mut self, daemon: usize) {
        let start = Instant::now();
        while self.daemons[daemon].process.is_running() {
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process did not exit");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Kills a daemon at the end of the shutdown time, as the platform does; returns whether it had to be.
    pub async fn wait_for_exit(&mut self, daemon: usize, stopped: Instant) -> bool {
        let process = &mut self.daemons[daemon].process;
        while process.is_running() {
            if stopped.elapsed() >= self.grace {
                process.signal("KILL");
                return true;
            }
            sleep(Duration::from_millis(5)).await;
        }
        false
    }
}

/// Returns the bits of a number in an order that looks random.
pub fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn free_address(host: [u8; 4]) -> SocketAddr {
    TcpListener::bind(SocketAddr::from((host, 0))).unwrap().local_addr().unwrap()
}
