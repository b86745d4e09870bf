//! One caller's booking at one entry, and what is on the way because of it.

use cranberrygap_policy::claims;
use cranberrygap_policy::outcome::Evidence;
use cranberrygap_wire::claim;

/// A booking in an entry's hands.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) entry: usize,
    /// Life of the entry that took it; the call ends with it.
    pub(super) life: u64,
    pub(super) key: usize,
    pub(super) body: u8,
    pub(super) booking: claims::Booking,
    /// Whether the service ran this very call.
    pub(super) ran: bool,
    /// What the caller was told.
    pub(super) told: Option<claims::Reply>,
}

/// Something that arrives later.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// At the leader.
    Open(usize),
    /// At the leader.
    Close(usize, u64, claim::Outcome),
    /// At the service.
    Dispatch(usize),
    /// At the entry.
    Input(usize, claims::Input),
    /// At the entry, if it still waits for the leader's verdict.
    GiveUpOpen(usize),
    /// At the entry, if the service has not answered.
    GiveUpRun(usize, Evidence),
    /// The leader learns that a life of an entry is over.
    Gone(usize, u64),
}
