//! Tokens that one request has reserved.

use std::sync::Arc;

use cranberrygap_model::{duration, id, token};

use crate::clock;
use crate::refusal::Refusal;

use super::Limiter;

/// A reservation; what was not used goes back when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    limiter: Arc<dyn Limiter>,
    clock: clock::Clock,
    workspace: id::Workspace,
    reserved: token::Count,
    used: token::Count,
}

impl Permit {
    /// Reserves the upper bound of a request.
    pub(crate) fn reserve(
        limiter: &Arc<dyn Limiter>,
        clock: clock::Clock,
        workspace: &id::Workspace,
        tokens: token::Count,
    ) -> Result<Self, Refusal> {
        let outcome = limiter.reserve(clock.now(), workspace, tokens);
        outcome.map_err(|retry_after: duration::Span| Refusal::RateExceeded { retry_after })?;
        Ok(Self {
            limiter: Arc::clone(limiter),
            clock,
            workspace: workspace.clone(),
            reserved: tokens,
            used: token::Count(0),
        })
    }

    /// Sets what the request has used so far.
    pub(crate) fn set_used(&mut self, tokens: token::Count) {
        self.used = tokens;
    }

    /// Counts the whole reservation as used, because what ran is not known.
    pub(crate) fn use_all(&mut self) {
        self.used = self.reserved;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let rest = self.reserved.0.saturating_sub(self.used.0);
        if rest > 0 {
            self.limiter
                .refund(self.clock.now(), &self.workspace, token::Count(rest));
        }
    }
}
