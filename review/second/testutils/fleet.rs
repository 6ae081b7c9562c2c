//! A small deployment on loopback: the store, plain replicas, and nodes started as the deploy file says.

use crate::http;
use crate::http::Message;
use crate::json;
use crate::store::Store;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub const HOST: &str = "a.example";
pub const KEY: &str = "k1";
pub const SERVICE: &str = "ordens";
/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);
const ZONES: [&str; 3] = ["caruaru", "gravata", "belojardim"];
const STORE_PORT: u16 = 8223;
const CALLERS_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const DIRECTORY_PORT: u16 = 8224;
const REPLICA_PORT: u16 = 8120;

/// What was sent, answered and run, written to `record.txt`.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        Ok(Self { started: Instant::now(), file })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time.
    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:8.3} {line}", self.now().as_secs_f64());
    }
}

/// A request that began to run at a replica.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub replica: String,
    /// Whether replicas fail under it.
    pub is_poison: bool,
}

/// A plain replica, which registers itself in the store.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    address: SocketAddr,
    zone: &'static str,
    /// Time for which it works on a request.
    work: Duration,
    born_ms: u128,
    state: Arc<Mutex<&'static str>>,
    has_ended: Arc<AtomicBool>,
    store: Store,
    fleet: FleetHandles,
    number: u8,
}

/// `stableWindowMs` of the settings.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Path of a request under which replicas fail.
pub const POISON: &str = "/despacho/poison";
/// Time after which a crashed replica is back.
const RESTART: Duration = Duration::from_secs(3);
/// Time after a crash at which the entry is removed: three heartbeats.
const ENTRY_LEFT: Duration = Duration::from_millis(3600);

/// What replicas need of their deployment.
#[derive(Clone)]
pub struct FleetHandles {
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    crashes: Arc<Mutex<Vec<Duration>>>,
    is_poisonous: Arc<AtomicBool>,
    answers_first: Arc<AtomicBool>,
}

