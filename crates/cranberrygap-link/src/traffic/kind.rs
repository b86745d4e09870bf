//! Kinds of traffic.

use cranberrygap_wire::method;

/// What bytes are sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Frames of the view, and the calls that subscribe to them.
    Views,
    /// Confirmations of entries, and the leases that answer them.
    Confirmations,
    /// Renewals of shares at the leader.
    Shares,
    /// Tokens that entries lend each other.
    Loans,
    /// Agreement among control processes.
    Agreement,
    /// What endpoints said, passed on to the leader.
    Relays,
    /// All other calls over links.
    Calls,
    /// Questions to the homes of endpoints, and their answers.
    Questions,
    /// Notices and statements to the homes of endpoints about single requests.
    Notices,
    /// Reports of whole backlogs to the homes of endpoints.
    Reports,
    /// Where streams began.
    Origins,
    /// Whether entries reach endpoints.
    Paths,
    /// Requests to endpoints, and their responses.
    Endpoints,
    /// Requests that other entries send to endpoints, and their responses.
    Forwards,
}

impl Kind {
    /// All kinds, in the order of their indices.
    pub const ALL: [Self; 14] = [
        Self::Views,
        Self::Confirmations,
        Self::Shares,
        Self::Loans,
        Self::Agreement,
        Self::Relays,
        Self::Calls,
        Self::Questions,
        Self::Notices,
        Self::Reports,
        Self::Origins,
        Self::Paths,
        Self::Endpoints,
        Self::Forwards,
    ];

    /// Kind of a call or stream over a link.
    #[must_use]
    pub fn of_method(method: &str) -> Self {
        match method {
            method::VIEW_SUBSCRIBE => Self::Views,
            method::VIEW_CONFIRM => Self::Confirmations,
            method::SHARE_RENEW => Self::Shares,
            method::AGREEMENT => Self::Agreement,
            method::ENDPOINTS_HEARD => Self::Relays,
            _ => Self::Calls,
        }
    }

    /// Name in metrics and dumps.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Views => "views",
            Self::Confirmations => "confirmations",
            Self::Shares => "shares",
            Self::Loans => "loans",
            Self::Agreement => "agreement",
            Self::Relays => "relays",
            Self::Calls => "calls",
            Self::Questions => "questions",
            Self::Notices => "notices",
            Self::Reports => "reports",
            Self::Origins => "origins",
            Self::Paths => "paths",
            Self::Endpoints => "endpoints",
            Self::Forwards => "forwards",
        }
    }

    pub(super) const fn index(self) -> usize {
        self as usize
    }
}
