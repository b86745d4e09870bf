//! The data folder of a control replica: identity, log segments, snapshots.
//!
//! Everything is checksummed and counts only once it is synced. A torn tail is
//! cut, since nothing in it was acknowledged; any other damage stops the replica
//! with a message that names the file and the offset.

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
