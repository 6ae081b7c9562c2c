//! Tests of callers that hold connections without a running request.

use crate::fleet::Fleet;
use crate::fleet::eventually;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::event_ids;
use guavaladder_serving::connection_state::ConnectionPhase;
use guavaladder_serving::connection_state::ConnectionState;
use guavaladder_serving::connection_state::RecordedBody;
use guavaladder_serving::connection_table::ConnectionTable;
use guavaladder_serving::connection_table::ConnectionTables;
use guavaladder_serving::response_body::ResponseBody;
use guavaladder_serving::serving_metrics::ServingMetrics;
use http::Method;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::advance;
use tokio::time::sleep;

/// Descriptors of a node; a listener accepts at most half as many connections.
const MAX_DESCRIPTORS: u32 = 200;
/// Connections of a crowd, more than a listener accepts.
const CROWD: usize = 250;
const HALF_HEAD: &str = "POST /book/x HTTP/1.1\r\nHost: a.exam";
const HALF_BODY: &str = "POST /book/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\n\
    X-Request-Id: short\r\nX-Deadline-Ms: 60000\r\nContent-Length: 100\r\n\r\nshort";

/// Opens connections, sends the same bytes on each, and keeps them open.
async fn crowd(to: SocketAddr, bytes: &str) -> Vec<TcpStream> {
    let mut streams = vec![];
    for _ in 0..CROWD {
        let mut stream = TcpStream::connect(to).await.expect("a connection");
        // The node may already have closed the connection.
        let _ = stream.write_all(bytes.as_bytes()).await;
        streams.push(stream);
    }
    streams
}

/// A crowd that stays must not keep others from connecting.
#[rstest]
#[case::no_byte("")]
#[case::unfinished_head(HALF_HEAD)]
#[case::unfinished_body(HALF_BODY)]
#[tokio::test]
async fn waiting_connections_give_their_places_to_new_ones(#[case] bytes: &str) {
    let mut fleet = Fleet::new(0).await;
    fleet.max_descriptors = Some(MAX_DESCRIPTORS);
    fleet.add_first_node("orders", 2).await;
    let to = fleet.callers(0);
    let _crowd = crowd(to, bytes).await;
    for _ in 0..5 {
        assert_eq!(Call::new(Method::GET, "/look/x").status(to).await, 200);
    }
    assert_eq!(fleet.fake_platform.execution_count("short"), 0);
}

/// A request that was passed on keeps its connection, whoever else needs a place.
#[tokio::test]
async fn running_streams_keep_their_connections_beside_a_crowd() {
    let mut fleet = Fleet::with_events(5, 40).await;
    fleet.max_descriptors = Some(MAX_DESCRIPTORS);
    fleet.add_first_node("drafting", 2).await;
    let to = fleet.callers(0);
    let streams = crate::fleet::start_streams(to, 6);
    eventually(|| fleet.fake_platform.running_streams() == 6).await;
    let _crowd = crowd(to, HALF_HEAD).await;
    for stream in streams {
        let response = stream.await.expect("a stream that ends").expect("a complete stream");
        assert_eq!(event_ids(&response).len(), 40);
    }
    assert_eq!(Call::new(Method::POST, "/draft/x").status(to).await, 200);
}

/// Each listener has descriptors of its own: crowds on the others must not use them up.
#[tokio::test]
async fn crowds_on_all_listeners_stay_within_the_descriptors() {
    let mut fleet = Fleet::new(0).await;
    fleet.max_descriptors = Some(MAX_DESCRIPTORS);
    fleet.add_first_node("orders", 2).await;
    let cx = fleet.nodes[0].cx.clone();
    let settings = cx.settings.clone();
    let listeners = [settings.callers, settings.peers, settings.directory, settings.readiness];
    let mut crowds = vec![];
    for listener in listeners {
        crowds.push(crowd(listener, "").await);
        let open = open_connections(&cx.metrics, &cx.connections);
        assert!(open < u64::from(MAX_DESCRIPTORS), "{open} connections are open");
        assert_eq!(Call::new(Method::GET, "/look/x").status(settings.callers).await, 200);
        assert_eq!(Call::new(Method::GET, "/-/ready").status(settings.readiness).await, 200);
        let resolve = Call::new(Method::GET, "/-/resolve?name=a.example&region=r&zone=east");
        assert_eq!(resolve.status(settings.directory).await, 200);
    }
}

/// Returns the number of open connections of all listeners.
fn open_connections(metrics: &ServingMetrics, connections: &ConnectionTables) -> u64 {
    connections.record(metrics);
    let text = metrics.render();
    let series = text.lines().filter(|line| line.starts_with("guavaladder_open_connections{"));
    series.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok()).sum()
}

