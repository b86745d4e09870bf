//! Why a request is sent once more.

use cranberrygap_policy::outcome::Evidence;

/// Why a request is to be sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The endpoint did not run it.
    Rejected,
    /// The endpoint responded with a server error.
    Failed,
    /// No response came.
    Unanswered,
    /// The response broke off.
    Cut,
}

impl Cause {
    /// The cause that an attempt's evidence tells.
    pub(crate) const fn of(evidence: Evidence) -> Self {
        match evidence {
            Evidence::NeverDispatched | Evidence::ConnectFailed | Evidence::EndpointRefused => {
                Self::Rejected
            }
            Evidence::CutAnswer | Evidence::CrossedAnswer => Self::Cut,
            Evidence::WholeAnswer
            | Evidence::ConnectionBroke
            | Evidence::Silence
            | Evidence::DeadlinePassed => Self::Unanswered,
        }
    }

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Failed => "failed",
            Self::Unanswered => "unanswered",
            Self::Cut => "cut",
        }
    }
}
