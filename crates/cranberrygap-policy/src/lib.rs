//! Request decisions without I/O: limits, fairness, routing, retries, quarantine, bookings.

pub mod claims;
pub mod fairness;
pub mod leader_calls;
pub mod limits;
pub mod memory;
pub mod outcome;
pub mod quarantine;
pub mod resend;
pub mod retry;
pub mod stall;
pub mod stream;
