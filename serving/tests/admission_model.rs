//! Model of a fleet under scarcity, without a network: nodes that know each other's requests by heartbeats, groups with
//! a fixed number of slots and a queue, and callers that come back once after a refusal.

use guavaladder_serving::admission;
use guavaladder_serving::admission::Admission;
use guavaladder_serving::admission::AdmissionInput;
use guavaladder_serving::admission::AdmissionReason;
use guavaladder_serving::admission::Standing;
use guavaladder_serving::admission_stats::AdmissionStats;
use guavaladder_serving::admission_stats::Outcome;
use guavaladder_serving::admission_stats::RequestKeys;
use guavaladder_serving::admission_stats::UseGuard;
use guavaladder_serving::fleet_config::Engine;
use guavaladder_serving::load_table::ReplicaState;
use guavaladder_serving::placement;
use guavaladder_serving::placement::Candidate;
use guavaladder_serving::placement::PlacementInput;
use guavaladder_serving::placement::Timeliness;
use guavaladder_serving::rate_limits::RateAllowance;
use guavaladder_serving::replica_set::Replica;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of a replica's slots from which a late first event counts as caused by the load.
const NEARLY_FULL: f64 = 0.7;
/// Seconds at the start that are not counted.
const WARM_UP_S: f64 = 4.0;

/// How requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// By timeliness alone, as without measurements.
    Before,
    /// As built.
    Admission,
    /// As built, and a refused request waits at the node for up to an eighth of its target latency.
    ShortWait,
    /// Callers that came back may use all of the capacity, and new ones only 0.85 of it.
    ReturnedFirst,
    /// All may use all of the capacity.
    Alike,
}

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub route: &'static str,
    pub urgency: u8,
    /// Requests per second.
    pub rate: f64,
    pub prompt_tokens: f64,
    pub events: f64,
    pub target_s: f64,
    pub deadline_s: f64,
    pub value: f64,
    pub late_value: f64,
}

/// What the model simulates.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub nodes: usize,
    pub replicas: usize,
    pub seconds: f64,
    pub kinds: Vec<Kind>,
    /// Weights of the customers.
    pub customers: Vec<f64>,
    /// Customer whose callers come back at once, if any.
    pub impatient: Option<usize>,
    /// Amplitude and period of the wave of the rate, and the factor on the rate in bursts.
    pub wave: (f64, f64),
    pub burst: f64,
    /// Whether nodes hear what customers use.
    pub hears_reports: bool,
    /// Replicas that stop at this second.
    pub stop: Option<(f64, usize)>,
}

impl Scenario {
    pub fn new(kinds: Vec<Kind>, nodes: usize, replicas: usize) -> Self {
        Self {
            seed: 7,
            nodes,
            replicas,
            seconds: 34.0,
            kinds,
            customers: vec![1.0; 12],
            impatient: None,
            wave: (0.0, 15.0),
            burst: 1.0,
            hears_reports: true,
            stop: None,
        }
    }
}

/// Requests by their outcomes. A request counts once, whether or not its caller came back.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    pub asked: f64,
    pub on_time: f64,
    pub late: f64,
    /// Refused, and refused again after the caller came back.
    pub refused_twice: f64,
    /// Refused while under half of the slots were in use.
    pub refused_idle: f64,
    /// Value earned, and the value if all had been on time.
    pub value: f64,
    pub full_value: f64,
}

impl Tally {
    pub fn served(&self) -> f64 {
        (self.on_time + self.late) / self.asked.max(1.0)
    }

    pub fn earned(&self) -> f64 {
        self.value / self.full_value.max(1e-9)
    }
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub all: Tally,
    pub kinds: BTreeMap<&'static str, Tally>,
    pub customers: BTreeMap<usize, Tally>,
    /// By kind and band: the smallest 0.7 of the requests, the fifth above, and the largest tenth.
    pub sizes: BTreeMap<(&'static str, usize), Tally>,
    /// Callers that came back after they waited as told, and all others that came back: number, and served.
    pub returned: (f64, f64),
    pub impatient: (f64, f64),
    /// Mean fraction of the slots that were running a request.
    pub slot_use: f64,
}

impl std::fmt::Display for Outcomes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let t = &self.all;
        write!(
            f,
            "earned {:.3}, on time {:.3}, late {:.3}, refused twice {:.3}, slots used {:.3}",
            t.earned(),
            t.on_time / t.asked,
            t.late / t.asked,
            t.refused_twice / t.asked,
            self.slot_use,
        )
    }
}

