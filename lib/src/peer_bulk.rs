//! Anti-entropy over TCP: a node that lacks objects, or whose tables have differed from those of its
//! peers for too long, pulls newer entries from a peer.

use crate::facts::Fact;
use crate::facts::FactKind;
use crate::generated::peer::Gossip;
use crate::generated::peer::MemberHealth;
use crate::generated::peer::PeerBody;
use crate::generated::peer::PeerMessage;
use crate::generated::peer::PeerObject;
use crate::generated::peer::PullReply;
use crate::generated::peer::PullRequest;
use crate::gossip::Gossiper;
use crate::gossip_state::GossipState;
use crate::ids::DataCentreId;
use crate::object_digest::SHARED_PREFIXES;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time for which the tables must differ from those of a data centre's nodes before a full pull.
const FULL_PULL_DELAY: Duration = Duration::from_secs(3);
/// Minimum interval between two full pulls.
const FULL_PULL_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of concurrent pulls of objects.
const MAX_PULLS: usize = 8;
/// Delay before accepting again after a listener error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Running pulls, and how long the tables have differed from those of the peers.
#[derive(Debug, Default)]
pub struct PullState {
    inner: Mutex<PullInner>,
}

#[derive(Debug, Default)]
struct PullInner {
    keys_in_progress: BTreeSet<String>,
    running: usize,
    /// Time since which the tables have differed from those of a data centre's nodes.
    differs_since: BTreeMap<DataCentreId, Duration>,
    last_full_pull: Option<Duration>,
}

impl PullState {
    /// Creates the state with no running pulls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Compares the tables with a peer's digests and returns whether to start a full pull from it.
    ///
    /// Differences are tracked per data centre, since all nodes of one data centre may agree on an
    /// outdated table.
    pub fn compare(
        &self,
        state: &GossipState,
        sender: &str,
        gossip: &Gossip,
        now: Duration,
    ) -> bool {
        let row = state.table.get(sender);
        let data_centre = row.map(|row| row.data_centre.clone()).unwrap_or_default();
        let mut inner = self.lock();
        let is_same = state.table.digest() == gossip.member_digest
            && state.stamps.digest() == gossip.object_digest;
        if is_same {
            inner.differs_since.remove(&data_centre);
            return false;
        }
        let since = *inner.differs_since.entry(data_centre).or_insert(now);
        let live = state.table.rows().filter(|row| row.health == MemberHealth::Live).count();
        let is_initial = inner.last_full_pull.is_none() || live <= 1;
        let has_persisted = now.saturating_sub(since) >= FULL_PULL_DELAY;
        let is_due = inner.last_full_pull.is_none_or(|last| now >= last + FULL_PULL_INTERVAL);
        let is_wanted = is_due && (is_initial || has_persisted);
        if is_wanted {
            inner.last_full_pull = Some(now);
            inner.differs_since.clear();
        }
        is_wanted
    }

    /// Marks keys as being pulled and returns those that were not being pulled already.
    fn begin(&self, keys: Vec<String>) -> Vec<String> {
        let mut inner = self.lock();
        if inner.running >= MAX_PULLS {
            return vec![];
        }
        let started: Vec<String> =
            keys.into_iter().filter(|key| inner.keys_in_progress.insert(key.clone())).collect();
        if !started.is_empty() {
            inner.running += 1;
        }
        started
    }

    fn end(&self, keys: &[String]) {
        let mut inner = self.lock();
        inner.running -= 1;
        for key in keys {
            inner.keys_in_progress.remove(key);
        }
    }

    fn full_pull_failed(&self) {
        self.lock().last_full_pull = None;
    }

