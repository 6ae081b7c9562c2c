//! One loopback listener of a stand-in, which can be killed and whose connections can go silent.

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

/// Body of an answer; an error in it cuts the connection.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// An answer; an error cuts the connection without one.
pub type Answer = Result<Response<AnswerBody>, io::Error>;

/// What answers the requests of one listener.
pub type AnswerFn = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Answer> + Send + Sync>;

/// A listener on a loopback port that it keeps across kills.
pub struct StandinServer {
    address: String,
    answer: AnswerFn,
    running: Mutex<Option<Running>>,
}

struct Running {
    stop: CancellationToken,
    /// Counts the times at which all open connections went silent.
    silence: watch::Sender<u64>,
}

impl StandinServer {
    /// Starts a listener on a free loopback port.
    pub async fn start(answer: AnswerFn) -> Result<Self> {
        Self::start_on("127.0.0.1:0", answer).await
    }

    /// Starts a listener on an address.
    pub async fn start_on(address: &str, answer: AnswerFn) -> Result<Self> {
        let listener = bind(address).await?;
        let address = listener.local_addr()?.to_string();
        let running = Mutex::new(Some(serve(listener, answer.clone())));
        Ok(Self { address, answer, running })
    }

    /// Returns the address as `ip:port`.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Closes the listener and cuts its connections.
    pub fn kill(&self) {
        if let Some(running) = self.lock().take() {
            running.stop.cancel();
        }
    }

    /// Starts the listener again on its port.
    pub async fn revive(&self) -> Result<()> {
        if self.lock().is_some() {
            return Ok(());
        }
        let listener = bind(&self.address).await?;
        *self.lock() = Some(serve(listener, self.answer.clone()));
        Ok(())
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn go_silent(&self) {
        if let Some(running) = &*self.lock() {
            running.silence.send_modify(|count| *count += 1);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Builds an answer with a JSON body.
pub fn json(status: u16, value: &impl serde::Serialize) -> Answer {
    let body = serde_json::to_vec(value).map_err(io::Error::other)?;
    whole(status, body.into())
}

/// Builds an answer with these bytes.
pub fn whole(status: u16, body: Bytes) -> Answer {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    Response::builder().status(status).body(body).map_err(io::Error::other)
}

/// Cuts the connection instead of answering.
pub fn cut(reason: &str) -> Answer {
    Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason.to_string()))
}

/// Reads the whole body of a request.
pub async fn read_body(req: Request<Incoming>) -> Result<Bytes, io::Error> {
    let collected = req.into_body().collect().await.map_err(io::Error::other)?;
    Ok(collected.to_bytes())
}

/// Returns a decoded query parameter.
pub fn query(req: &Request<Incoming>, name: &str) -> Option<String> {
    let pairs = req.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map(|(_, value)| decode(value))
}

/// Returns a number from the query, or 0.
pub fn query_number(req: &Request<Incoming>, name: &str) -> u64 {
    query(req, name).and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn decode(text: &str) -> String {
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

fn serve(listener: TcpListener, answer: AnswerFn) -> Running {
    let stop = CancellationToken::new();
    let (silence, _) = watch::channel(0);
    let running = Running { stop: stop.clone(), silence: silence.clone() };
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let connection = serve_connection(stream, answer.clone(), silence.subscribe());
            tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
        }
    }));
    running
}

async fn serve_connection(stream: TcpStream, answer: AnswerFn, mut silence: watch::Receiver<u64>) {
    // A connection without this option is slower but works.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| answer(req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A broken connection concerns only its client.
        _ = &mut connection => {}
        // The socket stays open and nobody serves it any more.
        Ok(()) = silence.changed() => std::future::pending().await,
    }
}
