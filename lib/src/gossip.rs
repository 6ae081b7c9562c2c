//! Gossip protocol between entry nodes for membership, shared facts and object versions.
//!
//! Each node pings one other node of its data centre per period; pings and acks piggyback updates.
//! A few relays per data centre forward the same updates to other data centres and regions. Urgent
//! updates are broadcast without waiting for the next period, by each node as it learns of them.

use crate::control_budget::ControlBudget;
use crate::cx::Cx;
use crate::election;
use crate::generated::peer::Gossip;
use crate::generated::peer::PeerBody;
use crate::generated::peer::PeerMessage;
use crate::generated::peer::Probe;
use crate::gossip_state::GossipState;
use crate::gossip_state::RELAY_SUBJECT;
use crate::gossip_state::RELAYS;
use crate::gossip_state::Scope;
use crate::member_view::Member;
use crate::member_view::MemberState;
use crate::member_view::Members;
use crate::metric_names;
use crate::peer_bulk::PullState;
use crate::peer_link::PeerLink;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Number of nodes of the data centre to which a node sends urgent updates.
const URGENT_FANOUT: usize = 4;
/// Time during which urgent updates are batched before they are sent.
const URGENT_BATCH_TIME: Duration = Duration::from_millis(20);
/// Minimum interval between two broadcasts of urgent updates.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);
/// Period in which relays send updates to other data centres.
const RELAY_PERIOD: Duration = Duration::from_secs(1);
/// Delay of a timer tick from which on the process counts as having been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1000);
/// Time after a pause during which this node marks no other node as suspect.
const PAUSE_RECOVERY: Duration = Duration::from_millis(1500);
/// Delay before receiving again after a socket error.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Gossip protocol instance of one node.
pub struct Gossiper {
    /// Context of the node.
    pub cx: Cx,
    /// Authenticated link to the other nodes.
    pub link: PeerLink,
    /// Byte and CPU budget.
    pub budget: ControlBudget,
    /// State of the pulls in progress.
    pub pulls: PullState,
    state: Mutex<GossipState>,
    rng: Mutex<StdRng>,
    urgent: Notify,
    suspicion_allowed_at: Mutex<Duration>,
}

impl Gossiper {
    /// Creates the gossip instance of a node that knows only itself.
    pub fn new(cx: Cx, link: PeerLink) -> Arc<Self> {
        let now = cx.clock.now();
        let seed = blake3::hash(format!("{}/{}", cx.node(), cx.incarnation).as_bytes());
        Arc::new(Self {
            state: Mutex::new(GossipState::new(cx.clone(), now)),
            budget: ControlBudget::new(cx.clone()),
            rng: Mutex::new(StdRng::from_seed(*seed.as_bytes())),
            urgent: Notify::new(),
            suspicion_allowed_at: Mutex::new(now),
            pulls: PullState::new(),
            cx,
            link,
        })
    }

    /// Locks the state; the lock must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, GossipState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Receives datagrams until shutdown.
    pub async fn receive_loop(self: Arc<Self>, shutdown: CancellationToken) {
        loop {
            let received = tokio::select! {
                received = self.link.receive() => received,
                () = shutdown.cancelled() => return,
            };
            match received {
                Ok((message, from)) => self.clone().handle(message, from).await,
                Err(_) => tokio::time::sleep(SOCKET_RETRY_DELAY).await,
            }
        }
    }

    /// Pings a node in each period until shutdown.
    pub async fn period_loop(self: Arc<Self>, shutdown: CancellationToken) {
        let period = self.cx.settings.gossip;
        let delay = period.mul_f64(self.random_fraction());
        let mut ticks = self.cx.timers.subscribe(delay, period).await;
        loop {
            let tick = tokio::select! {
                tick = ticks.next() => tick,
                () = shutdown.cancelled() => return,
            };
            let Some(tick) = tick else { return };
            if tick.late_by >= PAUSE_THRESHOLD {
                self.recover_from_pause(tick.late_by);
            }
            self.budget.timed(|| self.refresh());
            self.probe_next().await;
            self.budget.measure();
        }
    }

    /// Sends updates to other data centres while this node is a relay.
    pub async fn relay_loop(self: Arc<Self>, shutdown: CancellationToken) {
        let delay = RELAY_PERIOD.mul_f64(self.random_fraction());
        let mut ticks = self.cx.timers.subscribe(delay, RELAY_PERIOD).await;
        loop {
            let tick = tokio::select! {
                tick = ticks.next() => tick,
                () = shutdown.cancelled() => return,
            };
            if tick.is_none() {
                return;
            }
            let members = self.cx.members.get();
            let is_relay = {
                let mut state = self.state();
                state.set_relay_scopes(&members);
                let is_relay = state.is_relay(&members);
                if is_relay {
                    state.table.advance_heartbeat(self.cx.clock.now());
                }
                is_relay
            };
            if is_relay {
                self.send_remote_gossip(&members).await;
            }
        }
    }

