//! Soak of the users' platform: real daemons before the platform's stand-ins, traffic of callers, and a
//! seeded schedule of faults by signals, by a proxy before the store, and by the stand-ins.
//!
//! It fails when a stand-in saw a breach, when a promise that a request did not run was broken, when a
//! stream had a wrong piece, or when nothing is served at the end.

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
/// Time without faults at the end, in which the fleet must recover.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time between two requests of one caller.
const REQUEST_PERIOD: Duration = Duration::from_millis(40);
/// Callers.
const CALLERS: usize = 8;
/// Instances of model engines at the start.
const ENGINES: usize = 8;

/// Counts of a run and the breaches that were seen.
#[derive(Debug, Default)]
struct Tally {
    outcomes: BTreeMap<&'static str, u64>,
    late_answers: u64,
    breaches: Vec<String>,
}

type SharedTally = Arc<Mutex<Tally>>;

/// A daemon with what it takes to start it again.
struct Node {
    config: PathBuf,
    callers: SocketAddr,
    child: Child,
}

/// Runs the soak.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the faults", "N");
    options.optopt("", "seconds", "length of the traffic", "S");
    options.optopt("", "nodes", "number of daemons", "N");
    let matches = options.parse(args)?;
    let seed: u64 = matches.opt_get_default("seed", 1)?;
    let seconds: u64 = matches.opt_get_default("seconds", 40)?;
    let nodes: u8 = matches.opt_get_default("nodes", 3)?;
    let tally = soak(seed, Duration::from_secs(seconds), nodes).await?;
    println!("seed {seed}, {seconds} s, {nodes} daemons: {:?}", tally.outcomes);
    println!("answered in the recovery: {}", tally.late_answers);
    for breach in &tally.breaches {
        println!("breach: {breach}");
    }
    let is_clean = tally.breaches.is_empty() && tally.late_answers > 0;
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
    let (mode, proxied) = start_proxy(store.address).await?;
    let program = daemon_process::daemon_program()?;
    let directory = daemon_process::RunDirectory::new("serving-soak")?;
    let mut nodes = vec![];
    for i in 0..count {
        nodes.push(start_node(&program, directory.path(), proxied, i).await?);
    }
    sleep(Duration::from_secs(3)).await;
    let tally = SharedTally::default();
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.callers).collect();
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
        strike(&mut rng, &fake_platform, &mode, &program, &mut nodes, &mut serial).await?;
        sleep(FAULT_PERIOD).await;
    }
    mode.send_replace(ProxyMode::Pass);
    store.set_mode(StoreMode::Up);
    for caller in callers {
        caller.await.context("a caller")?;
    }
    for node in &mut nodes {
        // A daemon that was killed by the last fault is gone already.
        let _ = node.child.start_kill();
    }
    let mut tally = std::mem::take(&mut *tally.lock().expect("the tally"));
    tally.breaches.extend(fake_platform.violations().iter().map(|breach| format!("{breach:?}")));
    Ok(tally)
}

/// Carries out one fault of the schedule.
async fn strike(
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
            proxy.send_replace(ProxyMode::Silent);
            sleep(Duration::from_millis(rng.random_range(500..4000))).await;
            proxy.send_replace(ProxyMode::Pass);
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

/// Sends requests and checks what their answers promise.
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
        let answer = call.send(to).await;
        let (outcome, breach) = match &answer {
            None => ("broken off", None),
            Some(answer) if answer.status() == 200 && is_stream => {
                let ids = event_ids(answer);
                let is_whole = ids == (1..=fake_platform.events).collect::<Vec<u64>>();
                ("answered", (!is_whole).then(|| format!("{}: events {ids:?}", call.id)))
            }
            Some(answer) if answer.status() == 200 => ("answered", None),
            Some(answer) if answer.status() == 503 => {
                let has_run = fake_platform.execution_count(&call.id) > 0 && !is_stream;
                ("refused", has_run.then(|| format!("{}: refused, and it ran", call.id)))
            }
            Some(_) => ("failed", None),
        };
        let mut tally = tally.lock().expect("the tally");
        *tally.outcomes.entry(outcome).or_default() += 1;
        tally.breaches.extend(breach);
        let is_recovered = start.elapsed() + RECOVERY / 2 >= length;
        tally.late_answers += u64::from(is_recovered && outcome == "answered");
    }
}

async fn start_node(
    program: &std::path::Path,
    directory: &std::path::Path,
    store: SocketAddr,
    number: u8,
) -> Result<Node> {
    let host = [127, 0, 1, 10 + number];
    let callers = free_address(host).await?;
    let settings = json!({
        "node": format!("n{number}"), "data_centre": "east", "peer_port": 19_471,
        "store": store.to_string(),
        "listen": {
            "callers": callers.to_string(),
            "readiness": free_address(host).await?.to_string(),
            "directory": free_address(host).await?.to_string(),
        },
        "bounds": {"shutdown_s": 3, "retry_slack": 200},
    });
    let config = directory.join(format!("n{number}.json"));
    std::fs::write(&config, settings.to_string())?;
    let child = spawn(program, &config)?;
    Ok(Node { config, callers, child })
}

fn spawn(program: &std::path::Path, config: &std::path::Path) -> Result<Child> {
    let mut command = Command::new(program);
    command.args(["--serve", "--config"]).arg(config);
    command.stdout(Stdio::null()).stderr(Stdio::inherit()).kill_on_drop(true);
    command.spawn().context("starting a daemon")
}

async fn restart(program: &std::path::Path, node: &mut Node, with: Signal) -> Result<()> {
    signal(&node.child, with)?;
    node.child.wait().await?;
    sleep(Duration::from_millis(300)).await;
    node.child = spawn(program, &node.config)?;
    Ok(())
}

fn signal(child: &Child, signal: Signal) -> Result<()> {
    let pid = child.id().context("a daemon ended by itself")?;
    kill(Pid::from_raw(pid as i32), signal).context("sending a signal")
}

async fn free_address(host: [u8; 4]) -> Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::from((host, 0))).await?;
    Ok(listener.local_addr()?)
}

/// What the proxy before the store does with connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProxyMode {
    Pass,
    /// Holds everything back, on open and new connections.
    Silent,
}

/// Starts a proxy before the store.
async fn start_proxy(store: SocketAddr) -> Result<(watch::Sender<ProxyMode>, SocketAddr)> {
    let (mode, modes) = watch::channel(ProxyMode::Pass);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(pass(near, store, modes.clone()));
        }
    });
    Ok((mode, address))
}

/// Passes a connection's bytes on, while the proxy is not silent.
async fn pass(mut near: TcpStream, store: SocketAddr, mut modes: watch::Receiver<ProxyMode>) {
    let is_passing = |mode: &ProxyMode| *mode == ProxyMode::Pass;
    loop {
        if modes.wait_for(is_passing).await.is_err() {
            return;
        }
        let Ok(mut far) = TcpStream::connect(store).await else { return };
        let mut changes = modes.clone();
        tokio::select! {
            _ = tokio::io::copy_bidirectional(&mut near, &mut far) => return,
            _ = changes.wait_for(|mode| !is_passing(mode)) => {}
        }
        // What was under way is lost; the near side waits until it gives up.
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
