//! The network edge between nodes: datagrams, and exchanges of larger messages.

use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Largest message of an exchange in bytes.
pub const MAX_EXCHANGE_BYTES: usize = 16 * 1024 * 1024;

/// An exchange that a peer began and that waits for its answer.
#[derive(Debug)]
pub struct PeerExchange {
    /// Message of the peer.
    pub request: Vec<u8>,
    /// Address that the peer's connection came from.
    pub from: SocketAddr,
    /// Takes the answer; dropped unanswered, it ends the exchange.
    pub reply: oneshot::Sender<Vec<u8>>,
}

/// The network between nodes; the real one is UDP and TCP, tests use one that loses and reorders.
#[async_trait]
pub trait PeerSocket: Send + Sync {
    /// Sends one datagram; it may be lost.
    async fn send_to(&self, datagram: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Waits for a datagram and returns its sender.
    async fn recv_from(&self) -> io::Result<(Vec<u8>, SocketAddr)>;

    /// Sends a message of any size to a peer and waits for its answer.
    async fn exchange(&self, to: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>>;

    /// Waits for an exchange that a peer begins.
    async fn accept(&self) -> io::Result<PeerExchange>;

    /// Returns the local address.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}
