//! Fleet decisions without I/O: memory ledger, orders, placement, forecasts.
//!
//! Two planners share this crate. [`residency`] serves runners that count the orders they
//! accept. For all other endpoints, [`journal`] holds the replicated record of open
//! orders, [`ledger`] a leader's view of endpoint memory, [`plan`] the changes that are
//! wanted, [`orders`] the order in which they are sent, and [`forecast`] the expected
//! demand.

pub mod catalogue;
pub mod forecast;
pub mod journal;
pub mod ledger;
pub mod orders;
pub mod plan;
pub mod residency;
