//! Bounds on messages, windows and memory.

/// Bounds; a slow or hostile peer cannot make a replica hold more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest proposal, in bytes.
    pub proposal: usize,
    /// Entries in one message, in bytes; one entry always fits.
    pub message: usize,
    /// Messages with entries on their way to one follower.
    pub window: usize,
    /// Proposals that are not committed yet, in bytes.
    pub uncommitted: usize,
    /// Snapshot bytes in one message.
    pub chunk: usize,
    /// Largest snapshot that is taken from a leader, in bytes.
    pub snapshot: usize,
    /// Entries kept in memory behind a snapshot, for followers that lag a little.
    pub trailing: u64,
    /// The same in bytes, so that large entries do not fill memory and disk.
    pub trailing_bytes: usize,
    /// Entries handed out for applying in one step, in bytes; one entry always fits.
    pub apply: usize,
    /// Entries that a learner may lack when it becomes a voter.
    pub lag: u64,
    /// Most voters.
    pub voters: usize,
}

impl Default for Limits {
    // A message stays below the frame limit of common WebSocket servers (1 MiB
    // or more); the window of 16 messages fills 4 MiB, enough for a round trip
    // between failure domains. Seven voters tolerate three failures. 64 KiB of changes
    // take some 5 ms of a core to apply, 70 ms of the smallest share that is planned for,
    // a small part of an election timeout.
    fn default() -> Self {
        Self {
            proposal: 512 << 10,
            message: 256 << 10,
            window: 16,
            uncommitted: 16 << 20,
            chunk: 256 << 10,
            snapshot: 128 << 20,
            trailing: 1_000,
            trailing_bytes: 2 << 20,
            apply: 64 << 10,
            lag: 64,
            voters: 7,
        }
    }
}
