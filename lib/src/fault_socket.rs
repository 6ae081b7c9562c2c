//! A peer socket with fault switches, for tests of real daemons; used only with `test_hooks`.

use crate::generated::operator::PeerFaults;
use crate::peer_socket::PeerExchange;
use crate::peer_socket::PeerSocket;
use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Switches of the faults; clones share them.
#[derive(Debug, Clone)]
pub struct FaultSwitches {
    faults: Arc<Mutex<PeerFaults>>,
}

impl FaultSwitches {
    /// Returns switches that are all off.
    pub fn new() -> Self {
        let faults = PeerFaults { blocked: vec![], loss: 0.0 };
        Self { faults: Arc::new(Mutex::new(faults)) }
    }

    /// Sets all switches.
    pub fn set(&self, faults: PeerFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns all switches.
    pub fn get(&self) -> PeerFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn blocks(&self, peer: SocketAddr) -> bool {
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.blocked.iter().any(|address| address.parse() == Ok(peer))
    }

    fn loses(&self) -> bool {
        let loss = self.faults.lock().unwrap_or_else(PoisonError::into_inner).loss;
        loss > 0.0 && rand::random::<f64>() < loss
    }
}

impl Default for FaultSwitches {
    fn default() -> Self {
        Self::new()
    }
}

/// A socket that drops what the switches say.
pub struct FaultSocket {
    inner: Arc<dyn PeerSocket>,
    switches: FaultSwitches,
}

impl FaultSocket {
    /// Returns a socket over another one.
    pub fn new(inner: Arc<dyn PeerSocket>, switches: FaultSwitches) -> Self {
        Self { inner, switches }
    }
}

#[async_trait]
impl PeerSocket for FaultSocket {
    async fn send_to(&self, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
        if self.switches.blocks(to) || self.switches.loses() {
            return Ok(());
        }
        self.inner.send_to(datagram, to).await
    }

    async fn recv_from(&self) -> io::Result<(Vec<u8>, SocketAddr)> {
        loop {
            let (datagram, from) = self.inner.recv_from().await?;
            if !self.switches.blocks(from) {
                return Ok((datagram, from));
            }
        }
    }

    async fn exchange(&self, to: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
        if self.switches.blocks(to) {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "blocked by a fault switch"));
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
