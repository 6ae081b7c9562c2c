//! Faults of the serving soak in which instances state in their answers that they leave, or that they want no
//! requests for a while, and the checks that daemons keep to it.
//!
//! Most of them meet at a few instances at a time, together with limits, pauses, silence and lapsed entries.
//! Some callers leave while their requests are under way.

use crate::serving_soak_callers::KINDS;
use crate::serving_soak_callers::Outcome;
use crate::serving_soak_callers::Purpose;
use crate::serving_soak_callers::Recorder;
use crate::serving_soak_callers::Request;
use crate::serving_soak_callers::RequestRecord;
use crate::serving_soak_faults::FaultLog;
use crate::serving_soak_faults::engine_spec;
use crate::serving_soak_faults::plain_spec;
use crate::serving_soak_nodes::Cause;
use crate::serving_soak_oracle::Evidence;
use anyhow::Context;
use anyhow::Result;
use guavaladder_platform_testutils::Arrival;
use guavaladder_platform_testutils::CallerConnection;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_platform_testutils::spawn_instance;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// Range of the time between the starts of two of these faults, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 200..1200;
/// Time after which others become the instances at which most faults meet.
const FOCUS_TIME: Duration = Duration::from_secs(7);
/// Number of heads of groups at which most faults meet, besides a plain instance.
const FOCUSED_HEADS: usize = 2;
/// Range of the time from the first answer that says that an instance leaves to its end, in milliseconds.
const LEAVING_MS: std::ops::Range<u64> = 2500..8000;
/// Range of the time for which an entry lapses, in milliseconds.
const LAPSE_MS: std::ops::Range<u64> = 300..2500;
/// Range of the time that instances ask for, in milliseconds, and of the time until they refuse a request.
const REST_MS: std::ops::Range<u64> = 200..6000;
const REFUSAL_MS: std::ops::Range<u64> = 0..80;
/// Range of the time for which an instance refuses requests, in milliseconds.
const REFUSING_MS: std::ops::Range<u64> = 500..5000;
/// Range of the time until a caller leaves, in milliseconds.
const PATIENCE_MS: std::ops::Range<u64> = 5..150;
/// Number of callers that leave, one after the other.
const IMPATIENT: std::ops::Range<usize> = 10..60;
/// Number of the first instance that replaces one that has left.
const FIRST_REPLACEMENT: usize = 500;
/// Time after which a daemon that has passed on that an instance leaves sends it nothing: the platform's
/// `drainMs`.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a refusal from which requests count, according to the platform's rules, and their maximum number.
const REST_GRACE: Duration = Duration::from_millis(500);
const MAX_IN_REST: usize = 2;
/// Time after the end of a partition within which a daemon uses the instances again.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// Injects these faults beside others.
pub struct Notices {
    /// Source of all choices.
    pub rng: StdRng,
    /// Instances and their store.
    pub fake_platform: FakePlatform,
    /// Addresses of the daemons for callers.
    pub addresses: Vec<SocketAddr>,
    /// Requests of the run.
    pub recorder: Recorder,
    /// Log of the faults.
    pub log: FaultLog,
    /// Number of plain instances.
    pub plain_instances: usize,
}

impl Notices {
    /// Starts faults until `end` and waits for the last ones.
    pub async fn inject_until(mut self, end: Instant) -> Result<()> {
        let (mut running, mut focus, mut chosen_at) = (JoinSet::new(), vec![], None::<Instant>);
        let replacements = Arc::new(AtomicUsize::new(FIRST_REPLACEMENT));
        while Instant::now() < end {
            if chosen_at.is_none_or(|at| at.elapsed() >= FOCUS_TIME) {
                (focus, chosen_at) = (self.choose_focus(), Some(Instant::now()));
                self.log.write(&format!("faults meet at {focus:?}"))?;
            }
            let target = match self.rng.random_bool(0.7) {
                true => focus[self.rng.random_range(0..focus.len())].clone(),
                false => self.any_instance(),
            };
            self.inject(target, &replacements, &mut running);
            sleep(Duration::from_millis(self.rng.random_range(INTERVAL_MS))).await;
        }
        while let Some(ended) = running.join_next().await {
            ended.context("a fault task failed")??;
        }
        Ok(())
    }

    fn choose_focus(&mut self) -> Vec<String> {
        let mut focus = vec![plain_spec(self.rng.random_range(0..self.plain_instances)).id];
        let mut groups = self.fake_platform.open_groups();
        for _ in 0..FOCUSED_HEADS.min(groups.len()) {
            let group = groups.swap_remove(self.rng.random_range(0..groups.len()));
            focus.push(group[0].clone());
        }
        focus
    }

    /// Returns a plain instance or a member of a group.
    fn any_instance(&mut self) -> String {
        let members: Vec<String> = self.fake_platform.open_groups().into_iter().flatten().collect();
        match members.is_empty() || self.rng.random_bool(0.3) {
            true => plain_spec(self.rng.random_range(0..self.plain_instances)).id,
            false => members[self.rng.random_range(0..members.len())].clone(),
        }
    }

