//! A way to limit a workspace over several entries.

use cranberrygap_model::{duration, token};

/// Time that a message takes between an entry and the leader: the failure
/// domains are a little over a millisecond apart.
pub(super) const ONE_WAY: duration::Span = duration::Span::from_millis(1);

/// Time that a record takes to be synced on a quorum.
pub(super) const COMMIT: duration::Span = duration::Span::from_millis(4);

/// Longest wait for tokens; a request that waits longer is refused.
pub(super) const PATIENCE: duration::Span = duration::Span::from_millis(500);

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    Admitted,
    Refused,
}

/// One way to limit, in virtual time.
pub(super) trait Scheme {
    fn name(&self) -> &'static str;
    /// A request arrives at an entry; the decision comes now or from `advance`.
    fn arrive(&mut self, now: duration::Instant, entry: usize, request: u64, cost: token::Count);
    /// An admitted request ends.
    fn end(&mut self, now: duration::Instant, request: u64, used: token::Count);
    /// The leader is lost or a new one takes over.
    fn lead(&mut self, now: duration::Instant, leads: bool);
    /// When something happens next without a request.
    fn next(&self) -> Option<duration::Instant>;
    /// Lets time pass to `now`.
    fn advance(&mut self, now: duration::Instant);
    /// Decisions since the last call, in order.
    fn decisions(&mut self) -> Vec<(u64, Decision)>;
    /// Messages to the leader and records in its log.
    fn costs(&self) -> (u64, u64);
}
