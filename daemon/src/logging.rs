//! Configures log4rs from the file given in the settings, or else to log to standard error.

use anyhow::Context;
use anyhow::Result;
use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Deserializers;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;
use std::io::Write;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Line format on standard error: time, level, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Whether a failed log write has already been reported.
static HAS_REPORTED_WRITE_ERROR: AtomicBool = AtomicBool::new(false);

/// Installs the global logger.
pub fn start(log_config: Option<&str>) -> Result<()> {
    let config = match log_config {
        Some(file) => log4rs::config::load_config_file(file, Deserializers::default())
            .with_context(|| {
                format!("log_config: {file}; hint: see docs/operators/logs_and_metrics.md")
            })?,
        None => stderr_config()?,
    };
    log4rs::config::init_config_with_err_handler(config, Box::new(report_write_error))?;
    Ok(())
}

fn stderr_config() -> Result<Config> {
    let encoder = Box::new(PatternEncoder::new(PATTERN));
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let appender = Appender::builder().build("stderr", Box::new(appender));
    let root = Root::builder().appender("stderr").build(LevelFilter::Info);
    Ok(Config::builder().appender(appender).build(root)?)
}

/// Reports only the first failed log write to standard error: a full disk must neither stop the daemon
/// nor flood standard error.
fn report_write_error(e: &anyhow::Error) {
    if !HAS_REPORTED_WRITE_ERROR.swap(true, Ordering::Relaxed) {
        let _ = writeln!(
            std::io::stderr(),
            "error: can't write to the log ({e}); the daemon keeps running"
        );
    }
}
