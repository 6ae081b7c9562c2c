//! Keeps the crash records of the nodes equal.
//!
//! Marks of single crashes are sent in heartbeats for a short time, and a node that starts later, is cut
//! off or paused misses them. So each node sends the digest of its repeated crashes to a few random
//! nodes; a node whose own digest differs asks the sender for its requests, and tells the sender of those
//! whose crashes it knows to be cleared. The number of messages that
//! a node sends does not depend on the number of nodes, and is zero while no request has crashed two
//! replicas.

use crate::crash_record;
use crate::serving_cx::ServingCx;
use guavaladder_lib::crash_history::CrashedRequest;
use guavaladder_lib::generated::events::Event;
use guavaladder_proc_macros::common_derives;
use rand::seq::IteratorRandom;
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which a node sends its digest.
pub const DIGEST_PERIOD: Duration = Duration::from_millis(500);
/// Number of nodes that a digest is sent to.
const DIGEST_RECEIVERS: usize = 3;
/// Minimum interval between two queries of a node.
const QUERY_PERIOD: Duration = Duration::from_millis(200);

/// Message about repeated crashes.
#[common_derives(Eq)]
pub enum CrashMessage {
    /// Digest of the sender's requests with repeated crashes.
    Digest(u64),
    /// Asks the receiver for these requests.
    Query,
    /// The sender's requests with repeated crashes.
    Requests(Vec<CrashedRequest>),
}

/// Sends and answers the messages about repeated crashes.
#[derive(Debug)]
pub struct CrashSync {
    cx: ServingCx,
    last_query: Mutex<Option<Instant>>,
}

impl CrashSync {
    /// Creates the state of a node that has sent no query.
    pub fn new(cx: ServingCx) -> Self {
        Self { cx, last_query: Mutex::default() }
    }

    /// Returns the digest to send and the nodes to send it to; `None` if there are no repeated crashes.
    pub fn next_digest(&self) -> Option<(CrashMessage, Vec<IpAddr>)> {
        let digest = self.cx.crashes.digest(Instant::now());
        if digest == 0 {
            return None;
        }
        let receivers = self.cx.nodes.addresses().into_iter();
        let receivers = receivers.sample(&mut rand::rng(), DIGEST_RECEIVERS);
        Some((CrashMessage::Digest(digest), receivers))
    }

    /// Applies a message of another node and returns the reply to it, if any.
    pub fn apply(&self, message: CrashMessage, from: &str) -> Option<CrashMessage> {
        let now = Instant::now();
        match message {
            CrashMessage::Digest(digest) => {
                let differs = digest != self.cx.crashes.digest(now);
                (differs && self.may_query(now)).then_some(CrashMessage::Query)
            }
            CrashMessage::Query => Some(CrashMessage::Requests(self.cx.crashes.repeated(now))),
            CrashMessage::Requests(requests) => {
                learn(&self.cx, &requests, from);
                let corrections = self.cx.crashes.corrections(&requests, now);
                (!corrections.is_empty()).then_some(CrashMessage::Requests(corrections))
            }
        }
    }

    fn may_query(&self, now: Instant) -> bool {
        let mut last = self.last_query.lock().unwrap_or_else(PoisonError::into_inner);
        let is_due = last.is_none_or(|last| now - last >= QUERY_PERIOD);
        if is_due {
            *last = Some(now);
        }
        is_due
    }
}

/// Merges requests of another node or of the store into the record, and logs those that are refused by
/// it.
pub fn learn(cx: &ServingCx, requests: &[CrashedRequest], source: &str) {
    log_refused(cx, &cx.crashes.merge_requests(requests, Instant::now()), source);
}

/// Logs the requests that are refused since this node has learned of their crashes from `source`.
pub fn log_refused(cx: &ServingCx, fingerprints: &[u64], source: &str) {
    for fingerprint in fingerprints {
        cx.metrics.crash_mark("learned", "unknown");
        cx.log.record(Event::CrashesLearned {
            fingerprint: crash_record::format_fingerprint(*fingerprint),
            crashes: cx.crashes.crash_count(*fingerprint) as u64,
            source: source.to_string(),
        });
    }
}
