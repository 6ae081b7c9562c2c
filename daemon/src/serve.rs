//! Runs a node on the users' platform until it receives a stop signal.

use crate::signals::StopSignals;
use anyhow::Result;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::log_queue::DroppedLines;
use guavaladder_lib::log_queue::QueuedLogger;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_serving::serving_cx::ServingCx;
use guavaladder_serving::serving_node::ServingNode;
use guavaladder_serving::serving_settings;
use guavaladder_serving::serving_settings::ServingSettings;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::interval;

/// Interval at which the number of dropped log lines is copied to the metrics.
const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node with settings that were read from `path`.
pub fn run(path: PathBuf, settings: ServingSettings) -> Result<()> {
    let log = QueuedLogger::new(settings.log_level, settings.log_format, std::io::stdout())?;
    let dropped = log.dropped();
    log.install()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let served = runtime.block_on(serve(path, settings, dropped));
    drop(runtime);
    log::logger().flush();
    served
}

async fn serve(path: PathBuf, settings: ServingSettings, dropped: DroppedLines) -> Result<()> {
    let mut stops = StopSignals::new()?;
    let mut reloads = signal(SignalKind::hangup())?;
    let mut ticks = interval(DROPPED_LINES_INTERVAL);
    let node = ServingNode::start(settings, Arc::new(PlatformDialect::new())).await?;
    loop {
        tokio::select! {
            () = stops.next() => break,
            _ = reloads.recv() => reload(&node.cx, &path),
            _ = ticks.tick() => node.cx.metrics.log_lines_dropped(dropped.get()),
        }
    }
    node.stop().await;
    Ok(())
}

/// Reads the settings file again and records whether it is valid.
///
/// The settings name listeners, the store and limits of the platform, which can't change while the
/// node runs, so a changed file only takes effect at the next start.
fn reload(cx: &ServingCx, path: &std::path::Path) {
    let outcome = match serving_settings::read(path) {
        Ok(settings) if settings == *cx.settings => "unchanged".to_string(),
        Ok(_) => "valid; takes effect at the next start".to_string(),
        Err(e) => format!("refused: {e}"),
    };
    cx.log.record(Event::SettingsReloaded { node: cx.node().to_string(), outcome });
}