#[derive(Debug, Clone)]
struct Request {
    number: u64,
    kind: usize,
    customer: usize,
    size_factor: f64,
    prompt: u32,
    response: u32,
    sent_at: f64,
    is_return: bool,
    waited_as_told: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Arrive,
    Return(usize),
    Wait(usize, usize),
    First(usize, usize),
    End(usize, usize),
    Heartbeat(usize),
    Report(usize),
    Stop,
}

#[derive(Debug, Default)]
struct SimReplica {
    running: usize,
    queue: VecDeque<(usize, usize)>,
    prefill_free_at: f64,
    is_stopped: bool,
}

/// State of one simulation.
struct Sim<'a> {
    scenario: &'a Scenario,
    method: Method,
    engine: Engine,
    rng: StdRng,
    base: Instant,
    now: f64,
    steps: BinaryHeap<Reverse<(u64, u64, usize)>>,
    kinds_of_step: Vec<Step>,
    requests: Vec<Request>,
    replicas: Vec<SimReplica>,
    candidates: Vec<Arc<Replica>>,
    own: Vec<Vec<u32>>,
    unanswered: Vec<Vec<u32>>,
    told: Vec<Vec<u32>>,
    told_sums: Vec<u32>,
    stats: Vec<AdmissionStats>,
    guards: HashMap<usize, UseGuard>,
    nearly_full: HashMap<usize, bool>,
    out: Outcomes,
    busy: f64,
    busy_since: f64,
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario, method: Method, engine: &Engine) -> Outcomes {
    let replica = |i: usize| Replica {
        key: format!("r{i}"),
        hash: i as u64,
        service: "s".to_string(),
        instance: format!("r{i}"),
        run: 0,
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "east".to_string(),
        slots: engine.slots,
        model: Some("small".to_string()),
        is_node: false,
        members: vec![],
    };
    let (nodes, replicas) = (scenario.nodes, scenario.replicas);
    let mut sim = Sim {
        scenario,
        method,
        engine: engine.clone(),
        rng: StdRng::seed_from_u64(scenario.seed),
        base: Instant::now(),
        now: 0.0,
        steps: BinaryHeap::new(),
        kinds_of_step: vec![],
        requests: vec![],
        replicas: (0..replicas).map(|_| SimReplica::default()).collect(),
        candidates: (0..replicas).map(|i| Arc::new(replica(i))).collect(),
        own: vec![vec![0; replicas]; nodes],
        unanswered: vec![vec![0; replicas]; nodes],
        told: vec![vec![0; replicas]; nodes],
        told_sums: vec![0; replicas],
        stats: (0..nodes).map(|_| AdmissionStats::new()).collect(),
        guards: HashMap::new(),
        nearly_full: HashMap::new(),
        out: Outcomes::default(),
        busy: 0.0,
        busy_since: WARM_UP_S,
    };
    sim.run();
    let slots = f64::from(engine.slots) * replicas as f64;
    sim.out.slot_use = sim.busy / (slots * (scenario.seconds - WARM_UP_S));
    sim.out
}

