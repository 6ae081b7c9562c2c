//! Answers of instances that arrive after their requests were given up.
//!
//! A caller leaves, a deadline passes, or another replica responds first, while an instance refuses the request
//! and asks this node for time, or states that it leaves. That binds this node, whoever is still interested in the
//! answer. So the connection is closed a little later, and the head of an answer that arrives until then is
//! recorded.

use crate::connection::CallError;
use crate::connection::Connection;
use crate::instance_notices;
use crate::instance_notices::InstanceAnswer;
use crate::rate_limits::RunHash;
use crate::replica_set::Replica;
use crate::serving_cx::ServingCx;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use std::pin::Pin;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::time::Instant;
use tokio::time::timeout;

/// Time for which an answer is awaited after its request was given up. The instance may work on the request until
/// then.
const LISTEN_TIME: Duration = Duration::from_millis(50);

/// The connection of a request and the head of its answer.
pub type Answered = (Connection, Result<Response<Incoming>, CallError>);

/// An answer that is awaited; dropping it gives the request up.
pub struct AwaitedAnswer {
    cx: ServingCx,
    /// Run of the instance; `None` if the request goes to another node.
    run: Option<RunHash>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// `None` once it has ended.
    exchange: Option<Pin<Box<dyn Future<Output = Answered> + Send>>>,
}

impl AwaitedAnswer {
    /// Sends a request to a replica.
    pub fn new(
        cx: &ServingCx,
        replica: &Replica,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
    ) -> Self {
        let exchange = Box::pin(async move {
            let answer = connection.send(req).await;
            (connection, answer)
        });
        let run = (!replica.is_node).then_some(replica.run);
        Self { cx: cx.clone(), run, sent_at: Instant::now(), exchange: Some(exchange) }
    }

    /// Waits for the head of the answer; forever if it was received before.
    pub async fn receive(&mut self) -> Answered {
        let answered = match &mut self.exchange {
            Some(exchange) => exchange.await,
            None => std::future::pending().await,
        };
        self.exchange = None;
        answered
    }
}

impl Drop for AwaitedAnswer {
    fn drop(&mut self) {
        let (Some(exchange), Some(run)) = (self.exchange.take(), self.run) else { return };
        // A node that has ended has no runtime.
        let Ok(runtime) = Handle::try_current() else { return };
        let (cx, sent_at) = (self.cx.clone(), self.sent_at);
        runtime.spawn(async move {
            if let Ok((_connection, Ok(response))) = timeout(LISTEN_TIME, exchange).await {
                let status = response.status();
                let head = cx.dialect.decode_response_head(status, response.headers());
                let answer = InstanceAnswer { sent_at, status, is_run: head.is_run() };
                instance_notices::record(&cx, run, &head.notice, answer);
            }
        });
    }
}
