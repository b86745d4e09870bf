//! Replicated state: configuration, keys, endpoints, members, claims and more.
//!
//! [`fleet::Fleet::apply`] applies committed [`command::Proposal`]s in order. It
//! reads no clock and draws no random numbers, so every replica reaches the same
//! state. Each subject is one module with one `apply`.

pub mod answer;
pub mod audit;
pub mod catalogue;
pub mod claim;
pub mod command;
pub mod configuration;
pub mod deduplication;
pub mod endpoint;
pub mod evacuation;
pub mod fleet;
pub mod group;
pub mod history;
pub mod key;
pub mod lender;
pub mod member;
pub mod quarantine;
pub mod residency;
pub mod share;
pub mod software;
pub mod traffic;

mod audit_event;
