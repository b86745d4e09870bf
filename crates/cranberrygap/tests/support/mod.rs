//! A fleet of real processes on loopback with stand-ins around it.
//!
//! Each test file that needs it declares `mod support;`. Everything a fleet
//! starts ends with it, also when the test fails.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails should fail its test"
)]
#![allow(
    dead_code,
    reason = "each test file is a crate of its own and uses a part of this"
)]

pub mod caller;
pub mod fleet;
pub mod group;
pub mod process;
pub mod raw;
pub mod wait;
