//! Times of a shutdown, after which a node refuses requests, answers those that have not begun, and ends
//! the streams that still run.

use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// Maximum time for which a stopping node still accepts requests of callers that have cached an earlier
/// response of the directory: three times the TTL of such a response.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(3000);
/// Maximum part of the shutdown time that is left when the last requests are answered.
const ANSWER_RESERVE: Duration = Duration::from_millis(1000);
/// Maximum part of the shutdown time that is left when the last streams are ended.
const STREAM_RESERVE: Duration = Duration::from_millis(400);
/// Maximum part of the shutdown time that is left when the process exits.
const EXIT_RESERVE: Duration = Duration::from_millis(200);

/// Lateness from which a process first reads what has arrived before it ends requests.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(10);
/// Time in which a late process reads and relays what has arrived while it did not run.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// Times of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// From then on requests are refused.
    pub refusing_from: Instant,
    /// Requests without a response are answered by then.
    pub answers_due: Instant,
    /// Streams that have begun are ended by then.
    pub streams_end: Instant,
    /// Connections are closed by then, even if a caller has not read its response.
    pub exit: Instant,
}

impl StopTimes {
    /// Returns the times of a shutdown that began at `started` and may take `shutdown`.
    pub fn new(started: Instant, shutdown: Duration) -> Self {
        let end = started + shutdown;
        Self {
            refusing_from: started + MAX_ACCEPT_TIME.min(shutdown / 3),
            answers_due: end - ANSWER_RESERVE.min(shutdown / 4),
            streams_end: end - STREAM_RESERVE.min(shutdown / 8),
            exit: end - EXIT_RESERVE.min(shutdown / 16),
        }
    }

    /// Waits until the process exits: at `exit`, or `catch_up` after a late process has noticed that a time of
    /// the shutdown has passed, since its requests end only then.
    pub async fn wait_for_exit(&self, catch_up: Duration) {
        let mut exit = self.exit;
        for due in [self.answers_due, self.streams_end, self.exit] {
            sleep_until(due).await;
            let now = Instant::now();
            if is_late(due, now) {
                exit = exit.max(now + catch_up);
            }
        }
        sleep_until(exit).await;
    }
}

/// Whether and when this node stops; clones share the state.
#[derive(Debug, Clone)]
pub struct NodeStop(watch::Sender<Option<StopTimes>>);

impl NodeStop {
    /// Returns the state of a node that has not been asked to stop.
    pub fn new() -> Self {
        Self(watch::channel(None).0)
    }

    /// Begins a shutdown with these times.
    pub fn begin(&self, times: StopTimes) {
        self.0.send_replace(Some(times));
    }

    /// Returns the times of the shutdown; `None` if the node has not been asked to stop.
    pub fn times(&self) -> Option<StopTimes> {
        *self.0.borrow()
    }

    /// Returns whether requests are refused because the node stops.
    pub fn is_refusing(&self, now: Instant) -> bool {
        self.times().is_some_and(|times| now >= times.refusing_from)
    }

    /// Waits until a time of the shutdown, and longer if the process is late; never returns if the node is not
    /// asked to stop.
    pub async fn wait_until(&self, time: impl Fn(&StopTimes) -> Instant) {
        let mut times = self.0.subscribe();
        // The sender is kept by `self`, so waiting does not fail.
        let Ok(begun) = times.wait_for(Option::is_some).await.map(|times| *times) else { return };
        if let Some(begun) = begun {
            sleep_until_caught_up(time(&begun), CATCH_UP_TIME).await;
        }
    }
}

/// Returns whether a process that checks at `now` what was due at `due` is late, since it has not run meanwhile.
pub fn is_late(due: Instant, now: Instant) -> bool {
    now.saturating_duration_since(due) > LATENESS_TOLERANCE
}

/// Waits until `time`, and for `catch_up` longer if the process is late then: responses that have arrived by
/// `time` have not been read yet.
pub fn sleep_until_caught_up(time: Instant, catch_up: Duration) -> impl Future<Output = ()> {
    let due = time.max(Instant::now());
    async move {
        sleep_until(due).await;
        if is_late(due, Instant::now()) {
            sleep(catch_up).await;
        }
    }
}

impl Default for NodeStop {
    fn default() -> Self {
        Self::new()
    }
}
