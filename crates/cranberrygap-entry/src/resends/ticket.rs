//! Resends that are taken from the budget.

use std::sync::Arc;

use cranberrygap_policy::resend::{scope, tally};

use crate::core;

use super::Cause;

/// A resend taken from the budget of a scope; it goes back if it is dropped unused.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(super) core: Arc<core::Core>,
    pub(super) scope: scope::Scope,
    pub(super) cause: Cause,
    pub(super) is_used: bool,
}

impl Ticket {
    /// Lets the scope to which the request goes now pay for it; false if it cannot.
    ///
    /// The plan may have changed since the ticket was taken.
    pub(crate) fn transfer(&mut self, scope: &scope::Scope) -> bool {
        if self.scope == *scope {
            return true;
        }
        if !super::spend(&self.core, scope, self.cause) {
            return false;
        }
        self.give_back();
        self.scope = scope.clone();
        true
    }

    /// Records that the request was sent once more.
    pub(crate) fn use_up(mut self) {
        self.is_used = true;
        let mut state = self.core.resends.state.lock();
        super::record(&self.core, &mut state, &self.scope, tally::Event::Resend);
        drop(state);
        super::count_resend(&self.core, &self.scope, self.cause, "sent");
    }

    fn give_back(&self) {
        let mut state = self.core.resends.state.lock();
        state.budget.give_back(self.core.now(), &self.scope);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.is_used {
            self.give_back();
        }
    }
}
