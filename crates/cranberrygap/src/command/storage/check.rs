//! `cranberrygap storage check`: what is in a data folder and what is wrong.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use cranberrygap_storage::check;

/// Reads a data folder, changes nothing, and says what is wrong.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The folder; its control process may run.
    #[arg(value_name = "DIR")]
    folder: PathBuf,
}

/// Runs the command; its exit code is 1 if a replica would not start there.
#[must_use]
pub fn run(arguments: &Arguments) -> ExitCode {
    let report = check::folder(&arguments.folder);
    print!("{report}");
    if report.faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
