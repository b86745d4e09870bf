//! Replicated state: configuration, keys, endpoints, members, claims and more.
//!
//! [`fleet::Fleet::apply`] takes one committed [`command::Proposal`] after the
//! other; it reads no clock and draws no random numbers, so every replica comes
//! to the same state. Each subject is one module with one `apply`.

pub mod answer;
pub mod audit;
pub mod catalogue;
pub mod change;
pub mod claim;
pub mod command;
pub mod configuration;
pub mod endpoint;
pub mod fleet;
pub mod group;
pub mod history;
pub mod key;
pub mod lender;
pub mod member;
pub mod quarantine;
pub mod residency;
pub mod share;
pub mod traffic;

mod fact;
