//! Tests of requests of many callers around a shutdown: each one that was read is answered, or its replica was still
//! at work at the end.

use crate::kept_callers;
use crate::kept_callers::Message;
use crate::kept_callers::Outcome;
use crate::stop_fleet::StopFleet;
use crate::stop_fleet::configuration;
use crate::stop_fleet::mix;
use guavaladder_platform_testutils::LinkMode;
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// Time that the daemons have for a shutdown.
const GRACE: Duration = Duration::from_secs(3);
/// Time from SIGTERM at which requests without a response are answered.
const ANSWERS_DUE: Duration = Duration::from_millis(2250);
/// Time of the requests before SIGTERM.
const BEFORE: Duration = Duration::from_millis(500);
/// Interval of the events of streams, which have 20.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Retry slack that is never used up.
const RETRY_SLACK: u32 = 100_000;
/// Number of callers of a daemon.
const CALLERS: u64 = 30;
/// Time until a daemon whose links were cut passes requests on.
const RELAY_DELAY: Duration = Duration::from_millis(2500);
/// Maximum time between two signals to a stopping daemon, in milliseconds.
const MAX_SIGNAL_GAP: u64 = 150;

/// What happens beside a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    /// Replicas fall silent for up to a second and a half.
    Silences,
    /// Further signals, changed settings files and configurations.
    Signals,
}

/// Returns a message of a random kind: streams that pause midway, and plain requests of up to three seconds.
fn message(bits: u64) -> Message {
    let time = bits / 8 % 3000;
    match bits % 5 {
        0 => ("POST", format!("/draft/pause-{time}"), vec![]),
        1 => ("POST", format!("/speak/pause-{time}"), vec![]),
        2 => ("POST", "/draft/a".to_string(), vec![]),
        3 => ("POST", format!("/book/work-{time}"), b"a body".to_vec()),
        _ => ("GET", format!("/look/work-{time}"), vec![]),
    }
}

/// Stops the first daemon beside its callers and those of the others, and checks what became of their requests.
async fn stop_and_check(mut fleet: StopFleet, beside: Beside, seed: u64) {
    let until = Instant::now() + BEFORE + GRACE;
    let message = move |bits: u64| message(mix(bits ^ seed << 48));
    let spawn = |daemon| fleet.spawn_callers(daemon, CALLERS, until, message);
    let callers: Vec<_> = (0..fleet.daemons.len()).map(spawn).collect();
    sleep(BEFORE).await;
    let stopped = Instant::now();
    fleet.daemons[0].process.signal("TERM");
    disturb(&mut fleet, beside, seed, stopped).await;
    assert!(!fleet.wait_for_exit(0, stopped).await, "the process had to be killed");
    for callers in callers {
        let requests: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
        let verdict = kept_callers::judge(&fleet.fake_platform, &requests, stopped, GRACE);
        assert!(verdict.lost.is_empty(), "{:?}: {:?}", verdict.counts, verdict.lost);
        assert!(verdict.refused_after_run.is_empty(), "{:?}", verdict.refused_after_run);
    }
    assert_eq!(fleet.fake_platform.violations(), []);
}

async fn disturb(fleet: &mut StopFleet, beside: Beside, seed: u64, stopped: Instant) {
    let mut bits = seed;
    let mut version = 5;
    while beside != Beside::Nothing
        && fleet.daemons[0].process.is_running()
        && stopped.elapsed() < GRACE
    {
        bits = mix(bits);
        let daemon = &fleet.daemons[0];
        match beside {
            Beside::Nothing => {}
            Beside::Silences => {
                let length = Duration::from_millis(200 + bits / 16 % 1300);
                fleet.fake_platform.pause(&format!("i-{:02}", bits % 12), length);
                sleep(Duration::from_millis(300)).await;
            }
            Beside::Signals => {
                match bits % 4 {
                    0 => daemon.process.signal("TERM"),
                    1 => {
                        let settings = std::fs::read_to_string(&daemon.settings).unwrap();
                        let settings = settings.replace("\"shutdown_s\":3", "\"shutdown_s\":2");
                        std::fs::write(&daemon.settings, settings).unwrap();
                        daemon.process.signal("HUP");
                    }
                    2 => daemon.process.signal("HUP"),
                    _ => {
                        version += 1;
                        let store = &fleet.fake_platform.store;
                        store.put("config", "main", configuration(version));
                    }
                }
                sleep(Duration::from_millis(bits / 16 % MAX_SIGNAL_GAP)).await;
            }
        }
    }
}

