//! The process edge of outgoing connections: TCP, or pipes within the process, with which tests run
//! several nodes and their surroundings on paused time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::io::DuplexStream;
use tokio::io::duplex;
use tokio::sync::mpsc;

/// Bytes that a pipe holds in each direction.
const PIPE_BYTES: usize = 64 << 10;

/// Where outgoing connections go.
#[derive(Debug, Clone, Default)]
pub enum Network {
    /// The instance's network.
    #[default]
    Tcp,
    /// Listeners within the process.
    Pipes(PipeNetwork),
}

/// Listeners within the process, by address.
#[derive(Debug, Clone, Default)]
pub struct PipeNetwork {
    listeners: Arc<Mutex<HashMap<SocketAddr, mpsc::UnboundedSender<DuplexStream>>>>,
}

impl PipeNetwork {
    /// Returns a network without listeners.
    pub fn new() -> Self {
        Self::default()
    }

    /// Listens at an address; a listener that was there before is replaced.
    pub fn listen(&self, address: SocketAddr) -> mpsc::UnboundedReceiver<DuplexStream> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.lock().insert(address, tx);
        rx
    }

    /// Ends the listener at an address: connections to it are refused from now on.
    pub fn close(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Connects to an address; `None` when nothing listens there.
    pub fn connect(&self, address: SocketAddr) -> Option<DuplexStream> {
        let (near, far) = duplex(PIPE_BYTES);
        self.lock().get(&address)?.send(far).ok()?;
        Some(near)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, mpsc::UnboundedSender<DuplexStream>>> {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