    fn inject(
        &mut self,
        target: String,
        replacements: &Arc<AtomicUsize>,
        running: &mut JoinSet<Result<()>>,
    ) {
        let rng = StdRng::seed_from_u64(self.rng.next_u64());
        let (platform, log) = (self.fake_platform.clone(), self.log.clone());
        match self.rng.random_range(0..10) {
            0 | 1 => {
                running.spawn(leave(platform, log, rng, target, replacements.clone()));
            }
            2..6 => {
                running.spawn(rest(platform, log, rng, target));
            }
            6 => {
                running.spawn(lapse(platform, log, rng, target));
            }
            7 => {
                running.spawn(limit(platform, log, rng, target));
            }
            8 => {
                running.spawn(pause(platform, log, rng, target));
            }
            _ => {
                let (addresses, recorder) = (self.addresses.clone(), self.recorder.clone());
                running.spawn(leave_early(platform, addresses, recorder, rng));
            }
        }
    }
}

/// Makes an instance say that it leaves, with or without its entry, and ends it later. Another takes its place.
async fn leave(
    platform: FakePlatform,
    log: FaultLog,
    mut rng: StdRng,
    id: String,
    replacements: Arc<AtomicUsize>,
) -> Result<()> {
    let is_known = rng.random_bool(0.4);
    let length = Duration::from_millis(rng.random_range(LEAVING_MS));
    if !platform.is_up(&id) {
        return Ok(());
    }
    log.write(&format!("{id} leaves within {length:?}, entry follows: {is_known}"))?;
    match is_known {
        true => platform.drain(&id),
        false => platform.set_partitioned(&id, true),
    }
    platform.set_leaving(&id);
    sleep(length).await;
    if !platform.is_up(&id) {
        return Ok(());
    }
    log.write(&format!("{id} has left"))?;
    platform.kill(&id);
    platform.expire_entry(&id);
    let spec = match id.starts_with("p-") {
        true => plain_spec(id[2..].parse().context("the number of a plain instance")?),
        false => engine_spec(replacements.fetch_add(1, Ordering::Relaxed)),
    };
    spawn_instance(&platform, spec).await;
    Ok(())
}

/// Makes an instance refuse requests for a while and ask for times of different lengths.
async fn rest(platform: FakePlatform, log: FaultLog, mut rng: StdRng, id: String) -> Result<()> {
    let length = Duration::from_millis(rng.random_range(REFUSING_MS));
    let delay = Duration::from_millis(rng.random_range(REFUSAL_MS));
    log.write(&format!("{id} refuses after {delay:?} for {length:?}"))?;
    let end = Instant::now() + length;
    platform.set_refusal_delay(&id, delay);
    while Instant::now() < end && platform.is_up(&id) {
        let rest = rng.random_range(REST_MS) as f64 / 1000.0;
        platform.set_retry_after(&id, Some(&rest.to_string()));
        platform.set_mode(&id, InstanceMode::Refuses);
        sleep(Duration::from_millis(rng.random_range(50..500))).await;
    }
    platform.set_retry_after(&id, None);
    if platform.is_up(&id) {
        platform.set_mode(&id, InstanceMode::Up);
    }
    Ok(())
}

/// Removes the entry of an instance, which registers again as it was.
async fn lapse(platform: FakePlatform, log: FaultLog, mut rng: StdRng, id: String) -> Result<()> {
    let length = Duration::from_millis(rng.random_range(LAPSE_MS));
    log.write(&format!("the entry of {id} lapses for {length:?}"))?;
    let entry = platform.store.get("servers", &id);
    platform.expire_entry(&id);
    sleep(length).await;
    if let Some(entry) = entry.filter(|_| platform.is_up(&id)) {
        platform.store.put("servers", &id, entry);
        platform.register(&id);
    }
    Ok(())
}

async fn limit(platform: FakePlatform, log: FaultLog, mut rng: StdRng, id: String) -> Result<()> {
    let per_second = f64::from(rng.random_range(5..60)) / 10.0;
    let length = Duration::from_millis(rng.random_range(2000..9000));
    log.write(&format!("{id} takes {per_second} requests a second for {length:?}"))?;
    platform.set_rate_limit(&id, Some(per_second));
    sleep(length).await;
    platform.set_rate_limit(&id, None);
    Ok(())
}

async fn pause(platform: FakePlatform, log: FaultLog, mut rng: StdRng, id: String) -> Result<()> {
    let length = Duration::from_millis(rng.random_range(200..1500));
    if !platform.is_paused(&id) {
        log.write(&format!("{id} pauses for {length:?}"))?;
        platform.pause(&id, length);
    }
    Ok(())
}

