//! Network transport between nodes: UDP for datagrams, and one TCP connection per exchange.

use crate::peer_socket::MAX_EXCHANGE_BYTES;
use crate::peer_socket::PeerExchange;
use crate::peer_socket::PeerSocket;
use async_trait::async_trait;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Size of the receive buffer in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of exchanges served concurrently; further connections wait in the kernel's backlog.
const MAX_SERVED_EXCHANGES: usize = 32;
/// Maximum size in bytes of a request, which is read before its sender is authenticated.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;
/// Delay before accepting again after an error such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Peer socket with a UDP socket and a TCP listener on the same address.
pub struct UdpPeerSocket {
    udp: UdpSocket,
    exchanges: Mutex<mpsc::Receiver<PeerExchange>>,
}

impl UdpPeerSocket {
    /// Binds UDP and TCP to an address and starts accepting connections.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let udp = UdpSocket::bind(listener.local_addr()?).await?;
        let (tx, rx) = mpsc::channel(MAX_SERVED_EXCHANGES);
        tokio::spawn(accept_connections(listener, tx));
        Ok(Self { udp, exchanges: Mutex::new(rx) })
    }
}

#[async_trait]
impl PeerSocket for UdpPeerSocket {
    async fn send_to(&self, datagram: &[u8], to: SocketAddr) -> io::Result<()> {
        self.udp.send_to(datagram, to).await.map(|_| ())
    }

    async fn recv_from(&self) -> io::Result<(Vec<u8>, SocketAddr)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        let (len, from) = self.udp.recv_from(&mut buf).await?;
        Ok((buf[..len].to_vec(), from))
    }

    async fn exchange(&self, to: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
        let run = async {
            let mut stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            write_frame(&mut stream, request).await?;
            read_frame(&mut stream, MAX_EXCHANGE_BYTES).await
        };
        timeout(EXCHANGE_TIMEOUT, run).await.map_err(io::Error::from)?
    }

    async fn accept(&self) -> io::Result<PeerExchange> {
        let received = self.exchanges.lock().await.recv().await;
        received.ok_or_else(|| io::Error::from(io::ErrorKind::BrokenPipe))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }
}

async fn accept_connections(listener: TcpListener, tx: mpsc::Sender<PeerExchange>) {
    let permits = Arc::new(Semaphore::new(MAX_SERVED_EXCHANGES));
    while !tx.is_closed() {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = tx.closed() => return,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let tx = tx.clone();
        tokio::spawn(async move {
            let _ = timeout(EXCHANGE_TIMEOUT, serve_exchange(stream, from, tx)).await;
            drop(permit);
        });
    }
}

async fn serve_exchange(
    mut stream: TcpStream,
    from: SocketAddr,
    tx: mpsc::Sender<PeerExchange>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let request = read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
    let (reply, response) = oneshot::channel();
    let exchange = PeerExchange { request, from, reply };
    if tx.send(exchange).await.is_err() {
        return Ok(());
    }
    match response.await {
        Ok(response) => write_frame(&mut stream, &response).await,
        Err(_) => Ok(()),
    }
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(frame).await?;
    stream.flush().await
}

async fn read_frame(stream: &mut TcpStream, max_len: usize) -> io::Result<Vec<u8>> {
    let len = stream.read_u32().await? as usize;
    if len > max_len {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    // The buffer grows with the received data, so a false length doesn't allocate memory up front.
    let mut frame = Vec::new();
    stream.take(len as u64).read_to_end(&mut frame).await?;
    if frame.len() < len {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    Ok(frame)
}
