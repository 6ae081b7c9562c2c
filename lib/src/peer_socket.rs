//! Network interface between nodes: datagrams, and request-response exchanges of larger messages.

use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Maximum size of a message of an exchange in bytes.
pub const MAX_EXCHANGE_BYTES: usize = 16 * 1024 * 1024;

/// An exchange started by a peer that is waiting for the response.
#[derive(Debug)]
pub struct PeerExchange {
    /// Request of the peer.
    pub request: Vec<u8>,
    /// Source address of the peer's connection.
    pub from: SocketAddr,
    /// Sends the response; dropping it without one ends the exchange.
    pub reply: oneshot::Sender<Vec<u8>>,
}

/// Network between nodes: UDP and TCP in production, a network with loss and reordering in tests.
#[async_trait]
pub trait PeerSocket: Send + Sync {
    /// Sends one datagram; it may be lost.
    async fn send_to(&self, datagram: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Waits for a datagram and returns its sender.
    async fn recv_from(&self) -> io::Result<(Vec<u8>, SocketAddr)>;

    /// Sends a message of up to [`MAX_EXCHANGE_BYTES`] to a peer and waits for the response.
    async fn exchange(&self, to: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>>;

    /// Waits for the next exchange started by a peer.
    async fn accept(&self) -> io::Result<PeerExchange>;

    /// Returns the local address.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}
