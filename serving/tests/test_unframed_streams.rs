//! Tests of streams that end with their connection. Such a stream that a crash of its replica ends after
//! an event looks complete.

use crate::fleet::Fleet;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::config;
use http::Method;
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

const REPLICAS: usize = 8;
const BAD: &str = "bad0";
/// Part of the prompts that replicas reject.
const REJECTED: &str = "e0";
/// Number of crashes after which the part has to be known within `KNOWN_AFTER`.
const CRASHES: usize = 5;
/// The platform's `stableWindowMs`.
const KNOWN_AFTER: Duration = Duration::from_millis(3000);
/// Maximum number of runs that begin later than that, according to the platform's rules.
const MAX_LATER_RUNS: usize = 3;
/// Time after which a replica that crashed is back.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Stamp: s\r\n";

/// Replicas whose streams end with their connection. A request with the bad part ends its replica after
/// some events; the replica is back a little later, as another instance.
#[derive(Clone)]
struct Replicas {
    store: FakeStore,
    events_before_crash: usize,
    crashes: Arc<Mutex<Vec<Instant>>>,
    next_id: Arc<AtomicUsize>,
}

impl Replicas {
    fn start_one(&self) {
        let replicas = self.clone();
        tokio::spawn(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
            let id = format!("u-{:02}", replicas.next_id.fetch_add(1, Ordering::Relaxed));
            replicas.register(&id, listener.local_addr().expect("an address"));
            while let Ok((stream, _)) = listener.accept().await {
                if replicas.answer(stream).await {
                    break;
                }
            }
            drop(listener);
            sleep(RESTART_DELAY).await;
            replicas.store.remove("servers", &id);
            replicas.start_one();
        });
    }

    fn register(&self, id: &str, address: SocketAddr) {
        let entry = json!({
            "service": "feed", "address": address.to_string(), "zone": "east", "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": 1, "born": 5,
        });
        self.store.put("servers", id, entry);
    }

    /// Answers one request and closes its connection; returns whether the replica crashed.
    async fn answer(&self, mut stream: TcpStream) -> bool {
        let (mut request, mut bytes) = (String::new(), [0; 4096]);
        while !request.ends_with("a body") {
            match stream.read(&mut bytes).await {
                Ok(length @ 1..) => request += &String::from_utf8_lossy(&bytes[..length]),
                _ => return false,
            }
        }
        if request.contains(&format!("{REJECTED}:")) {
            let _ = stream.write_all(b"HTTP/1.1 413 Too Large\r\n\r\n").await;
            return false;
        }
        let is_bad = request.contains(&format!("{BAD}:"));
        let events = if is_bad { self.events_before_crash } else { 3 };
        let id = request.lines().find_map(|line| line.strip_prefix("x-request-id: "));
        let mut answer = format!("{HEAD}X-Request-Id: {}\r\n\r\n", id.unwrap_or_default());
        (1..=events).for_each(|event| answer += &format!("id: {event}\ndata: x\n\n"));
        let _ = stream.write_all(answer.as_bytes()).await;
        if is_bad {
            self.crashes.lock().expect("the lock").push(Instant::now());
        }
        is_bad
    }
}

async fn start(events_before_crash: usize) -> (Fleet, Replicas) {
    let mut fleet = Fleet::new(0).await;
    let mut config = config(6);
    config["routes"].as_array_mut().expect("routes").push(json!({
        "name": "feed", "host": "a.example", "pathPrefix": "/feed/", "kind": "streaming",
        "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": "feed",
        "maxAttempts": 2, "public": false, "resumable": true,
    }));
    let service = json!({"name": "feed", "healthPath": "/health", "maxConnections": 99});
    config["services"].as_array_mut().expect("services").push(service);
    fleet.store.put("config", "main", config);
    let store = fleet.store.clone();
    let replicas =
        Replicas { store, events_before_crash, crashes: Arc::default(), next_id: Arc::default() };
    (0..REPLICAS).for_each(|_| replicas.start_one());
    fleet.add_first_node("feed", REPLICAS).await;
    (fleet, replicas)
}

#[rstest]
#[case::before_the_first_event(0)]
#[case::after_an_event(1)]
#[tokio::test]
async fn crash_that_ends_an_unframed_stream_counts_as_a_completed_run(#[case] events: usize) {
    let (fleet, replicas) = start(events).await;
    let to = fleet.callers(0);
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for number in 0..60 {
        let call = |parts: &[&str]| Call::new(Method::POST, "/feed/x").with_parts(parts);
        let own = format!("{number:x}0");
        call(&["f1", BAD, &own]).status(to).await;
        for _ in 0..2 {
            *statuses.entry(call(&["f1", "5e55", &own]).status(to).await).or_default() += 1;
            sleep(Duration::from_millis(60)).await;
        }
    }
    let crashes = replicas.crashes.lock().expect("the lock").clone();
    let is_later = |at: &&Instant| **at > crashes[CRASHES - 1] + KNOWN_AFTER;
    let later = crashes.get(CRASHES..).unwrap_or_default().iter().filter(is_later).count();
    println!("{} crashes, {later} later; sound: {statuses:?}", crashes.len());
    assert!(later <= MAX_LATER_RUNS, "{later} later runs");
    assert!(statuses[&200] >= 100, "sound requests: {statuses:?}");
}

#[tokio::test]
async fn unframed_error_without_a_body_is_sent_on() {
    let (fleet, _replicas) = start(0).await;
    let call = Call::new(Method::POST, "/feed/x").with_parts(&["f1", REJECTED, "10"]);
    assert_eq!(call.status(fleet.callers(0)).await, 413);
}
