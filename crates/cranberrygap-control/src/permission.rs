//! Permits suspect requests to run while this process leads.

use std::sync::Arc;

use cranberrygap_link::clock;
use cranberrygap_link::server;
use cranberrygap_model::number;
use cranberrygap_policy::quarantine::permission;
use cranberrygap_wire::claim;
use parking_lot::Mutex;

use crate::detector;
use crate::proposer;

/// Table of the suspects that may run on each endpoint, for the current term.
#[derive(Debug)]
pub(crate) struct Permissions {
    proposer: proposer::Proposer,
    detector: Arc<detector::Detector>,
    clock: clock::Clock,
    table: Mutex<Option<(number::Term, permission::Table)>>,
}

impl Permissions {
    pub(crate) fn new(
        proposer: proposer::Proposer,
        detector: Arc<detector::Detector>,
        clock: clock::Clock,
    ) -> Self {
        Self {
            proposer,
            detector,
            clock,
            table: Mutex::new(None),
        }
    }

    /// Grants, renews or ends a permission; returns whether the suspect may run.
    pub(crate) fn handle(&self, request: &claim::Leave) -> Result<bool, server::Fault> {
        let term = self.proposer.check_leads()?.term;
        let now = self.clock.now();
        // A predecessor's permissions end a lease after the term began, not after the first request.
        let start = self
            .detector
            .with_leadership(|_, leadership| leadership.start());
        let mut current = self.table.lock();
        let table = match current.take() {
            Some((table_term, table)) if table_term == term => table,
            _ => permission::Table::new(start.unwrap_or(now)),
        };
        let (_, table) = current.insert((term, table));
        let permission = permission::Permission {
            fingerprint: request.fingerprint.clone(),
            instance: request.instance.clone(),
            boot: request.boot,
            until: now,
        };
        if request.ends {
            table.release(&request.endpoint, &permission);
            return Ok(false);
        }
        Ok(table.try_grant(now, &request.endpoint, &permission))
    }
}
