//! `serving-soak` subcommand: runs daemons for the users' platform with fake instances and a fake
//! store, sends them requests and injects a seeded sequence of faults that overlap.
//!
//! Callers keep a connection until the daemon closes it or is gone. The run fails if a fake saw a
//! violation, if a request that was refused has been executed, if the events of a stream are wrong, if
//! an undisturbed daemon sends on a request that has crashed three replicas, if daemons that were only
//! asked to stop leave requests unanswered that have begun or that they had time to read, or if a kind of request gets no
//! response during the recovery at the end.

use crate::daemon_process;
use crate::serving_soak_faults::Disturbances;
use crate::serving_soak_faults::Faults;
use crate::serving_soak_faults::NodeProcess;
use crate::serving_soak_faults::ProxyMode;
use crate::serving_soak_faults::plain_spec;
use crate::serving_soak_faults::start_proxy;
use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::CallerConnection;
use guavaladder_platform_testutils::CrashRun;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::event_ids;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use http::Response;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time without faults at the end of a run, in which the fleet must recover.
const RECOVERY: Duration = Duration::from_secs(8);
/// Time between two requests of one caller.
const REQUEST_PERIOD: Duration = Duration::from_millis(40);
/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Number of engine instances at the start.
const ENGINES: usize = 12;
/// Number of plain instances.
const PLAIN_INSTANCES: usize = 3;
/// Time after the third crash within which all daemons know of it, and for which a daemon must have been
/// undisturbed: the platform's `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Number of crashes after which a request must not be sent on.
const MAX_CRASHES: usize = 3;
/// Maximum number of later runs by undisturbed daemons, according to the platform's rules.
const MAX_LATER_RUNS: usize = 3;
/// Time after which a request whose connection ends counts as read, whether it has been passed on or not:
/// the platform's `lossSlackMs`.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Paths of the requests of callers; every other one differs from all others.
const KINDS: [(Method, &str); 3] =
    [(Method::POST, "/draft/"), (Method::POST, "/book/"), (Method::GET, "/look/")];

/// Results of a run.
#[derive(Debug, Default)]
pub struct Tally {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Complete responses during the recovery by kind of request.
    pub recovered: BTreeMap<&'static str, u64>,
    /// Requests that the fakes ran and that crash replicas, over all of their paths.
    pub crash_runs: usize,
    /// Violations of the platform's rules.
    pub violations: Vec<String>,
    /// Daemon that each request was sent to.
    sent_to: BTreeMap<String, usize>,
    /// Requests without a complete response.
    unanswered: Vec<Unanswered>,
    /// Requests of `unanswered` that are not counted, since their instance ended the stream while the
    /// daemon was stopping.
    pub broken_off: Vec<String>,
}

/// A request without a complete response.
#[derive(Debug)]
struct Unanswered {
    node: usize,
    request: String,
    sent: Instant,
    /// Time at which the connection ended.
    ended: Instant,
}

/// Handle to the results of a run in progress.
#[derive(Debug, Clone, Default)]
pub struct SharedTally(Arc<Mutex<Tally>>);

impl SharedTally {
    /// Locks the results.
    pub fn lock(&self) -> MutexGuard<'_, Tally> {
        self.0.lock().expect("the tally lock is not poisoned")
    }

    /// Records to which daemon a request is sent.
    pub fn record_sent(&self, call: &Call, node: usize) {
        self.lock().sent_to.insert(call.id.clone(), node);
    }
}

