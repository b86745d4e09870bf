//! `cranberrygap completions`: words that a shell completes.

use std::process::ExitCode;

use clap::{Args, CommandFactory as _};
use clap_complete::Shell;

/// Prints the completion script of a shell, to be sourced by it.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The shell.
    shell: Shell,
}

/// Prints the script.
#[must_use]
pub fn run(arguments: &Arguments) -> ExitCode {
    let mut command = super::Arguments::command();
    let mut output = std::io::stdout();
    clap_complete::generate(arguments.shell, &mut command, "cranberrygap", &mut output);
    ExitCode::SUCCESS
}
