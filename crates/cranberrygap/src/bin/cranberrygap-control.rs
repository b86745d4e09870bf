//! The control daemon: `cranberrygap-control --settings FILE [--check]`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use cranberrygap::daemon;

/// Replicates the fleet's state and grants leases on it.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Settings file, see docs/CONFIGURATION.md.
    #[arg(long)]
    settings: PathBuf,
    /// Only check the settings and the files they name.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match daemon::control::run(&arguments.settings, arguments.check) {
        Ok(code) => code,
        Err(cause) => {
            eprintln!("cranberrygap-control: {cause:#}");
            ExitCode::FAILURE
        }
    }
}
