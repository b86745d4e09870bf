//! cranberrygap as a library: everything that its thin binaries call.

pub mod command;
pub mod daemon;
pub mod local;
