//! Quarantine of requests that crash endpoints.
//!
//! When an endpoint dies, every request that ran on it becomes a suspect. From its first or
//! second crash on, see [`suspects::Isolation`], a suspect runs only with the leader's
//! permission, as the single suspect on its endpoint, so that a further crash identifies the
//! culprit. A complete response clears a suspect.
//!
//! [`suspects::Tracker`] is the entry's side: it tracks which requests run where and what to
//! report when an endpoint dies. [`permission::Table`] is the leader's side: it permits one
//! suspect at a time on each endpoint, across all entries.

mod completions;
pub mod permission;
pub mod suspects;
