//! Requests that crash endpoints: who is suspected, and who may run where.
//!
//! When an endpoint dies, all that ran on it become suspects. A suspect runs
//! again only as the only suspect on its endpoint, so that a second crash
//! names it. [`suspects::Tracker`] is the entry's side: what runs where, and what to
//! report when an endpoint dies. [`permission::Table`] is the leader's side: it lets
//! one suspect at a time onto each endpoint, over all entries.

pub mod permission;
pub mod suspects;
