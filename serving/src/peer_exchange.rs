//! The messages between nodes: each sends its full current state to all others at short intervals,
//! by datagrams.
//!
//! Load pattern: at the worst load every node places requests on the same replicas at the same
//! time. Each tells the others how many it has at each, several times while an answer lasts.

use crate::config_sync;
use crate::instance_list_delta::InstanceListDelta;
use crate::instance_list_sync;
use crate::peer_codec;
use crate::peer_codec::PeerKey;
use crate::peer_codec::PeerMessage;
use crate::replica_health;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::serving_peer::NodeBeat;
use guavaladder_lib::generated::serving_peer::ReplicaUse;
use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

/// Handle to the exchange.
#[derive(Debug, Clone)]
pub struct PeerExchange {
    state: PeerState,
    key: PeerKey,
    socket: Arc<UdpSocket>,
}

/// What a node tells the others of itself, and what it does with what it hears.
#[derive(Debug, Clone)]
pub struct PeerState {
    cx: ServingCx,
    sequence: Arc<AtomicU64>,
    is_reading_config: Arc<AtomicBool>,
}

impl PeerExchange {
    /// Returns the exchange on a socket.
    pub fn new(cx: ServingCx, key: PeerKey, socket: UdpSocket) -> Self {
        Self { state: PeerState::new(cx), key, socket: Arc::new(socket) }
    }

    /// Sends messages until the task is ended.
    pub async fn send_loop(self) {
        loop {
            self.send_to_all().await;
            let now = Instant::now();
            self.state.cx.nodes.review(now, self.state.cx.beat_period());
            tokio::select! {
                () = sleep(self.state.cx.beat_period()) => {}
                () = self.state.cx.down_reports.report_added() => {}
            }
        }
    }

    /// Sends this node's state to each node.
    pub async fn send_to_all(&self) {
        self.send(PeerMessage::Beat(self.state.beat())).await;
    }

    /// Hands changes of the instance list on until the task is ended.
    pub async fn news_loop(self, mut news: mpsc::Receiver<InstanceListDelta>) {
        while let Some(news) = news.recv().await {
            self.send(PeerMessage::News(news)).await;
        }
    }

    async fn send(&self, message: PeerMessage) {
        let message = match peer_codec::encode(&message, &self.key) {
            Ok(message) if message.len() <= peer_codec::MAX_MESSAGE_LEN => message,
            Ok(message) => return log::warn!("a message of {} bytes is not sent", message.len()),
            Err(e) => return log::warn!("a message is not sent: {e}"),
        };
        for address in self.state.cx.nodes.addresses() {
            let to = SocketAddr::new(address, self.state.cx.settings.peers.port());
            if let Err(e) = self.socket.send_to(&message, to).await {
                log::debug!("a message to {to} was not sent: {e}");
            }
        }
    }

    /// Takes messages in until the task is ended.
    pub async fn receive_loop(self) {
        let mut buf = vec![0; 1 << 16];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => match peer_codec::decode(&buf[..len], &self.key) {
                    Ok(PeerMessage::Beat(beat)) => self.state.take(from.ip(), beat),
                    Ok(PeerMessage::News(news)) => {
                        let hold_until = instance_list_sync::hold_until(&self.state.cx);
                        self.state.cx.fleet.apply_delta(news, hold_until, Instant::now());
                    }
                    Err(e) => log::debug!("a message from {from} was refused: {e}"),
                },
                // An earlier datagram of ours met a closed port.
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(e) => {
                    log::debug!("receiving failed: {e}");
                    sleep(self.state.cx.beat_period()).await;
                }
            }
        }
    }
}

impl PeerState {
    /// Returns the state of a node that has told nothing yet.
    pub fn new(cx: ServingCx) -> Self {
        Self { cx, sequence: Arc::default(), is_reading_config: Arc::default() }
    }

    /// Returns the next message to all others.
    pub fn beat(&self) -> NodeBeat {
        let now = Instant::now();
        let cx = &self.cx;
        let uses = cx.loads.own_loads().into_iter();
        let loads = uses.map(|(replica, running)| ReplicaUse { replica, running }).collect();
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

    /// Takes in the message of another node.
    pub fn take(&self, from: IpAddr, beat: NodeBeat) {
        let now = Instant::now();
        let cx = &self.cx;
        if !cx.nodes.heard(from, beat.clone(), now) {
            return;
        }
        let loads: HashMap<u64, u32> =
            beat.loads.iter().map(|load| (load.replica, load.running)).collect();
        cx.loads.set_remote_loads(&beat.node, loads, now);
        cx.crashes.merge(&beat.crashes, now);
        if beat.instances_revision > 0 {
            cx.fleet.note_watcher_revision(beat.instances_revision, now);
        }
        self.take_downs(&beat);
        if beat.config_version > cx.config.version().unwrap_or(0) {
            self.read_config_again();
        }
    }

    /// Marks the replicas that another node found to be down.
    fn take_downs(&self, beat: &NodeBeat) {
        let replicas = self.cx.fleet.replicas();
        for down in &beat.downs {
            let Some(replica) = replicas.all().find(|r| r.hash == down.replica) else { continue };
            let reason = format!("told by {}", beat.node);
            replica_health::mark_replica_down(&self.cx, replica, &down.member, &reason, "peer");
        }
    }

    /// Reads the configuration at once, since another node has a newer one.
    fn read_config_again(&self) {
        if self.is_reading_config.swap(true, Ordering::Relaxed) {
            return;
        }
        let state = self.clone();
        tokio::spawn(async move {
            config_sync::refresh(&state.cx).await;
            sleep(state.cx.beat_period()).await;
            state.is_reading_config.store(false, Ordering::Relaxed);
        });
    }
}
