//! The datagram edge between nodes.

use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;

/// A datagram socket; the real one is UDP, tests use one that loses and reorders.
#[async_trait]
pub trait PeerSocket: Send + Sync {
    /// Sends one datagram; it may be lost.
    async fn send_to(&self, datagram: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Waits for a datagram and returns its sender.
    async fn recv_from(&self) -> io::Result<(Vec<u8>, SocketAddr)>;

    /// Returns the local address.
    fn local_addr(&self) -> io::Result<SocketAddr>;
}
