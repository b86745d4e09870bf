//! Renewals of one process at the leader, one at a time.

use cranberrygap_model::{duration, number};

/// Last renewal, and whether its answer is awaited.
///
/// An answer to any but the awaited one is dropped, so that the leader can take the next
/// renewal as a complete report of what its sender has.
#[derive(Debug, Default)]
pub(super) struct Renewals {
    sequence: number::Sequence,
    awaited: Option<number::Sequence>,
    sent_at: Option<duration::Instant>,
    failed: bool,
}

impl Renewals {
    /// Returns the number of the last message.
    pub(super) const fn sequence(&self) -> number::Sequence {
        self.sequence
    }

    /// Returns the number for the next message.
    pub(super) fn next_sequence(&mut self) -> number::Sequence {
        self.sequence = self.sequence.next();
        self.sequence
    }

    /// Starts a renewal and gives up an answer that is still awaited.
    pub(super) fn begin(&mut self, now: duration::Instant) -> number::Sequence {
        let sequence = self.next_sequence();
        self.sent_at = Some(now);
        self.failed = false;
        self.awaited = Some(sequence);
        sequence
    }

    /// Takes an answer; returns when its renewal was sent if the answer is the awaited one.
    pub(super) fn take_answer(&mut self, sequence: number::Sequence) -> Option<duration::Instant> {
        self.awaited.take_if(|awaited| *awaited == sequence)?;
        self.sent_at
    }

    /// Records that a renewal got no answer.
    pub(super) fn fail(&mut self, sequence: number::Sequence) {
        let given_up = self.awaited.take_if(|awaited| *awaited == sequence);
        self.failed |= given_up.is_some();
    }

    /// Returns when the last renewal was sent.
    pub(super) const fn sent_at(&self) -> Option<duration::Instant> {
        self.sent_at
    }

    /// Returns whether an answer is awaited.
    pub(super) const fn is_awaited(&self) -> bool {
        self.awaited.is_some()
    }

    /// Returns whether the last renewal got no answer, so that there may be no leader now.
    pub(super) const fn has_failed(&self) -> bool {
        self.failed
    }
}