/// Sends a request in two parts on a new connection; returns what was received.
async fn send_in_parts(to: SocketAddr, request: String, pause: Duration) -> String {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    let (begin, end) = request.split_at(30);
    let mut response = vec![];
    // The node may close the connection at any time before the request is complete.
    let _ = stream.write_all(begin.as_bytes()).await;
    sleep(pause).await;
    let _ = stream.write_all(end.as_bytes()).await;
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// A connection whose request is completed while it gives its place must not be closed after the request
/// was passed on.
#[tokio::test]
async fn requests_completed_at_the_limit_are_answered_or_not_run() {
    let mut fleet = Fleet::new(0).await;
    fleet.max_descriptors = Some(64);
    fleet.add_first_node("orders", 2).await;
    let to = fleet.callers(0);
    let send = |i: u64| {
        let request = format!(
            "POST /book/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: key-1\r\nX-Request-Id: c{i}\r\n\
             X-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: 6\r\n\r\na body"
        );
        tokio::spawn(send_in_parts(to, request, Duration::from_millis(i * 7 % 40)))
    };
    for round in 0..5 {
        let calls: Vec<_> = (0..100).map(|i| send(round * 100 + i)).collect();
        for (i, call) in calls.into_iter().enumerate() {
            let response = call.await.expect("a call that ends");
            let runs = fleet.fake_platform.execution_count(&format!("c{}", round * 100 + i as u64));
            let is_answered = response.starts_with("HTTP/1.1 200") && response.ends_with("a body");
            assert!(is_answered || runs == 0, "request {i} of round {round}: {response:?}");
        }
    }
    assert!(fleet.nodes[0].cx.metrics.sum("connections_closed_total") > 0);
}

/// Changes the phase of a connection that has just been accepted.
fn enter(state: &Arc<ConnectionState>, phase: ConnectionPhase) {
    match phase {
        ConnectionPhase::Idle => {}
        ConnectionPhase::Head => state.record_read(),
        ConnectionPhase::Body => state.record_head(true),
        ConnectionPhase::Busy => state.record_head(false),
        ConnectionPhase::Unread => {
            state.record_head(false);
            state.record_blocked(true);
        }
        ConnectionPhase::Lingering => state.record_shutdown(),
    }
}

#[tokio::test(start_paused = true)]
async fn longest_waiting_prefers_stalled_heads_then_bodies_then_idle_ones() {
    let table = ConnectionTable::new("callers", 8);
    let phases = [
        ConnectionPhase::Busy,
        ConnectionPhase::Idle,
        ConnectionPhase::Body,
        ConnectionPhase::Head,
    ];
    let mut places = vec![];
    for phase in phases.into_iter().chain(phases) {
        let place = table.add();
        enter(&place.state, phase);
        places.push(place);
        advance(Duration::from_secs(1)).await;
    }
    let mut order = vec![];
    while let Some((state, phase)) = table.longest_waiting(Instant::now()) {
        order.push(phase);
        let index = places.iter().position(|place| Arc::ptr_eq(&place.state, &state));
        places.remove(index.expect("a connection of the table"));
    }
    let expected = [ConnectionPhase::Head, ConnectionPhase::Body, ConnectionPhase::Idle];
    assert_eq!(order, expected.map(|phase| [phase; 2]).concat());
    assert_eq!(places.len(), 2);
}

/// A head or body that makes progress must not be closed for the crowd's idle connections.
#[tokio::test(start_paused = true)]
async fn longest_waiting_prefers_idle_ones_to_progressing_ones() {
    let table = ConnectionTable::new("callers", 8);
    let (head, body, idle) = (table.add(), table.add(), table.add());
    enter(&body.state, ConnectionPhase::Body);
    advance(Duration::from_secs(1)).await;
    enter(&head.state, ConnectionPhase::Head);
    body.state.record_read();
    let (chosen, _) = table.longest_waiting(Instant::now()).expect("a waiting connection");
    assert!(Arc::ptr_eq(&chosen, &idle.state));
}

/// A connection must not count as waiting until its response has left the write buffer, even if the next
/// request is received before.
#[tokio::test]
async fn unflushed_response_keeps_its_connection_busy() {
    let state = Arc::new(ConnectionState::new());
    state.record_head(false);
    drop(RecordedBody::new(ResponseBody::complete("x"), state.clone()));
    assert!(!state.is_waiting(Instant::now()));
    state.record_head(true);
    assert!(!state.is_waiting(Instant::now()));
    state.record_flush();
    assert_eq!(state.phase(Instant::now()).0, ConnectionPhase::Body);
}

/// Bytes received while a request runs belong to the next head.
#[tokio::test]
async fn bytes_read_ahead_begin_the_next_head() {
    let state = Arc::new(ConnectionState::new());
    state.record_head(false);
    state.record_read();
    drop(RecordedBody::new(ResponseBody::complete("x"), state.clone()));
    state.record_flush();
    assert_eq!(state.phase(Instant::now()).0, ConnectionPhase::Head);
}

/// A response that is not read gives its place only after the deadline of its request.
#[tokio::test(start_paused = true)]
async fn unread_response_keeps_its_place_until_the_deadline() {
    let table = ConnectionTable::new("callers", 8);
    let place = table.add();
    place.state.record_head(false);
    place.state.record_deadline(Instant::now() + Duration::from_secs(2));
    place.state.record_blocked(true);
    advance(Duration::from_secs(1)).await;
    assert!(table.longest_waiting(Instant::now()).is_none());
    advance(Duration::from_secs(2)).await;
    assert!(table.longest_waiting(Instant::now()).is_some());
    place.state.record_blocked(false);
    assert!(table.longest_waiting(Instant::now()).is_none());
}
