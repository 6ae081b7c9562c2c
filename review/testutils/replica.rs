//! One process of a plain replica. It writes a line to its standard output for each request that arrives, and for
//! each that begins to run.
//! A request whose body holds `POISON` ends the process: its listener closes, then its connections.

use crate::Outcome;
use crate::http;
use crate::http::Message;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Text in the body of a request that crashes each replica which begins to run it.
pub const POISON: &str = "poison";
/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(15);
/// Bytes of a body that a replica takes at once if it reads slowly, and the pause after them.
const SLOW_PART: usize = 64 << 10;
const SLOW_PAUSE: Duration = Duration::from_millis(40);
/// Interval at which connections are accepted.
const ACCEPT_PERIOD: Duration = Duration::from_millis(1);

/// `reads_slowly` makes it take `SLOW_PART` of a body in each `SLOW_PAUSE`.
pub fn run(address: &str, id: &str, reads_slowly: bool) -> Outcome {
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(e) => return Outcome::CouldNotRun(format!("cannot listen on {address}: {e}")),
    };
    // The process ends with the scenario that started it.
    thread::spawn(|| {
        let _ = io::stdin().read(&mut [0]);
        process::exit(0);
    });
    if let Err(e) = listener.set_nonblocking(true) {
        return Outcome::CouldNotRun(e.to_string());
    }
    say("listening");
    let has_crashed = Arc::new(AtomicBool::new(false));
    let (id, crash) = (id.to_string(), has_crashed.clone());
    let handle = Arc::new(move |request: Message, stream: &mut TcpStream| {
        handle(&id, &request, stream, &crash)
    });
    let (part, pause) = match reads_slowly {
        true => (SLOW_PART, SLOW_PAUSE),
        false => (usize::MAX, Duration::ZERO),
    };
    let reading = http::Reading { part, pause, on_head: say_arrival };
    while !has_crashed.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => http::spawn(stream, reading, handle.clone()),
            Err(_) => thread::sleep(ACCEPT_PERIOD),
        }
    }
    drop(listener);
    process::exit(1)
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn say_arrival(request: &Message) {
    if let Some(request) = request.header("x-request-id") {
        say(&format!("arrival {request}"));
    }
}

fn handle(
    id: &str,
    request: &Message,
    stream: &mut TcpStream,
    has_crashed: &AtomicBool,
) -> io::Result<()> {
    if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
        return http::respond(stream, 421, &[("X-Not-Executed", "1")], "");
    }
    let path = request.target.split('?').next().unwrap_or_default();
    if path == "/health" {
        return http::respond(stream, 200, &[("X-Replica-Id", id)], "");
    }
    let Some(request_id) = request.header("x-request-id") else {
        return http::respond(stream, 400, &[("X-Not-Executed", "1")], "");
    };
    let tenant = request.header("x-tenant").unwrap_or("-");
    say(&format!("run {request_id} {path} {tenant}"));
    if String::from_utf8_lossy(&request.body).contains(POISON) {
        has_crashed.store(true, Ordering::Relaxed);
        // The process ends meanwhile.
        thread::sleep(Duration::from_secs(10));
    }
    thread::sleep(WORK);
    let stamp = format!("{id}.{request_id}");
    let headers = [("X-Request-Id", request_id), ("X-Response-Stamp", stamp.as_str())];
    http::respond(stream, 200, &headers, "done\n")
}
