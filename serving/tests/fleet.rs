//! A small fleet for tests: nodes of this crate on loopback addresses of their own, before the
//! stand-ins for the platform.

use bytes::Bytes;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::World;
use guavaladder_platform_testutils::spawn_instance;
use guavaladder_serving::serving_node::ServingNode;
use guavaladder_serving::serving_settings;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Longest wait for something that a test expects to happen.
const PATIENCE: Duration = Duration::from_secs(20);
/// Last part of the next node's loopback address: nodes use the same port for their messages.
static NEXT_HOST: AtomicU8 = AtomicU8::new(10);
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// A fleet with its platform.
pub struct Fleet {
    pub store: FakeStore,
    pub world: World,
    pub nodes: Vec<ServingNode>,
    peer_port: u16,
}

impl Fleet {
    /// Starts the stand-ins: a domain of model engines and two plain instances.
    pub async fn new(engines: usize) -> Self {
        Self::with_events(engines, 20).await
    }

    /// The same with streams of so many events.
    pub async fn with_events(engines: usize, events: u64) -> Self {
        let store = FakeStore::start().await;
        store.put("config", "main", config(5));
        let mut world = World::new(store.clone());
        world.events = events;
        for i in 0..engines {
            spawn_instance(&world, spec(&format!("i-{i:02}"), "drafting", Some("d0"))).await;
        }
        for id in ["p-00", "p-01"] {
            spawn_instance(&world, spec(id, "orders", None)).await;
        }
        Self { store, world, nodes: vec![], peer_port: free_port([127, 0, 0, 1]) }
    }

    /// Starts one more node.
    pub async fn add_node(&mut self) {
        let host = [127, 0, 0, NEXT_HOST.fetch_add(1, Ordering::Relaxed)];
        let listen = || SocketAddr::from((host, free_port(host))).to_string();
        let settings = json!({
            "node": format!("n{}", self.nodes.len()), "data_centre": "east",
            "peer_port": self.peer_port, "store": self.store.address.to_string(),
            "listen": {"callers": listen(), "readiness": listen(), "directory": listen()},
            "bounds": {"shutdown_s": 2, "retry_slack": 100},
        });
        let settings = serving_settings::parse(&settings.to_string()).expect("valid settings");
        let dialect = Arc::new(PlatformDialect::new());
        self.nodes.push(ServingNode::start(settings, dialect).await.expect("a node"));
    }

    /// Waits until a node knows so many replicas of a service.
    pub async fn wait_for_replicas(&self, node: usize, service: &str, count: usize) {
        let fleet = self.nodes[node].cx.fleet.clone();
        eventually(|| fleet.replicas().of_service(service).len() == count).await;
    }

    /// Returns the address of a node for callers.
    pub fn callers(&self, node: usize) -> SocketAddr {
        self.nodes[node].cx.settings.callers
    }
}

fn free_port(host: [u8; 4]) -> u16 {
    let listener = TcpListener::bind(SocketAddr::from((host, 0))).expect("a free port");
    listener.local_addr().expect("its address").port()
}

pub fn spec(id: &str, service: &str, domain: Option<&str>) -> InstanceSpec {
    InstanceSpec {
        id: id.to_string(),
        service: service.to_string(),
        domain: domain.map(str::to_string),
        data_centre: "east".to_string(),
    }
}

/// Returns a configuration as the operators write it.
pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "a.example", "pathPrefix": prefix, "kind": kind,
            "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": service,
            "maxAttempts": 2, "public": false, "resumable": kind == "streaming",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("draft", "/draft/", "streaming", "drafting"),
            route("book", "/book/", "non_idempotent", "orders"),
            route("look", "/look/", "idempotent", "orders"),
        ],
        "services": [
            {"name": "drafting", "healthPath": "/health", "maxConnections": 99, "engine": {
                "slots": 8, "stride": 5, "step_ms": 1.0, "per_seq_ms": 0.1, "read_per_s": 46000.0,
                "loadsPerS": 4.0, "loads_at_once": 6, "formMs": 20.0,
                "models": [{
                    "name": "m0", "size": 2, "share": 1.0, "pace": 1.0, "loadS": 0.1, "warmS": 0.01,
                }],
            }},
            {"name": "orders", "healthPath": "/health", "maxConnections": 99},
        ],
        "limits": {},
        "tenants": [{"name": "baker", "apiKeys": ["key-1"], "priority": 1}],
    })
}

/// Waits until something holds.
pub async fn eventually(holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "it did not happen within {PATIENCE:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// A request of a caller.
pub struct Call {
    pub id: String,
    method: Method,
    path: String,
    key: Option<String>,
}

impl Call {
    pub fn new(method: Method, path: &str) -> Self {
        let id = format!("{:016x}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed));
        Self { id, method, path: path.to_string(), key: Some("key-1".to_string()) }
    }

    pub fn with_key(self, key: Option<&str>) -> Self {
        Self { key: key.map(str::to_string), ..self }
    }

    /// Sends the request; `None` when the answer broke off.
    pub async fn send(&self, to: SocketAddr) -> Option<Response<Bytes>> {
        let stream = TcpStream::connect(to).await.ok()?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        let driver = tokio::spawn(connection);
        let body = if self.method == Method::GET { "" } else { "a body" };
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header("host", "a.example")
            .header("x-request-id", &self.id)
            .header("x-deadline-ms", "3000")
            .header("x-model", "m0");
        if let Some(key) = &self.key {
            req = req.header("api-key", key);
        }
        let req = req.body(Full::new(Bytes::from(body))).expect("a request");
        let answered = async {
            let (parts, body) = sender.send_request(req).await.ok()?.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(Response::from_parts(parts, body))
        };
        let answer = timeout(PATIENCE, answered).await.ok().flatten();
        driver.abort();
        answer
    }

    /// Sends the request and returns the status of its answer; 0 when it broke off.
    pub async fn status(&self, to: SocketAddr) -> u16 {
        self.send(to).await.map_or(0, |answer| answer.status().as_u16())
    }
}

/// Returns the ids of the events of an answer.
pub fn event_ids(answer: &Response<Bytes>) -> Vec<u64> {
    assert_eq!(answer.status(), StatusCode::OK);
    let text = String::from_utf8_lossy(answer.body()).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("an event id")).collect()
}
