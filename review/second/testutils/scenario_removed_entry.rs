//! The store cuts off the waiting watches of one node, which watches again at once. Seconds later a replica leaves
//! without having reported it: its entry is removed. DRAIN: no request reaches it later than `drainMs` after that.

use crate::fleet::Fleet;
use crate::fleet::Node;
use crate::fleet::Record;
use crate::json;
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// `drainMs` of the deployment.
const DRAIN: Duration = Duration::from_secs(2);
/// Time between the cut and the removal, longer than `stableWindowMs`: all machines are in touch again.
const CALM: Duration = Duration::from_millis(3500);
/// Time for which the replica goes on serving after its entry was removed: `drainMs` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2280);
const REPLICAS: u8 = 3;
const NODES: u8 = 3;
const CLIENTS: u8 = 6;

pub fn run(record: Record, has_trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(record)?;
    let (replicas, nodes) = fleet.start_all(REPLICAS, NODES)?;
    thread::sleep(Duration::from_secs(4));
    // The node that plans groups calls the store all the time; the others only watch.
    let lease = fleet.store.content("guavaladder-leases", "groups").unwrap_or_default();
    let holder = json::text(&lease, "holder").unwrap_or_default();
    let number = (2..2 + NODES).find(|n| Fleet::node_name(*n) != holder);
    let number = number.ok_or_else(|| io::Error::other("every node holds the lease"))?;
    let node = &nodes[usize::from(number - 2)];
    let is_over = AtomicBool::new(false);
    let removed = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (fleet, is_over) = (&fleet, &is_over);
            scope.spawn(move || send_requests(fleet, node, client, is_over));
        }
        thread::sleep(Duration::from_secs(1));
        if has_trouble {
            let cut = fleet.store.cut_watches(fleet.store_address(number));
            fleet.record.write(&format!("the store cuts off {cut} watches of node {number}"));
        }
        thread::sleep(CALM);
        replicas[0].unregister();
        let removed = fleet.record.now();
        fleet.record.write(&format!("the entry of replica {} is removed", replicas[0].id));
        thread::sleep(SERVES_ON);
        replicas[0].end();
        fleet.record.write(&format!("replica {} ends", replicas[0].id));
        thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::Relaxed);
        removed
    });
    let runs = fleet.runs.lock().expect("the runs").clone();
    let late = runs.iter().filter(|run| run.replica == replicas[0].id && run.at > removed + DRAIN);
    let late = late.count();
    fleet.record.write(&format!("requests at the replica later than drainMs: {late}"));
    println!("requests at the replica later than drainMs: {late}");
    Ok(late == 0)
}

fn send_requests(fleet: &Fleet, node: &Node, client: u8, is_over: &AtomicBool) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{client:02x}{number:06x}");
        fleet.request(node, "POST", "/despacho/2f", &id);
        thread::sleep(Duration::from_millis(10));
    }
}
