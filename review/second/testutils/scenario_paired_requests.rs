//! A caller sends two requests at the same moment, to two nodes of its data centre, and sends both again later. One of
//! them crashes each replica that runs it; both run at the same one each time. BUDGET: the one reaches replicas in at
//! most three retries later than `stableWindowMs` after it has crashed the third.

use crate::fleet::Fleet;
use crate::fleet::POISON;
use crate::fleet::Record;
use crate::fleet::late_poison_runs;
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Number of times that the pair comes, and the pause between.
const PAIRS: u32 = 12;
const PAUSE: Duration = Duration::from_secs(5);

pub fn run(record: Record, has_trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(record)?;
    // The first and the last node are in the same data centre, as is one replica.
    let (_replicas, nodes) = fleet.start_all(3, 4)?;
    fleet.is_poisonous.store(has_trouble, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(3));
    let mut lost = 0;
    for pair in 0..PAIRS {
        let status = thread::scope(|scope| {
            let other = scope.spawn(|| {
                fleet.request(&nodes[3], "POST", "/despacho/2f", &format!("01{pair:06x}"))
            });
            fleet.request(&nodes[0], "POST", POISON, &format!("ff{pair:06x}"));
            other.join().unwrap_or(0)
        });
        lost += u32::from(!matches!(status, 200 | 503));
        thread::sleep(PAUSE);
    }
    let late = late_poison_runs(&fleet);
    let crashes = fleet.crashes.lock().expect("the crashes").len();
    let line = format!(
        "{crashes} crashes; {late} runs of the request later than stableWindowMs after the third; the other one lost {lost} of {PAIRS} times"
    );
    fleet.record.write(&line);
    println!("{line}");
    Ok(late <= 3)
}
