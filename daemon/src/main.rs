//! `guavaladderd`: the daemon that runs on each entry instance.

mod args;
mod logging;
mod node;
mod serve;
mod signals;

use anyhow::Result;
use args::Command;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::settings;
use guavaladder_serving::serving_settings;
use std::process::ExitCode;

/// Exit status for invalid arguments or settings.
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
        Command::CheckServe(path) => {
            let path = path.unwrap_or_else(guavaladder_platform::settings_path);
            if let Err(e) = serving_settings::read(&path) {
                return usage_error(&e.to_string());
            }
            println!("{}: the settings are valid", path.display());
        }
        Command::Serve(path) => {
            let path = path.unwrap_or_else(guavaladder_platform::settings_path);
            match serving_settings::read(&path) {
                Ok(settings) => return exit_code(serve::run(path, settings)),
                Err(e) => return usage_error(&e.to_string()),
            }
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
    exit_code(run_node(settings))
}

fn exit_code(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_node(settings: DaemonSettings) -> Result<()> {
    logging::start(settings.log_config.as_deref())?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(node::run(settings))
}