impl Replica {
    fn start(
        address: SocketAddr,
        store: Store,
        fleet: FleetHandles,
        number: u8,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time").as_millis();
        let replica = Self {
            id: format!("i-{number:02x}{:06x}", born_ms % (1 << 24)),
            address,
            zone: ZONES[usize::from(number) % ZONES.len()],
            work: Duration::from_millis(60),
            born_ms,
            state: Arc::new(Mutex::new("ready")),
            has_ended: Arc::default(),
            store,
            fleet,
            number,
        };
        let (shared, ended) = (replica.clone(), replica.has_ended.clone());
        http::serve(
            listener,
            move || ended.load(Ordering::Relaxed),
            move |request, stream| shared.handle(&request, stream),
        );
        let shared = replica.clone();
        thread::spawn(move || {
            while !shared.has_ended.load(Ordering::Relaxed) {
                shared.register();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(replica)
    }

    fn register(&self) {
        let (address, zone) = (json::quote(&self.address.to_string()), json::quote(self.zone));
        let state = self.state.lock().expect("the state");
        if *state == "gone" {
            return;
        }
        // An entry changes when more than its sequence changes, so the sequence only follows the state.
        let sequence = if *state == "ready" { 1 } else { 2 };
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":{address},\"zone\":{zone},\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.born_ms
        );
        self.store.put("servers", &self.id, entry.as_bytes());
    }

    /// Reports that it drains; the store has accepted that on return.
    pub fn drain(&self) {
        *self.state.lock().expect("the state") = "draining";
        self.register();
    }

    /// Leaves without having reported it: the entry is removed, and the replica goes on serving.
    pub fn unregister(&self) {
        let mut state = self.state.lock().expect("the state");
        *state = "gone";
        self.store.remove("servers", &self.id);
    }

    /// Ends: connections are closed, and its entry is removed.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        self.unregister();
    }

    /// Crashes: nothing listens at its address until another run of it starts there, and its entry expires.
    fn crash(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        *self.state.lock().expect("the state") = "gone";
        self.fleet.record.write(&format!("replica {} crashes", self.id));
        self.fleet.crashes.lock().expect("the crashes").push(self.fleet.record.now());
        let crashed = self.clone();
        thread::spawn(move || {
            thread::sleep(RESTART);
            let Self { address, store, fleet, number, id, .. } = crashed;
            if let Ok(started) = Self::start(address, store.clone(), fleet.clone(), number) {
                fleet.record.write(&format!("replica {} starts", started.id));
            }
            thread::sleep(ENTRY_LEFT - RESTART);
            store.remove("servers", &id);
        });
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let FleetHandles { record, runs, .. } = &self.fleet;
        if self.has_ended.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let id = request.header("x-request-id").unwrap_or_default();
        let own = ("X-Replica-Id", self.id.as_str());
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return http::answer(
                stream,
                "421 Misdirected Request",
                &[own, ("X-Request-Id", id)],
                b"",
            );
        }
        if request.word(1) == "/health" {
            let is_ready = *self.state.lock().expect("the state") == "ready";
            let status = if is_ready { "200 OK" } else { "503 Service Unavailable" };
            return http::answer(stream, status, &[own], b"");
        }
        record.write(&format!("replica {} runs {id}", self.id));
        let is_poison = request.word(1) == POISON;
        let run = Run { at: record.now(), replica: self.id.clone(), is_poison };
        runs.lock().expect("the runs").push(run);
        thread::sleep(if is_poison { self.work / 2 } else { self.work });
        if self.has_ended.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let headers =
            [("X-Request-Id", id), ("X-Response-Stamp", "3e1b.07"), ("X-Replica-Load", "1,0,6")];
        if !is_poison {
            return http::answer(stream, "200 OK", &headers, &[b'a'; 800]);
        }
        let crashes = self.fleet.is_poisonous.load(Ordering::Relaxed);
        if !crashes || self.fleet.answers_first.load(Ordering::Relaxed) {
            http::answer(stream, "500 Internal Server Error", &headers, b"failed")?;
        }
        if crashes {
            self.crash();
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

/// A node of the system; it is killed when it is dropped.
pub struct Node {
    process: Child,
    address: IpAddr,
}

impl Node {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.address, CALLERS_PORT)
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let to = SocketAddr::new(self.address, READY_PORT);
        let request = b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        http::call(to, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The deployment.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Store,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// When replicas crashed.
    pub crashes: Arc<Mutex<Vec<Duration>>>,
    /// Whether the poisonous request crashes replicas.
    pub is_poisonous: Arc<AtomicBool>,
    /// Whether replicas answer it before they crash.
    pub answers_first: Arc<AtomicBool>,
    /// First three bytes of all addresses.
    network: [u8; 3],
    /// Temporary folder with the settings and the logs of the nodes.
    folder: PathBuf,
}

impl Fleet {
    /// Starts the store with a configuration.
    pub fn start(record: Record) -> io::Result<Self> {
        let (network, listener) = free_network()?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::new();
        store.serve(listener);
        store.put("config", "main", config().as_bytes());
        let record = Arc::new(record);
        Ok(Self {
            record,
            store,
            runs: Arc::default(),
            crashes: Arc::default(),
            is_poisonous: Arc::default(),
            answers_first: Arc::default(),
            network,
            folder,
        })
    }

    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        let [a, b, c] = self.network;
        SocketAddr::new(Ipv4Addr::new(a, b, c, last).into(), port)
    }

    /// Starts a replica.
    pub fn start_replica(&self, number: u8) -> io::Result<Replica> {
        let fleet = FleetHandles {
            record: self.record.clone(),
            runs: self.runs.clone(),
            crashes: self.crashes.clone(),
            is_poisonous: self.is_poisonous.clone(),
            answers_first: self.answers_first.clone(),
        };
        Replica::start(self.address(100 + number, REPLICA_PORT), self.store.clone(), fleet, number)
    }

    /// Starts replicas and nodes, and waits until the nodes are ready. The nodes have the numbers from 2 on.
    pub fn start_all(&self, replicas: u8, nodes: u8) -> io::Result<(Vec<Replica>, Vec<Node>)> {
        let replicas = (1..=replicas).map(|n| self.start_replica(n)).collect::<io::Result<_>>()?;
        let nodes: Vec<Node> =
            (2..2 + nodes).map(|n| self.start_node(n)).collect::<io::Result<_>>()?;
        let started = Instant::now();
        while !nodes.iter().all(Node::is_ready) {
            if started.elapsed() > Duration::from_secs(15) {
                return Err(io::Error::other("the nodes were not ready in time"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok((replicas, nodes))
    }

    /// Returns the name of a node.
    pub fn node_name(number: u8) -> String {
        format!("front-{}-{number}", ZONES[usize::from(number) % ZONES.len()])
    }

    /// Returns the address at which a node finds the store.
    pub fn store_address(&self, node: u8) -> SocketAddr {
        self.address(node + 50, STORE_PORT)
    }

    /// Starts a node with the settings of the deploy file's template for a small deployment.
    pub fn start_node(&self, number: u8) -> io::Result<Node> {
        let address = |port| json::quote(&self.address(number, port).to_string());
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let settings = format!(
            r#"{{
  "node": "{}", "data_centre": "{zone}",
  "listen": {{ "callers": {}, "readiness": {}, "directory": {} }},
  "peer_port": 7340, "metrics_port": 9464, "store": {},
  "bounds": {{ "shutdown_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 132, "max_answer_keep_s": 5 }},
  "scheduling": {{ "measured_from_size_ratio": 3, "load_estimate": false, "demand_allocation": false, "admission": false }},
  "large_fleet_above": 128, "data_centres": ["caruaru", "gravata", "belojardim"],
  "max_descriptors": 4200, "memory_mb": 260
}}"#,
            Self::node_name(number),
            address(CALLERS_PORT),
            address(READY_PORT),
            address(DIRECTORY_PORT),
            json::quote(&self.store_address(number).to_string()),
        );
        // A node that is started again finds the store at the same address.
        if let Ok(listener) = TcpListener::bind(self.store_address(number)) {
            self.store.serve(listener);
        }
        let path = self.folder.join(format!("settings-{number}.json"));
        fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("node-{number}.log")))?;
        let process = Command::new("target/release/guavaladderd")
            .arg("--serve")
            .env_clear()
            .env("GUAVALADDER_NODE_FILE", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Node { process, address: self.address(number, 0).ip() })
    }

    /// Sends a request to a node on a new connection, records it, and returns the status; 0 without an answer.
    pub fn request(&self, node: &Node, method: &str, path: &str, id: &str) -> u16 {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\nApi-Key: {KEY}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        self.record.write(&format!("client sends {id} {method} {path} to {}", node.address));
        let answer = http::call(node.callers(), request.as_bytes(), Duration::from_millis(1500));
        let status = answer.as_ref().map_or(0, Message::status);
        self.record.write(&format!("client gets {status} for {id}"));
        status
    }
}

/// Returns the number of runs of the poisonous request later than `stableWindowMs` after it has crashed the third
/// replica.
pub fn late_poison_runs(fleet: &Fleet) -> usize {
    let third = fleet.crashes.lock().expect("the crashes").get(2).copied();
    let Some(from) = third.map(|third| third + STABLE_WINDOW) else { return 0 };
    let runs = fleet.runs.lock().expect("the runs");
    runs.iter().filter(|run| run.is_poison && run.at > from).count()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Finds a network of loopback addresses on which the store's port is free, and binds it.
fn free_network() -> io::Result<([u8; 3], TcpListener)> {
    let first = std::process::id() % 200;
    for offset in 0..50 {
        let network = [127, 30 + ((first + offset) % 200) as u8, 7];
        let [a, b, c] = network;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::new(a, b, c, 1), STORE_PORT)) {
            return Ok((network, listener));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn config() -> String {
    let route = |name: &str, path: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{path}\",\"kind\":\"{kind}\",\"timeoutMs\":800,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\"public\":false}}"
        )
    };
    let routes = [
        route("consulta", "/consulta/", "idempotent", 2),
        route("despacho", "/despacho/", "non_idempotent", 1),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"t1\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