/// Runs the soak and prints its outcomes and violations.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the faults and the requests", "N");
    options.optopt("", "seconds", "duration of the traffic", "S");
    options.optopt("", "nodes", "number of daemons", "N");
    options.optopt("", "logs", "directory in which the daemons' logs are kept", "DIR");
    options.optflag("", "stops", "inject only stops of daemons, and silence of instances");
    let matches = options.parse(args)?;
    let only_stops = matches.opt_present("stops");
    let seed: u64 = matches.opt_get_default("seed", 1)?;
    let seconds: u64 = matches.opt_get_default("seconds", 40)?;
    let nodes: u8 = matches.opt_get_default("nodes", 3)?;
    let logs = matches.opt_str("logs").map(PathBuf::from);
    let tally =
        soak(seed, Duration::from_secs(seconds), nodes, logs.as_deref(), only_stops).await?;
    println!("seed {seed}, {seconds} s, {nodes} daemons: {:?}", tally.outcomes);
    println!("runs that crashed replicas: {}", tally.crash_runs);
    println!("responses during recovery: {:?}", tally.recovered);
    println!("streams that an instance broke off at a stop: {:?}", tally.broken_off);
    for violation in &tally.violations {
        println!("violation: {violation}");
    }
    let is_clean = tally.violations.is_empty();
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs `count` daemons for `length` with the faults of a seed. Their logs are kept in `logs`, if it is
/// given. With `only_stops`, the faults are stops of daemons and silence of instances.
pub async fn soak(
    seed: u64,
    length: Duration,
    count: u8,
    logs: Option<&Path>,
    only_stops: bool,
) -> Result<Tally> {
    let store = FakeStore::start().await;
    store.put("config", "main", config(1));
    let mut fake_platform = FakePlatform::new(store.clone());
    fake_platform.restart_delay = Duration::from_secs(1);
    fake_platform.keeps_id = seed.is_multiple_of(2);
    fake_platform.crash_rank = (seed / 2 % 2) as usize;
    for i in 0..ENGINES {
        spawn_instance(&fake_platform, engine_spec(i)).await;
    }
    for i in 0..PLAIN_INSTANCES {
        spawn_instance(&fake_platform, plain_spec(i)).await;
    }
    let (proxy, proxy_address) = start_proxy(store.address).await?;
    let program = daemon_process::daemon_program()?;
    let directory = daemon_process::RunDirectory::new("serving-soak")?;
    let mut nodes = vec![];
    for number in 0..count {
        let node =
            NodeProcess::start(&program, directory.path(), logs, proxy_address, number).await?;
        nodes.push(Arc::new(tokio::sync::Mutex::new(node)));
    }
    sleep(Duration::from_secs(3)).await;
    let tally = SharedTally::default();
    let mut addresses: Vec<SocketAddr> = vec![];
    for node in &nodes {
        addresses.push(node.lock().await.caller_address);
    }
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let caller = Caller {
                rng: StdRng::seed_from_u64(seed * 1000 + i as u64),
                fake_platform: fake_platform.clone(),
                addresses: addresses.clone(),
                tally: tally.clone(),
                end: start + length,
            };
            tokio::spawn(caller.run())
        })
        .collect();
    let disturbances = Disturbances::default();
    let mut faults = Faults {
        rng: StdRng::seed_from_u64(seed),
        fake_platform: fake_platform.clone(),
        proxy: proxy.clone(),
        nodes: nodes.clone(),
        addresses,
        tally: tally.clone(),
        disturbances: disturbances.clone(),
        next_instance: ENGINES,
        next_crashing: 0,
        version: 1,
        only_stops,
    };
    faults.inject_until(start + length.saturating_sub(RECOVERY)).await?;
    proxy.send_replace(ProxyMode::Forward);
    for caller in callers {
        caller.await.context("a caller task failed")?;
    }
    for node in &nodes {
        node.lock().await.terminate();
    }
    let mut tally = std::mem::take(&mut *tally.lock());
    check(&mut tally, &fake_platform, &disturbances);
    Ok(tally)
}

/// Adds the violations that are known only at the end of the run.
fn check(tally: &mut Tally, fake_platform: &FakePlatform, disturbances: &Disturbances) {
    let mut found: Vec<String> =
        fake_platform.violations().iter().map(|violation| format!("{violation:?}")).collect();
    let runs = fake_platform.crash_runs();
    tally.crash_runs = runs.len();
    let mut by_path: BTreeMap<&str, Vec<&CrashRun>> = BTreeMap::new();
    for run in &runs {
        by_path.entry(&run.path).or_default().push(run);
    }
    for (path, runs) in by_path {
        let Some(third) = runs.get(MAX_CRASHES - 1) else { continue };
        let is_late = |run: &&&CrashRun| {
            let node = tally.sent_to.get(&run.request);
            run.at > third.at + STABLE_WINDOW
                && node.is_some_and(|node| {
                    disturbances.are_absent(*node, run.at - STABLE_WINDOW, run.at)
                })
        };
        let late = runs.iter().filter(is_late).count();
        if late > MAX_LATER_RUNS {
            found.push(format!("{path}: {late} runs after the third crash was known"));
        }
    }
    let is_unanswered_at_stop = |unanswered: &&Unanswered| {
        let Unanswered { node, request, sent, ended } = *unanswered;
        let has_begun = fake_platform.execution_count(request) > 0;
        (has_begun || *ended - *sent > LOSS_SLACK)
            && disturbances.is_only_stopping(*node, *ended - STABLE_WINDOW, *ended)
    };
    let describe = |Unanswered { node, request, sent, ended }: &Unanswered| {
        let after = disturbances.last_begin(*node, *ended).map(|begin| *ended - begin);
        let waited = *ended - *sent;
        format!("{request} at n{node}, after {waited:?}, {after:?} after the first signal")
    };
    let (broken_off, lost): (Vec<&Unanswered>, Vec<&Unanswered>) = tally
        .unanswered
        .iter()
        .filter(is_unanswered_at_stop)
        .partition(|unanswered| fake_platform.was_broken_off(&unanswered.request));
    let broken_off: Vec<String> = broken_off.into_iter().map(describe).collect();
    let lost: Vec<String> = lost.into_iter().map(describe).collect();
    tally.broken_off = broken_off;
    if !lost.is_empty() {
        found.push(format!("left unanswered by stopping daemons: {lost:?}"));
    }
    for (_, kind) in &KINDS {
        if !tally.recovered.contains_key(kind) {
            found.push(format!("no response to {kind} during the recovery"));
        }
    }
    tally.violations.extend(found);
}

