//! The entry daemon: `cranberrygap-entry --settings FILE [--check]`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use cranberrygap::daemon;

/// Takes callers' requests and passes them on to endpoints.
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
    match daemon::entry::run(&arguments.settings, arguments.check) {
        Ok(code) => code,
        Err(cause) => {
            eprintln!("cranberrygap-entry: {cause:#}");
            ExitCode::FAILURE
        }
    }
}
