//! The store is silent for a second. Later, when it is stable again, a replica announces that it leaves.

use crate::Outcome;
use crate::clients;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::ReplicaKind;
use crate::json::Json;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_millis(1500);
const REPLICAS: u8 = 3;
/// Time for which the store is silent.
const SILENCE: Duration = Duration::from_millis(1000);
/// `stableWindowMs`, after which the store counts as stable and the nodes as in touch, with a little more.
const STABLE_WINDOW: Duration = Duration::from_millis(3100);
/// `drainMs`, after which no request may reach the leaving replica.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time for which the leaving replica goes on beyond that.
const LONGER: Duration = Duration::from_millis(4000);
/// Time between two requests of the client.
const INTERVAL: Duration = Duration::from_millis(40);
/// Replica that leaves.
const LEAVING: &str = "i-0-0";

pub fn run(daemon: &str, folder: &Path, with_trouble: bool) -> Outcome {
    let config = fleet::config(1, r#"[{"name": "baker", "apiKeys": ["key-1"], "priority": 1}]"#);
    let fleet = match Fleet::start(daemon, folder, 3, REPLICAS, ReplicaKind::default(), config) {
        Ok(fleet) => fleet,
        Err(e) => return Outcome::CouldNotRun(e.to_string()),
    };
    let is_over = AtomicBool::new(false);
    let (acknowledged, answered) = thread::scope(|scope| {
        let client = scope.spawn(|| send_requests(&fleet, &is_over));
        let acknowledged = play(&fleet, with_trouble);
        is_over.store(true, Ordering::Relaxed);
        (acknowledged, client.join().expect("the client"))
    });
    if answered == 0 {
        return Outcome::CouldNotRun("no request was answered".to_string());
    }
    let runs = fleet.record.runs();
    let late = runs.iter().filter(|run| run.replica == LEAVING && run.at > acknowledged + DRAIN);
    let late: Vec<Duration> = late.map(|run| run.at - acknowledged).collect();
    let summary = format!(
        "{} requests reached the leaving replica later than {DRAIN:?} after the acknowledgement, the last after {:?}",
        late.len(),
        late.last().copied().unwrap_or_default()
    );
    fleet.record.write(&summary);
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken(summary),
    }
}

/// Returns when the replica's announcement was acknowledged.
fn play(fleet: &Fleet, with_trouble: bool) -> Duration {
    thread::sleep(Duration::from_secs(1));
    fleet.start_replica(REPLICAS, ReplicaKind::default());
    thread::sleep(Duration::from_millis(500));
    if with_trouble {
        fleet.store.set_silent(true);
        fleet.record.write("the store falls silent");
    }
    thread::sleep(SILENCE);
    if with_trouble {
        fleet.store.set_silent(false);
        fleet.record.write("the store answers again");
    }
    thread::sleep(STABLE_WINDOW);
    fleet.store.set_field("servers", LEAVING, "state", Json::Text("draining".to_string()));
    let acknowledged = fleet.record.now();
    fleet.record.write(&format!("replica {LEAVING} is draining, acknowledged by the store"));
    thread::sleep(DRAIN + LONGER);
    acknowledged
}

/// Sends requests to the nodes in turn; returns how many were answered with success.
fn send_requests(fleet: &Fleet, is_over: &AtomicBool) -> usize {
    let mut answered = 0;
    for turn in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("request-{turn}");
        let headers = [
            ("Host", fleet::HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "1500"),
            ("Api-Key", "key-1"),
        ];
        let node = fleet.node(turn);
        let answer = clients::send(node, ("POST", "/book/1"), &headers, "{}", DEADLINE);
        answered += usize::from(answer == Ok(200));
        fleet.record.write(&format!("client sent {id} to {node}: {answer:?}"));
        thread::sleep(INTERVAL);
    }
    answered
}
