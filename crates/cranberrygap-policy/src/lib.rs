//! Request decisions without I/O: limits, fairness, routing, retries, quarantine, bookings.

pub mod claims;
pub mod fairness;
pub mod limits;
pub mod outcome;
pub mod pace;
pub mod quarantine;
pub mod reserve;
pub mod retry;
pub mod stream;
