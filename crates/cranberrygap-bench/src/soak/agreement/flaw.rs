//! Deliberate flaws, to show that the checks see them.

/// What is wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing.
    #[default]
    None,
    /// Each vote counts twice, so that less than a majority elects.
    VoteCountsTwice,
    /// Each acknowledgement counts twice, so that less than a majority commits.
    AcknowledgementCountsTwice,
    /// Messages that wait for a sync are sent before it.
    SentBeforeSync,
    /// A replica that lost its disk comes back under its old id.
    OldIdAfterLostDisk,
    /// Clocks drift by more than the lease allows for.
    ClocksDrift,
}
