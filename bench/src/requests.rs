//! `guavaladder-bench requests`: sends a burst of requests to real daemons while faults are
//! injected, and measures complete responses, fairness between customers, gaps in streams and
//! ledger writes.

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

/// Number of customers; the first `LARGE_CUSTOMERS` are large.
pub const CUSTOMERS: usize = 10;
/// Number of customers that send more requests than a small one.
pub const LARGE_CUSTOMERS: usize = 3;
const ENGINE_SERVICE: &str = "drafting";
const PLAIN_SERVICE: &str = "filing";
/// Number of instances of a group.
const MEMBERS: u32 = 2;
/// Number of groups of the engine service.
const REPLICAS: u32 = 10;
/// Number of requests that a group runs concurrently.
const CAPACITY: u32 = 16;
/// Number of tokens of a response.
pub const TOKENS: u32 = 64;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const PREFILL: Duration = Duration::from_millis(50);
/// Requests per second of a small customer.
const SMALL_RATE: f64 = 3.0;
/// Requests per second of a large customer that does not exceed its share.
const LARGE_RATE: f64 = 20.0;
/// Request rate of the bursting customer, as a multiple of its share of the capacity.
const BURST_FACTOR: f64 = 20.0;
/// Calls with an idempotency key per second, summed over the small customers.
const CALL_RATE: f64 = 60.0;
/// Number of callers of one customer; each chooses its entry independently.
const CALLERS: usize = 3;
const RETRY_TIME: Duration = Duration::from_secs(15);
/// Retry time of the bursting customer, so short that its callers do not retry refused requests.
const BURST_RETRY_TIME: Duration = Duration::from_millis(90);
const BASELINE_TIME: Duration = Duration::from_secs(6);
const BURST_TIME: Duration = Duration::from_secs(18);
const SERVING_TIMEOUT: Duration = Duration::from_secs(30);
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// One completed request.
pub struct Sample {
    /// Index of the customer.
    pub customer: usize,
    /// Whether it is a call of the plain service with an idempotency key.
    pub is_call: bool,
    /// Outcome and times of the request.
    pub record: CallRecord,
}

struct Run {
    fleet: FakeFleet,
    callers: Vec<Vec<Arc<Caller>>>,
    rng: StdRng,
}

/// Runs the subcommand `requests`.
pub async fn run(args: &[String]) -> Result<ExitCode> {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the arrivals", "N").optflag("", "json", "print JSON");
    let matches = options.parse(args)?;
    let seed = matches.opt_get_default("seed", 1)?;
    let mut directory = RunDirectory::new("requests")?;
    let fleet = start_fleet().await?;
    let mut daemons = fleet_plan::make_daemons(&fleet, &directory, &NODES, SHUTDOWN_TIMEOUT)?;
    for daemon in &mut daemons {
        daemon.start().await?;
    }
    let endpoints = daemons.iter().map(|d| d.settings.operator_listen.clone()).collect();
    let operator = Operator::new(endpoints, "requests");
    operator.apply(0, &config(), "measurement").await?;
    operator.wait_serving(SERVING_TIMEOUT).await?;
    let entries: Vec<String> = daemons.iter().map(|d| d.settings.caller_listen.clone()).collect();
    let mut run = Run { fleet, callers: callers(&entries), rng: StdRng::seed_from_u64(seed) };
    let baseline = run.phase(BASELINE_TIME, false).await?;
    let started = run.fleet.store.writes().len();
    let burst = run.phase(BURST_TIME, true).await?;
    let writes = run.fleet.store.writes();
    let ledger_writes = writes[started..].iter().filter(|w| w.key.starts_with("ledger/")).count();
    let figures = Figures::new(
        &baseline,
        &burst,
        &run.fleet.fake_instances.executions(),
        ledger_writes as f64 / BURST_TIME.as_secs_f64(),
        run.violations(&baseline, &burst),
    );
    match matches.opt_present("json") {
        true => println!("{}", figures.to_json(seed)),
        false => print!("{}", requests_report::table(&figures)),
    }
    if figures.violations.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    directory.keep();
    eprintln!("the logs of the daemons are in {}", directory.path().display());
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
            service: PLAIN_SERVICE.to_string(),
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
            ENGINE_SERVICE: {"kind": "engine", "model": model_of(ENGINE_SERVICE), "version": MODEL_VERSION,
                "replicas": REPLICAS, "members_per_replica": MEMBERS, "disruption_budget": 2},
            PLAIN_SERVICE: {"kind": "plain", "idempotent": false},
        },
        "customers": customers,
        "upstream_kinds": {"fenced": {"checks_fencing": true, "order_timeout_ms": 1000}, "plain": {}},
    })
}

fn token(customer: usize) -> String {
    format!("token-of-{customer}")
}

