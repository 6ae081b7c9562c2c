//! Faults of the serving soak in which the store is away for a moment and returns from a copy of its objects
//! that is some seconds old. Instances and operators then write again what the store lacks.

use crate::serving_soak_faults::FaultLog;
use crate::serving_soak_nodes::Cause;
use crate::serving_soak_nodes::Disturbances;
use anyhow::Result;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::StoreMode;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::sleep;

/// Range of the time between the end of a return and the copy for the next one, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 500..4000;
/// Range of the age of the copy, in milliseconds.
const AGE_MS: std::ops::Range<u64> = 200..6000;
/// Range of the time for which the store is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 0..1500;
/// Range of the time until the operators write the newest configuration again, in milliseconds.
const CONFIGURED_MS: std::ops::Range<u64> = 0..1500;
/// Time within which live instances write their entries again, according to the platform's documentation.
const REGISTERED_WITHIN: Duration = Duration::from_secs(2);
/// Time after the return after which the platform removes the entries of instances that write nothing.
const EXPIRED_AFTER: Duration = Duration::from_secs(3);

/// Injects these faults beside others.
pub struct Returns {
    /// Source of all choices.
    pub rng: StdRng,
    /// Instances and their store.
    pub fake_platform: FakePlatform,
    /// Disturbances so far.
    pub disturbances: Disturbances,
    /// Log of the faults.
    pub log: FaultLog,
}

impl Returns {
    /// Lets the store return from older copies until `end`.
    pub async fn inject_until(mut self, end: Instant) -> Result<()> {
        loop {
            let (after, age) = (self.draw(INTERVAL_MS), self.draw(AGE_MS));
            let away = self.draw(AWAY_MS);
            if Instant::now() + after + age + away + EXPIRED_AFTER > end {
                return Ok(());
            }
            sleep(after).await;
            self.inject(age, away).await?;
        }
    }

    async fn inject(&mut self, age: Duration, away: Duration) -> Result<()> {
        let store = self.fake_platform.store.clone();
        let copy = store.copy();
        sleep(age).await;
        self.log.write(&format!("store away for {away:?}, copy of {age:?} before"))?;
        let disturbance = self.disturbances.begin(None, Cause::Unplanned);
        store.set_mode(StoreMode::Busy);
        sleep(away).await;
        let newest = store.get("config", "main");
        store.restore(copy);
        store.set_mode(StoreMode::Up);
        self.log.write(&format!("store returned, era {}", store.era()))?;
        let configured = self.draw(CONFIGURED_MS);
        sleep(configured).await;
        let version = |config: &serde_json::Value| config["version"].as_u64();
        let found = store.get("config", "main").as_ref().and_then(version);
        if let Some(newest) = newest.filter(|newest| version(newest) > found) {
            store.put("config", "main", newest);
        }
        sleep(REGISTERED_WITHIN - configured).await;
        self.fake_platform.register_all();
        sleep(EXPIRED_AFTER - REGISTERED_WITHIN).await;
        self.fake_platform.expire_ended();
        self.disturbances.end(disturbance);
        Ok(())
    }

    fn draw(&mut self, millis: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(millis))
    }
}
