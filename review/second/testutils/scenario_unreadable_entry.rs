//! Another writer leaves an entry with bytes that can't be read among those of the replicas. Then all replicas of
//! a service are replaced, one after the other. DRAIN: no request reaches a replica later than `drainMs` after the
//! store has acknowledged that it drains.

use crate::fleet::Fleet;
use crate::fleet::Node;
use crate::fleet::Record;
use crate::fleet::Replica;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// `drainMs` of the deployment.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which a replica goes on serving after it has reported that it drains: `drainMs` and a little longer.
const SERVES_ON: Duration = Duration::from_secs(5);
const REPLICAS: u8 = 3;
const NODES: u8 = 3;
/// Entry of another writer. The name of its zone is not UTF-8, as a writer leaves it that uses ISO 8859-1.
const ENTRY: &[u8] = b"{\"service\":\"ordens\",\"address\":\"127.0.0.1:9\",\"zone\":\"gravat\xe1\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1}";

pub fn run(record: Record, has_trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(record)?;
    let (replicas, nodes) = fleet.start_all(REPLICAS, NODES)?;
    let is_over = AtomicBool::new(false);
    let answers = Mutex::new(vec![]);
    let drained = thread::scope(|scope| {
        for (number, node) in nodes.iter().enumerate() {
            let (fleet, is_over, answers) = (&fleet, &is_over, &answers);
            scope.spawn(move || send_requests(fleet, node, number, is_over, answers));
        }
        let drained = replace_replicas(&fleet, replicas, has_trouble);
        is_over.store(true, Ordering::Relaxed);
        drained
    })?;
    let runs = fleet.runs.lock().expect("the runs").clone();
    let mut late = 0;
    for (id, at) in &drained {
        let of_replica = runs.iter().filter(|run| run.replica == *id && run.at > *at + DRAIN);
        let (count, last) = (of_replica.clone().count(), of_replica.map(|run| run.at).max());
        late += count;
        let last = last.map_or(0.0, |last| (last - *at).as_secs_f64());
        fleet
            .record
            .write(&format!("{id}: {count} requests after drainMs, the last after {last:.3} s"));
    }
    let answers = answers.into_inner().expect("the answers");
    let end = drained.last().map_or(Duration::ZERO, |(_, at)| *at + SERVES_ON);
    let after: Vec<&(Duration, u16)> = answers.iter().filter(|(at, _)| *at > end).collect();
    let served = after.iter().filter(|(_, status)| *status == 200).count();
    fleet.record.write(&format!("after the release: {served} of {} requests served", after.len()));
    fleet.record.write(&format!("late requests: {late}"));
    println!("late requests: {late}; served after the release: {served} of {}", after.len());
    Ok(late == 0)
}

/// Replaces the replicas: a new one starts, the old one drains, goes on for a while and ends. Returns the ids of the
/// old ones with the times at which the store had acknowledged that they drain.
fn replace_replicas(
    fleet: &Fleet,
    replicas: Vec<Replica>,
    has_trouble: bool,
) -> io::Result<Vec<(String, Duration)>> {
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        fleet.store.put("servers", "old-register-7", ENTRY);
        fleet.record.write("another writer has left the entry old-register-7");
    }
    thread::sleep(Duration::from_secs(3));
    let mut drained = vec![];
    for (number, old) in (REPLICAS + 1..).zip(replicas) {
        let new = fleet.start_replica(number)?;
        fleet.record.write(&format!("replica {} starts", new.id));
        thread::sleep(Duration::from_secs(1));
        old.drain();
        drained.push((old.id.clone(), fleet.record.now()));
        fleet.record.write(&format!("the store has accepted that {} drains", old.id));
        thread::sleep(SERVES_ON);
        old.end();
        fleet.record.write(&format!("replica {} ends", old.id));
    }
    thread::sleep(Duration::from_secs(4));
    Ok(drained)
}

fn send_requests(
    fleet: &Fleet,
    node: &Node,
    client: usize,
    is_over: &AtomicBool,
    answers: &Mutex<Vec<(Duration, u16)>>,
) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{client:02x}{number:06x}");
        let (method, path) = match number % 2 {
            0 => ("GET", "/consulta/2f"),
            _ => ("POST", "/despacho/2f"),
        };
        let at = fleet.record.now();
        let status = fleet.request(node, method, path, &id);
        answers.lock().expect("the answers").push((at, status));
        thread::sleep(Duration::from_millis(50));
    }
}
