//! Exchange of messages between nodes: each node sends its full current state to all others in a
//! periodic UDP heartbeat.
//!
//! At peak load every node places requests on the same replicas at the same time. Each heartbeat
//! carries the number of requests that the sender runs at each replica, and the interval is short
//! enough for several of them within the duration of one response.

use crate::admission_sync;
use crate::cold_sync;
use crate::config_sync;
use crate::crash_sync;
use crate::crash_sync::CrashSync;
use crate::demand_sync;
use crate::evacuation_sync;
use crate::fleet_config::ConfigVersion;
use crate::instance_list_delta::InstanceListDelta;
use crate::instance_list_sync;
use crate::list_part_sync;
use crate::list_part_sync::Addressed;
use crate::list_part_sync::ListPartSync;
use crate::peer_codec;
use crate::peer_codec::AbilityNews;
use crate::peer_codec::EraNews;
use crate::peer_codec::PeerMessage;
use crate::peer_codec::ReachNews;
use crate::rate_limit_sync;
use crate::replica_health;
use crate::retry_sync;
use crate::serving_cx::ServingCx;
use crate::store_era::Era;
use guavaladder_lib::generated::serving_peer::NodeBeat;
use guavaladder_lib::generated::serving_peer::ReplicaUse;
use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time since the last event for which a replica counts as used by a node that reaches no instance.
const ACTIVE_AGE: Duration = Duration::from_millis(500);
/// Number of times that the other nodes are told that this one reaches instances again.
const REACHED_REPEATS: usize = 3;
/// Number of heartbeats with which a node tells the era of the store after its start and after a change.
const ERA_REPEATS: u64 = 3;
/// Number of heartbeats after which it tells the era again, to nodes that missed it.
const ERA_INTERVAL: u64 = 64;

/// Level of the messages for large fleets that this build understands.
const ABILITY_LEVEL: u32 = 1;

/// Sends and receives the messages of this node.
#[derive(Debug, Clone)]
pub struct PeerExchange {
    heartbeats: HeartbeatHandler,
    crashes: Arc<CrashSync>,
    list_parts: ListPartSync,
    socket: Arc<UdpSocket>,
}

/// Builds the heartbeats of this node and applies those of the others.
#[derive(Debug, Clone)]
pub struct HeartbeatHandler {
    cx: ServingCx,
    sequence: Arc<AtomicU64>,
    /// Era that was told last, and the sequence number of the first heartbeat with it.
    told_era: Arc<Mutex<(Era, u64)>>,
    is_reading_config: Arc<AtomicBool>,
    list_parts: ListPartSync,
    /// Number of heartbeats in a large fleet, for which it was decided whether the abilities are stated.
    abilities_due: Arc<AtomicU64>,
}

impl PeerExchange {
    /// Creates an exchange that uses `socket`. The fleet key must be known.
    pub fn new(cx: ServingCx, socket: UdpSocket) -> Self {
        let crashes = Arc::new(CrashSync::new(cx.clone()));
        let heartbeats = HeartbeatHandler::new(cx);
        let list_parts = heartbeats.list_parts.clone();
        Self { heartbeats, crashes, list_parts, socket: Arc::new(socket) }
    }

    /// Sends heartbeats until the task is cancelled: periodically, and at once when a replica is
    /// found to be down or the store has returned from an older copy.
    pub async fn send_loop(self) {
        loop {
            let era = self.heartbeats.cx.store.era().current();
            self.send_heartbeat().await;
            let now = Instant::now();
            self.heartbeats.cx.nodes.prune_silent(now, self.heartbeats.cx.heartbeat_period());
            tokio::select! {
                () = sleep(self.heartbeats.cx.heartbeat_period()) => {}
                () = self.heartbeats.cx.down_reports.report_added() => {}
                () = self.heartbeats.cx.store.era().changed_from(era) => {}
            }
        }
    }

