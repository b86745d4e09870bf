//! What a run plays: how large the fleet is, and what happens in it.

use super::budget::Budget;
use super::world::SECOND;

/// A fleet and what happens in it.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    /// Control processes; drawn from the seed without a number.
    pub voters: Option<usize>,
    /// Entries.
    pub entries: usize,
    /// Processor of each control process; without one, work takes no time.
    pub budget: Option<Budget>,
    /// Whether there is any trouble.
    pub troubled: bool,
    /// Whether minorities are cut off while others lose their folders.
    pub minorities: bool,
    /// Microseconds between two changes of the operator.
    pub changes: u64,
    /// Microseconds between two news of what an endpoint holds, if there are any.
    pub news: Option<u64>,
    /// Whether changes of the plan are committed in parts.
    pub parts: bool,
}

impl Day {
    /// A small fleet under overlapping troubles, with a change thirty times a second.
    pub const TROUBLED: Self = Self {
        voters: None,
        entries: 4,
        budget: None,
        troubled: true,
        minorities: false,
        changes: 33_000,
        news: None,
        parts: false,
    };

    /// The same, with plans whose changes are committed in parts.
    pub const PARTS: Self = Self {
        parts: true,
        ..Self::TROUBLED
    };

    /// The same as the first, with minorities that miss changes.
    pub const MINORITIES: Self = Self {
        minorities: true,
        ..Self::TROUBLED
    };

    /// A day without trouble: a change three times a second, and each 20 ms an endpoint
    /// that holds another adapter or model.
    pub const fn quiet(entries: usize) -> Self {
        Self {
            voters: Some(5),
            entries,
            budget: Some(Budget(150)),
            troubled: false,
            minorities: false,
            changes: SECOND / 3,
            news: Some(20_000),
            parts: false,
        }
    }
}
