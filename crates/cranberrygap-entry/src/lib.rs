//! The entry process: callers, keys, limits, routing and streams.
//!
//! [`process::Process`] is the whole entry; the daemon and the embedded form
//! both start one. Decisions live in `cranberrygap-policy` and
//! `cranberrygap-routing`; this crate carries them out.

pub mod announce;
pub mod caller;
pub mod core;
pub mod discovery;
pub mod gateway;
pub mod metric;
pub mod process;
pub mod queue;
pub mod refusal;
pub mod sse;
pub mod view;

mod admin;
mod admission;
mod attainment;
mod booking;

mod chunk;
mod control;
mod digest;
mod engine;
mod load;
mod relay;
mod route;
mod server;
mod trace;

mod upstream;
