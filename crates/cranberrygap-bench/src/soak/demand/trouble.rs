//! What goes wrong during a day, once.

/// What goes wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Trouble {
    /// Nothing.
    #[default]
    Nothing,
    /// The leader is gone for 1.2 s; the next one knows what the log has.
    LeaderGone,
    /// What the leader sends comes half a second late.
    LateAnswers,
    /// The entry that lends the busiest workspace's tokens is gone for good.
    LenderDies,
    /// Another process takes its place half a second later.
    LenderRestarts,
    /// It stands still for two seconds.
    LenderFreezes,
    /// Five of a hundred datagrams between entries are lost.
    LostDatagrams,
}

/// A change of the trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It begins.
    Begins,
    /// It ends, if it ends by itself.
    Ends,
}

impl Trouble {
    /// How long it lasts, if it ends by itself, in microseconds.
    #[must_use]
    pub const fn lasts(self) -> Option<u64> {
        match self {
            Self::LeaderGone => Some(1_200_000),
            Self::LenderRestarts => Some(500_000),
            Self::LenderFreezes => Some(2_000_000),
            Self::Nothing | Self::LateAnswers | Self::LenderDies | Self::LostDatagrams => None,
        }
    }
}
