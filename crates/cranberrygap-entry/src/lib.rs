//! The entry process: accepts callers' requests, checks keys and limits, and routes to endpoints.
//!
//! [`process::Process`] runs one entry, in the daemon or embedded in another program.
//! `cranberrygap-policy` and `cranberrygap-routing` make the decisions; this crate does the
//! input and output.

pub mod announce;
pub mod caller;
pub mod core;
pub mod dial;
pub mod discovery;
pub mod framing;
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
mod not_run;
mod outbox;
mod quarantine;
mod reach;
mod relay;
mod resends;
mod route;
mod server;
mod startup;
mod trace;
mod traffic;
mod upstream;
