//! Request decisions without I/O: limits, fairness, routing, retries, quarantine, bookings.

pub mod limits;
