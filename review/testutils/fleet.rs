//! A small deployment on loopback: the store, replicas and nodes as processes, and the record of a scenario.

use crate::clients;
use crate::json::Json;
use crate::store::Store;
use std::collections::HashSet;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Time without a heartbeat after which the entry of a replica is removed: three heartbeats of 1,200 ms.
const ENTRY_TTL: Duration = Duration::from_millis(3600);
const STORE_PORT: u16 = 8223;
const CALLERS_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const DIRECTORY_PORT: u16 = 8224;
const PEER_PORT: u16 = 7340;
const METRICS_PORT: u16 = 9464;
const REPLICA_PORT: u16 = 8120;
/// Host of all routes.
pub const HOST: &str = "a.example";

/// How the replicas of a scenario behave.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaKind {
    /// Time after which a crashed replica is back.
    pub restart_after: Duration,
    /// Requests that it runs at once, as its entry states.
    pub slots: u32,
    /// Whether it reads bodies slowly.
    pub reads_slowly: bool,
}

impl ReplicaKind {
    fn program(self) -> &'static str {
        if self.reads_slowly { "slow-replica" } else { "replica" }
    }
}

impl Default for ReplicaKind {
    fn default() -> Self {
        Self { restart_after: Duration::from_secs(4), slots: 6, reads_slowly: false }
    }
}

/// A request that began to run at a replica.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    /// Id of the replica.
    pub replica: String,
    pub request: String,
    pub path: String,
    pub tenant: String,
}

/// The record of a scenario: what is written to `record.txt`, and the runs at the replicas.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
    /// Ids of the requests that arrived at replicas.
    arrivals: Mutex<HashSet<String>>,
}

impl Record {
    fn new(folder: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        let (runs, arrivals) = (Mutex::default(), Mutex::default());
        Ok(Self { started: Instant::now(), file, runs, arrivals })
    }

    /// Returns the time since the scenario began.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line with the time.
    pub fn write(&self, line: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:9.3} {line}", self.now().as_secs_f64());
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs").clone()
    }

    /// Returns whether a request has arrived at a replica.
    pub fn has_arrived(&self, request: &str) -> bool {
        self.arrivals.lock().expect("the arrivals").contains(request)
    }

    fn record_line(&self, replica: &str, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        if let ["arrival", request] = words[..] {
            self.arrivals.lock().expect("the arrivals").insert(request.to_string());
        }
        let ["run", request, path, tenant] = words[..] else { return };
        self.write(&format!("replica {replica} runs {request} {path} for tenant {tenant}"));
        let run = Run {
            at: self.now(),
            replica: replica.to_string(),
            request: request.to_string(),
            path: path.to_string(),
            tenant: tenant.to_string(),
        };
        self.runs.lock().expect("the runs").push(run);
    }
}

