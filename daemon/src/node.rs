//! Starts every task of a node, waits for the stop signal, and stops the tasks in order.

use crate::signals::StopSignals;
use anyhow::Context;
use anyhow::Result;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use guavaladder_lib::clock::Clock;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::http_server::HttpListener;
use guavaladder_lib::http_server::HttpServer;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::operator_api::OperatorApi;
use std::net::UdpSocket;
use std::time::Duration;

/// Most connections of operators at once.
const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Longest time that the operators' listener gets at the end of a shutdown.
const OPERATOR_STOP: Duration = Duration::from_millis(500);

/// Runs a node until it has been stopped.
pub async fn run(settings: DaemonSettings) -> Result<()> {
    let mut signals = StopSignals::new()?;
    let metrics = metrics(&settings)?;
    let cx = Cx::new(settings, Clock::new(), metrics);

    let operators = HttpListener::bind("operator_listen", &cx.settings.operator_listen).await?;

    let api = OperatorApi::new(cx.clone());
    let operators = operators.serve(api.router(), MAX_OPERATOR_CONNECTIONS);

    let version = env!("CARGO_PKG_VERSION").to_string();
    cx.record(Event::Started { node: cx.node().to_string(), version });

    signals.next().await;
    tokio::select! {
        () = stop(&cx, operators) => {}
        () = signals.next() => log::warn!("a second signal ends the shutdown"),
    }
    Ok(())
}

/// Stops gracefully within the bound of the settings.
async fn stop(cx: &Cx, operators: HttpServer) {
    let started = cx.clock.now();
    let bound = cx.settings.shutdown;
    cx.record(Event::ShutdownStarted { node: cx.node().to_string(), bound });
    operators.stop(OPERATOR_STOP.min(bound)).await;
    let took = cx.clock.now() - started;
    cx.record(Event::ShutdownFinished { node: cx.node().to_string(), moved: 0, took });
}

/// Returns the metrics, sent to statsd where the settings name a server.
fn metrics(settings: &DaemonSettings) -> Result<Metrics> {
    let Some(address) = &settings.statsd else { return Ok(Metrics::new()) };
    let socket = UdpSocket::bind("0.0.0.0:0").context("statsd: no socket")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address.as_str(), socket).context("statsd")?;
    let sink = QueuingMetricSink::from(sink);
    Ok(Metrics::with_client(StatsdClient::from_sink("guavaladder", sink)))
}
