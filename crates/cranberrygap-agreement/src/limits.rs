//! Limits on messages, windows and memory.

/// Limits that keep a slow or hostile peer from making a replica hold more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest proposal, in bytes.
    pub proposal_bytes: usize,
    /// Most bytes of entries in one message; a single entry always fits.
    pub message_bytes: usize,
    /// Most messages with entries in flight to one follower.
    pub window: usize,
    /// Most bytes of proposals that are not committed yet.
    pub uncommitted_bytes: usize,
    /// Most bytes of a snapshot in one message.
    pub chunk_bytes: usize,
    /// Largest snapshot that is accepted from a leader, in bytes.
    pub snapshot_bytes: usize,
    /// Entries kept in memory behind a snapshot, for followers that lag a little.
    pub trailing_entries: u64,
    /// Most bytes of these entries, so that large ones do not fill memory and disk.
    pub trailing_bytes: usize,
    /// Most bytes of entries returned for applying in one step; a single entry always fits.
    pub apply_bytes: usize,
    /// Most entries that a learner may lack when it becomes a voter.
    pub learner_lag: u64,
    /// Most voters in a group.
    pub max_voters: usize,
}

impl Default for Limits {
    // A message stays below the frame limit of common WebSocket servers (1 MiB
    // or more). The window of 16 messages holds 4 MiB, enough to fill a round trip
    // between failure domains. Seven voters tolerate three failures. Applying 64 KiB
    // of changes takes about 5 ms of a core, or 70 ms of the smallest planned CPU
    // share, a small part of an election timeout.
    fn default() -> Self {
        Self {
            proposal_bytes: 512 << 10,
            message_bytes: 256 << 10,
            window: 16,
            uncommitted_bytes: 16 << 20,
            chunk_bytes: 256 << 10,
            snapshot_bytes: 128 << 20,
            trailing_entries: 1_000,
            trailing_bytes: 2 << 20,
            apply_bytes: 64 << 10,
            learner_lag: 64,
            max_voters: 7,
        }
    }
}