fn callers(entries: &[String]) -> Vec<Vec<Arc<Caller>>> {
    let callers_of = |customer: usize| {
        let max_retry_time = if customer == 0 { BURST_RETRY_TIME } else { RETRY_TIME };
        let caller = |position: usize| {
            let mut entries = entries.to_vec();
            let position = position % entries.len();
            entries.rotate_left(position);
            Arc::new(Caller::new(entries, &token(customer), max_retry_time))
        };
        (0..CALLERS).map(caller).collect()
    };
    (0..CUSTOMERS).map(callers_of).collect()
}

impl Run {
    /// Sends requests for `length` and waits until all have ended; injects the faults if
    /// `is_burst`.
    async fn phase(&mut self, length: Duration, is_burst: bool) -> Result<Vec<Sample>> {
        let arrivals = self.arrivals(length, is_burst);
        let started = Instant::now();
        let mut running: JoinSet<Sample> = JoinSet::new();
        let mut faults = faults();
        for (index, (at, customer, is_call)) in arrivals.into_iter().enumerate() {
            while is_burst && faults.first().is_some_and(|(due, _)| *due <= at) {
                let (_, fault) = faults.remove(0);
                self.inject_fault(fault)?;
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

    /// Returns the arrivals of all customers in order of time; each customer's are a Poisson
    /// process.
    fn arrivals(&mut self, length: Duration, is_burst: bool) -> Vec<(Duration, usize, bool)> {
        let seconds_per_response = (PREFILL + TOKEN_INTERVAL * TOKENS).as_secs_f64();
        let capacity = f64::from(REPLICAS * CAPACITY) / seconds_per_response;
        let mut arrivals = vec![];
        for customer in 0..CUSTOMERS {
            let rate = match customer {
                0 if is_burst => capacity / CUSTOMERS as f64 * BURST_FACTOR,
                1..LARGE_CUSTOMERS if is_burst => LARGE_RATE,
                LARGE_CUSTOMERS.. => SMALL_RATE,
                _ => continue,
            };
            self.add_arrivals(&mut arrivals, length, rate, customer, false);
        }
        for customer in LARGE_CUSTOMERS..CUSTOMERS {
            let rate = CALL_RATE / (CUSTOMERS - LARGE_CUSTOMERS) as f64;
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

    fn inject_fault(&self, fault: Fault) -> Result<()> {
        let fake_instances = &self.fleet.fake_instances;
        let mut all = fake_instances.all_instances();
        all.retain(|info| info.domain.starts_with("fabric-"));
        all.sort_by_key(|info| std::cmp::Reverse(fake_instances.open_streams(&info.address)));
        let busy = all.first().context("no instances")?;
        match fault {
            Fault::Kill => self.fleet.kill(&busy.address),
            Fault::StallConnections => self.fleet.stall_connections(&busy.address),
            Fault::SlowDown => fake_instances.set_slowdown(&busy.address, 10.0),
            Fault::EndSlowdown => {
                all.iter().for_each(|info| fake_instances.set_slowdown(&info.address, 1.0))
            }
            Fault::StoreUnavailable => {
                let faults = StoreFaults { is_unavailable: true, ..StoreFaults::default() };
                self.fleet.store.set_faults(faults);
            }
            Fault::StoreAvailable => self.fleet.store.set_faults(StoreFaults::default()),
        }
        Ok(())
    }

    fn violations(&self, baseline: &[Sample], burst: &[Sample]) -> Vec<String> {
        let oracle = CallOracle::new(&self.fleet.fake_instances.executions());
        let oracle = oracle.with_model(ENGINE_SERVICE, &model_of(ENGINE_SERVICE), MODEL_VERSION);
        let records: Vec<CallRecord> =
            baseline.iter().chain(burst).map(|sample| sample.record.clone()).collect();
        let mut violations: Vec<String> =
            oracle.check(&records).iter().map(ToString::to_string).collect();
        violations.extend(self.fleet.fake_instances.violations().iter().map(ToString::to_string));
        violations
    }
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    StallConnections,
    SlowDown,
    EndSlowdown,
    StoreUnavailable,
    StoreAvailable,
}

/// Returns the faults of the burst phase in order of time.
fn faults() -> Vec<(Duration, Fault)> {
    let at = |seconds, fault| (Duration::from_secs(seconds), fault);
    vec![
        at(3, Fault::Kill),
        at(5, Fault::StallConnections),
        at(7, Fault::SlowDown),
        at(9, Fault::EndSlowdown),
        at(10, Fault::StallConnections),
        at(12, Fault::StoreUnavailable),
        at(13, Fault::Kill),
        at(15, Fault::StoreAvailable),
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
        true => caller.call(PLAIN_SERVICE, "payment", &format!("{is_burst} {index}"), true).await,
        false => {
            let prompt = format!("report {is_burst} {index} of {customer} length:{TOKENS}");
            caller.generate(ENGINE_SERVICE, &prompt, 2 * TOKENS).await
        }
    };
    Sample { customer, is_call, record }
}
