//! A peer socket with fault injection, for tests that run real daemons.
//!
//! Only used when the setting `test_hooks` is on.

use crate::generated::operator::PeerFaults;
use crate::peer_socket::PeerExchange;
use crate::peer_socket::PeerSocket;
use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Faults to inject into a socket; clones share the state.
#[derive(Debug, Clone)]
pub struct InjectedFaults {
    faults: Arc<Mutex<PeerFaults>>,
}

impl InjectedFaults {
    /// Returns a state in which no faults are injected.
    pub fn new() -> Self {
        let faults = PeerFaults { blocked: vec![], loss: 0.0 };
        Self { faults: Arc::new(Mutex::new(faults)) }
    }

    /// Replaces all faults.
    pub fn set(&self, faults: PeerFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the current faults.
    pub fn get(&self) -> PeerFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn is_blocked(&self, peer: SocketAddr) -> bool {
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.blocked.iter().any(|address| address.parse() == Ok(peer))
    }

    fn is_lost(&self) -> bool {
        let loss = self.faults.lock().unwrap_or_else(PoisonError::into_inner).loss;
        loss > 0.0 && rand::random::<f64>() < loss
    }
}

impl Default for InjectedFaults {
    fn default() -> Self {
        Self::new()
    }
}

/// A socket that drops messages as the injected faults require.
///
/// Datagrams to and from blocked addresses are dropped, and exchanges with them fail as timed out.
/// Random loss only affects datagrams that are sent.
pub struct FaultSocket {
    inner: Arc<dyn PeerSocket>,
    faults: InjectedFaults,
}

impl FaultSocket {
    /// Wraps a socket.
    pub fn new(inner: Arc<dyn PeerSocket>, faults: InjectedFaults) -> Self {
        Self { inner, faults }
    }
}

#[async_trait]
impl PeerSocket for FaultSocket {
    async fn send_to(&self, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
        if self.faults.is_blocked(to) || self.faults.is_lost() {
            return Ok(());
        }
        self.inner.send_to(datagram, to).await
    }

    async fn recv_from(&self) -> io::Result<(Vec<u8>, SocketAddr)> {
        loop {
            let (datagram, from) = self.inner.recv_from().await?;
            if !self.faults.is_blocked(from) {
                return Ok((datagram, from));
            }
        }
    }

    async fn exchange(&self, to: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
        if self.faults.is_blocked(to) {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "blocked by fault injection"));
        }
        self.inner.exchange(to, request).await
    }

    async fn accept(&self) -> io::Result<PeerExchange> {
        self.inner.accept().await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }
}
