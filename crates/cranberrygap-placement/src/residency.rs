//! Which runner holds which models and adapters, and the orders that change it.
//!
//! Each order names the number of orders that its runner has accepted before. A
//! runner refuses an order that names another number, so of all orders that were
//! made out from one state at most one is ever carried out, also when a lost one
//! arrives long after newer ones. That bounds what a runner can be made to hold
//! without a log of what was sent.

pub mod diagnostics;
pub mod engine;
pub mod inventory;
pub mod load_bucket;
pub mod order;
pub mod planner;
pub mod rebalance;
pub mod runner;
