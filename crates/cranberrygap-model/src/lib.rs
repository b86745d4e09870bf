//! Ids, sizes and rates as newtypes, shared by every other crate.
//!
//! Each type has `Display` and `FromStr` that are each other's inverse, and a
//! serde form that people can read in a dump.

pub mod address;
pub mod duration;
pub mod id;
pub mod number;
pub mod rate;
pub mod size;
pub mod software;
pub mod subject;
pub mod token;

mod parse_error;

pub use parse_error::ParseError;