    fn lock(&self) -> MutexGuard<'_, PullInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gossiper {
    /// Serves pulls of other nodes until shutdown.
    pub async fn serve_pulls(self: Arc<Self>, shutdown: CancellationToken) {
        let gossiper = self.clone();
        let reply_to = move |message: PeerMessage| gossiper.handle_pull(message);
        loop {
            let served = tokio::select! {
                served = self.link.serve_exchange(&reply_to) => served,
                () = shutdown.cancelled() => return,
            };
            if served.is_err() {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Pulls objects from a peer that has newer versions; if this fails, another peer is tried.
    pub fn pull_objects(self: &Arc<Self>, sender: &str, from: SocketAddr, keys: Vec<String>) {
        let keys = self.pulls.begin(keys);
        if keys.is_empty() {
            return;
        }
        let gossiper = self.clone();
        let address = self.state().address(sender).and_then(|address| address.parse().ok());
        let first = address.unwrap_or(from);
        tokio::spawn(async move {
            for to in [Some(first), gossiper.other_peer(first)].into_iter().flatten() {
                let req = gossiper.request(keys.clone());
                if gossiper.pull(to, req).await.is_some() {
                    break;
                }
            }
            gossiper.pulls.end(&keys);
        });
    }

    /// Pulls everything that is newer on a peer.
    pub fn pull_all(self: &Arc<Self>, from: SocketAddr) {
        let gossiper = self.clone();
        tokio::spawn(async move {
            let mut req = gossiper.request(vec![]);
            req.facts = true;
            if gossiper.pull(from, req).await.is_none() {
                gossiper.pulls.full_pull_failed();
            }
        });
    }

    /// Sends a pull request and merges the reply; `None` if the peer did not respond.
    pub async fn pull(&self, to: SocketAddr, req: PullRequest) -> Option<PullReply> {
        let response = self.link.exchange(to, PeerBody::PullRequest(req)).await.ok()?;
        let PeerBody::PullReply(mut reply) = response.body else { return None };
        let now = self.cx.clock.now();
        let objects = std::mem::take(&mut reply.objects);
        self.budget.timed(|| {
            let mut state = self.state();
            for row in &reply.members {
                state.merge_row(row, now);
            }
            for object in objects {
                state.merge_object(object);
            }
            for fact in &reply.facts {
                state.merge_fact(fact);
            }
        });
        self.refresh();
        Some(reply)
    }

    /// Returns a request for objects, or for everything newer when `keys` is empty.
    pub fn request(&self, keys: Vec<String>) -> PullRequest {
        let state = self.state();
        let is_full_pull = keys.is_empty();
        PullRequest {
            members: if is_full_pull { state.table.stamps() } else { vec![] },
            objects: if is_full_pull { state.stamps.all() } else { vec![] },
            keys,
            facts: false,
            service_levels: false,
        }
    }

    fn handle_pull(&self, message: PeerMessage) -> Option<PeerBody> {
        let PeerBody::PullRequest(req) = message.body else { return None };
        let reply = self.budget.timed(|| {
            let state = self.state();
            let is_full_pull = req.keys.is_empty() && !req.service_levels;
            PullReply {
                members: if is_full_pull { state.table.newer_than(&req.members) } else { vec![] },
                objects: if req.service_levels { vec![] } else { newer_objects(&state, &req) },
                facts: if req.facts { self.rare_facts() } else { vec![] },
                service_levels: if req.service_levels {
                    self.encoded_service_levels()
                } else {
                    vec![]
                },
            }
        });
        Some(PeerBody::PullReply(reply))
    }

    /// Returns the facts that rarely change; the others are soon received by gossip.
    fn rare_facts(&self) -> Vec<Fact> {
        let kinds =
            [FactKind::ConfigInForce, FactKind::SuspectRequests, FactKind::LeavingUpstreams];
        kinds.into_iter().flat_map(|kind| self.cx.facts.all(kind)).collect()
    }

    fn encoded_service_levels(&self) -> Vec<u8> {
        let snapshot = self.cx.service_levels.snapshot(self.cx.node());
        postcard::to_stdvec(&snapshot).unwrap_or_default()
    }

    /// Chooses a random live node of the data centre other than `excluded`.
    fn other_peer(&self, excluded: SocketAddr) -> Option<SocketAddr> {
        let members = self.cx.members.get();
        let own = self.cx.node();
        let data_centre = &self.cx.settings.data_centre;
        let live = crate::election::live_in_data_centre(&members, data_centre)
            .filter(|member| member.node != own && member.peer_address != excluded.to_string())
            .collect();
        self.choose(live, 1).first().and_then(|member| member.peer_address.parse().ok())
    }
}

/// Returns the requested objects; without keys, all objects that the requester lacks or whose
/// content is newer here.
fn newer_objects(state: &GossipState, req: &PullRequest) -> Vec<PeerObject> {
    let known: BTreeMap<&str, _> =
        req.objects.iter().map(|s| (s.key.as_str(), (s.version, s.content))).collect();
    let is_wanted = |key: &str| {
        if !req.keys.is_empty() {
            return req.keys.iter().any(|wanted| wanted == key);
        }
        let Some(own) = state.stamps.get(key) else { return false };
        let peer_version = known.get(key);
        peer_version
            .is_none_or(|(version, content)| *version < own.version && *content != own.content)
    };
    let mut objects = vec![];
    for prefix in SHARED_PREFIXES {
        for object in state.cx.view.list_with_tombstones(prefix) {
            if is_wanted(&object.key) {
                let value = object.value.map(|text| text.to_string());
                objects.push(PeerObject { key: object.key, version: object.version, value });
            }
        }
    }
    objects
}