    /// Tells the other nodes that this one reaches no instance, until the task is cancelled.
    pub async fn reach_loop(self) {
        let cx = self.heartbeats.cx.clone();
        let node = cx.node().to_string();
        loop {
            cx.reach.wait_until_cut().await;
            while cx.reach.is_cut() {
                let news = ReachNews { node: node.clone(), is_cut: true };
                self.send(PeerMessage::Reach(news)).await;
                tokio::select! {
                    () = sleep(cx.heartbeat_period()) => {}
                    () = cx.reach.wait_until_reached() => {}
                }
            }
            for _ in 0..REACHED_REPEATS {
                let news = ReachNews { node: node.clone(), is_cut: cx.reach.is_cut() };
                self.send(PeerMessage::Reach(news)).await;
                sleep(cx.heartbeat_period()).await;
            }
        }
    }

    /// Sends a heartbeat to each other node.
    pub async fn send_heartbeat(&self) {
        // Before the heartbeat, whose revisions belong to the era.
        if let Some(news) = self.heartbeats.next_era_news() {
            self.send(PeerMessage::Era(news)).await;
        }
        self.send(PeerMessage::Beat(self.heartbeats.next_heartbeat())).await;
        if let Some(news) = self.heartbeats.next_abilities() {
            self.send(PeerMessage::Abilities(news)).await;
        }
    }

    /// Forwards changes of the instance list until the task is cancelled.
    pub async fn instance_delta_loop(self, mut deltas: mpsc::Receiver<InstanceListDelta>) {
        while let Some(delta) = deltas.recv().await {
            let (at_once, parts) = self.list_parts.messages(delta);
            self.send_all(at_once).await;
            for part in parts {
                self.send_all(part).await;
                sleep(list_part_sync::PART_INTERVAL).await;
            }
        }
    }

    /// Requests missing changes of the instance list in a large fleet until the task is cancelled.
    pub async fn list_request_loop(self) {
        loop {
            sleep(list_part_sync::REQUEST_PERIOD).await;
            if self.heartbeats.cx.is_large_fleet() {
                self.send_all(self.list_parts.requests()).await;
            }
        }
    }

    async fn send_all(&self, messages: Vec<Addressed>) {
        for (message, receivers) in messages {
            self.send_to(message, receivers).await;
        }
    }

    /// Sends the digest of the repeated crashes until the task is cancelled.
    pub async fn crash_digest_loop(self) {
        loop {
            sleep(crash_sync::DIGEST_PERIOD).await;
            if let Some((digest, receivers)) = self.crashes.next_digest() {
                self.send_to(PeerMessage::Crashes(digest), receivers).await;
            }
        }
    }

    /// Shares the rates of the instances and tells other nodes of them until the task is cancelled.
    pub async fn rate_limit_loop(self) {
        loop {
            sleep(self.heartbeats.cx.heartbeat_period()).await;
            rate_limit_sync::update(&self.heartbeats.cx);
            if let Some((news, receivers)) = rate_limit_sync::next_news(&self.heartbeats.cx) {
                self.send_to(PeerMessage::Rates(news), receivers).await;
            }
        }
    }

    /// Tells other nodes of evacuated data centres until the task is cancelled: periodically, and at once when that
    /// changes.
    pub async fn evacuation_loop(self) {
        let cx = &self.heartbeats.cx;
        if cx.evacuations.times().is_none() {
            return;
        }
        loop {
            let changes = cx.evacuations.changes();
            if let Some((news, receivers)) = evacuation_sync::next_news(cx) {
                self.send_to(PeerMessage::Evacuations(news), receivers).await;
            }
            tokio::select! {
                () = sleep(evacuation_sync::news_period(cx)) => {}
                () = cx.evacuations.changed_from(changes) => {}
            }
        }
    }

    /// Tells the other nodes what customers use while models are scarce, until the task is cancelled.
    pub async fn customer_use_loop(self) {
        loop {
            sleep(admission_sync::REPORT_PERIOD).await;
            if let Some(report) = admission_sync::next_report(&self.heartbeats.cx) {
                self.send(PeerMessage::CustomerUse(report)).await;
            }
        }
    }