/// A caller that sends one request after the other.
struct Caller {
    rng: StdRng,
    fake_platform: FakePlatform,
    addresses: Vec<SocketAddr>,
    tally: SharedTally,
    end: Instant,
}

impl Caller {
    async fn run(mut self) {
        let mut kept: Option<(usize, CallerConnection)> = None;
        let mut number = 0;
        while Instant::now() < self.end {
            sleep(REQUEST_PERIOD).await;
            number += 1;
            let (method, kind) = KINDS[self.rng.random_range(0..KINDS.len())].clone();
            let path = match number % 2 {
                0 => format!("{kind}x"),
                _ => format!("{kind}{:x}", self.rng.random::<u64>()),
            };
            let call = Call::new(method, &path);
            let (node, mut connection) = match kept.take().filter(|(_, c)| !c.is_closed()) {
                Some(kept) => kept,
                None => {
                    let node = self.rng.random_range(0..self.addresses.len());
                    let Some(connection) = CallerConnection::open(self.addresses[node]).await
                    else {
                        *self.tally.lock().outcomes.entry("no connection").or_default() += 1;
                        continue;
                    };
                    (node, connection)
                }
            };
            self.tally.record_sent(&call, node);
            let sent = Instant::now();
            let response = connection.send(&call).await;
            self.record(&call, kind, (node, sent), response.as_ref());
            if response.is_some() {
                kept = Some((node, connection));
            }
        }
    }

    /// Checks a response: a successful stream must contain all events in order, and a refused request
    /// that is not a stream must not have been executed.
    fn record(
        &self,
        call: &Call,
        kind: &'static str,
        (node, sent): (usize, Instant),
        response: Option<&Response<bytes::Bytes>>,
    ) {
        let is_stream = kind == KINDS[0].1;
        let (outcome, violation) = match response {
            None => ("no response", None),
            Some(response) if response.status() == 200 && is_stream => {
                let ids = event_ids(response);
                let is_complete = ids == (1..=self.fake_platform.events).collect::<Vec<u64>>();
                ("answered", (!is_complete).then(|| format!("{}: events {ids:?}", call.id)))
            }
            Some(response) if response.status() == 200 => ("answered", None),
            Some(response) if response.status() == 503 => {
                let has_run = self.fake_platform.execution_count(&call.id) > 0 && !is_stream;
                let violation = has_run.then(|| format!("{}: refused, but executed", call.id));
                let is_crashing = response.body().starts_with(b"replicas crashed");
                (if is_crashing { "harmless refused as crashing" } else { "refused" }, violation)
            }
            Some(_) => ("failed", None),
        };
        let mut tally = self.tally.lock();
        *tally.outcomes.entry(outcome).or_default() += 1;
        tally.violations.extend(violation);
        if outcome == "no response" {
            let (request, ended) = (call.id.clone(), Instant::now());
            tally.unanswered.push(Unanswered { node, request, sent, ended });
        }
        if outcome == "answered" && Instant::now() + RECOVERY / 2 >= self.end {
            *tally.recovered.entry(kind).or_default() += 1;
        }
    }
}

fn engine_spec(number: usize) -> InstanceSpec {
    InstanceSpec {
        id: format!("i-{number:02}"),
        service: "drafting".to_string(),
        domain: Some("d0".to_string()),
        data_centre: "east".to_string(),
    }
}
