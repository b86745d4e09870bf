//! Settings of a replica.

use std::path::PathBuf;

use cranberrygap_agreement::{limits, timing};
use cranberrygap_model::address;

/// Entries after which a snapshot is taken. Bounds the time of a restart; the
/// snapshot itself is a few megabytes.
const SNAPSHOT_ENTRIES: u64 = 5_000;

/// Bytes of entries after which a snapshot is taken, however few they are. A restart applies
/// no more than about these, 0.1 s of a core; the smallest instances have a tenth of one.
pub const SNAPSHOT_BYTES: u64 = 1 << 20;

/// Settings of a replica.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// This process.
    pub own: address::Peer,
    /// The voters that form the group the first time, this one among them; for
    /// a replica that joins later, whom to present itself to.
    pub voters: Vec<address::Peer>,
    /// Whether this replica may found the group.
    #[builder(default = true)]
    pub founds: bool,
    /// Data folder.
    pub folder: PathBuf,
    /// Timeouts, the same in the whole group.
    #[builder(default)]
    pub timing: timing::Timing,
    /// Bounds.
    #[builder(default)]
    pub limits: limits::Limits,
    /// Entries after which a snapshot is taken.
    #[builder(default = SNAPSHOT_ENTRIES)]
    pub snapshot_after: u64,
    /// Bytes of entries after which a snapshot is taken.
    #[builder(default = SNAPSHOT_BYTES)]
    pub snapshot_bytes: u64,
}
