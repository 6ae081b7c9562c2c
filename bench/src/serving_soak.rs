//! `serving-soak` subcommand: runs daemons for the users' platform with fake instances and a fake
//! store, sends them requests and injects a seeded sequence of faults that overlap. Blocks of planned
//! work beside sound pauses alternate with blocks of all faults.
//!
//! Callers keep a connection until the daemon closes it or is gone. The run fails if a fake saw a
//! violation, if a request that was refused has been executed, if the events of a stream are wrong, if
//! an undisturbed daemon sends on requests that crash replicas as a whole or by a part of their prompt, if
//! sound requests suffer from them, if a service gets more retries than its budget, if an
//! instance gets more requests than the rate that it names allows, or requests from daemons to which it has said
//! that it leaves or wants none, if requests are left
//! unanswered beside planned work, if requests at daemons that are partitioned from all instances are served far
//! worse than others, or if a kind of request gets no response during the recovery at the end.

use crate::daemon_process;
use crate::serving_soak_callers::Caller;
use crate::serving_soak_callers::Pace;
use crate::serving_soak_callers::Recorder;
use crate::serving_soak_faults::Configuration;
use crate::serving_soak_faults::FaultLog;
use crate::serving_soak_faults::Faults;
use crate::serving_soak_faults::engine_spec;
use crate::serving_soak_faults::plain_spec;
use crate::serving_soak_nodes::Disturbances;
use crate::serving_soak_nodes::NodePlan;
use crate::serving_soak_nodes::NodeProcess;
use crate::serving_soak_nodes::ProxyMode;
use crate::serving_soak_nodes::start_proxy;
use crate::serving_soak_notices::Notices;
use crate::serving_soak_oracle;
use crate::serving_soak_oracle::Evidence;
use crate::serving_soak_report::Report;
use crate::serving_soak_returns::Returns;
use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use guavaladder_platform_testutils::Arrival;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::LinkMode;
use guavaladder_platform_testutils::NodeLinks;
use guavaladder_platform_testutils::spawn_instance;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time without faults at the end of a run, in which the fleet must recover.
const RECOVERY: Duration = Duration::from_secs(8);
/// Paces of the concurrent callers.
const CALLERS: [Pace; 10] = [
    Pace::Steady,
    Pace::Steady,
    Pace::Steady,
    Pace::Steady,
    Pace::Steady,
    Pace::Steady,
    Pace::Eager,
    Pace::Eager,
    Pace::SlowReader,
    Pace::SlowReader,
];
/// Number of engine instances at the start.
const ENGINES: usize = 12;
/// Number of plain instances.
pub const PLAIN_INSTANCES: usize = 3;
/// Slacks of the retry budgets of the services, by seed.
const RETRY_SLACKS: [usize; 3] = [200, 100, 50];
/// Largest number of daemons whose links to the instances can be cut. In a larger fleet, daemons tell each other
/// the addresses of instances, which differ between daemons with such links.
const MAX_LINKED_NODES: usize = 12;
/// Time after which a crashed instance starts again, and the one in a run without engines, in which all instances
/// are down together at times.
const RESTART_DELAY: Duration = Duration::from_secs(1);
const LONG_RESTART_DELAY: Duration = Duration::from_secs(3);
/// Every how many seeds requests come that crash replicas by a part of their prompt.
const PART_SEEDS: u64 = 3;

/// What a run does.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// Duration of the traffic.
    pub length: Duration,
    /// Number of daemons.
    pub nodes: u8,
    /// Directory in which the logs are kept, if they are.
    pub logs: Option<PathBuf>,
    /// Program of the daemons; `None` for the one beside this program.
    pub daemon: Option<PathBuf>,
    /// Program of another build, with which daemons run beside those of `daemon`, and change at each restart.
    pub other_daemon: Option<PathBuf>,
    /// Whether the faults are only stops of daemons and silence of instances.
    pub only_stops: bool,
    /// Whether instances also leave and rest, as they state in their answers.
    pub has_notices: bool,
    /// Whether the store also returns from older copies.
    pub has_returns: bool,
    /// Whether there are only plain instances, which requests crash all at once.
    pub only_plain: bool,
}

