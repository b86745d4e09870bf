//! Bounds on messages, windows and memory.

/// Bounds; a slow or hostile peer cannot make a replica hold more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest proposal, in bytes.
    pub proposal_bytes: usize,
    /// Entries in one message, in bytes; one entry always fits.
    pub message_bytes: usize,
    /// Messages with entries on their way to one follower.
    pub window: usize,
    /// Proposals that are not committed yet, in bytes.
    pub uncommitted_bytes: usize,
    /// Snapshot bytes in one message.
    pub chunk_bytes: usize,
    /// Largest snapshot that is taken from a leader, in bytes.
    pub snapshot_bytes: usize,
    /// Entries kept in memory behind a snapshot, for followers that lag a little.
    pub trailing_entries: u64,
    /// The same in bytes, so that large entries do not fill memory and disk.
    pub trailing_bytes: usize,
    /// Entries handed out for applying in one step, in bytes; one entry always fits.
    pub apply_bytes: usize,
    /// Entries that a learner may lack when it becomes a voter.
    pub learner_lag: u64,
    /// Most voters.
    pub max_voters: usize,
}

impl Default for Limits {
    // A message stays below the frame limit of common WebSocket servers (1 MiB
    // or more); the window of 16 messages fills 4 MiB, enough for a round trip
    // between failure domains. Seven voters tolerate three failures. 64 KiB of changes
    // take some 5 ms of a core to apply, 70 ms of the smallest share that is planned for,
    // a small part of an election timeout.
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
