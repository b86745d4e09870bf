//! The entry daemon: `cranberrygap-entry --settings FILE [--check]`.

use std::process::ExitCode;

use cranberrygap::daemon::{entry, launch};

fn main() -> ExitCode {
    launch::main::<entry::Daemon>()
}
