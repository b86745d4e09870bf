//! Quarantine of requests that crash endpoints.
//!
//! When an endpoint dies, every request that ran on it becomes a suspect. From its first or
//! second crash on, see [`suspects::Isolation`], a suspect runs only with the leader's
//! permission, as the single suspect on its endpoint, so that a further crash identifies the
//! culprit. A complete response clears a suspect.
//!
//! Requests that crash endpoints may all be different and share only a part of their prompts. So
//! the parts of a request are suspects beside the request itself, as
//! [`subject`](cranberrygap_model::subject) names them. Any complete response with a part speaks
//! for it.
//!
//! [`suspects::Tracker`] is the entry's side: it tracks which requests run where and what to
//! report when an endpoint dies. [`permission::Table`] is the leader's side: it permits one
//! suspect at a time on each endpoint, across all entries.

mod completions;
pub mod permission;
pub mod suspects;