/// Ends a process when it is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The deployment. All processes end when it is dropped.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Store,
    network: [u8; 3],
    folder: PathBuf,
    nodes: Vec<Process>,
    addresses: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts the store and the nodes and waits until the nodes are ready. `config` is the first configuration.
    pub fn start(
        daemon: &str,
        folder: &Path,
        nodes: u8,
        replicas: u8,
        kind: ReplicaKind,
        config: Json,
    ) -> io::Result<Self> {
        let record = Arc::new(Record::new(folder)?);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let network = [127, 1 + high % 250, low];
        let address = |host, port| address(network, host, port);
        let store = Store::start(TcpListener::bind(address(1, STORE_PORT))?);
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&temporary)?;
        let mut fleet =
            Self { record, store, network, folder: temporary, nodes: vec![], addresses: vec![] };
        fleet.store.put("config", "main", config);
        for number in 0..replicas {
            fleet.start_replica(number, kind);
        }
        thread::sleep(Duration::from_millis(300));
        for number in 0..nodes {
            fleet.start_node(daemon, number)?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Starts a replica, which is started again after it has crashed. Its first process has the id `i-NUMBER-0`.
    pub fn start_replica(&self, number: u8, kind: ReplicaKind) {
        let replica = Replica {
            address: address(self.network, 100 + number, REPLICA_PORT),
            number,
            kind,
            store: self.store.clone(),
            record: self.record.clone(),
        };
        thread::spawn(move || replica.run());
    }

    fn start_node(&mut self, daemon: &str, number: u8) -> io::Result<()> {
        let address = |port| address(self.network, 10 + number, port);
        for port in [CALLERS_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT, METRICS_PORT] {
            TcpListener::bind(address(port))?;
        }
        let settings = format!(
            r#"{{"node": "front-{number}", "data_centre": "zone-a",
            "listen": {{"callers": "{}", "readiness": "{}", "directory": "{}"}},
            "peer_port": {PEER_PORT}, "metrics_port": {METRICS_PORT}, "store": "{}",
            "bounds": {{"shutdown_s": 8, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 132,
                "max_answer_keep_s": 5}},
            "scheduling": {{"measured_from_size_ratio": 3, "load_estimate": false,
                "demand_allocation": false, "admission": false}},
            "large_fleet_above": 128, "data_centres": ["zone-a"], "max_descriptors": 4200}}"#,
            address(CALLERS_PORT),
            address(READY_PORT),
            address(DIRECTORY_PORT),
            crate::fleet::address(self.network, 1, STORE_PORT),
        );
        let file = self.folder.join(format!("settings-{number}.json"));
        fs::write(&file, settings)?;
        let log = File::create(self.folder.join(format!("node-{number}.log")))?;
        let child = Command::new(daemon)
            .arg("--serve")
            .env("GUAVALADDER_NODE_FILE", file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.nodes.push(Process(child));
        self.addresses.push(address(CALLERS_PORT));
        self.record.write(&format!("node front-{number} starts at {}", address(CALLERS_PORT)));
        Ok(())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(20);
        for node in &self.addresses {
            let ready = SocketAddr::new(node.ip(), READY_PORT);
            let ask = || {
                let deadline = Duration::from_secs(1);
                clients::send(ready, ("GET", "/-/ready"), &[("Host", HOST)], "", deadline)
            };
            while ask() != Ok(200) {
                if Instant::now() > end {
                    return Err(io::Error::other(format!("{node} is not ready")));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // The nodes hear each other, and count as in touch.
        thread::sleep(Duration::from_secs(4));
        Ok(())
    }

    /// Returns the resident memory of a node's process in bytes.
    pub fn memory(&self, number: usize) -> Option<u64> {
        let id = self.nodes[number].0.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? << 10)
    }

    /// Kills a node's process.
    pub fn kill(&mut self, number: usize) {
        let _ = self.nodes[number].0.kill();
    }

    /// Returns the address of a node for clients, in turn.
    pub fn node(&self, turn: usize) -> SocketAddr {
        self.addresses[turn % self.addresses.len()]
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn address(network: [u8; 3], host: u8, port: u16) -> SocketAddr {
    let [a, b, c] = network;
    SocketAddr::from((Ipv4Addr::new(a, b, c, host), port))
}

/// A replica whose process starts again some seconds after it crashed, at its address and with a new id.
struct Replica {
    address: SocketAddr,
    number: u8,
    kind: ReplicaKind,
    store: Store,
    record: Arc<Record>,
}

impl Replica {
    fn run(&self) {
        for start in 0.. {
            let id = format!("i-{}-{start}", self.number);
            let started = self.run_process(&id);
            if let Err(e) = started {
                self.record.write(&format!("replica {id} could not run: {e}"));
            }
            self.record.write(&format!("replica {id} has crashed"));
            let (store, ended) = (self.store.clone(), id.clone());
            thread::spawn(move || {
                thread::sleep(ENTRY_TTL);
                store.remove("servers", &ended);
            });
            thread::sleep(self.kind.restart_after);
        }
    }

    /// Starts a process, registers it and waits until it has ended.
    fn run_process(&self, id: &str) -> io::Result<()> {
        let mut child = Command::new(std::env::current_exe()?)
            .args([self.kind.program(), &self.address.to_string(), id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().map(BufReader::new);
        let _process = Process(child);
        for line in out.into_iter().flat_map(BufReader::lines) {
            match line?.as_str() {
                "listening" => {
                    self.store.put("servers", id, self.entry());
                    self.record.write(&format!("replica {id} is registered at {}", self.address));
                }
                line => self.record.record_line(id, line),
            }
        }
        Ok(())
    }

    fn entry(&self) -> Json {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let text = format!(
            r#"{{"service": "orders", "address": "{}", "zone": "zone-a", "version": "v1", "slots": {},
            "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": {born}}}"#,
            self.address, self.kind.slots
        );
        Json::parse(&text).expect("a replica's entry")
    }
}

/// Returns a configuration with one plain service; `tenants` is a JSON list.
pub fn config(version: u64, tenants: &str) -> Json {
    config_with(version, tenants, Duration::from_millis(800))
}

/// Returns such a configuration with the time-out of its route.
pub fn config_with(version: u64, tenants: &str, timeout: Duration) -> Json {
    let timeout = timeout.as_millis();
    let text = format!(
        r#"{{"version": {version},
        "routes": [{{"name": "book", "host": "{HOST}", "pathPrefix": "/book/",
            "kind": "non_idempotent", "timeoutMs": {timeout}, "targetLatencyMs": 100, "priority": 2,
            "service": "orders", "maxAttempts": 1, "public": false, "sticky": false}}],
        "services": [{{"name": "orders", "healthPath": "/health", "maxConnections": 110,
            "protocol": "h1", "tls": false}}],
        "limits": {{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000}},
        "tenants": {tenants}}}"#
    );
    Json::parse(&text).expect("a configuration")
}
