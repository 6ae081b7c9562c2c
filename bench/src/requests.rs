//! `requests`: real daemons under a burst with faults: whole answers, fairness, gaps, ledger.

use crate::call_oracle::CallOracle;
use crate::call_record::CallRecord;
use crate::caller::Caller;
use crate::daemon_process::RunDirectory;
use crate::fake_fleet::DomainPlan;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::PlainPlan;
use crate::fleet_plan;
use crate::fleet_plan::MODEL_VERSION;
use crate::fleet_plan::NODES;
use crate::fleet_plan::model_of;
use crate::operator::Operator;
use crate::requests_report;
use crate::requests_report::Figures;
use anyhow::Context;
use anyhow::Result;
use getopts::Options;
use guavaladder_lib::token_hash::hash_token;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::fake_store::StoreFaults;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Customers; the first three are large.
pub const CUSTOMERS: usize = 10;
/// Customers that send more than a small one.
pub const LARGE: usize = 3;
const SERVICE: &str = "drafting";
const CALLS: &str = "filing";
/// Instances of a group.
const MEMBERS: u32 = 2;
/// Groups of the service.
const REPLICAS: u32 = 10;
/// Requests that a group runs at once.
const CAPACITY: u32 = 16;
/// Tokens of an answer.
pub const TOKENS: u32 = 64;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const PREFILL: Duration = Duration::from_millis(50);
/// Requests a second of a small customer.
const SMALL_RATE: f64 = 3.0;
/// Requests a second of a large customer that keeps to its share.
const LARGE_RATE: f64 = 20.0;
/// How many times its share the bursting customer sends.
const BURST_FACTOR: f64 = 20.0;
/// Calls with a key a second, over all customers.
const CALL_RATE: f64 = 60.0;
/// Callers of one customer, each of which chooses its own entry.
const CALLERS: usize = 3;
const PATIENCE: Duration = Duration::from_secs(15);
/// The bursting customer's callers do not come back.
const NO_PATIENCE: Duration = Duration::from_millis(90);
const ALONE: Duration = Duration::from_secs(6);
const BURST: Duration = Duration::from_secs(18);
const ASSEMBLY_BOUND: Duration = Duration::from_secs(30);
const SHUTDOWN_BOUND: Duration = Duration::from_secs(5);

/// One finished request.
pub struct Sample {
    /// Index of the customer.
    pub customer: usize,
    /// Whether it is a call with a key.
    pub is_call: bool,
    /// What became of it.
    pub record: CallRecord,
}

struct Run {
    fleet: FakeFleet,
    callers: Vec<Vec<Arc<Caller>>>,
    rng: StdRng,
}

/// Runs the measurement.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the arrivals", "N").optflag("", "json", "prints JSON");
    let matches = options.parse(args)?;
    let seed = matches.opt_get_default("seed", 1)?;
    let mut directory = RunDirectory::new("requests")?;
    let fleet = start_fleet().await?;
    let mut daemons = fleet_plan::make_daemons(&fleet, &directory, &NODES, SHUTDOWN_BOUND)?;
    for daemon in &mut daemons {
        daemon.start().await?;
    }
    let endpoints = daemons.iter().map(|d| d.settings.operator_listen.clone()).collect();
    let operator = Operator::new(endpoints, "requests");
    operator.apply(0, &config(), "measurement").await?;
    operator.wait_serving(ASSEMBLY_BOUND).await?;
    let known: Vec<String> = daemons.iter().map(|d| d.settings.caller_listen.clone()).collect();
    let mut run = Run { fleet, callers: callers(&known), rng: StdRng::seed_from_u64(seed) };
    let alone = run.phase(ALONE, false).await?;
    let started = run.fleet.store.writes().len();
    let burst = run.phase(BURST, true).await?;
    let writes = run.fleet.store.writes();
    let ledger_writes = writes[started..].iter().filter(|w| w.key.starts_with("ledger/")).count();
    let figures = Figures::new(
        &alone,
        &burst,
        &run.fleet.fake_instances.executions(),
        ledger_writes as f64 / BURST.as_secs_f64(),
        run.violations(&alone, &burst),
    );
    match matches.opt_present("json") {
        true => println!("{}", figures.to_json(seed)),
        false => print!("{}", requests_report::table(&figures)),
    }
    if figures.violations.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    directory.keep();
    eprintln!("logs of the daemons are in {}", directory.path().display());
    Ok(ExitCode::FAILURE)
}

