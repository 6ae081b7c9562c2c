//! Transport of outgoing connections: TCP, or in-process pipes, over which tests run several nodes
//! and the services around them on paused time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use tokio::io::DuplexStream;
use tokio::io::duplex;
use tokio::sync::mpsc;

/// Buffer size of a pipe in each direction.
const PIPE_CAPACITY: usize = 64 << 10;

/// Transport that outgoing connections use.
#[derive(Debug, Clone, Default)]
pub enum Network {
    /// TCP on the machine's network.
    #[default]
    Tcp,
    /// Pipes to listeners within the process.
    Pipes(PipeNetwork),
}

/// In-process network: listeners by address.
#[derive(Debug, Clone, Default)]
pub struct PipeNetwork {
    listeners: Arc<Mutex<HashMap<SocketAddr, mpsc::UnboundedSender<DuplexStream>>>>,
}

impl PipeNetwork {
    /// Returns a network without listeners.
    pub fn new() -> Self {
        Self::default()
    }

    /// Listens at an address and replaces an earlier listener there.
    pub fn listen(&self, address: SocketAddr) -> mpsc::UnboundedReceiver<DuplexStream> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.lock().insert(address, tx);
        rx
    }

    /// Removes the listener at an address, so that further connections to it are refused.
    pub fn close(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Connects to an address; returns `None` if nothing listens there.
    pub fn connect(&self, address: SocketAddr) -> Option<DuplexStream> {
        let (local, remote) = duplex(PIPE_CAPACITY);
        self.lock().get(&address)?.send(remote).ok()?;
        Some(local)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, mpsc::UnboundedSender<DuplexStream>>> {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