    /// Tells other nodes which instances are cold until the task is cancelled: all of them what this node has
    /// just read, and a few random ones what it knows.
    pub async fn cold_loop(self) {
        let cx = &self.heartbeats.cx;
        loop {
            let is_new = tokio::select! {
                () = cx.cold.news_added() => true,
                () = sleep(cx.heartbeat_period()) => false,
            };
            let receivers = match is_new {
                true => {
                    sleep(cold_sync::GATHER_PERIOD).await;
                    cx.nodes.addresses()
                }
                false => cold_sync::receivers(cx),
            };
            if let Some(news) = cold_sync::next_news(cx) {
                self.send_to(PeerMessage::Cold(news), receivers).await;
            }
        }
    }

    /// Tells other nodes of the demand of this node's callers until the task is cancelled.
    pub async fn demand_loop(self) {
        loop {
            sleep(demand_sync::NEWS_PERIOD).await;
            if let Some((news, receivers)) = demand_sync::next_news(&self.heartbeats.cx) {
                self.send_to(PeerMessage::Demand(news), receivers).await;
            }
        }
    }

    /// Tells the other nodes what this one has used of the retry budgets until the task is cancelled.
    pub async fn retry_loop(self) {
        loop {
            sleep(retry_sync::news_period(&self.heartbeats.cx)).await;
            retry_sync::log_uses(&self.heartbeats.cx);
            if let Some(news) = retry_sync::next_news(&self.heartbeats.cx) {
                self.send(PeerMessage::Retries(news)).await;
            }
        }
    }

    async fn send(&self, message: PeerMessage) {
        self.send_to(message, self.heartbeats.cx.nodes.addresses()).await;
    }

    async fn send_to(&self, message: PeerMessage, receivers: Vec<IpAddr>) {
        let Some(key) = self.heartbeats.cx.peer_key.get() else { return };
        let message = match peer_codec::encode(&message, &key) {
            Ok(message) if message.len() <= peer_codec::MAX_MESSAGE_LEN => message,
            Ok(message) => return log::warn!("message too long to send: {} bytes", message.len()),
            Err(e) => return log::warn!("failed to encode a message: {e}"),
        };
        for address in receivers {
            let to = SocketAddr::new(address, self.heartbeats.cx.settings.peers.port());
            if let Err(e) = self.socket.send_to(&message, to).await {
                log::debug!("failed to send a message to {to}: {e}");
            }
        }
    }

