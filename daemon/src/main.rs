//! `guavaladderd`: the daemon, alike on each entry instance.

mod args;
mod logging;
mod node;
mod signals;

use anyhow::Result;
use args::Command;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::settings;
use std::process::ExitCode;

/// Exit status for wrong arguments and settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match args::parse(std::env::args().skip(1)) {
        Ok(command) => command,
        Err(e) => return usage_error(&e.to_string()),
    };
    match command {
        Command::Help => println!("{}", args::help()),
        Command::Version => println!("guavaladderd {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => {
            if let Err(e) = settings::read(&path) {
                return usage_error(&e.to_string());
            }
            println!("{}: the settings are valid", path.display());
        }
        Command::Run(path) => match settings::read(&path) {
            Ok(settings) => return run(settings),
            Err(e) => return usage_error(&e.to_string()),
        },
    }
    ExitCode::SUCCESS
}

fn usage_error(message: &str) -> ExitCode {
    for line in message.lines() {
        eprintln!("error: {line}");
    }
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: DaemonSettings) -> ExitCode {
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: DaemonSettings) -> Result<()> {
    logging::start(settings.log_config.as_deref())?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(node::run(settings))
}