impl SoakPlan {
    /// Returns a run with all faults but those that have to be asked for.
    pub fn new(seed: u64, length: Duration, nodes: u8) -> Self {
        Self {
            seed,
            length,
            nodes,
            logs: None,
            daemon: None,
            other_daemon: None,
            only_stops: false,
            has_notices: false,
            has_returns: false,
            only_plain: false,
        }
    }
}

/// Runs the soak and prints its outcomes and violations.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the faults and the requests", "N");
    options.optopt("", "seconds", "duration of the traffic", "S");
    options.optopt("", "nodes", "number of daemons", "N");
    options.optopt("", "logs", "directory in which the logs are kept", "DIR");
    options.optopt("", "daemon", "program of the daemons, to compare builds", "FILE");
    options.optopt("", "other-daemon", "another build, to run beside the first one", "FILE");
    options.optflag("", "stops", "inject only stops of daemons, and silence of instances");
    options.optflag("", "notices", "let instances also leave and rest, stated in their answers");
    options.optflag("", "returns", "let the store also return from older copies");
    options.optflag("", "plain", "run without engines, so that all instances crash together");
    let matches = options.parse(args)?;
    let plan = SoakPlan {
        seed: matches.opt_get_default("seed", 1)?,
        length: Duration::from_secs(matches.opt_get_default("seconds", 40)?),
        nodes: matches.opt_get_default("nodes", 3)?,
        logs: matches.opt_str("logs").map(PathBuf::from),
        daemon: matches.opt_str("daemon").map(PathBuf::from),
        other_daemon: matches.opt_str("other-daemon").map(PathBuf::from),
        only_stops: matches.opt_present("stops"),
        has_notices: matches.opt_present("notices"),
        has_returns: matches.opt_present("returns"),
        only_plain: matches.opt_present("plain"),
    };
    let report = soak(&plan).await?;
    println!("seed {}, {:?}, {} daemons: {report}", plan.seed, plan.length, plan.nodes);
    let is_clean = report.violations.is_empty();
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs daemons with the faults of a seed.
pub async fn soak(plan: &SoakPlan) -> Result<Report> {
    let store = FakeStore::start().await;
    if plan.has_returns {
        store.name_era(1);
    }
    let log = match &plan.logs {
        Some(logs) => FaultLog::new(Some(File::create(logs.join("faults.log"))?)),
        None => FaultLog::new(None),
    };
    let configuration = Configuration::new(store.clone(), log.clone());
    let fake_platform = start_instances(plan, store.clone()).await;
    let proxy = watch::channel(ProxyMode::Forward).0;
    let (mut links, mut stores) = (vec![], vec![]);
    for _ in 0..plan.nodes {
        let address = match usize::from(plan.nodes) <= MAX_LINKED_NODES {
            true => {
                links.push(NodeLinks::new());
                store.serve_with_links(&links[links.len() - 1]).await
            }
            false => store.address,
        };
        stores.push(start_proxy(address, proxy.subscribe()).await?);
    }
    let directory = daemon_process::RunDirectory::new("serving-soak")?;
    let node_plan = NodePlan {
        program: plan.daemon.clone().map_or_else(daemon_process::daemon_program, Ok)?,
        other_program: plan.other_daemon.clone(),
        directory: directory.path().to_path_buf(),
        logs: plan.logs.clone(),
        stores,
        retry_slack: RETRY_SLACKS[(plan.seed % RETRY_SLACKS.len() as u64) as usize],
    };
    let mut nodes = vec![];
    for number in 0..plan.nodes {
        let node = NodeProcess::start(&node_plan, number).await?;
        nodes.push(Arc::new(tokio::sync::Mutex::new(node)));
    }
    sleep(Duration::from_secs(3)).await;
    let mut addresses: Vec<SocketAddr> = vec![];
    for node in &nodes {
        addresses.push(node.lock().await.caller_address);
    }
    let (recorder, disturbances) = (Recorder::default(), Disturbances::default());
    let start = Instant::now();
    log.write("start of the traffic")?;
    let callers = CALLERS.iter().enumerate().map(|(i, pace)| Caller {
        rng: StdRng::seed_from_u64(plan.seed * 1000 + i as u64),
        pace: *pace,
        fake_platform: fake_platform.clone(),
        addresses: addresses.clone(),
        recorder: recorder.clone(),
        end: start + plan.length,
    });
    let callers: Vec<_> = callers.map(|caller| tokio::spawn(caller.run())).collect();
    let mut faults = Faults {
        rng: StdRng::seed_from_u64(plan.seed),
        fake_platform: fake_platform.clone(),
        proxy: proxy.clone(),
        nodes: nodes.clone(),
        links: links.clone(),
        addresses,
        recorder: recorder.clone(),
        disturbances: disturbances.clone(),
        configuration: configuration.clone(),
        log: log.clone(),
        next_instance: ENGINES,
        next_crashing: 0,
        starts_planned: plan.seed.is_multiple_of(2),
        has_crashing_part: plan.seed.is_multiple_of(PART_SEEDS) && !plan.only_stops,
        only_stops: plan.only_stops,
    };
    let faults_end = start + plan.length.saturating_sub(RECOVERY);
    let notices = plan.has_notices.then(|| {
        let notices = Notices {
            rng: StdRng::seed_from_u64(plan.seed + 1),
            fake_platform: fake_platform.clone(),
            addresses: faults.addresses.clone(),
            recorder: recorder.clone(),
            log: log.clone(),
            plain_instances: PLAIN_INSTANCES,
        };
        tokio::spawn(notices.inject_until(faults_end))
    });
    let returns = plan.has_returns.then(|| {
        let returns = Returns {
            rng: StdRng::seed_from_u64(plan.seed + 2),
            fake_platform: fake_platform.clone(),
            disturbances: disturbances.clone(),
            log: log.clone(),
        };
        tokio::spawn(returns.inject_until(faults_end))
    });
    faults.inject_until(faults_end).await?;
    if let Some(returns) = returns {
        returns.await.context("a fault task failed")??;
    }
    if let Some(notices) = notices {
        notices.await.context("a fault task failed")??;
    }
    proxy.send_replace(ProxyMode::Forward);
    links.iter().for_each(|links| links.set_mode(LinkMode::Up));
    for caller in callers {
        caller.await.context("a caller task failed")?;
    }
    let mut overdue = 0;
    for node in &nodes {
        let mut node = node.lock().await;
        overdue += node.overdue;
        node.terminate();
    }
    let recorded = std::mem::take(&mut *recorder.lock());
    let mut arrivals: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for arrival in fake_platform.arrivals() {
        arrivals.entry(arrival.request.clone()).or_default().push(arrival);
    }
    let executed = recorded.requests.iter().map(|r| (&r.id, fake_platform.execution_count(&r.id)));
    let executions = executed.filter(|(_, n)| *n > 0).map(|(id, n)| (id.clone(), n)).collect();
    let evidence = Evidence {
        start,
        recovered: start + plan.length - RECOVERY / 2,
        executions,
        requests: recorded.requests,
        arrivals,
        limit_periods: fake_platform.limit_periods(),
        violations: fake_platform.violations(),
        crash_runs: fake_platform.crash_runs(),
        disturbances,
        nodes: nodes.len(),
        has_engines: !plan.only_plain,
        changes: configuration.changes(),
        retry_slack: node_plan.retry_slack,
    };
    let mut violations = recorded.violations;
    violations.extend(serving_soak_oracle::check(&evidence));
    Ok(Report::new(&evidence, violations, recorded.unconnected, overdue))
}

async fn start_instances(plan: &SoakPlan, store: FakeStore) -> FakePlatform {
    let mut fake_platform = FakePlatform::new(store);
    let (engines, restart_delay) = match plan.only_plain {
        true => (0, LONG_RESTART_DELAY),
        false => (ENGINES, RESTART_DELAY),
    };
    fake_platform.restart_delay = restart_delay;
    fake_platform.keeps_id = plan.seed.is_multiple_of(2);
    fake_platform.crash_rank = (plan.seed / 2 % 2) as usize;
    for i in 0..engines {
        spawn_instance(&fake_platform, engine_spec(i)).await;
    }
    for i in 0..PLAIN_INSTANCES {
        spawn_instance(&fake_platform, plain_spec(i)).await;
    }
    fake_platform
}
