//! Checks what arrived at endpoints against what callers sent.
//!
//! A run fills a [`record::Record`]; [`check::findings`] tells which promises about second
//! attempts and streams it breaks.

pub mod arrival;
pub mod attempt;
pub mod check;
pub mod fault;
pub mod finding;
pub mod record;
pub mod rules;
pub mod stall;
pub mod statement;
pub mod stream;
