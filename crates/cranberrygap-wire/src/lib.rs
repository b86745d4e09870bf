//! Messages and settings of all processes.
//!
//! The types are generated from `schema/*.json` by `cranberrygap-generator`;
//! [`ini`] reads settings and the fleet's configuration into them.

#[allow(
    missing_docs,
    dead_code,
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    reason = "generated code is judged by its schema"
)]
#[rustfmt::skip]
mod generated;

pub mod binding;
pub mod ini;
pub mod method;

pub use generated::{
    audit, caller, claim, configuration, endpoint, operator, settings, share, trace, traffic, view,
};
