//! `guavaladder`: command-line client for operators. It calls the operator API of any node.

mod args;
mod change;
mod config;
mod connection;
mod error;
mod exception;
mod help;
mod log;
mod output;
mod service;
mod subcommands;
mod view;

use args::Command;
use args::Invocation;
use error::CliError;
use guavaladder_lib::token_hash::hash_token;
use std::process::ExitCode;
use subcommands::Subcommand;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            e.print();
            ExitCode::from(e.exit_status())
        }
    }
}

fn run() -> Result<(), CliError> {
    match args::parse(std::env::args().skip(1))? {
        Command::Print(text) => output::print(&text),
        Command::Run(invocation) => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(dispatch(&invocation))
        }
    }
}

async fn dispatch(invocation: &Invocation) -> Result<(), CliError> {
    if invocation.subcommand == Subcommand::TokenHash {
        return output::print(&hash_token(&connection::token(invocation)?));
    }
    if invocation.subcommand == Subcommand::LogExplain {
        return log::explain(invocation);
    }
    if invocation.subcommand == Subcommand::LogAccount {
        return log::account(invocation);
    }
    let client = connection::client(invocation)?;
    match invocation.subcommand {
        Subcommand::Status => view::status(&client, invocation).await,
        Subcommand::ConfigGet => config::get(&client).await,
        Subcommand::ConfigDiff => config::diff(&client, invocation).await,
        Subcommand::ConfigApply => config::apply(&client, invocation).await,
        Subcommand::ConfigHistory => config::history(&client, invocation).await,
        Subcommand::ServiceCreate => service::create(&client, invocation).await,
        Subcommand::ServiceList => service::list(&client, invocation).await,
        Subcommand::ServiceShow => service::show(&client, invocation).await,
        Subcommand::ExceptionAdd => exception::add(&client, invocation).await,
        Subcommand::ExceptionList => exception::list(&client, invocation).await,
        Subcommand::ExceptionRemove => exception::remove(&client, invocation).await,
        Subcommand::InstanceList => view::instances(&client, invocation).await,
        Subcommand::Why => view::why(&client, invocation).await,
        Subcommand::ReportBurn => view::report_burn(&client, invocation).await,
        Subcommand::TokenHash | Subcommand::LogExplain | Subcommand::LogAccount => Ok(()),
    }
}
