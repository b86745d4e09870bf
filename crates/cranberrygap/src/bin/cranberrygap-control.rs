//! The control daemon: `cranberrygap-control --settings FILE [--check]`.

use std::process::ExitCode;

use cranberrygap::daemon::{control, launch};

fn main() -> ExitCode {
    launch::main::<control::Daemon>()
}
