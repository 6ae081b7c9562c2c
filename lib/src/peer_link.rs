//! Sending and receiving of authenticated messages between nodes; refused messages are counted.

use crate::cx::Cx;
use crate::fleet_key::FleetKey;
use crate::generated::events::Event;
use crate::generated::peer::PeerBody;
use crate::generated::peer::PeerMessage;
use crate::ids::Incarnation;
use crate::metric_names;
use crate::peer_codec;
use crate::peer_codec::PeerCodecError;
use crate::peer_socket::PeerSocket;
use crate::replay_window::ReplayWindow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Size of the IP and UDP headers of a datagram.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;
/// Overhead of a short TCP connection: about ten packets with headers of 40 bytes.
const EXCHANGE_OVERHEAD_BYTES: usize = 400;
/// Minimum interval between two events about refused messages.
const REFUSAL_EVENT_INTERVAL: Duration = Duration::from_secs(60);
/// Number of pending probes from which on abandoned ones are removed.
const MAX_PENDING_PROBES: usize = 1024;

/// Errors of exchanges with a peer.
#[derive(Debug, thiserror::Error)]
pub enum PeerLinkError {
    /// A network error occurred.
    #[error("the peer could not be reached")]
    Io(#[from] std::io::Error),
    /// The peer's message was refused, or the request could not be encoded.
    #[error("the peer's message was refused")]
    Codec(#[from] PeerCodecError),
    /// The response was not of the kind that the request requires.
    #[error("the peer's response was of an unexpected kind")]
    UnexpectedResponse,
}

/// Authenticated messaging of one node with its peers.
pub struct PeerLink {
    /// Context of the node.
    pub cx: Cx,
    socket: Arc<dyn PeerSocket>,
    key: FleetKey,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    next_probe: AtomicU64,
    replay: Mutex<ReplayWindow>,
    pending_probes: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    refused: Mutex<RefusalStats>,
}

#[derive(Debug, Default)]
struct RefusalStats {
    count: u64,
    last_event: Option<Duration>,
}

impl PeerLink {
    /// Creates a link over a socket.
    pub fn new(cx: Cx, key: FleetKey, socket: Arc<dyn PeerSocket>) -> Self {
        Self {
            incarnation: AtomicU64::new(cx.incarnation),
            cx,
            socket,
            key,
            sequence: AtomicU64::new(0),
            next_probe: AtomicU64::new(1),
            replay: Mutex::default(),
            pending_probes: Mutex::default(),
            refused: Mutex::default(),
        }
    }

    /// Sets the incarnation that outgoing messages carry.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Sends a datagram and returns the bytes used; send errors are ignored like a lost datagram.
    pub async fn send(&self, to: SocketAddr, body: PeerBody) -> usize {
        let Ok(bytes) = peer_codec::encode(&self.key, &self.message(body)) else { return 0 };
        let spent = bytes.len() + DATAGRAM_OVERHEAD_BYTES;
        self.cx.metrics.count(metric_names::PEER_BYTES_SENT, spent as i64);
        self.cx.metrics.count(metric_names::PEER_DATAGRAMS_SENT, 1);
        let _ = self.socket.send_to(&bytes, to).await;
        spent
    }

    /// Waits for the next valid datagram.
    pub async fn receive(&self) -> std::io::Result<(PeerMessage, SocketAddr)> {
        loop {
            let (bytes, from) = self.socket.recv_from().await?;
            let spent = bytes.len() + DATAGRAM_OVERHEAD_BYTES;
            self.cx.metrics.count(metric_names::PEER_BYTES_RECEIVED, spent as i64);
            match self.check(&bytes) {
                Ok(message) => return Ok((message, from)),
                Err(reason) => self.refuse(from, reason),
            }
        }
    }

    /// Sends a message over TCP and waits for the response.
    pub async fn exchange(
        &self,
        to: SocketAddr,
        body: PeerBody,
    ) -> Result<PeerMessage, PeerLinkError> {
        let request = peer_codec::encode(&self.key, &self.message(body))?;
        let sent = request.len() + EXCHANGE_OVERHEAD_BYTES;
        self.cx.metrics.count(metric_names::PEER_BYTES_SENT, sent as i64);
        self.cx.metrics.count(metric_names::PEER_EXCHANGES, 1);
        let response = self.socket.exchange(to, &request).await?;
        let received = response.len() + EXCHANGE_OVERHEAD_BYTES;
        self.cx.metrics.count(metric_names::PEER_BYTES_RECEIVED, received as i64);
        let checked = self.check(&response);
        if let Err(reason) = &checked {
            self.refuse(to, *reason);
        }
        Ok(checked?)
    }

    /// Serves one exchange; `reply_to` must not block.
    pub async fn serve_exchange(
        &self,
        reply_to: &(dyn Fn(PeerMessage) -> Option<PeerBody> + Send + Sync),
    ) -> std::io::Result<()> {
        let exchange = self.socket.accept().await?;
        let received = exchange.request.len() + EXCHANGE_OVERHEAD_BYTES;
        self.cx.metrics.count(metric_names::PEER_BYTES_RECEIVED, received as i64);
        let message = match self.check(&exchange.request) {
            Ok(message) => message,
            Err(reason) => {
                self.refuse(exchange.from, reason);
                return Ok(());
            }
        };
        let Some(body) = reply_to(message) else { return Ok(()) };
        if let Ok(bytes) = peer_codec::encode(&self.key, &self.message(body)) {
            let sent = bytes.len() + EXCHANGE_OVERHEAD_BYTES;
            self.cx.metrics.count(metric_names::PEER_BYTES_SENT, sent as i64);
            let _ = exchange.reply.send(bytes);
        }
        Ok(())
    }

    /// Registers a new probe; returns its number and a receiver that resolves on its ack.
    pub fn register_probe(&self) -> (u64, oneshot::Receiver<()>) {
        let probe = self.next_probe.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let mut pending = self.pending_probes.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.len() >= MAX_PENDING_PROBES {
            pending.retain(|_, tx| !tx.is_closed());
        }
        pending.insert(probe, tx);
        (probe, rx)
    }

    /// Resolves a probe whose ack was received.
    pub fn complete_probe(&self, probe: u64) {
        let tx = self.pending_probes.lock().unwrap_or_else(PoisonError::into_inner).remove(&probe);
        if let Some(tx) = tx {
            let _ = tx.send(());
        }
    }

    /// Removes a pending probe.
    pub fn remove_probe(&self, probe: u64) {
        self.pending_probes.lock().unwrap_or_else(PoisonError::into_inner).remove(&probe);
    }

    fn message(&self, body: PeerBody) -> PeerMessage {
        PeerMessage {
            sender: self.cx.node().to_string(),
            incarnation: self.incarnation.load(Ordering::Relaxed),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
            body,
        }
    }

    fn check(&self, bytes: &[u8]) -> Result<PeerMessage, PeerCodecError> {
        let message = peer_codec::decode(&self.key, bytes)?;
        let mut replay = self.replay.lock().unwrap_or_else(PoisonError::into_inner);
        match replay.accept(&message.sender, message.incarnation, message.sequence) {
            true => Ok(message),
            false => Err(PeerCodecError::Replayed),
        }
    }

    fn refuse(&self, from: SocketAddr, reason: PeerCodecError) {
        let name = match reason {
            PeerCodecError::UnknownVersion(_) => metric_names::PEER_REFUSED_VERSION,
            PeerCodecError::WrongKey => metric_names::PEER_REFUSED_KEY,
            PeerCodecError::Replayed => metric_names::PEER_REFUSED_REPLAY,
            PeerCodecError::Truncated | PeerCodecError::Malformed | PeerCodecError::Unencodable => {
                metric_names::PEER_REFUSED_MALFORMED
            }
        };
        self.cx.metrics.count(name, 1);
        if reason == PeerCodecError::Replayed {
            return;
        }
        let now = self.cx.clock.now();
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        refused.count += 1;
        let is_due = refused.last_event.is_none_or(|last| now >= last + REFUSAL_EVENT_INTERVAL);
        if is_due {
            refused.last_event = Some(now);
            self.cx.record(Event::PeerMessageRefused {
                peer: from.to_string(),
                reason: reason.to_string(),
                refused_so_far: refused.count,
            });
        }
    }
}
