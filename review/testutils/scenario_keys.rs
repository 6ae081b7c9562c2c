//! All keys of all tenants are taken away, in three versions of the configuration.

use crate::Outcome;
use crate::clients;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::ReplicaKind;
use std::path::Path;
use std::thread;
use std::time::Duration;

const DEADLINE: Duration = Duration::from_millis(1500);
/// Pause between two versions that each take a key away.
const REVOKE_GAP: Duration = Duration::from_millis(1500);
/// `configApplyMs`, within which a version is in force after its acknowledgement.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Requests with each key in each phase.
const REQUESTS: usize = 10;
/// Key that no configuration ever held.
const FOREIGN_KEY: &str = "key-of-nobody";
/// Each key with its tenant, in the order in which they are taken away.
const KEYS: [(&str, &str); 3] = [("key-1", "baker"), ("key-2", "baker"), ("key-3", "brewer")];

pub fn run(daemon: &str, folder: &Path, with_trouble: bool) -> Outcome {
    let config = fleet::config(1, &tenants(0));
    let started = Fleet::start(daemon, folder, 2, 2, ReplicaKind::default(), config);
    let fleet = match started {
        Ok(fleet) => fleet,
        Err(e) => return Outcome::CouldNotRun(e.to_string()),
    };
    if let Some(problem) = send_all(&fleet, "before", 0) {
        return Outcome::CouldNotRun(problem);
    }
    let revoked = if with_trouble { KEYS.len() } else { 0 };
    for count in 1..=revoked {
        thread::sleep(REVOKE_GAP);
        fleet.store.put("config", "main", fleet::config(1 + count as u64, &tenants(count)));
        fleet.record.write(&format!("version {} is acknowledged: {}", 1 + count, tenants(count)));
        thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
        if let Some(problem) = send_all(&fleet, &format!("after version {}", 1 + count), count) {
            return Outcome::Broken(problem);
        }
    }
    match send_all(&fleet, "at the end", revoked) {
        Some(problem) => Outcome::Broken(problem),
        None => Outcome::Held,
    }
}

/// Returns the tenants after the first `revoked` keys were taken away.
fn tenants(revoked: usize) -> String {
    let keys_of = |tenant: &str| {
        let left = KEYS[revoked..].iter().filter(|(_, holder)| *holder == tenant);
        left.map(|(key, _)| format!("\"{key}\"")).collect::<Vec<_>>().join(",")
    };
    let tenant =
        |name| format!(r#"{{"name": "{name}", "apiKeys": [{}], "priority": 1}}"#, keys_of(name));
    format!("[{},{}]", tenant("baker"), tenant("brewer"))
}

/// Sends requests with each key and a foreign one. Returns what was handled otherwise than the configuration in
/// force says.
fn send_all(fleet: &Fleet, phase: &str, revoked: usize) -> Option<String> {
    let mut problems = vec![];
    let holders = KEYS.iter().enumerate().map(|(index, (key, tenant))| {
        let holder = (index >= revoked).then_some(*tenant);
        (*key, holder)
    });
    for (key, holder) in holders.chain([(FOREIGN_KEY, None)]) {
        for turn in 0..REQUESTS {
            let id = format!("{}-{key}-{turn}", phase.replace(' ', "-"));
            let headers = [
                ("Host", fleet::HOST),
                ("X-Request-Id", &id),
                ("X-Deadline-Ms", "1500"),
                ("Api-Key", key),
            ];
            let answer =
                clients::send(fleet.node(turn), ("POST", "/book/1"), &headers, "{}", DEADLINE);
            fleet.record.write(&format!("client sent {id} to node {}: {answer:?}", turn % 2));
            let run = fleet.record.runs().into_iter().find(|run| run.request == id);
            let tenant = run.as_ref().map(|run| run.tenant.as_str());
            let is_right = match holder {
                Some(holder) => answer == Ok(200) && tenant == Some(holder),
                None => answer == Ok(401) && tenant.is_none(),
            };
            if !is_right {
                problems.push(format!("{id}: answer {answer:?}, run for tenant {tenant:?}"));
            }
        }
    }
    let first = problems.first()?;
    Some(format!("{phase}: {} requests handled wrongly, the first: {first}", problems.len()))
}
