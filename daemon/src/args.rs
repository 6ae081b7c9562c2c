//! Command-line arguments of the daemon.

use getopts::Options;
use std::path::PathBuf;

/// Action selected by the command-line arguments.
#[derive(Debug)]
pub enum Command {
    /// Run a node with this settings file.
    Run(PathBuf),
    /// Validate this settings file and exit.
    Check(PathBuf),
    /// Run a node on the users' platform with this settings file, by default the platform's own path.
    Serve(Option<PathBuf>),
    /// Validate the settings file of a node on the users' platform and exit.
    CheckServe(Option<PathBuf>),
    /// Print the version and exit.
    Version,
    /// Print the help and exit.
    Help,
}

/// Errors in the command-line arguments.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is unknown or its value is missing.
    #[error("{0}; hint: see `guavaladderd --help`")]
    Options(#[from] getopts::Fail),
    /// An argument that isn't an option.
    #[error("unexpected argument {0:?}; hint: see `guavaladderd --help`")]
    Unexpected(String),
    /// No settings file was given.
    #[error("no settings file; hint: use `guavaladderd --config FILE`")]
    NoConfig,
}

/// Parses the arguments that follow the program name.
pub fn parse(args: impl Iterator<Item = String>) -> Result<Command, ArgsError> {
    let matches = options().parse(args)?;
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    if let Some(argument) = matches.free.first() {
        return Err(ArgsError::Unexpected(argument.clone()));
    }
    let path = matches.opt_str("config").map(PathBuf::from);
    if matches.opt_present("serve") {
        return Ok(match matches.opt_present("check") {
            true => Command::CheckServe(path),
            false => Command::Serve(path),
        });
    }
    let path = path.ok_or(ArgsError::NoConfig)?;
    match matches.opt_present("check") {
        true => Ok(Command::Check(path)),
        false => Ok(Command::Run(path)),
    }
}

/// Returns the help text.
pub fn help() -> String {
    let brief = "Usage: guavaladderd --config FILE [--check] [--serve]\n\nServes models whose replicas span \
                 several instances; see docs/operators/install.md.";
    let usage = options().usage(brief);
    format!(
        "{usage}\nExit status: 0 after a graceful shutdown, 1 on a failure, 2 on wrong arguments or settings."
    )
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "config", "settings file in JSON", "FILE");
    options.optflag("", "serve", "run on the users' platform; see docs/operators/platform.md");
    options.optflag("", "check", "check the settings file and exit");
    options.optflag("", "version", "print the version and exit");
    options.optflag("h", "help", "print this help and exit");
    options
}
