//! The token reservation of one request.

use std::sync::Arc;

use cranberrygap_model::{duration, id, token};
use cranberrygap_policy::limits::holder;

use crate::refusal::Refusal;

use super::{Limiter, Rejection};

/// Longest wait for tokens. It covers a few renewals; a workspace that is still short of
/// tokens then is above its rate, and the caller hears of it at once.
const MAX_TOKEN_WAIT: duration::Span = duration::Span::from_millis(500);

/// A reservation; dropping it returns the unused tokens.
#[derive(Debug)]
pub(crate) struct Permit {
    limiter: Arc<dyn Limiter>,
    reservation: holder::Reservation,
    reserved: token::Count,
    used: token::Count,
}

impl Permit {
    /// Reserves the most tokens that a request may use.
    pub(crate) async fn reserve(
        limiter: &Arc<dyn Limiter>,
        workspace: &id::Workspace,
        tokens: token::Count,
    ) -> Result<Self, Refusal> {
        let max_wait = holder::MaxWait::uniform(MAX_TOKEN_WAIT);
        let result = Self::reserve_with_max_wait(limiter, workspace, tokens, max_wait).await;
        result.map_err(|rejection| to_refusal(rejection, tokens))
    }

    /// Reserves the most tokens that a request may use, waiting up to `max_wait` for them.
    pub(crate) async fn reserve_with_max_wait(
        limiter: &Arc<dyn Limiter>,
        workspace: &id::Workspace,
        tokens: token::Count,
        max_wait: holder::MaxWait,
    ) -> Result<Self, Rejection> {
        let reservation = limiter.reserve(workspace, tokens, max_wait).await?;
        Ok(Self {
            limiter: Arc::clone(limiter),
            reservation,
            reserved: tokens,
            used: token::Count(0),
        })
    }

    /// Sets the number of tokens used so far.
    pub(crate) fn set_used(&mut self, tokens: token::Count) {
        self.used = tokens;
    }

    /// Marks the whole reservation as used, because it is unknown what ran.
    pub(crate) fn mark_all_used(&mut self) {
        self.used = self.reserved;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.close_reservation(&self.reservation, self.used);
    }
}

fn to_refusal(rejection: Rejection, tokens: token::Count) -> Refusal {
    match rejection {
        Rejection::OverRate { retry_after } => Refusal::RateExceeded { retry_after },
        Rejection::ExceedsBurst { burst } => Refusal::BodyMalformed(
            format!("it may cost {tokens} tokens, more than the workspace's burst of {burst}")
                .into(),
        ),
    }
}
