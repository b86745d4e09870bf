//! The control process: keeps the replicated state and serves it to entries and operators.

pub mod confirmation;
pub mod delta;
pub mod detector;
pub mod encoded;
pub mod heartbeat_peer;
pub mod leadership;
pub mod links;
pub mod log;
pub mod metric;
mod objections;
mod origins;
pub mod process;
pub mod proposer;
pub mod public;
pub mod redirect;
mod relay;
pub mod replica;
pub mod replicated;
pub mod residency;
pub mod shares;
pub mod state_machine;
pub mod transport;

mod body;
mod boots;
mod evacuation;
mod operators;
mod orders;
mod peers;
mod permission;
mod plans;
mod throttle;

pub mod recent;
mod reconciler;
mod store;
mod subscription;
