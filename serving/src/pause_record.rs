//! Record of pauses in streams that went on by themselves, and the silence after which a replica is suspected.
//!
//! Load pattern: the links lose one or two packets in a thousand. A lost packet is sent again after 200 ms, so a
//! stream pauses for 200 to 350 ms while its replica works. In a large fleet a node has one or two streams at a
//! replica, so that the whole replica appears silent. Suspecting it asks all members of its group, and where one of
//! these reports is lost, a working replica is marked as down and its streams are moved. So where most pauses end by
//! themselves, a replica is suspected only after the time that a retransmission takes, and a missing report is
//! asked for again. A stream that pauses for so long is late in either case.

use crate::replica_health::MIN_SILENCE;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Silence after which a replica is suspected where links lose packets: 200 ms until a packet is sent again, the
/// interval between two events, and the delays of links between data centres.
pub const RETRANSMISSION_SILENCE: Duration = Duration::from_millis(360);
/// Time after which a recorded pause counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Pauses that ended by themselves from which on links count as losing packets.
const MIN_PAUSES: f64 = 3.0;
/// Multiple of the replicas found to be down that these pauses have to reach.
const PAUSES_PER_DOWN: f64 = 3.0;

/// Shared record of pauses, by service.
#[derive(Debug, Clone, Default)]
pub struct PauseRecord {
    services: Arc<Mutex<HashMap<String, Pauses>>>,
}

/// Pauses of the streams of one service, with recent ones counting more.
#[derive(Debug)]
struct Pauses {
    /// Pauses after which the same replica went on.
    ended: f64,
    /// Replicas that this node found to be down.
    downs: f64,
    updated_at: Instant,
}

impl PauseRecord {
    /// Returns an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the interval between two events of a stream. Only intervals within which a lost packet arrives
    /// again count; longer ones have other causes.
    pub fn record_interval(&self, service: &str, interval: Duration, now: Instant) {
        if interval >= MIN_SILENCE && interval < RETRANSMISSION_SILENCE {
            self.update(service, now, |pauses| pauses.ended += 1.0);
        }
    }

    /// Records that this node found a replica of a service to be down.
    pub fn record_down(&self, service: &str, now: Instant) {
        self.update(service, now, |pauses| pauses.downs += 1.0);
    }

    /// Returns whether most pauses of the streams of a service end by themselves.
    pub fn links_lose_packets(&self, service: &str, now: Instant) -> bool {
        let services = self.lock();
        let Some(pauses) = services.get(service) else { return false };
        let ended = pauses.ended * weight(pauses.updated_at, now);
        ended >= MIN_PAUSES && pauses.ended >= pauses.downs * PAUSES_PER_DOWN
    }

    /// Returns the silence after which a replica with running streams is suspected.
    pub fn min_silence(&self, service: &str, now: Instant) -> Duration {
        match self.links_lose_packets(service, now) {
            true => RETRANSMISSION_SILENCE,
            false => MIN_SILENCE,
        }
    }

    fn update(&self, service: &str, now: Instant, change: impl FnOnce(&mut Pauses)) {
        let mut services = self.lock();
        if !services.contains_key(service) {
            let none = Pauses { ended: 0.0, downs: 0.0, updated_at: now };
            services.insert(service.to_string(), none);
        }
        let Some(pauses) = services.get_mut(service) else { return };
        let weight = weight(pauses.updated_at, now);
        pauses.ended *= weight;
        pauses.downs *= weight;
        pauses.updated_at = now;
        change(pauses);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Pauses>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the factor by which pauses that were recorded up to `at` count now.
fn weight(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    0.5f64.powf(age / HALF_LIFE.as_secs_f64())
}
