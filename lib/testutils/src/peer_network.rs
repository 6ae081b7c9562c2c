//! An in-memory network between nodes that loses, delays, reorders and duplicates datagrams.

use async_trait::async_trait;
use guavaladder_lib::peer_socket::PeerExchange;
use guavaladder_lib::peer_socket::PeerSocket;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Faults of the network.
#[derive(Debug, Clone, PartialEq)]
pub struct NetworkFaults {
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Fraction of the datagrams that are delivered twice.
    pub duplication: f64,
    /// Minimum delivery delay.
    pub min_delay: Duration,
    /// Maximum delivery delay; varying delays reorder datagrams.
    pub max_delay: Duration,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            min_delay: Duration::from_millis(1),
            max_delay: Duration::from_millis(2),
        }
    }
}

struct State {
    rng: StdRng,
    faults: NetworkFaults,
    blocked: BTreeSet<(SocketAddr, SocketAddr)>,
    inboxes: BTreeMap<SocketAddr, Inbox>,
    bytes_sent: BTreeMap<SocketAddr, u64>,
}

#[derive(Clone)]
struct Inbox {
    datagrams: mpsc::UnboundedSender<(Vec<u8>, SocketAddr)>,
    exchanges: mpsc::UnboundedSender<PeerExchange>,
}

/// Handle to the network; clones share one state.
#[derive(Clone)]
pub struct PeerNetwork {
    state: Arc<Mutex<State>>,
}

struct NetworkSocket {
    address: SocketAddr,
    network: PeerNetwork,
    datagrams: tokio::sync::Mutex<mpsc::UnboundedReceiver<(Vec<u8>, SocketAddr)>>,
    exchanges: tokio::sync::Mutex<mpsc::UnboundedReceiver<PeerExchange>>,
}

impl PeerNetwork {
    /// Creates a network without faults; `seed` determines later random faults and delays.
    pub fn new(seed: u64) -> Self {
        let state = State {
            rng: StdRng::seed_from_u64(seed),
            faults: NetworkFaults::default(),
            blocked: BTreeSet::new(),
            inboxes: BTreeMap::new(),
            bytes_sent: BTreeMap::new(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Opens the socket of an address, which disconnects any earlier socket of that address.
    pub fn socket(&self, address: SocketAddr) -> Arc<dyn PeerSocket> {
        let (datagrams, datagrams_rx) = mpsc::unbounded_channel();
        let (exchanges, exchanges_rx) = mpsc::unbounded_channel();
        self.lock().inboxes.insert(address, Inbox { datagrams, exchanges });
        Arc::new(NetworkSocket {
            address,
            network: self.clone(),
            datagrams: tokio::sync::Mutex::new(datagrams_rx),
            exchanges: tokio::sync::Mutex::new(exchanges_rx),
        })
    }

    /// Removes an address from the network.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().inboxes.remove(&address);
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: NetworkFaults) {
        self.lock().faults = faults;
    }

    /// Blocks datagrams in one direction, and exchanges in both.
    pub fn block(&self, from: SocketAddr, to: SocketAddr) {
        self.lock().blocked.insert((from, to));
    }

    /// Partitions the network: blocks all traffic between two sets of addresses.
    pub fn split(&self, a: &[SocketAddr], b: &[SocketAddr]) {
        for one in a {
            for other in b {
                self.block(*one, *other);
                self.block(*other, *one);
            }
        }
    }

    /// Removes all blocks.
    pub fn heal(&self) {
        self.lock().blocked.clear();
    }

    /// Delivers a datagram with an arbitrary sender address, bypassing the faults.
    pub fn inject(&self, datagram: &[u8], from: SocketAddr, to: SocketAddr) {
        if let Some(inbox) = self.lock().inboxes.get(&to) {
            let _ = inbox.datagrams.send((datagram.to_vec(), from));
        }
    }

    /// Returns the total size of the datagrams that an address has sent.
    pub fn bytes_sent(&self, address: SocketAddr) -> u64 {
        self.lock().bytes_sent.get(&address).copied().unwrap_or(0)
    }

    /// Returns a delivery delay for each copy of a datagram; empty if it is lost or blocked.
    fn delays(&self, from: SocketAddr, to: SocketAddr, bytes: usize) -> Vec<Duration> {
        let mut state = self.lock();
        *state.bytes_sent.entry(from).or_default() += bytes as u64;
        if state.blocked.contains(&(from, to)) {
            return vec![];
        }
        let faults = state.faults.clone();
        let is_lost = state.rng.random::<f64>() < faults.loss;
        let is_duplicated = state.rng.random::<f64>() < faults.duplication;
        let copies = if is_lost { 0 } else { 1 + usize::from(is_duplicated) };
        let span = faults.max_delay.saturating_sub(faults.min_delay);
        (0..copies).map(|_| faults.min_delay + span.mul_f64(state.rng.random::<f64>())).collect()
    }

    fn inbox(&self, address: SocketAddr) -> Option<Inbox> {
        self.lock().inboxes.get(&address).cloned()
    }

    fn is_connected(&self, a: SocketAddr, b: SocketAddr) -> bool {
        let state = self.lock();
        !state.blocked.contains(&(a, b)) && !state.blocked.contains(&(b, a))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl PeerSocket for NetworkSocket {
    async fn send_to(&self, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
        for delay in self.network.delays(self.address, to, datagram.len()) {
            let network = self.network.clone();
            let from = self.address;
            let datagram = datagram.to_vec();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                if let Some(inbox) = network.inbox(to) {
                    let _ = inbox.datagrams.send((datagram, from));
                }
            });
        }
        Ok(())
    }

    async fn recv_from(&self) -> io::Result<(Vec<u8>, SocketAddr)> {
        let received = self.datagrams.lock().await.recv().await;
        received.ok_or_else(|| io::Error::from(io::ErrorKind::BrokenPipe))
    }

    async fn exchange(&self, to: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
        let delay = self.network.lock().faults.max_delay;
        tokio::time::sleep(delay).await;
        let inbox = self.network.inbox(to).filter(|_| self.network.is_connected(self.address, to));
        let Some(inbox) = inbox else {
            tokio::time::sleep(EXCHANGE_TIMEOUT).await;
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        };
        let (reply, response) = oneshot::channel();
        let exchange = PeerExchange { request: request.to_vec(), from: self.address, reply };
        let _ = inbox.exchanges.send(exchange);
        let response = tokio::time::timeout(EXCHANGE_TIMEOUT, response).await;
        let response = response.map_err(io::Error::from)?;
        tokio::time::sleep(delay).await;
        response.map_err(|_| io::Error::from(io::ErrorKind::ConnectionReset))
    }

    async fn accept(&self) -> io::Result<PeerExchange> {
        let received = self.exchanges.lock().await.recv().await;
        received.ok_or_else(|| io::Error::from(io::ErrorKind::BrokenPipe))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}
