//! Settings of a replica.

use std::path::PathBuf;

use cranberrygap_agreement::{limits, timing};
use cranberrygap_model::address;

/// Entries after which a snapshot is taken. Bounds the time of a restart; the snapshot itself has a
/// few megabytes.
const SNAPSHOT_ENTRIES: u64 = 5_000;

/// Bytes of entries after which a snapshot is taken, however few entries they are. A restart
/// applies about this much at most, which takes 0.1 s of a core; the smallest instances have a
/// tenth of a core.
pub const SNAPSHOT_BYTES: u64 = 1 << 20;

/// Settings of a replica.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// Instance and address of this process.
    pub own: address::Peer,
    /// Voters that form the group, including this one.
    ///
    /// A replica that joins later presents itself to them.
    pub voters: Vec<address::Peer>,
    /// Whether this replica may found the group.
    #[builder(default = true)]
    pub founds: bool,
    /// Data folder.
    pub folder: PathBuf,
    /// Timeouts, which must be equal in the whole group.
    #[builder(default)]
    pub timing: timing::Timing,
    /// Limits of the protocol.
    #[builder(default)]
    pub limits: limits::Limits,
    /// Entries after which a snapshot is taken.
    #[builder(default = SNAPSHOT_ENTRIES)]
    pub snapshot_after: u64,
    /// Bytes of entries after which a snapshot is taken.
    #[builder(default = SNAPSHOT_BYTES)]
    pub snapshot_bytes: u64,
}
