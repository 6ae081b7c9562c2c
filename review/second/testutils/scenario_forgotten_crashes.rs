//! A request crashes each replica that runs it and comes again. All nodes are killed at the same moment, and start
//! again, each time that it has crashed two. BUDGET: it reaches replicas in at most three retries, sent by machines in
//! touch, later than `stableWindowMs` after it has crashed the third.

use crate::fleet::Fleet;
use crate::fleet::Node;
use crate::fleet::POISON;
use crate::fleet::Record;
use crate::fleet::STABLE_WINDOW;
use crate::fleet::late_poison_runs;
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Number of times that the request comes, and the pause between.
const COPIES: u32 = 12;
const PAUSE: Duration = Duration::from_millis(3500);
/// Number of times that all nodes are killed.
const KILLS: usize = 3;
const NODES: u8 = 3;

pub fn run(record: Record, has_trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(record)?;
    let (_replicas, mut nodes) = fleet.start_all(3, NODES)?;
    fleet.is_poisonous.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(3));
    let mut kills = 0;
    for copy in 0..COPIES {
        let crashes = fleet.crashes.lock().expect("the crashes").len();
        if has_trouble && kills < KILLS && crashes >= 2 * (kills + 1) {
            kills += 1;
            nodes.clear();
            fleet.record.write("all nodes are killed");
            nodes = (2..2 + NODES).map(|n| fleet.start_node(n)).collect::<io::Result<_>>()?;
            while !nodes.iter().all(Node::is_ready) {
                thread::sleep(Duration::from_millis(50));
            }
            fleet.record.write("all nodes are ready again");
            // All machines are in touch again.
            thread::sleep(STABLE_WINDOW + Duration::from_millis(200));
        }
        let node = &nodes[copy as usize % nodes.len()];
        fleet.request(node, "POST", POISON, &format!("ff{copy:06x}"));
        thread::sleep(PAUSE);
    }
    let late = late_poison_runs(&fleet);
    let crashes = fleet.crashes.lock().expect("the crashes").len();
    let line = format!(
        "{kills} kills; {crashes} crashes; {late} runs of the request later than stableWindowMs after the third"
    );
    fleet.record.write(&line);
    println!("{line}");
    Ok(late <= 3)
}