    /// Broadcasts urgent updates as soon as there are any.
    pub async fn urgent_loop(self: Arc<Self>, shutdown: CancellationToken) {
        loop {
            tokio::select! {
                () = self.urgent.notified() => {}
                () = shutdown.cancelled() => return,
            }
            tokio::time::sleep(URGENT_BATCH_TIME).await;
            self.state().urgent = false;
            let members = self.cx.members.get();
            self.send_local_gossip(&members, URGENT_FANOUT).await;
            self.send_remote_gossip(&members).await;
            tokio::time::sleep(URGENT_INTERVAL).await;
        }
    }

    /// Queues changes of the object view as they arrive.
    pub async fn view_loop(self: Arc<Self>, shutdown: CancellationToken) {
        let mut changes = self.cx.view.subscribe();
        loop {
            self.budget.timed(|| self.refresh());
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                () = shutdown.cancelled() => return,
            }
        }
    }

    /// Announces that this node is leaving.
    pub async fn announce_leaving(&self) {
        self.state().table.renew_own(|row| row.leaving = true);
        self.broadcast_own_row().await;
    }

    /// Announces that this node has left.
    pub async fn announce_left(&self) {
        self.state().table.renew_own(|row| {
            row.leaving = true;
            row.health = crate::generated::peer::MemberHealth::Dead;
        });
        self.broadcast_own_row().await;
    }

    /// Queues local changes, applies timeouts and publishes the member view.
    pub fn refresh(&self) {
        let now = self.cx.clock.now();
        let mut state = self.state();
        state.queue_object_changes();
        state.queue_own_facts();
        state.expire(now);
        state.record_silence_changes(now);
        self.publish(&mut state);
        if state.urgent {
            self.urgent.notify_one();
        }
    }

    /// Builds the gossip payload of one message for a scope.
    pub fn build(&self, scope: &Scope, first: Option<&str>) -> Gossip {
        let budget = self.budget.message_bytes();
        let now = self.cx.clock.now();
        self.budget.timed(|| self.state().build(scope, first, budget, now))
    }

    /// Sends a datagram and charges it to the budget.
    pub async fn send(&self, to: SocketAddr, body: PeerBody) {
        let spent = self.link.send(to, body).await;
        self.budget.spend(spent);
    }

    /// Returns whether this node may mark others as suspect; shortly after a pause of its own it may
    /// not.
    pub fn may_suspect(&self) -> bool {
        let suspicion_allowed_at =
            *self.suspicion_allowed_at.lock().unwrap_or_else(PoisonError::into_inner);
        self.cx.clock.now() >= suspicion_allowed_at
    }

    /// Marks a node that did not respond as suspect.
    pub fn mark_suspect(&self, node: &str) {
        if !self.may_suspect() {
            return;
        }
        let now = self.cx.clock.now();
        self.state().mark_suspect(node, self.cx.node(), now);
        self.refresh();
    }

    /// Returns up to `count` random members of `from`.
    pub fn choose<'a>(&self, mut from: Vec<&'a Member>, count: usize) -> Vec<&'a Member> {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        from.shuffle(&mut *rng);
        from.truncate(count);
        from
    }

    /// Returns a random number in [0, 1).
    pub fn random_fraction(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random::<f64>()
    }

    async fn handle(self: Arc<Self>, message: PeerMessage, from: SocketAddr) {
        match message.body {
            PeerBody::Ping(probe) => {
                self.merge_gossip(&message.sender, from, &probe.gossip);
                let scope = self.scope_of(&message.sender);
                let first = self.node_if_not_live(&message.sender);
                let gossip = self.build(&scope, first.as_deref());
                let ack = Probe { probe: probe.probe, gossip };
                self.send(from, PeerBody::Ack(ack)).await;
            }
            PeerBody::Ack(probe) => {
                self.link.complete_probe(probe.probe);
                self.merge_gossip(&message.sender, from, &probe.gossip);
            }
            PeerBody::Spread(gossip) => self.merge_gossip(&message.sender, from, &gossip),
            PeerBody::WitnessReached(probe) => self.link.complete_probe(probe),
            PeerBody::WitnessRequest(req) => self.handle_witness_request(req, from),
            PeerBody::PullRequest(_) | PeerBody::PullReply(_) => {}
        }
    }

    fn merge_gossip(self: &Arc<Self>, sender: &str, from: SocketAddr, gossip: &Gossip) {
        let now = self.cx.clock.now();
        let (wanted, differs) = self.budget.timed(|| {
            let mut state = self.state();
            let wanted = state.merge_gossip(gossip, now);
            self.link.set_incarnation(state.table.own().incarnation);
            let differs = self.pulls.compare(&state, sender, gossip, now);
            if state.published_changes != Some(state.table.changes()) {
                self.publish(&mut state);
            }
            if state.urgent {
                self.urgent.notify_one();
            }
            (wanted, differs)
        });
        if !wanted.is_empty() {
            self.pull_objects(sender, from, wanted);
        }
        if differs {
            self.pull_all(from);
        }
    }

    /// Publishes the member view to the rest of the node.
    pub fn publish(&self, state: &mut GossipState) {
        state.published_changes = Some(state.table.changes());
        let view = state.table.view(self.cx.clock.now());
        let live = view.values().filter(|member| member.state == MemberState::Live).count();
        self.cx.metrics.gauge(metric_names::MEMBERS_LIVE, live as u64);
        self.cx.members.replace(view);
    }

    fn recover_from_pause(&self, late_by: Duration) {
        let now = self.cx.clock.now();
        *self.suspicion_allowed_at.lock().unwrap_or_else(PoisonError::into_inner) =
            now + PAUSE_RECOVERY;
        let mut state = self.state();
        state.table.reset_silence(now);
        state.table.renew_own(|_| {});
        let node = self.cx.node().to_string();
        let refutation = u64::from(state.table.own().refutation);
        state.push(crate::gossip_queue::GossipItem::MemberChange(node.clone()));
        state.urgent = true;
        self.cx.record(crate::generated::events::Event::SuspicionRefuted {
            node,
            refutation,
            late_by,
        });
    }

    async fn broadcast_own_row(&self) {
        let members = {
            let mut state = self.state();
            let node = self.cx.node().to_string();
            state.push(crate::gossip_queue::GossipItem::MemberChange(node));
            self.publish(&mut state);
            self.cx.members.get()
        };
        self.send_local_gossip(&members, 2 * URGENT_FANOUT).await;
        self.send_remote_gossip(&members).await;
    }

    async fn send_local_gossip(&self, members: &Members, fanout: usize) {
        let own = self.cx.node();
        let others = election::live_in_data_centre(members, &self.cx.settings.data_centre)
            .filter(|member| member.node != own)
            .collect();
        for member in self.choose(others, fanout) {
            let Ok(to) = member.peer_address.parse() else { continue };
            let gossip = self.build(&Scope::Local, None);
            self.send(to, PeerBody::Spread(gossip)).await;
        }
    }

    async fn send_remote_gossip(&self, members: &Members) {
        let scopes: Vec<Scope> = self.state().queues.keys().cloned().collect();
        for scope in scopes {
            let Some(to) = self.remote_target(members, &scope) else { continue };
            let gossip = self.build(&scope, None);
            self.send(to, PeerBody::Spread(gossip)).await;
        }
    }

    /// Chooses a relay of a remote data centre or region, or any of its members if no relay is live.
    fn remote_target(&self, members: &Members, scope: &Scope) -> Option<SocketAddr> {
        let in_scope: Vec<&Member> = match scope {
            Scope::Local => return None,
            Scope::DataCentre(id) => members.values().filter(|m| m.data_centre == *id).collect(),
            Scope::Region(id) => members.values().filter(|m| m.region == *id).collect(),
        };
        let any = self.choose(in_scope.clone(), 1).first().copied()?;
        let relays = relays_of(members, &any.data_centre);
        let relays = in_scope.into_iter().filter(|m| relays.contains(&m.node)).collect();
        let chosen = self.choose(relays, 1).first().copied().unwrap_or(any);
        chosen.peer_address.parse().ok()
    }

    /// Returns the scope that a peer belongs to.
    fn scope_of(&self, node: &str) -> Scope {
        let state = self.state();
        let own = state.table.own();
        match state.table.get(node) {
            Some(row) if row.data_centre == own.data_centre => Scope::Local,
            Some(row) if row.region == own.region => Scope::DataCentre(row.data_centre.clone()),
            Some(row) => Scope::Region(row.region.clone()),
            None => Scope::Local,
        }
    }

    /// Returns the node if its row is not live, so that the row is sent to it and it can refute.
    fn node_if_not_live(&self, node: &str) -> Option<String> {
        let state = self.state();
        let row = state.table.get(node)?;
        let is_live = row.health == crate::generated::peer::MemberHealth::Live;
        (!is_live).then(|| node.to_string())
    }
}

fn relays_of(members: &Members, data_centre: &str) -> Vec<String> {
    let live = election::live_in_data_centre(members, data_centre);
    election::elect(RELAY_SUBJECT, live.map(|member| member.node.as_str()), RELAYS)
}
