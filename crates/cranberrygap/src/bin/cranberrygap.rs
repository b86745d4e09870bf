//! The command line.

use std::process::ExitCode;

use clap::Parser;
use cranberrygap::command;

fn main() -> ExitCode {
    let arguments = command::Arguments::parse();
    match command::run(&arguments) {
        Ok(code) => code,
        Err(cause) => {
            eprintln!("cranberrygap: {cause:#}");
            ExitCode::FAILURE
        }
    }
}
