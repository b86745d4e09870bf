//! Which runner holds which models and adapters, and the orders that change it.
//!
//! Each order names the number of orders that its runner has accepted before. A runner
//! refuses an order that names another number, so at most one of all orders issued from
//! the same state is ever executed, even if a lost one arrives long after newer ones.
//! This bounds what a runner can be made to hold without a log of sent orders.

pub mod diagnostics;
pub mod engine;
pub mod inventory;
pub mod load_bucket;
pub mod order;
pub mod planner;
pub mod rebalance;
pub mod report_request;
pub mod runner;
