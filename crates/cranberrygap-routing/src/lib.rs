//! Routing decisions without I/O: load, prefix affinity, latency targets.
//!
//! Each entry has one [`router::Router`]. It chooses among the endpoints that
//! have the model by corrected load ([`load`]), the batch that keeps the
//! latency targets ([`batch`]) and the expected prefix hit ([`prefix`]). What
//! finds no seat waits in [`pending`], at the entry rather than the engine,
//! where it can still be reordered or sent elsewhere.

pub mod batch;
pub mod load;
pub mod pending;
pub mod prefix;
pub mod prompt;
pub mod router;
