//! `serving-soak` subcommand: runs daemons for the users' platform with fake instances and a fake
//! store, sends them requests and injects a seeded sequence of faults.
//!
//! Faults are signals to the daemons, a stalled proxy between the daemons and the store, and faults
//! of the store and the instances themselves. The run fails if a fake saw a violation, if a request
//! that was refused has been executed, if the events of a stream are wrong, or if no request
//! succeeds during the recovery at the end.

use crate::daemon_process;
use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::StoreMode;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::event_ids;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
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

/// Time between two faults.
const FAULT_PERIOD: Duration = Duration::from_millis(1500);
/// Time without faults at the end of a run, in which the fleet must recover.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time between two requests of one caller.
const REQUEST_PERIOD: Duration = Duration::from_millis(40);
/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Number of engine instances at the start.
const ENGINES: usize = 8;

/// Number of requests by outcome and the violations of a run.
#[derive(Debug, Default)]
struct Tally {
    outcomes: BTreeMap<&'static str, u64>,
    recovery_responses: u64,
    violations: Vec<String>,
}

type SharedTally = Arc<Mutex<Tally>>;

/// Daemon process with the settings file from which it is restarted.
struct Node {
    config: PathBuf,
    caller_address: SocketAddr,
    child: Child,
}

/// Runs the soak and prints its outcomes and violations.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the faults and the requests", "N");
    options.optopt("", "seconds", "duration of the traffic", "S");
    options.optopt("", "nodes", "number of daemons", "N");
    let matches = options.parse(args)?;
    let seed: u64 = matches.opt_get_default("seed", 1)?;
    let seconds: u64 = matches.opt_get_default("seconds", 40)?;
    let nodes: u8 = matches.opt_get_default("nodes", 3)?;
    let tally = soak(seed, Duration::from_secs(seconds), nodes).await?;
    println!("seed {seed}, {seconds} s, {nodes} daemons: {:?}", tally.outcomes);
    println!("responses during recovery: {}", tally.recovery_responses);
    for violation in &tally.violations {
        println!("violation: {violation}");
    }
    let is_clean = tally.violations.is_empty() && tally.recovery_responses > 0;
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn soak(seed: u64, length: Duration, count: u8) -> Result<Tally> {
    let store = FakeStore::start().await;
    store.put("config", "main", config(1));
    let fake_platform = FakePlatform::new(store.clone());
    for i in 0..ENGINES {
        spawn_instance(&fake_platform, spec(&format!("i-{i:02}"), "drafting", Some("d0"))).await;
    }
    for id in ["p-0", "p-1"] {
        spawn_instance(&fake_platform, spec(id, "orders", None)).await;
    }
    let (mode, proxy_address) = start_proxy(store.address).await?;
    let program = daemon_process::daemon_program()?;
    let directory = daemon_process::RunDirectory::new("serving-soak")?;
    let mut nodes = vec![];
    for i in 0..count {
        nodes.push(start_node(&program, directory.path(), proxy_address, i).await?);
    }
    sleep(Duration::from_secs(3)).await;
    let tally = SharedTally::default();
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.caller_address).collect();
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let rng = StdRng::seed_from_u64(seed * 1000 + i as u64);
            let (fake_platform, addresses, tally) =
                (fake_platform.clone(), addresses.clone(), tally.clone());
            tokio::spawn(call(rng, fake_platform, addresses, tally, start, length))
        })
        .collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut serial = ENGINES;
    while start.elapsed() + RECOVERY < length {
        inject_fault(&mut rng, &fake_platform, &mode, &program, &mut nodes, &mut serial).await?;
        sleep(FAULT_PERIOD).await;
    }
    mode.send_replace(ProxyMode::Forward);
    store.set_mode(StoreMode::Up);
    for caller in callers {
        caller.await.context("a caller task failed")?;
    }
    for node in &mut nodes {
        // The daemon may have exited already.
        let _ = node.child.start_kill();
    }
    let mut tally = std::mem::take(&mut *tally.lock().expect("the tally lock is not poisoned"));
    tally
        .violations
        .extend(fake_platform.violations().iter().map(|violation| format!("{violation:?}")));
    Ok(tally)
}

/// Injects one randomly chosen fault and waits until it ends.
async fn inject_fault(
    rng: &mut StdRng,
    fake_platform: &FakePlatform,
    proxy: &watch::Sender<ProxyMode>,
    program: &std::path::Path,
    nodes: &mut [Node],
    serial: &mut usize,
) -> Result<()> {
    let victim = rng.random_range(0..nodes.len());
    match rng.random_range(0..10) {
        0 => restart(program, &mut nodes[victim], Signal::SIGKILL).await?,
        1 => restart(program, &mut nodes[victim], Signal::SIGTERM).await?,
        2 => {
            signal(&nodes[victim].child, Signal::SIGSTOP)?;
            sleep(Duration::from_millis(rng.random_range(300..3000))).await;
            signal(&nodes[victim].child, Signal::SIGCONT)?;
        }
        3 => signal(&nodes[victim].child, Signal::SIGHUP)?,
        4 => {
            proxy.send_replace(ProxyMode::Stalled);
            sleep(Duration::from_millis(rng.random_range(500..4000))).await;
            proxy.send_replace(ProxyMode::Forward);
        }
        5 => {
            fake_platform.store.set_mode(StoreMode::LosesResponses);
            sleep(Duration::from_millis(800)).await;
            fake_platform.store.set_mode(StoreMode::Up);
        }
        6 => fake_platform.store.compact(),
        7 | 8 => {
            let members: Vec<String> = fake_platform.open_groups().into_iter().flatten().collect();
            if !members.is_empty() {
                let member = &members[rng.random_range(0..members.len())];
                if rng.next_u32().is_multiple_of(2) {
                    fake_platform.set_mode(member, InstanceMode::Unresponsive);
                    fake_platform.expire_entry(member);
                } else {
                    fake_platform.drain(member);
                }
            }
            *serial += 1;
            spawn_instance(fake_platform, spec(&format!("i-{serial:02}"), "drafting", Some("d0")))
                .await;
        }
        _ => {
            let mode = match rng.random_range(0..3) {
                0 => InstanceMode::Refuses,
                1 => InstanceMode::LosesResponses,
                _ => InstanceMode::Fails,
            };
            fake_platform.set_mode("p-0", mode);
            sleep(Duration::from_secs(1)).await;
            fake_platform.set_mode("p-0", InstanceMode::Up);
        }
    }
    Ok(())
}