#[rstest]
#[case::nothing(Beside::Nothing, 1)]
#[case::silences(Beside::Silences, 2)]
#[case::signals_and_configurations(Beside::Signals, 3)]
#[tokio::test]
async fn request_is_lost_around_sigterm(#[case] beside: Beside, #[case] seed: u64) {
    let name = format!("stop-requests-{seed}");
    let fleet = StopFleet::new(&name, 1, GRACE, EVENT_INTERVAL, RETRY_SLACK).await;
    stop_and_check(fleet, beside, seed).await;
}

/// A daemon that reaches no instance passes its requests on: to the stopping one, or as the stopping one.
#[rstest]
#[case::to_stopping_daemon(1)]
#[case::by_stopping_daemon(0)]
#[tokio::test]
async fn request_that_is_passed_on_is_lost_around_sigterm(#[case] cut: usize) {
    let name = format!("stop-relay-{cut}");
    let fleet = StopFleet::new(&name, 3, GRACE, EVENT_INTERVAL, RETRY_SLACK).await;
    fleet.daemons[cut].links.set_mode(LinkMode::Reset);
    sleep(RELAY_DELAY).await;
    stop_and_check(fleet, Beside::Nothing, 4).await;
}

#[tokio::test]
async fn body_that_is_half_read_when_answers_are_due_has_no_answer() {
    let mut fleet = StopFleet::new("stop-half-body", 1, GRACE, EVENT_INTERVAL, RETRY_SLACK).await;
    let (mut requests, stopped) = (JoinSet::new(), Instant::now());
    fleet.daemons[0].process.signal("TERM");
    sleep_until(stopped + Duration::from_millis(500)).await;
    let rest_after = [0, 300, 1000, 1700, 1760, 2500].map(Duration::from_millis);
    for delay in rest_after {
        for path in ["/book/a", "/draft/a"] {
            let mut stream = TcpStream::connect(fleet.daemons[0].callers).await.unwrap();
            let message = ("POST", path.to_string(), vec![b'a'; 20_000]);
            let id = kept_callers::next_id();
            let bytes = kept_callers::encode(&message, &id);
            requests.spawn(async move {
                let (mut read, mut write) = stream.split();
                let (first, rest) = bytes.split_at(10_000);
                write.write_all(first).await.unwrap();
                let send_rest = async {
                    sleep(delay).await;
                    // The daemon may have answered and closed the connection.
                    let _ = write.write_all(rest).await;
                    std::future::pending::<()>().await;
                };
                let sent = Instant::now();
                tokio::select! {
                    (request, _) = kept_callers::receive(&mut read, id, &message, sent) => request,
                    () = send_rest => unreachable!("it never ends"),
                }
            });
        }
    }
    assert!(!fleet.wait_for_exit(0, stopped).await, "the process had to be killed");
    for request in requests.join_all().await {
        let is_early = request.ended < stopped + Duration::from_millis(990);
        let has_run = fleet.fake_platform.execution_count(&request.id) > 0;
        match request.outcome {
            Outcome::Complete(200) => assert!(has_run, "{request:?}"),
            Outcome::Complete(503) => assert!(!is_early && !has_run, "{request:?}"),
            _ => panic!("no answer: {request:?}"),
        }
        assert!(request.ended < stopped + ANSWERS_DUE + Duration::from_millis(300), "{request:?}");
    }
}
