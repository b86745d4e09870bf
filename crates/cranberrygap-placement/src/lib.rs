//! Fleet decisions without I/O: memory ledger, orders, placement, forecasts.
//!
//! [`journal`] is the replicated part, [`ledger`] what a leader knows of the
//! endpoints' memory, [`plan`] what should change, [`orders`] which change goes
//! out when, and [`forecast`] how much demand to expect. [`residency`] does all of
//! it for runners that count the orders that they accept.

pub mod catalogue;
pub mod forecast;
pub mod journal;
pub mod ledger;
pub mod orders;
pub mod plan;
pub mod residency;
