//! Errors of the command line, each with its exit status and a hint.

use crate::args::ArgsError;
use guavaladder_lib::generated::config::InForceReport;
use guavaladder_lib::generated::operator::OperatorError;
use guavaladder_lib::operator_client::OperatorClientError;
use std::io;

/// Exit status of a failure after which nothing was changed, or it is not known.
const EXIT_FAILED: u8 = 1;
/// Exit status of wrong arguments.
const EXIT_USAGE: u8 = 2;
/// Exit status of a refused configuration.
const EXIT_INVALID: u8 = 3;
/// Exit status of a conflict with another change.
const EXIT_CONFLICT: u8 = 4;
/// Exit status of a change that is accepted and not yet in force everywhere.
const EXIT_NOT_EVERYWHERE: u8 = 5;
/// Exit status of a refused token.
const EXIT_UNAUTHORIZED: u8 = 6;

/// Errors of the command line.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// Wrong arguments.
    #[error(transparent)]
    Args(#[from] ArgsError),
    /// Wrong use that only the state of the fleet or the environment shows.
    #[error("{message}; hint: {hint}")]
    Usage {
        /// What was found and what is allowed.
        message: String,
        /// What to do next.
        hint: String,
    },
    /// A file could not be read or written.
    #[error("{path}: {source}; hint: check the path and its permissions")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A call failed.
    #[error(transparent)]
    Client(#[from] OperatorClientError),
    /// A change was accepted and is not in force on every node.
    #[error("version {} is accepted, in force on {} of {}", .0.version, .0.in_force, .0.members)]
    NotEverywhere(InForceReport),
    /// Standard output can't be written, or the runtime can't start.
    #[error("{0}")]
    Output(#[from] io::Error),
}

impl CliError {
    /// Returns the exit status.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Args(_) | Self::Usage { .. } | Self::File { .. } => EXIT_USAGE,
            Self::NotEverywhere(_) => EXIT_NOT_EVERYWHERE,
            Self::Client(OperatorClientError::Refused { error, .. }) => match error.code.as_str() {
                "invalid_config" => EXIT_INVALID,
                "conflict" => EXIT_CONFLICT,
                "unauthorized" => EXIT_UNAUTHORIZED,
                _ => EXIT_FAILED,
            },
            Self::Client(_) | Self::Output(_) => EXIT_FAILED,
        }
    }

    /// Prints the error on standard error.
    pub fn print(&self) {
        eprintln!("error: {self}");
        match self {
            Self::Client(OperatorClientError::Refused { error, .. }) => print_details(error),
            Self::Client(OperatorClientError::Unreachable { .. }) => {
                eprintln!("hint: check --endpoint, or name further nodes with it");
            }
            Self::Client(OperatorClientError::Malformed { .. }) => {
                eprintln!("hint: name the `operator_listen` address of a node with --endpoint");
            }
            Self::NotEverywhere(report) => print_missing(report),
            _ => {}
        }
    }
}

fn print_details(error: &OperatorError) {
    for problem in &error.problems {
        eprintln!("  {problem}");
    }
    for difference in &error.differences {
        eprintln!("  {}", crate::config::render_difference(difference));
    }
    eprintln!("hint: {}", error.hint);
}

fn print_missing(report: &InForceReport) {
    for node in &report.missing {
        eprintln!("  {}: version {}, {}", node.node, node.version, node.why);
    }
    eprintln!(
        "hint: the change stands and reaches these nodes once they answer; see `guavaladder status`"
    );
}
