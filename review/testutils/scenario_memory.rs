//! Clients send bodies as long as the configuration allows, and the replicas read slowly. A process that exceeds the
//! memory of its machine is killed, as the platform does.

use crate::Outcome;
use crate::clients::Answer;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::ReplicaKind;
use crate::http;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_secs(8);
/// `memoryMb`, in the larger of the two units that its name may mean.
const MEMORY: u64 = 260 << 20;
/// `maxBodyBytes` of the configuration.
const BODY: usize = 4 << 20;
/// Number of clients, each with one request at a time.
const CLIENTS: usize = 97;
/// Time between the requests of two clients.
const INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the memory is measured.
const MEASURE_PERIOD: Duration = Duration::from_millis(10);
const REPLICAS: u8 = 3;
/// Requests that may be passed on and end without an answer.
const ALLOWED: usize = 3;

pub fn run(daemon: &str, folder: &Path, with_trouble: bool) -> Outcome {
    let config = fleet::config_with(
        1,
        r#"[{"name": "baker", "apiKeys": ["key-1"], "priority": 1}]"#,
        DEADLINE,
    );
    let kind = ReplicaKind { slots: 26, reads_slowly: with_trouble, ..ReplicaKind::default() };
    let mut fleet = match Fleet::start(daemon, folder, 1, REPLICAS, kind, config) {
        Ok(fleet) => fleet,
        Err(e) => return Outcome::CouldNotRun(e.to_string()),
    };
    let node = fleet.node(0);
    let record = fleet.record.clone();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(INTERVAL * number as u32);
                let answers = send_two(node, number);
                record.write(&format!("client {number}: {answers:?}"));
                answers
            })
        })
        .collect();
    let (mut peak, mut killed) = (0, false);
    while !clients.iter().all(thread::JoinHandle::is_finished) {
        let memory = fleet.memory(0).unwrap_or(0);
        peak = peak.max(memory);
        if memory > MEMORY && !killed {
            killed = true;
            fleet.record.write(&format!("the node has {memory} bytes; the platform kills it"));
            fleet.kill(0);
        }
        thread::sleep(MEASURE_PERIOD);
    }
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let first = answers.iter().filter(|(first, _)| *first == Ok(200)).count();
    let second = answers.iter().filter(|(_, second)| *second == Ok(200)).count();
    // Long requests that were passed on, and got no answer on a connection that had been used before.
    let is_cut = |number: usize, (first, second): &(Answer, Answer)| {
        let was_passed_on = fleet.record.has_arrived(&format!("long-{number}"));
        *first == Ok(200) && second.is_err() && was_passed_on
    };
    let cut = answers.iter().enumerate().filter(|(number, pair)| is_cut(*number, pair)).count();
    let summary = format!(
        "{CLIENTS} clients: {first} short requests answered, {second} long ones; {cut} were passed on from kept connections that closed \
         without an answer, allowed: {ALLOWED}; the node had up to {} MiB, killed: {killed}",
        peak >> 20
    );
    fleet.record.write(&summary);
    match killed && cut > ALLOWED {
        true => Outcome::Broken(summary),
        false if killed || second < CLIENTS => Outcome::CouldNotRun(summary),
        false => Outcome::Held,
    }
}

/// Sends a short request and then a long one on the same connection.
fn send_two(node: SocketAddr, number: usize) -> (Answer, Answer) {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1));
    let Ok(mut stream) = stream else {
        let e = "no connection".to_string();
        return (Err(e.clone()), Err(e));
    };
    let _ = stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(1)));
    let mut send = |id: String, body: &[u8]| -> Answer {
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
             Api-Key: key-1\r\nContent-Length: {}\r\n\r\n",
            fleet::HOST,
            DEADLINE.as_millis(),
            body.len()
        );
        let text = |e: std::io::Error| e.to_string();
        stream.write_all(head.as_bytes()).map_err(text)?;
        stream.write_all(body).map_err(text)?;
        let mut reader = BufReader::new(stream.try_clone().map_err(text)?);
        let answer = http::read(&mut reader).map_err(text)?.ok_or("the connection was closed")?;
        answer.target.parse().map_err(|_| "no status".to_string())
    };
    let first = send(format!("short-{number}"), b"{}");
    let second = send(format!("long-{number}"), &vec![b'x'; BODY]);
    (first, second)
}