/// Sends requests until the end of the run and checks their responses.
///
/// A successful stream must contain all events in order, and a refused request that is not a stream
/// must not have been executed.
async fn call(
    mut rng: StdRng,
    fake_platform: FakePlatform,
    addresses: Vec<SocketAddr>,
    tally: SharedTally,
    start: Instant,
    length: Duration,
) {
    while start.elapsed() < length {
        sleep(REQUEST_PERIOD).await;
        let to = addresses[rng.random_range(0..addresses.len())];
        let (method, path) = match rng.random_range(0..3) {
            0 => (Method::POST, "/draft/x"),
            1 => (Method::POST, "/book/x"),
            _ => (Method::GET, "/look/x"),
        };
        let is_stream = path.starts_with("/draft");
        let call = Call::new(method, path);
        let response = call.send(to).await;
        let (outcome, violation) = match &response {
            None => ("no response", None),
            Some(response) if response.status() == 200 && is_stream => {
                let ids = event_ids(response);
                let is_complete = ids == (1..=fake_platform.events).collect::<Vec<u64>>();
                ("answered", (!is_complete).then(|| format!("{}: events {ids:?}", call.id)))
            }
            Some(response) if response.status() == 200 => ("answered", None),
            Some(response) if response.status() == 503 => {
                let has_run = fake_platform.execution_count(&call.id) > 0 && !is_stream;
                ("refused", has_run.then(|| format!("{}: refused, but executed", call.id)))
            }
            Some(_) => ("failed", None),
        };
        let mut tally = tally.lock().expect("the tally lock is not poisoned");
        *tally.outcomes.entry(outcome).or_default() += 1;
        tally.violations.extend(violation);
        let is_in_recovery = start.elapsed() + RECOVERY / 2 >= length;
        tally.recovery_responses += u64::from(is_in_recovery && outcome == "answered");
    }
}

async fn start_node(
    program: &std::path::Path,
    directory: &std::path::Path,
    store: SocketAddr,
    number: u8,
) -> Result<Node> {
    let host = [127, 0, 1, 10 + number];
    let caller_address = free_address(host).await?;
    let settings = json!({
        "node": format!("n{number}"), "data_centre": "east", "peer_port": 19_471,
        "store": store.to_string(),
        "listen": {
            "callers": caller_address.to_string(),
            "readiness": free_address(host).await?.to_string(),
            "directory": free_address(host).await?.to_string(),
        },
        "bounds": {"shutdown_s": 3, "retry_slack": 200},
    });
    let config = directory.join(format!("n{number}.json"));
    std::fs::write(&config, settings.to_string())?;
    let child = spawn(program, &config)?;
    Ok(Node { config, caller_address, child })
}

fn spawn(program: &std::path::Path, config: &std::path::Path) -> Result<Child> {
    let mut command = Command::new(program);
    command.args(["--serve", "--config"]).arg(config);
    command.stdout(Stdio::null()).stderr(Stdio::inherit()).kill_on_drop(true);
    command.spawn().context("cannot start a daemon")
}

async fn restart(program: &std::path::Path, node: &mut Node, with: Signal) -> Result<()> {
    signal(&node.child, with)?;
    node.child.wait().await?;
    sleep(Duration::from_millis(300)).await;
    node.child = spawn(program, &node.config)?;
    Ok(())
}

fn signal(child: &Child, signal: Signal) -> Result<()> {
    let pid = child.id().context("a daemon exited unexpectedly")?;
    kill(Pid::from_raw(pid as i32), signal).context("cannot send a signal to a daemon")
}

async fn free_address(host: [u8; 4]) -> Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::from((host, 0))).await?;
    Ok(listener.local_addr()?)
}

/// Mode of the proxy between the daemons and the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProxyMode {
    Forward,
    /// Forwards nothing on open and new connections, without closing them.
    Stalled,
}

/// Starts a proxy for connections to the store and returns the sender of its mode and its address.
async fn start_proxy(store: SocketAddr) -> Result<(watch::Sender<ProxyMode>, SocketAddr)> {
    let (mode, modes) = watch::channel(ProxyMode::Forward);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(client, store, modes.clone()));
        }
    });
    Ok((mode, address))
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

fn spec(id: &str, service: &str, domain: Option<&str>) -> InstanceSpec {
    InstanceSpec {
        id: id.to_string(),
        service: service.to_string(),
        domain: domain.map(str::to_string),
        data_centre: "east".to_string(),
    }
}
