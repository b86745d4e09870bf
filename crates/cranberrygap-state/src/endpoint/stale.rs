//! Why an announcement does not return a process to service.

use std::fmt;

use cranberrygap_model::number;

/// What speaks against an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objection {
    /// Why.
    pub reason: Reason,
    /// Boot of the latest process that is known under the name.
    pub boot: number::Boot,
    /// Latest sequence that is known of that process.
    pub sequence: number::Sequence,
}

/// Reason of an objection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The process has said something later already.
    Sequence,
    /// A later process has started under the name.
    EarlierProcess,
    /// The process has left for good.
    Left,
    /// The process has another software version.
    OtherSoftware,
    /// The process drains; its announcement is taken, and it stays out of service.
    Drained,
}

impl Objection {
    /// Whether the announcement is dropped.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.reason != Reason::Drained
    }
}

impl Reason {
    /// Returns the reason as the tag of a metric.
    #[must_use]
    pub const fn tag(self) -> &'static str {
        match self {
            Self::Sequence => "sequence",
            Self::EarlierProcess => "earlier_process",
            Self::Left => "left",
            Self::OtherSoftware => "other_software",
            Self::Drained => "drained",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Sequence => "the process has said something later",
            Self::EarlierProcess => "a later process has started under the name",
            Self::Left => "the process has left",
            Self::OtherSoftware => "the process has another software version",
            Self::Drained => "the process drains",
        })
    }
}