/// Sends requests whose callers leave soon.
async fn leave_early(
    platform: FakePlatform,
    addresses: Vec<SocketAddr>,
    recorder: Recorder,
    mut rng: StdRng,
) -> Result<()> {
    for _ in 0..rng.random_range(IMPATIENT) {
        let node = rng.random_range(0..addresses.len());
        let kind = rng.random_range(0..KINDS.len());
        let request = Request::new(kind, "impatient", Purpose::Impatient);
        let patience = Duration::from_millis(rng.random_range(PATIENCE_MS));
        if let Some(mut connection) = CallerConnection::open(addresses[node]).await {
            let exchange = recorder.exchange(&request, node, &mut connection, &platform);
            let sent = Instant::now();
            if timeout(patience, exchange).await.is_err() {
                recorder.record(&request, node, sent, Outcome::Cut, &platform);
            }
        }
        sleep(Duration::from_millis(rng.random_range(10..60))).await;
    }
    Ok(())
}

/// A run of an instance as a daemon knows it: the number of the daemon, the id and the start time.
type KnownRun<'a> = (usize, &'a str, u64);

/// Returns the violations by requests that reached instances which leave or rest.
pub fn check(evidence: &Evidence) -> Vec<String> {
    let mut requests: Vec<&RequestRecord> = evidence.requests.iter().collect();
    requests.sort_by_key(|request| request.sent);
    let mut found = check_leaving(evidence, &requests);
    found.extend(check_rests(evidence, &requests));
    found
}

/// A daemon that has passed on an answer of an instance which says that it leaves sends it none of the requests
/// that come later than `DRAIN_TIME` after.
fn check_leaving(evidence: &Evidence, requests: &[&RequestRecord]) -> Vec<String> {
    let mut passed_on: BTreeMap<KnownRun<'_>, Instant> = BTreeMap::new();
    for request in requests.iter().filter(|request| request.outcome == Outcome::Answered) {
        let Some(last) = evidence.arrivals_of(request).last() else { continue };
        if last.notice.is_some_and(|notice| notice.is_leaving) {
            let at = passed_on.entry(run_of(request, last)).or_insert(request.ended);
            *at = request.ended.min(*at);
        }
    }
    let mut found = vec![];
    for request in requests {
        for arrival in evidence.arrivals_of(request) {
            let Some(at) = passed_on.get(&run_of(request, arrival)) else { continue };
            // A restart or a pause of the daemon excuses it.
            let disturbances = evidence.disturbances.between(request.node, *at, arrival.at);
            let is_excused =
                disturbances.iter().any(|d| d.node.is_some() && d.cause != Cause::Partition);
            if request.sent > *at + DRAIN_TIME
                && !is_excused
                && is_sent_by_node(evidence, request, arrival)
            {
                found.push(format!(
                    "DRAIN: {} reaches {} at {}, {:?} after n{} passed on that it leaves",
                    request.id,
                    arrival.instance,
                    evidence.time(arrival.at),
                    arrival.at - *at,
                    request.node,
                ));
            }
        }
    }
    found
}

/// No more than `MAX_IN_REST` requests reach an instance from a daemon that it has asked for rest, until that
/// time is over.
fn check_rests(evidence: &Evidence, requests: &[&RequestRecord]) -> Vec<String> {
    let mut arrivals: BTreeMap<KnownRun<'_>, Vec<&Arrival>> = BTreeMap::new();
    for request in requests {
        for arrival in evidence.arrivals_of(request) {
            if is_sent_by_node(evidence, request, arrival) {
                arrivals.entry(run_of(request, arrival)).or_default().push(arrival);
            }
        }
    }
    let mut found = vec![];
    for ((node, instance, _), arrivals) in &arrivals {
        for refused in arrivals {
            let Some(notice) = refused.notice else { continue };
            let Some(rest) = notice.rest else { continue };
            let (from, until) = (notice.at + REST_GRACE, notice.at + rest);
            let later = arrivals.iter().filter(|a| a.at > from && a.at < until).count();
            let disturbances = evidence.disturbances.between(*node, notice.at, until);
            if later > MAX_IN_REST && disturbances.iter().all(|d| d.node.is_none()) {
                found.push(format!(
                    "BUDGET: {instance} asked n{node} for {rest:?} at {} and got {later} requests",
                    evidence.time(notice.at),
                ));
            }
        }
    }
    found
}

fn run_of<'a>(request: &RequestRecord, arrival: &'a Arrival) -> KnownRun<'a> {
    (request.node, &arrival.instance, arrival.incarnation)
}

/// Returns whether an arrival was sent by the daemon that its caller had turned to: it was not partitioned, and
/// so did not pass the request on.
fn is_sent_by_node(evidence: &Evidence, request: &RequestRecord, arrival: &Arrival) -> bool {
    let disturbances =
        evidence.disturbances.between(request.node, request.sent - RETURN_TIME, arrival.at);
    disturbances.iter().all(|d| d.cause != Cause::Partition)
}
