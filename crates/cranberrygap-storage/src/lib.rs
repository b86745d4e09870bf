//! The data folder of a control replica: identity, log segments, snapshots.
//!
//! All files are checksummed, and data counts as stored only after fsync. A torn
//! tail is truncated, since nothing in it was acknowledged. Any other damage stops
//! the replica with an error that names the file and the offset.

pub mod check;
pub mod disk;
pub mod error;
pub mod files;
pub mod folder;
pub mod frame;
pub mod identity;
pub mod record;
pub mod recovered;

mod name;
mod reader;
mod snapshots;
