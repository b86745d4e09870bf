//! The command line; one file a command.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

pub mod local;

/// Serves many models from fewer accelerators.
#[derive(Debug, Parser)]
#[command(name = "cranberrygap", version)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
enum Command {
    /// Run a whole fleet in this process, to try it out.
    Local(local::Arguments),
}

/// Runs the command that the arguments name.
///
/// # Errors
///
/// Whatever kept the command from its end.
pub fn run(arguments: &Arguments) -> eyre::Result<ExitCode> {
    match &arguments.command {
        Command::Local(wanted) => local::run(wanted),
    }
}
