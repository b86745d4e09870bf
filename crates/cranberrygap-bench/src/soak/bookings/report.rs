//! What happened in a run of bookings.

use serde::Serialize;

/// Counts of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Counts {
    pub(super) seed: u64,
    pub(super) steps: u64,
    pub(super) sent: u64,
    pub(super) runs: u64,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) no_quorum: u64,
    pub(super) unknown: u64,
    pub(super) running: u64,
    pub(super) conflicts: u64,
    pub(super) expired: u64,
    pub(super) crashes: u64,
    pub(super) lost_messages: u64,
    pub(super) claims_held: usize,
}
