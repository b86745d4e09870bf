//! Quarantine of requests that may crash endpoints.
//!
//! When an endpoint dies, every request that ran on it becomes a suspect. A suspect runs
//! again only as the single suspect on its endpoint, so that a second crash identifies the
//! culprit. [`suspects::Tracker`] is the entry's side: it tracks which requests run where and
//! what to report when an endpoint dies. [`permission::Table`] is the leader's side: it
//! permits one suspect at a time on each endpoint, across all entries.

pub mod permission;
pub mod suspects;
