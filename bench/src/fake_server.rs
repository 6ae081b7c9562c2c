//! HTTP server of a fake on the loopback interface, which can be killed and whose connections can
//! be stalled.

use anyhow::Context;
use anyhow::Result;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Body of a response; an error in it aborts the connection.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Result of a handler; an error aborts the connection without a response.
pub type HandlerResult = Result<Response<ResponseBody>, io::Error>;

/// Handles the requests to one server.
pub type Handler =
    Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, HandlerResult> + Send + Sync>;

/// HTTP server on a loopback port; it listens on the same port after each restart.
pub struct FakeServer {
    address: String,
    handler: Handler,
    running: Mutex<Option<Running>>,
}

struct Running {
    stop: CancellationToken,
    /// Number of times that the open connections were stalled.
    stalls: watch::Sender<u64>,
}

impl FakeServer {
    /// Starts a server on a free loopback port.
    pub async fn start(handler: Handler) -> Result<Self> {
        Self::start_on("127.0.0.1:0", handler).await
    }

    /// Starts a server on an address.
    pub async fn start_on(address: &str, handler: Handler) -> Result<Self> {
        let listener = bind(address).await?;
        let address = listener.local_addr()?.to_string();
        let running = Mutex::new(Some(serve(listener, handler.clone())));
        Ok(Self { address, handler, running })
    }

    /// Returns the address as `ip:port`.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Closes the listener and aborts its connections.
    pub fn kill(&self) {
        if let Some(running) = self.lock().take() {
            running.stop.cancel();
        }
    }

    /// Starts a killed server again on the same port.
    pub async fn revive(&self) -> Result<()> {
        if self.lock().is_some() {
            return Ok(());
        }
        let listener = bind(&self.address).await?;
        *self.lock() = Some(serve(listener, self.handler.clone()));
        Ok(())
    }

    /// Stalls all open connections for good; new connections work.
    pub fn stall_connections(&self) {
        if let Some(running) = &*self.lock() {
            running.stalls.send_modify(|count| *count += 1);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Builds a response with a JSON body.
pub fn json_response(status: u16, value: &impl serde::Serialize) -> HandlerResult {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    response(status, body.into())
}

/// Builds a response with this body.
pub fn response(status: u16, body: Bytes) -> HandlerResult {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    Response::builder().status(status).body(body).map_err(io::Error::other)
}

/// Aborts the connection instead of sending a response.
pub fn abort_connection(reason: &str) -> HandlerResult {
    Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason.to_string()))
}

/// Reads the whole body of a request.
pub async fn read_body(req: Request<Incoming>) -> Result<Bytes, io::Error> {
    let collected = req.into_body().collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

/// Returns the percent-decoded value of a query parameter.
pub fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = req.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| percent_decode(value))
}

/// Returns a numeric query parameter, or 0 if it is absent or not a number.
pub fn query_number(req: &Request<Incoming>, name: &str) -> u64 {
    query(req, name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn percent_decode(text: &str) -> String {
    let mut bytes = vec![];
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn bind(address: &str) -> Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

fn serve(listener: TcpListener, handler: Handler) -> Running {
    let stop = CancellationToken::new();
    let (stalls, _) = watch::channel(0);
    let running = Running { stop: stop.clone(), stalls: stalls.clone() };
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let connection = serve_connection(stream, handler.clone(), stalls.subscribe());
            tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
        }
    }));
    running
}

async fn serve_connection(stream: TcpStream, handler: Handler, mut stalls: watch::Receiver<u64>) {
    // Without this option the connection only has a higher latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| handler(req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // An error of a connection affects only its client.
        _ = &mut connection => {}
        // Keeps the socket open without serving it.
        Ok(()) = stalls.changed() => std::future::pending().await,
    }
}
