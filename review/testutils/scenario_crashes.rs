//! A request that crashes each replica that begins to run it comes again every 0.7 seconds, at any node, beside the
//! requests of a harmless client.

use crate::Outcome;
use crate::clients;
use crate::clients::Answer;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::ReplicaKind;
use crate::replica;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_millis(1500);
const REPLICAS: u8 = 3;
/// Time after which a crashed replica is back.
const RESTART_AFTER: Duration = Duration::from_secs(3);
/// Time between two requests of the client.
const INTERVAL: Duration = Duration::from_millis(700);
/// Number of requests of the client.
const REQUESTS: usize = 60;
/// `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Retries that may reach replicas later than `STABLE_WINDOW` after the third crash.
const ALLOWED_RETRIES: usize = 3;
/// Time between two requests of the sound client.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
/// Path of the request that comes again.
const PATH: &str = "/book/again";

pub fn run(daemon: &str, folder: &Path, with_trouble: bool) -> Outcome {
    let config = fleet::config(1, r#"[{"name": "baker", "apiKeys": ["key-1"], "priority": 1}]"#);
    let kind = ReplicaKind { restart_after: RESTART_AFTER, ..ReplicaKind::default() };
    let fleet = match Fleet::start(daemon, folder, 2, REPLICAS, kind, config) {
        Ok(fleet) => fleet,
        Err(e) => return Outcome::CouldNotRun(e.to_string()),
    };
    let body = if with_trouble { replica::POISON } else { "sound" };
    let is_over = AtomicBool::new(false);
    let (answered, sound) = thread::scope(|scope| {
        let sound = scope.spawn(|| send_sound(&fleet, &is_over));
        let answered = send_again(&fleet, body);
        is_over.store(true, Ordering::Relaxed);
        (answered, sound.join().expect("the sound client"))
    });
    judge(&fleet, with_trouble, answered, &sound)
}

/// Sends the request again and again; returns how often it was answered with success.
fn send_again(fleet: &Fleet, body: &str) -> usize {
    let mut answered = 0;
    for turn in 0..REQUESTS {
        let id = format!("again-{turn}");
        let sent_at = fleet.record.now();
        let answer = send(fleet, turn, &id, PATH, body);
        answered += usize::from(answer == Ok(200));
        let took = fleet.record.now() - sent_at;
        thread::sleep(INTERVAL.saturating_sub(took));
    }
    answered
}

/// What became of the sound client's requests.
#[derive(Default)]
struct Sound {
    sent: usize,
    answered: usize,
    /// Requests that ran and got no success.
    lost: usize,
}

/// Sends sound requests until the scenario is over.
fn send_sound(fleet: &Fleet, is_over: &AtomicBool) -> Sound {
    let mut sound = Sound::default();
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("sound-{}", sound.sent);
        let answer = send(fleet, sound.sent, &id, "/book/sound", "sound");
        let has_run = fleet.record.runs().iter().any(|run| run.request == id);
        sound.sent += 1;
        sound.answered += usize::from(answer == Ok(200));
        sound.lost += usize::from(answer != Ok(200) && has_run);
        thread::sleep(SOUND_INTERVAL);
    }
    sound
}

fn send(fleet: &Fleet, turn: usize, id: &str, path: &str, body: &str) -> Answer {
    let headers = [
        ("Host", fleet::HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "1500"),
        ("Api-Key", "key-1"),
    ];
    let answer = clients::send(fleet.node(turn), ("POST", path), &headers, body, DEADLINE);
    fleet.record.write(&format!("client sent {id} to node {}: {answer:?}", turn % 2));
    answer
}

fn judge(fleet: &Fleet, with_trouble: bool, answered: usize, sound: &Sound) -> Outcome {
    let Sound { sent, answered: sound_answered, lost } = sound;
    let runs = fleet.record.runs();
    let runs: Vec<Duration> =
        runs.iter().filter(|run| run.path == PATH).map(|run| run.at).collect();
    let of_sound =
        format!("{sound_answered} of {sent} sound requests answered, {lost} lost as they ran");
    if !with_trouble {
        let all = answered == REQUESTS && runs.len() == REQUESTS && sound_answered == sent;
        fleet.record.write(&of_sound);
        return match all {
            true => Outcome::Held,
            false => Outcome::Broken(format!("{answered} of {REQUESTS} answered; {of_sound}")),
        };
    }
    let Some(third) = runs.get(2).copied() else {
        return Outcome::CouldNotRun(format!("the request ran {} times", runs.len()));
    };
    let late = runs.iter().filter(|at| **at > third + STABLE_WINDOW).count();
    let summary = format!(
        "the request has crashed {} replicas, {late} of them later than {STABLE_WINDOW:?} after the third \
         crash; allowed: {ALLOWED_RETRIES}; {of_sound}",
        runs.len()
    );
    fleet.record.write(&summary);
    match late > ALLOWED_RETRIES {
        true => Outcome::Broken(summary),
        false => Outcome::Held,
    }
}
