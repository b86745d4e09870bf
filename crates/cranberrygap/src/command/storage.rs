//! `cranberrygap storage`: the data folders of control processes.

use std::process::ExitCode;

use clap::Subcommand;

pub mod check;

/// What to do with a data folder.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Say what is in a folder and what is wrong.
    Check(check::Arguments),
}

/// Runs the command.
#[must_use]
pub fn run(command: &Command) -> ExitCode {
    match command {
        Command::Check(wanted) => check::run(wanted),
    }
}
