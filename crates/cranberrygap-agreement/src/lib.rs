//! Replicated log without I/O: elections, replication, membership, snapshots.
//!
//! Raft as published by Ongaro and Ousterhout (2014), with pre-vote,
//! check-quorum, a leader lease, leadership transfer, learners, membership
//! changes one at a time, and snapshots in chunks. [`node::Node`] takes an
//! input with the time and gives outputs; a driver writes, sends and applies.

pub mod change;
pub mod entry;
pub mod formation;
pub mod hard;
pub mod input;
pub mod limits;
pub mod log;
pub mod member;
pub mod members;
pub mod message;
pub mod node;
pub mod output;
pub mod packet;
pub mod position;
pub mod progress;
pub mod reconciler;
pub mod replica;
pub mod role;
pub mod snapshot;
pub mod timing;
pub mod vote;
pub mod write;
