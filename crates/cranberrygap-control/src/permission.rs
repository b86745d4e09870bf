//! Gives suspects leave to run while this process leads.

use cranberrygap_link::clock;
use cranberrygap_link::server;
use cranberrygap_model::number;
use cranberrygap_policy::quarantine::permission;
use cranberrygap_wire::claim;
use parking_lot::Mutex;

use crate::proposer;

/// Who runs as a suspect on each endpoint, in the current term.
#[derive(Debug)]
pub(crate) struct Permissions {
    proposer: proposer::Proposer,
    clock: clock::Clock,
    held: Mutex<Option<(number::Term, permission::Table)>>,
}

impl Permissions {
    pub(crate) fn new(proposer: proposer::Proposer, clock: clock::Clock) -> Self {
        Self {
            proposer,
            clock,
            held: Mutex::new(None),
        }
    }

    /// Gives, renews or ends a leave; true when the suspect may run.
    pub(crate) fn take(&self, asked: &claim::Leave) -> Result<bool, server::Fault> {
        let term = self.proposer.check_leads()?.term;
        let now = self.clock.now();
        let mut held = self.held.lock();
        let table = match held.take() {
            Some((known, table)) if known == term => table,
            _ => permission::Table::new(now),
        };
        let (_, table) = held.insert((term, table));
        let leave = permission::Permission {
            fingerprint: asked.fingerprint.clone(),
            instance: asked.instance.clone(),
            boot: asked.boot,
            until: now,
        };
        if asked.ends {
            table.release(&asked.endpoint, &leave);
            return Ok(false);
        }
        Ok(table.try_grant(now, &asked.endpoint, &leave))
    }
}
