//! Which endpoints a request may be sent to.

use cranberrygap_model::software;

use super::Origin;

/// The software versions at which a request may run.
///
/// Every choice of an endpoint takes one, so that none can forget it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requirement<'origin> {
    /// Any version: no event has reached the caller.
    Any,
    /// The version that began the stream; absent if its endpoints name none.
    Only(Option<&'origin software::Version>),
}

impl<'origin> Requirement<'origin> {
    /// Returns what the origin of a stream requires; a request without one may run anywhere.
    #[must_use]
    pub fn of(origin: Option<&'origin Origin>) -> Self {
        origin.map_or(Self::Any, |origin| Self::Only(origin.software.as_ref()))
    }

    /// Returns whether an endpoint with this version may get the request.
    #[must_use]
    pub fn admits(self, software: Option<&software::Version>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(required) => required == software,
        }
    }
}
