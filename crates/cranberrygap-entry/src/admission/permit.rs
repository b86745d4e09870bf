//! Tokens that one request has reserved.

use std::sync::Arc;

use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::limits::holder;

use crate::refusal::Refusal;

use super::{Limiter, Refused};

/// Longest wait for tokens. A few renewals; whoever is still short then is above
/// the rate and learns it at once.
const PATIENCE: duration::Span = duration::Span::from_millis(500);

/// A reservation; what was not used goes back when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    limiter: Arc<dyn Limiter>,
    reservation: holder::Reservation,
    reserved: token::Count,
    used: token::Count,
}

impl Permit {
    /// Reserves the upper bound of a request.
    pub(crate) async fn reserve(
        limiter: &Arc<dyn Limiter>,
        workspace: &id::Workspace,
        tokens: token::Count,
    ) -> Result<Self, Refusal> {
        let patience = holder::MaxWait::uniform(PATIENCE);
        let outcome = Self::reserve_within(limiter, workspace, tokens, patience).await;
        outcome.map_err(|refused| refusal(refused, tokens))
    }

    /// Reserves the upper bound of a request; waits as long as `patience` says.
    pub(crate) async fn reserve_within(
        limiter: &Arc<dyn Limiter>,
        workspace: &id::Workspace,
        tokens: token::Count,
        patience: holder::MaxWait,
    ) -> Result<Self, Refused> {
        let reservation = limiter.reserve(workspace, tokens, patience).await?;
        Ok(Self {
            limiter: Arc::clone(limiter),
            reservation,
            reserved: tokens,
            used: token::Count(0),
        })
    }

    /// Sets what the request has used so far.
    pub(crate) fn set_used(&mut self, tokens: token::Count) {
        self.used = tokens;
    }

    /// Counts the whole reservation as used, because what ran is not known.
    pub(crate) fn mark_all_used(&mut self) {
        self.used = self.reserved;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.settle(&self.reservation, self.used);
    }
}

fn refusal(refused: Refused, tokens: token::Count) -> Refusal {
    match refused {
        Refused::Now { retry_after } => Refusal::RateExceeded { retry_after },
        Refused::Never { burst } => Refusal::BodyMalformed(
            format!("it may cost {tokens} tokens, more than the workspace's burst of {burst}")
                .into(),
        ),
    }
}
