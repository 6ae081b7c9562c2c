//! Errors of the program, with their exit statuses and hints.

use crate::args::ArgsError;
use guavaladder_lib::generated::config::InForceReport;
use guavaladder_lib::generated::operator::OperatorError;
use guavaladder_lib::operator_client::OperatorClientError;
use std::io;

/// Exit status of a failure after which no change was made or the outcome is unknown.
const EXIT_FAILED: u8 = 1;
/// Exit status of wrong arguments.
const EXIT_USAGE: u8 = 2;
/// Exit status of a configuration that was rejected as invalid.
const EXIT_INVALID: u8 = 3;
/// Exit status of a conflict with another change.
const EXIT_CONFLICT: u8 = 4;
/// Exit status of a change that was accepted but is not in force on every node yet.
const EXIT_NOT_EVERYWHERE: u8 = 5;
/// Exit status of a rejected token.
const EXIT_UNAUTHORIZED: u8 = 6;

/// Errors that end the program.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The command-line arguments are wrong.
    #[error(transparent)]
    Args(#[from] ArgsError),
    /// The arguments are well-formed but don't fit the files, the environment or the state of the
    /// fleet.
    #[error("{message}; hint: {hint}")]
    Usage {
        /// Description of the error.
        message: String,
        /// Advice to the operator.
        hint: String,
    },
    /// A file could not be read or written.
    #[error("{path}: {source}; hint: check the path and its permissions")]
    File {
        /// Path of the file.
        path: String,
        /// I/O error.
        source: io::Error,
    },
    /// A call to the operator API failed.
    #[error(transparent)]
    Client(#[from] OperatorClientError),
    /// A change was accepted but is not in force on every node yet.
    #[error("version {} is accepted, in force on {} of {}", .0.version, .0.in_force, .0.members)]
    NotInForceEverywhere(InForceReport),
    /// Writing to standard output or starting the async runtime failed.
    #[error("{0}")]
    Output(#[from] io::Error),
}

impl CliError {
    /// Returns the exit status of the program for this error.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Args(_) | Self::Usage { .. } | Self::File { .. } => EXIT_USAGE,
            Self::NotInForceEverywhere(_) => EXIT_NOT_EVERYWHERE,
            Self::Client(OperatorClientError::Refused { error, .. }) => match error.code.as_str() {
                "invalid_config" => EXIT_INVALID,
                "conflict" => EXIT_CONFLICT,
                "unauthorized" => EXIT_UNAUTHORIZED,
                _ => EXIT_FAILED,
            },
            Self::Client(_) | Self::Output(_) => EXIT_FAILED,
        }
    }

    /// Prints the error, its details and a hint to standard error.
    pub fn print(&self) {
        eprintln!("error: {self}");
        match self {
            Self::Client(OperatorClientError::Refused { error, .. }) => {
                print_refusal_details(error)
            }
            Self::Client(OperatorClientError::Unreachable { .. }) => {
                eprintln!("hint: check --endpoint, or repeat it to add further nodes");
            }
            Self::Client(OperatorClientError::Malformed { .. }) => {
                eprintln!("hint: set --endpoint to the `operator_listen` address of a node");
            }
            Self::NotInForceEverywhere(report) => print_missing_nodes(report),
            _ => {}
        }
    }
}

fn print_refusal_details(error: &OperatorError) {
    for problem in &error.problems {
        eprintln!("  {problem}");
    }
    for difference in &error.differences {
        eprintln!("  {}", crate::config::render_difference(difference));
    }
    eprintln!("hint: {}", error.hint);
}

fn print_missing_nodes(report: &InForceReport) {
    for node in &report.missing {
        eprintln!("  {}: version {}, {}", node.node, node.version, node.why);
    }
    eprintln!(
        "hint: the change remains accepted and takes effect on these nodes once they respond; \
         see `guavaladder status`"
    );
}