    /// Receives messages and applies them until the task is cancelled.
    pub async fn receive_loop(self) {
        let mut buf = vec![0; 1 << 16];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => match self.heartbeats.cx.peer_key.decode(&buf[..len]) {
                    Ok(PeerMessage::Beat(heartbeat)) => {
                        self.heartbeats.apply_heartbeat(from.ip(), heartbeat)
                    }
                    Ok(PeerMessage::News(delta)) => {
                        self.heartbeats.apply_delta(from.ip(), delta);
                    }
                    Ok(PeerMessage::Crashes(message)) => {
                        let reply = self.crashes.apply(message, &from.ip().to_string());
                        if let Some(reply) = reply {
                            self.send_to(PeerMessage::Crashes(reply), vec![from.ip()]).await;
                        }
                    }
                    Ok(PeerMessage::Rates(news)) => {
                        rate_limit_sync::apply(&self.heartbeats.cx, &news, &from.ip().to_string());
                    }
                    Ok(PeerMessage::Reach(news)) => {
                        self.heartbeats.cx.nodes.record_reach(&news, Instant::now());
                    }
                    Ok(PeerMessage::Era(news)) => self.heartbeats.cx.nodes.record_era(&news),
                    Ok(PeerMessage::Evacuations(news)) => {
                        let cx = &self.heartbeats.cx;
                        if let Some(reply) = evacuation_sync::apply_news(cx, news, from.ip()) {
                            self.send_to(PeerMessage::Evacuations(reply), vec![from.ip()]).await;
                        }
                    }
                    Ok(PeerMessage::NewsPart(part)) => {
                        if let Some((part, near)) = self.list_parts.apply_part(from.ip(), part) {
                            self.send_to(part, near).await;
                        }
                    }
                    Ok(PeerMessage::NewsRequest(req)) => {
                        self.send_all(self.list_parts.answer(from.ip(), &req)).await;
                    }
                    Ok(PeerMessage::Abilities(news)) => {
                        if let Some(reply) = self.heartbeats.apply_abilities(&news) {
                            self.send_to(PeerMessage::Abilities(reply), vec![from.ip()]).await;
                        }
                    }
                    Ok(PeerMessage::CustomerUse(report)) => {
                        admission_sync::apply(&self.heartbeats.cx, report);
                    }
                    Ok(PeerMessage::Cold(news)) => {
                        cold_sync::apply(&self.heartbeats.cx, &news, &from.ip().to_string());
                    }
                    Ok(PeerMessage::Demand(news)) => {
                        demand_sync::apply(&self.heartbeats.cx, news);
                    }
                    Ok(PeerMessage::Retries(news)) => {
                        retry_sync::apply(&self.heartbeats.cx, news);
                    }
                    Err(e) => log::debug!("rejected a message from {from}: {e}"),
                },
                // An earlier datagram that this node sent reached a closed port.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(e) => {
                    log::debug!("failed to receive a message: {e}");
                    sleep(self.heartbeats.cx.heartbeat_period()).await;
                }
            }
        }
    }
}

impl HeartbeatHandler {
    /// Creates the handler of a node that has sent no heartbeat yet.
    pub fn new(cx: ServingCx) -> Self {
        Self {
            list_parts: ListPartSync::new(cx.clone()),
            abilities_due: Arc::default(),
            cx,
            sequence: Arc::default(),
            told_era: Arc::default(),
            is_reading_config: Arc::default(),
        }
    }

    /// Returns the era of the store if it is told with the next heartbeat.
    pub fn next_era_news(&self) -> Option<EraNews> {
        let era = self.cx.store.era().current();
        let next = self.sequence.load(Ordering::Relaxed) + 1;
        let mut told = self.told_era.lock().unwrap_or_else(PoisonError::into_inner);
        if told.0 != era {
            *told = (era, next);
        }
        let since = next - told.1;
        let is_due = since < ERA_REPEATS || since.is_multiple_of(ERA_INTERVAL);
        (era > 0 && is_due).then(|| EraNews { node: self.cx.node().to_string(), era })
    }

    /// Returns which messages for large fleets this node understands, if it states this after the last
    /// heartbeat.
    pub fn next_abilities(&self) -> Option<AbilityNews> {
        if !self.cx.is_large_fleet() {
            return None;
        }
        let sent = self.abilities_due.fetch_add(1, Ordering::Relaxed);
        let is_due = sent < ERA_REPEATS || sent.is_multiple_of(ERA_INTERVAL);
        is_due.then(|| self.abilities())
    }

    /// Records which messages another node understands. Returns those of this node if the other had not stated
    /// its own before, and may not know them.
    pub fn apply_abilities(&self, news: &AbilityNews) -> Option<AbilityNews> {
        let is_new = self.cx.nodes.record_abilities(news);
        (is_new && self.cx.is_large_fleet()).then(|| self.abilities())
    }

    fn abilities(&self) -> AbilityNews {
        AbilityNews {
            node: self.cx.node().to_string(),
            incarnation: self.cx.incarnation,
            level: ABILITY_LEVEL,
        }
    }

    /// Returns the state of the changes of the instance list that are sent in parts.
    pub fn list_parts(&self) -> &ListPartSync {
        &self.list_parts
    }