async fn start_fleet() -> Result<FakeFleet> {
    let options = EngineOptions {
        load_time: Duration::from_millis(500),
        ..EngineOptions::new().with_token_times(PREFILL, TOKEN_INTERVAL).with_capacity(CAPACITY)
    };
    let mut fleet = FakeFleet::start().await?;
    for data_centre in fleet_plan::DATA_CENTRES {
        let plan = DomainPlan {
            domain: format!("fabric-{data_centre}"),
            data_centre: data_centre.to_string(),
            kind: "fenced".to_string(),
            instances: REPLICAS / 2 * MEMBERS + MEMBERS,
            options: options.clone(),
        };
        fleet.add_domain(&plan).await?;
        let plan = PlainPlan {
            service: CALLS.to_string(),
            data_centre: data_centre.to_string(),
            instances: 2,
            options: options.clone(),
        };
        fleet.add_plain(&plan).await?;
    }
    Ok(fleet)
}

fn config() -> Value {
    let customers: serde_json::Map<String, Value> = (0..CUSTOMERS)
        .map(|index| {
            let customer = json!({"burst": 200, "tokens": [hash_token(&token(index))]});
            (format!("c{index}"), customer)
        })
        .collect();
    json!({
        "defaults": {"lease_ms": 3000},
        "services": {
            SERVICE: {"kind": "engine", "model": model_of(SERVICE), "version": MODEL_VERSION,
                "replicas": REPLICAS, "members_per_replica": MEMBERS, "disruption_budget": 2},
            CALLS: {"kind": "plain", "idempotent": false},
        },
        "customers": customers,
        "upstream_kinds": {"fenced": {"checks_fencing": true, "order_timeout_ms": 1000}, "plain": {}},
    })
}

fn token(customer: usize) -> String {
    format!("token-of-{customer}")
}

fn callers(known: &[String]) -> Vec<Vec<Arc<Caller>>> {
    let of_customer = |customer: usize| {
        let patience = if customer == 0 { NO_PATIENCE } else { PATIENCE };
        let caller = |turn: usize| {
            let mut known = known.to_vec();
            let turn = turn % known.len();
            known.rotate_left(turn);
            Arc::new(Caller::new(known, &token(customer), patience))
        };
        (0..CALLERS).map(caller).collect()
    };
    (0..CUSTOMERS).map(of_customer).collect()
}

impl Run {
    /// Sends requests for a while and waits for their ends.
    async fn phase(&mut self, length: Duration, is_burst: bool) -> Result<Vec<Sample>> {
        let arrivals = self.arrivals(length, is_burst);
        let started = Instant::now();
        let mut running: JoinSet<Sample> = JoinSet::new();
        let mut faults = faults();
        for (index, (at, customer, is_call)) in arrivals.into_iter().enumerate() {
            while is_burst && faults.first().is_some_and(|(due, _)| *due <= at) {
                let (_, fault) = faults.remove(0);
                self.strike(fault)?;
            }
            tokio::time::sleep_until(started + at).await;
            let caller = self.callers[customer][index % CALLERS].clone();
            running.spawn(send(caller, customer, is_call, index, is_burst));
        }
        self.fleet.store.set_faults(StoreFaults::default());
        let mut samples = vec![];
        while let Some(sample) = running.join_next().await {
            samples.push(sample?);
        }
        Ok(samples)
    }

