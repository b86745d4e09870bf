//! Renewals of one process at the leader, one at a time.

use cranberrygap_model::{duration, number};

/// The last renewal, and whether its answer is awaited.
///
/// An answer to any but the awaited one is dropped, so that the leader can take what the
/// next renewal says for all that its sender has.
#[derive(Debug, Default)]
pub(super) struct Renewals {
    sequence: number::Sequence,
    awaited: Option<number::Sequence>,
    sent_at: Option<duration::Instant>,
    failed: bool,
}

impl Renewals {
    /// Number of the last message.
    pub(super) const fn sequence(&self) -> number::Sequence {
        self.sequence
    }

    /// Numbers the next message.
    pub(super) fn next_sequence(&mut self) -> number::Sequence {
        self.sequence = self.sequence.next();
        self.sequence
    }

    /// A renewal is sent; an answer that is still awaited is given up.
    pub(super) fn begin(&mut self, now: duration::Instant) -> number::Sequence {
        let sequence = self.next_sequence();
        self.sent_at = Some(now);
        self.failed = false;
        self.awaited = Some(sequence);
        sequence
    }

    /// Takes an answer; gives when its renewal was sent, if it is the awaited one.
    pub(super) fn take_answer(&mut self, sequence: number::Sequence) -> Option<duration::Instant> {
        self.awaited.take_if(|awaited| *awaited == sequence)?;
        self.sent_at
    }

    /// Notes that a renewal got no answer.
    pub(super) fn fail(&mut self, sequence: number::Sequence) {
        let given_up = self.awaited.take_if(|awaited| *awaited == sequence);
        self.failed |= given_up.is_some();
    }

    /// When the last renewal was sent.
    pub(super) const fn sent_at(&self) -> Option<duration::Instant> {
        self.sent_at
    }

    /// Whether an answer is awaited.
    pub(super) const fn is_awaited(&self) -> bool {
        self.awaited.is_some()
    }

    /// Whether the last renewal got no answer, so that there may be no leader now.
    pub(super) const fn has_failed(&self) -> bool {
        self.failed
    }
}
