//! What a run has done, by kind.

use serde::Serialize;

/// Counts of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    /// Seed of the run.
    pub seed: u64,
    /// Voters at the beginning.
    pub voters: usize,
    /// Hundredths of a second.
    pub steps: u64,
    /// Changes acknowledged.
    pub acknowledged: u64,
    /// Longest time from a change to its acknowledgement, in milliseconds.
    pub longest: u64,
    /// Acknowledgements that took over a second.
    pub slow: u64,
    /// Looks at an entry that serves.
    pub decisions: u64,
    /// Looks at an entry that may not serve.
    pub refusals: u64,
    /// Control processes or entries that stood still for a time.
    pub freezes: u64,
    /// Connections cut in one direction.
    pub cuts: u64,
    /// Control processes that sent heartbeats without news.
    pub hangs: u64,
    /// Losses of all power.
    pub blackouts: u64,
    /// Folders lost.
    pub lost_folders: u64,
    /// Processor time that control processes used, in microseconds.
    pub processor: u64,
    /// Part of a core that the busiest control process used, in thousandths.
    pub busiest: u64,
    /// Longest time by which the work of a control process was late, in milliseconds.
    pub latest: u64,
    /// Heartbeats of entries that got no answer in time.
    pub unanswered: u64,
    /// Longest time without service after power was back, in milliseconds.
    pub recovery: u64,
}