impl Sim<'_> {
    fn run(&mut self) {
        self.plan(0.0, Step::Arrive);
        for node in 0..self.scenario.nodes {
            let at = self.rng.random_range(0.0..0.2);
            self.plan(at, Step::Heartbeat(node));
            self.plan(at * 5.0, Step::Report(node));
        }
        if let Some((at, _)) = self.scenario.stop {
            self.plan(at, Step::Stop);
        }
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            self.now = at as f64 / 1e6;
            if self.now > self.scenario.seconds {
                break;
            }
            match self.kinds_of_step[step] {
                Step::Arrive => self.arrive(),
                Step::Return(request) => self.try_send(request, true),
                Step::Wait(request, node) => self.send_after_wait(request, node),
                Step::First(request, node) => self.first_event(request, node),
                Step::End(request, node) => self.end(request, node),
                Step::Heartbeat(node) => self.heartbeat(node),
                Step::Report(node) => self.report(node),
                Step::Stop => {
                    let stopped = self.scenario.stop.map_or(0, |(_, n)| n);
                    self.replicas[..stopped].iter_mut().for_each(|r| r.is_stopped = true);
                }
            }
        }
    }

    fn plan(&mut self, after: f64, step: Step) {
        let number = self.kinds_of_step.len();
        self.kinds_of_step.push(step);
        let at = ((self.now + after) * 1e6) as u64;
        self.steps.push(Reverse((at, number as u64, number)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.now)
    }

    fn arrive(&mut self) {
        let (amplitude, period) = self.scenario.wave;
        let wave = 1.0 + amplitude * (self.now / period * std::f64::consts::TAU).sin();
        let is_burst = (self.now / 5.0).fract() < 0.2;
        let factor = wave * if is_burst { self.scenario.burst } else { 1.0 };
        let rate: f64 = self.scenario.kinds.iter().map(|kind| kind.rate).sum();
        let interval = -self.rng.random_range(1e-9_f64..1.0).ln() / (rate * factor).max(1.0);
        self.plan(interval, Step::Arrive);
        let rates: Vec<f64> = self.scenario.kinds.iter().map(|kind| kind.rate).collect();
        let kind = pick(&mut self.rng, &rates);
        let customer = pick(&mut self.rng, &self.scenario.customers);
        let normal: f64 = (0..6).map(|_| self.rng.random_range(-0.5..0.5)).sum();
        let size_factor = (0.8 * normal).exp();
        let Kind { prompt_tokens, events, .. } = self.scenario.kinds[kind];
        let tokens = events * f64::from(self.engine.steps_per_pass);
        self.requests.push(Request {
            number: self.requests.len() as u64,
            kind,
            customer,
            size_factor,
            prompt: (prompt_tokens * size_factor) as u32,
            response: (tokens * size_factor) as u32,
            sent_at: self.now,
            is_return: false,
            waited_as_told: false,
        });
        self.try_send(self.requests.len() - 1, true);
    }

    fn try_send(&mut self, request: usize, may_wait: bool) {
        let node = self.rng.random_range(0..self.scenario.nodes);
        self.try_send_at(request, node, may_wait);
    }

    fn send_after_wait(&mut self, request: usize, node: usize) {
        self.try_send_at(request, node, false);
    }

    fn try_send_at(&mut self, request: usize, node: usize, may_wait: bool) {
        let candidates = self.candidates_of(node);
        let placed = self.decide(request, node, &candidates, may_wait);
        match placed {
            Ok(replica) => self.send(request, node, replica),
            Err(None) => {
                let target = self.scenario.kinds[self.requests[request].kind].target_s;
                self.plan(target / 8.0, Step::Wait(request, node));
            }
            Err(Some(retry_after)) => self.refuse(request, retry_after),
        }
    }

    fn candidates_of(&self, node: usize) -> Vec<Candidate> {
        let usable = (0..self.replicas.len()).filter(|r| !self.replicas[*r].is_stopped);
        let candidate = |r: usize| Candidate {
            replica: self.candidates[r].clone(),
            state: ReplicaState {
                own: self.own[node][r],
                remote: self.told_sums[r] - self.told[node][r],
                unanswered: self.unanswered[node][r],
                ..ReplicaState::unknown()
            },
            rate: RateAllowance::Available,
        };
        usable.map(candidate).collect()
    }

    /// Returns the replica, or the time after which the caller may come back; `None` if the request waits.
    fn decide(
        &mut self,
        number: usize,
        node: usize,
        candidates: &[Candidate],
        may_wait: bool,
    ) -> Result<usize, Option<Duration>> {
        let request = self.requests[number].clone();
        let kind = self.scenario.kinds[request.kind];
        let now = self.instant();
        let time_left =
            Duration::from_secs_f64((kind.deadline_s - (self.now - request.sent_at)).max(0.0));
        let is_likely_retry = self.now - request.sent_at > kind.target_s;
        let timeliness = if is_likely_retry { Timeliness::Late } else { Timeliness::OnTime };
        let place = |capacity_ratio: Option<f64>| {
            let input = PlacementInput {
                data_centre: "east",
                engine: Some(&self.engine),
                timeliness,
                nodes: self.scenario.nodes,
                capacity_ratio,
            };
            placement::choose(candidates, &input).ok().map(|replica| replica.hash as usize)
        };
        let late_ratio = match self.method {
            Method::Before => None,
            Method::Alike => Some(1.0),
            Method::ReturnedFirst => Some(if is_likely_retry { 1.0 } else { 0.85 }),
            Method::Admission | Method::ShortWait => {
                return self.admit(&request, node, candidates, time_left, may_wait, now, place);
            }
        };
        place(late_ratio).ok_or_else(|| Some(placement::retry_after(time_left)))
    }

    #[allow(clippy::too_many_arguments)]
    fn admit(
        &self,
        request: &Request,
        node: usize,
        candidates: &[Candidate],
        time_left: Duration,
        may_wait: bool,
        now: Instant,
        place: impl Fn(Option<f64>) -> Option<usize>,
    ) -> Result<usize, Option<Duration>> {
        let kind = self.scenario.kinds[request.kind];
        let stats = &self.stats[node];
        let size = f64::from(request.prompt) + 10.0 * f64::from(request.response);
        let keys = RequestKeys {
            model: 1,
            customer: request.customer as u32,
            urgency: kind.urgency,
            route: kind.route,
            size,
            fingerprint: request.number,
        };
        let occupancy = placement::occupancy(candidates);
        let measured = stats.measure(&keys, occupancy.slots, now);
        let timeout = Duration::from_secs_f64(kind.deadline_s);
        let elapsed = self.now - request.sent_at;
        let standing =
            Standing::new(elapsed > kind.target_s, measured.is_early, time_left, timeout);
        let model = self.engine.model("small").unwrap();
        let (expected_first_event, expected_stream) = admission::expected_times(
            &self.engine,
            model,
            request.prompt,
            request.response,
            candidates,
        );
        let input = AdmissionInput {
            occupancy,
            shortage: measured.shortage,
            fill_ratio: measured.fill_ratio,
            has_more_urgent: measured.has_more_urgent,
            urgency_rank: measured.urgency_rank,
            customer_use: measured.customer_use,
            served: measured.served,
            standing,
            size: measured.relative_size,
            expected_first_event,
            expected_stream,
            target_latency: Duration::from_secs_f64(kind.target_s),
            time_left,
        };
        let (placed, limited_by) = match admission::decide(&input) {
            Admission::Admit { capacity_ratio, limited_by } => {
                (place(Some(capacity_ratio)), limited_by)
            }
            Admission::Refuse { reason, .. } => (None, reason),
        };
        if placed.is_none() && self.method == Method::ShortWait && may_wait {
            return Err(None);
        }
        let is_unreserved = limited_by == AdmissionReason::AllBusy && standing == Standing::New;
        stats.record(&keys, Outcome { is_served: placed.is_some(), is_unreserved }, now);
        placed.ok_or_else(|| {
            let retry_after = admission::retry_after(&input);
            stats.record_refused(keys.fingerprint, retry_after, now);
            Some(retry_after)
        })
    }

    fn send(&mut self, number: usize, node: usize, replica: usize) {
        let customer = self.requests[number].customer as u32;
        let known = self.own[node][replica] + self.told_sums[replica] - self.told[node][replica];
        self.nearly_full
            .insert(number, f64::from(known) >= f64::from(self.engine.slots) * NEARLY_FULL);
        self.guards.insert(number, self.stats[node].begin(1, customer, self.instant()));
        self.own[node][replica] += 1;
        self.unanswered[node][replica] += 1;
        self.requests[number].number = number as u64;
        let slots = self.engine.slots as usize;
        match self.replicas[replica].running < slots {
            true => self.start(number, node, replica),
            false => self.replicas[replica].queue.push_back((number, node)),
        }
    }

    fn start(&mut self, number: usize, node: usize, replica: usize) {
        self.count_busy();
        let request = &self.requests[number];
        let state = &mut self.replicas[replica];
        state.running += 1;
        let prefill = f64::from(request.prompt) / self.engine.prefill_tokens_per_second;
        let prefilled_at = state.prefill_free_at.max(self.now) + prefill;
        state.prefill_free_at = prefilled_at;
        let model = self.engine.model("small").unwrap();
        let pass = self.engine.pass_time(model, state.running as u32).as_secs_f64();
        let first = prefilled_at + pass - self.now;
        let events = f64::from(request.response / self.engine.steps_per_pass);
        let key = number * self.replicas.len() + replica;
        self.plan(first, Step::First(key, node));
        self.plan(first + pass * events, Step::End(key, node));
    }

    fn first_event(&mut self, key: usize, node: usize) {
        let (number, replica) = (key / self.replicas.len(), key % self.replicas.len());
        self.unanswered[node][replica] -= 1;
        let request = self.requests[number].clone();
        let is_on_time = self.now - request.sent_at <= self.scenario.kinds[request.kind].target_s;
        if !request.is_return && self.nearly_full[&number] {
            self.stats[node].record_first_event(1, is_on_time, self.instant());
        }
        self.tally(&request, |tally, value, late_value| match is_on_time {
            true => (tally.on_time, tally.value) = (tally.on_time + 1.0, tally.value + value),
            false => (tally.late, tally.value) = (tally.late + 1.0, tally.value + late_value),
        });
        if request.is_return && request.sent_at >= WARM_UP_S {
            let counts = match request.waited_as_told {
                true => &mut self.out.returned,
                false => &mut self.out.impatient,
            };
            counts.1 += 1.0;
        }
    }

    fn end(&mut self, key: usize, node: usize) {
        let (number, replica) = (key / self.replicas.len(), key % self.replicas.len());
        self.count_busy();
        self.guards.remove(&number);
        self.own[node][replica] -= 1;
        self.replicas[replica].running -= 1;
        if let Some((next, node)) = self.replicas[replica].queue.pop_front() {
            self.start(next, node, replica);
        }
    }

    fn count_busy(&mut self) {
        if self.now > self.busy_since {
            let running: usize = self.replicas.iter().map(|replica| replica.running).sum();
            self.busy += running as f64 * (self.now - self.busy_since);
            self.busy_since = self.now;
        }
    }

    fn refuse(&mut self, number: usize, retry_after: Duration) {
        let request = self.requests[number].clone();
        let running: usize = self.replicas.iter().map(|replica| replica.running).sum();
        let usable = self.replicas.iter().filter(|replica| !replica.is_stopped).count();
        let is_idle = running * 2 < usable * self.engine.slots as usize;
        if is_idle {
            self.tally(&request, |tally, _, _| tally.refused_idle += 1.0);
        }
        if request.is_return {
            self.tally(&request, |tally, value, _| {
                tally.refused_twice += 1.0;
                tally.value -= 0.3 * value;
            });
            return;
        }
        let kind = self.scenario.kinds[request.kind];
        let honoured =
            retry_after.as_secs_f64().min((kind.deadline_s - self.now + request.sent_at) / 3.0);
        let is_impatient = self.scenario.impatient == Some(request.customer);
        self.requests[number].is_return = true;
        self.requests[number].waited_as_told = !is_impatient;
        if request.sent_at >= WARM_UP_S {
            let counts =
                if is_impatient { &mut self.out.impatient } else { &mut self.out.returned };
            counts.0 += 1.0;
        }
        self.plan(if is_impatient { 0.02 } else { honoured }, Step::Return(number));
    }

    fn tally(&mut self, request: &Request, apply: impl Fn(&mut Tally, f64, f64)) {
        let is_counted =
            request.sent_at >= WARM_UP_S && request.sent_at < self.scenario.seconds - 6.0;
        if !is_counted {
            return;
        }
        let kind = self.scenario.kinds[request.kind];
        let weight = 0.3 + 0.7 * request.size_factor.min(4.0);
        let band = match request.size_factor {
            factor if factor > SIZE_BOUNDS[1] => 2,
            factor if factor > SIZE_BOUNDS[0] => 1,
            _ => 0,
        };
        let tallies = [
            &mut self.out.all,
            self.out.kinds.entry(kind.route).or_default(),
            self.out.customers.entry(request.customer).or_default(),
            self.out.sizes.entry((kind.route, band)).or_default(),
        ];
        for tally in tallies {
            apply(tally, kind.value * weight, kind.late_value * weight);
            let ended = tally.on_time + tally.late + tally.refused_twice;
            if ended > tally.asked {
                tally.asked = ended;
                tally.full_value += kind.value * weight;
            }
        }
    }

    fn heartbeat(&mut self, node: usize) {
        for replica in 0..self.replicas.len() {
            let (own, told) = (self.own[node][replica], &mut self.told[node][replica]);
            self.told_sums[replica] = self.told_sums[replica] + own - *told;
            *told = own;
        }
        self.plan((0.003 * self.scenario.nodes as f64).clamp(0.1, 1.0), Step::Heartbeat(node));
    }

    fn report(&mut self, node: usize) {
        let now = self.instant();
        if let Some(report) = self.stats[node].report(&format!("n{node}"), now)
            && self.scenario.hears_reports
        {
            for (other, stats) in self.stats.iter().enumerate() {
                if other != node {
                    stats.apply(report.clone(), now);
                }
            }
        }
        self.plan(1.0, Step::Report(node));
    }
}

/// Size factors above which the fifth below the largest tenth, and the largest tenth begin: the 0.7 and 0.9 quantiles
/// of `exp(0.8 x)` for a sum `x` of six uniform variables with the variance 0.5.
const SIZE_BOUNDS: [f64; 2] = [1.35, 2.07];

fn pick(rng: &mut StdRng, weights: &[f64]) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    for (i, weight) in weights.iter().enumerate() {
        if left < *weight {
            return i;
        }
        left -= weight;
    }
    weights.len() - 1
}
