//! Each replica that runs one request answers it with its own 500 and crashes right after. The request comes again.
//! BUDGET: it reaches replicas in at most three retries later than `stableWindowMs` after it has crashed the third.

use crate::fleet::Fleet;
use crate::fleet::Node;
use crate::fleet::POISON;
use crate::fleet::Record;
use crate::fleet::late_poison_runs;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Number of times that the request comes, and the pause between.
const COPIES: u32 = 15;
const PAUSE: Duration = Duration::from_secs(2);

pub fn run(record: Record, has_trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(record)?;
    let (_replicas, nodes) = fleet.start_all(3, 3)?;
    fleet.is_poisonous.store(has_trouble, Ordering::Relaxed);
    fleet.answers_first.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(3));
    let (is_over, answers) = (AtomicBool::new(false), Mutex::new(vec![]));
    thread::scope(|scope| {
        for (client, node) in nodes.iter().enumerate() {
            let (fleet, is_over, answers) = (&fleet, &is_over, &answers);
            scope.spawn(move || send_requests(fleet, node, client, is_over, answers));
        }
        for copy in 0..COPIES {
            let node = &nodes[copy as usize % nodes.len()];
            fleet.request(node, "POST", POISON, &format!("ff{copy:06x}"));
            thread::sleep(PAUSE);
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let crashes = fleet.crashes.lock().expect("the crashes").len();
    let late = late_poison_runs(&fleet);
    let answers = answers.into_inner().expect("the answers");
    let lost = answers.iter().filter(|status| !matches!(**status, 200 | 503)).count();
    let line = format!(
        "{} crashes; {late} runs of the request later than stableWindowMs after the third; {lost} of {} other requests lost",
        crashes,
        answers.len()
    );
    fleet.record.write(&line);
    println!("{line}");
    Ok(late <= 3)
}

fn send_requests(
    fleet: &Fleet,
    node: &Node,
    client: usize,
    is_over: &AtomicBool,
    answers: &Mutex<Vec<u16>>,
) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{client:02x}{number:06x}");
        let status = fleet.request(node, "POST", "/despacho/2f", &id);
        answers.lock().expect("the answers").push(status);
        thread::sleep(Duration::from_millis(20));
    }
}
