//! What a run has done, by kind.

use serde::Serialize;

/// Counts of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Tally {
    /// Seed of the run.
    pub seed: u64,
    /// Voters at the beginning.
    pub voters: usize,
    /// Events carried out.
    pub steps: u64,
    /// Simulated time in seconds.
    pub seconds: u64,
    /// Leaders elected.
    pub elections: u64,
    /// Entries committed.
    pub commits: u64,
    /// Changes acknowledged to clients.
    pub acknowledged: u64,
    /// Changes that another one under the same number beat.
    pub beaten: u64,
    /// Changes sent again since their answer was lost.
    pub resent: u64,
    /// Checks for two leases at once.
    pub lease_checks: u64,
    /// Pairs of logs compared.
    pub log_pairs: u64,
    /// Messages lost.
    pub lost: u64,
    /// Messages doubled.
    pub doubled: u64,
    /// Messages stopped by a partition.
    pub blocked: u64,
    /// Partitions of the replicas into two sides.
    pub splits: u64,
    /// Connections cut in one direction.
    pub one_way_cuts: u64,
    /// Hosts that stood still for a time.
    pub freezes: u64,
    /// Crashes between writes.
    pub crashes: u64,
    /// Crashes at a file operation.
    pub crashes_at_write: u64,
    /// Disks lost.
    pub lost_disks: u64,
    /// Restarts from a disk.
    pub restarts: u64,
    /// Restarts that cut a torn tail.
    pub torn_tails: u64,
    /// Membership changes committed.
    pub membership_changes: u64,
    /// Snapshots taken.
    pub snapshots: u64,
    /// Snapshots taken over from a leader.
    pub installed: u64,
    /// Hand-overs of leadership asked for.
    pub transfers: u64,
}