    /// Applies changes of the instance list that the node at an address forwarded.
    pub fn apply_delta(&self, from: IpAddr, delta: InstanceListDelta) {
        let watcher = self.cx.nodes.node_at(from).filter(|_| self.cx.is_large_fleet());
        if let Some(watcher) = watcher {
            return self.list_parts.apply(&watcher, delta, Instant::now());
        }
        let hold_until = instance_list_sync::hold_until(&self.cx);
        let era = self.cx.nodes.era_at(from);
        self.cx.fleet.apply_forwarded(delta, era, hold_until, Instant::now());
    }

    /// Returns the next heartbeat.
    pub fn next_heartbeat(&self) -> NodeBeat {
        let now = Instant::now();
        let cx = &self.cx;
        // Requests that hang on broken links would keep the others from replicas that don't run them.
        let active_since = cx.reach.is_cut().then(|| now.checked_sub(ACTIVE_AGE)).flatten();
        let replica_loads = cx.loads.own_loads(active_since).into_iter();
        let loads =
            replica_loads.map(|(replica, running)| ReplicaUse { replica, running }).collect();
        let (lease_revision, lease_age) = cx.lease.renewal().unwrap_or_default();
        NodeBeat {
            node: cx.node().to_string(),
            incarnation: cx.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            phase: cx.phase(),
            caller_address: cx.settings.callers.to_string(),
            data_centre: cx.settings.data_centre.clone(),
            config_version: cx.config.version().unwrap_or(0),
            lease_term: cx.lease.term().unwrap_or(0),
            instances_revision: cx.fleet.watched_revision(),
            lease_revision,
            lease_age_ms: lease_age.as_millis() as u64,
            loads,
            downs: cx.down_reports.announced(now),
            crashes: cx.crashes.recent_marks(now),
        }
    }

    /// Applies the heartbeat of another node, unless it is no newer than the last one.
    pub fn apply_heartbeat(&self, from: IpAddr, heartbeat: NodeBeat) {
        let now = Instant::now();
        let cx = &self.cx;
        if !cx.nodes.record_heartbeat(from, heartbeat.clone(), now) {
            return;
        }
        let loads: HashMap<u64, u32> =
            heartbeat.loads.iter().map(|load| (load.replica, load.running)).collect();
        cx.loads.set_remote_loads(&heartbeat.node, loads, now);
        let refused = cx.crashes.merge(&heartbeat.crashes, now);
        crash_sync::log_refused(cx, &refused, &heartbeat.node);
        if heartbeat.instances_revision > 0 {
            let era = cx.nodes.era_at(from);
            cx.fleet.note_watcher(heartbeat.instances_revision, era, now);
            if cx.is_large_fleet() {
                self.list_parts.note_watcher(&heartbeat.node, heartbeat.instances_revision, now);
            }
        }
        self.apply_down_reports(&heartbeat);
        if heartbeat.config_version > cx.config.version().unwrap_or(0) {
            self.spawn_config_read(heartbeat.config_version);
        }
    }

    /// Marks the replicas as down that another node found to be down.
    fn apply_down_reports(&self, heartbeat: &NodeBeat) {
        let replicas = self.cx.fleet.replicas();
        for down in &heartbeat.downs {
            let Some(replica) = replicas.all().find(|r| r.hash == down.replica) else { continue };
            replica_health::mark_reported_down(&self.cx, replica, &down.member, &heartbeat.node);
        }
    }

    /// Spawns a read of the configuration, since another node has a newer version, unless one is
    /// running.
    fn spawn_config_read(&self, announced: ConfigVersion) {
        if self.is_reading_config.swap(true, Ordering::Relaxed) {
            return;
        }
        let handler = self.clone();
        tokio::spawn(async move {
            config_sync::refresh(&handler.cx, announced).await;
            sleep(handler.cx.heartbeat_period()).await;
            handler.is_reading_config.store(false, Ordering::Relaxed);
        });
    }
}