    /// Returns the arrivals of all customers in time order; those of one are a Poisson process.
    fn arrivals(&mut self, length: Duration, is_burst: bool) -> Vec<(Duration, usize, bool)> {
        let seconds_per_answer = (PREFILL + TOKEN_INTERVAL * TOKENS).as_secs_f64();
        let capacity = f64::from(REPLICAS * CAPACITY) / seconds_per_answer;
        let mut arrivals = vec![];
        for customer in 0..CUSTOMERS {
            let rate = match customer {
                0 if is_burst => capacity / CUSTOMERS as f64 * BURST_FACTOR,
                1..LARGE if is_burst => LARGE_RATE,
                LARGE.. => SMALL_RATE,
                _ => continue,
            };
            self.add_arrivals(&mut arrivals, length, rate, customer, false);
        }
        for customer in LARGE..CUSTOMERS {
            let rate = CALL_RATE / (CUSTOMERS - LARGE) as f64;
            self.add_arrivals(&mut arrivals, length, rate, customer, true);
        }
        arrivals.sort();
        arrivals
    }

    fn add_arrivals(
        &mut self,
        arrivals: &mut Vec<(Duration, usize, bool)>,
        length: Duration,
        rate: f64,
        customer: usize,
        is_call: bool,
    ) {
        let mut at = 0.0;
        loop {
            at += -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            if at >= length.as_secs_f64() {
                return;
            }
            arrivals.push((Duration::from_secs_f64(at), customer, is_call));
        }
    }

    fn strike(&self, fault: Fault) -> Result<()> {
        let fake_instances = &self.fleet.fake_instances;
        let mut all = fake_instances.all_instances();
        all.retain(|info| info.domain.starts_with("fabric-"));
        all.sort_by_key(|info| std::cmp::Reverse(fake_instances.open_streams(&info.address)));
        let busy = all.first().context("no instances")?;
        match fault {
            Fault::Kill => self.fleet.kill(&busy.address),
            Fault::Silence => self.fleet.stall_connections(&busy.address),
            Fault::Straggle => fake_instances.set_slowdown(&busy.address, 10.0),
            Fault::Recover => {
                all.iter().for_each(|info| fake_instances.set_slowdown(&info.address, 1.0))
            }
            Fault::StoreAway => {
                let faults = StoreFaults { is_unavailable: true, ..StoreFaults::default() };
                self.fleet.store.set_faults(faults);
            }
            Fault::StoreBack => self.fleet.store.set_faults(StoreFaults::default()),
        }
        Ok(())
    }

    fn violations(&self, alone: &[Sample], burst: &[Sample]) -> Vec<String> {
        let oracle = CallOracle::new(&self.fleet.fake_instances.executions());
        let oracle = oracle.with_model(SERVICE, &model_of(SERVICE), MODEL_VERSION);
        let records: Vec<CallRecord> =
            alone.iter().chain(burst).map(|sample| sample.record.clone()).collect();
        let mut violations: Vec<String> =
            oracle.check(&records).iter().map(ToString::to_string).collect();
        violations.extend(self.fleet.fake_instances.violations().iter().map(ToString::to_string));
        violations
    }
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Silence,
    Straggle,
    Recover,
    StoreAway,
    StoreBack,
}

/// Returns the faults of the burst in time order.
fn faults() -> Vec<(Duration, Fault)> {
    let at = |seconds, fault| (Duration::from_secs(seconds), fault);
    vec![
        at(3, Fault::Kill),
        at(5, Fault::Silence),
        at(7, Fault::Straggle),
        at(9, Fault::Recover),
        at(10, Fault::Silence),
        at(12, Fault::StoreAway),
        at(13, Fault::Kill),
        at(15, Fault::StoreBack),
    ]
}

async fn send(
    caller: Arc<Caller>,
    customer: usize,
    is_call: bool,
    index: usize,
    is_burst: bool,
) -> Sample {
    let record = match is_call {
        true => caller.call(CALLS, "payment", &format!("{is_burst} {index}"), true).await,
        false => {
            let prompt = format!("report {is_burst} {index} of {customer} length:{TOKENS}");
            caller.generate(SERVICE, &prompt, 2 * TOKENS).await
        }
    };
    Sample { customer, is_call, record }
}
