//! Orders to evacuate a failure domain, and their withdrawals.

use std::collections::BTreeSet;
use std::sync::Arc;

use cranberrygap_link::server;
use cranberrygap_model::id;
use cranberrygap_state::{answer, command, evacuation};
use cranberrygap_wire::{method, operator};

use crate::proposer;
use crate::replicated;

/// Checks and commits orders.
#[derive(Debug)]
pub(crate) struct Handler {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    /// Failure domains that the settings name, this process's own among them.
    domains: BTreeSet<id::Domain>,
}

impl Handler {
    pub(crate) fn new<'domains>(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        domains: impl Iterator<Item = &'domains id::Domain>,
    ) -> Self {
        Self {
            state,
            proposer,
            domains: domains.cloned().collect(),
        }
    }

    /// Commits an order. One that already holds changes nothing and has the same answer.
    ///
    /// # Errors
    ///
    /// The failure domain is unknown, or this process cannot commit the order.
    pub(crate) async fn order(
        &self,
        step: evacuation::Step,
    ) -> Result<operator::Evacuation, server::Fault> {
        self.proposer.check_leads()?;
        self.check_domain(&step.domain)?;
        let summary = step.summary();
        let command = command::Command::Evacuation(step);
        match self.proposer.propose(command).await? {
            answer::Answer::Evacuation(evacuation) => {
                if evacuation.changed {
                    spdlog::info!(
                        "evacuation: {summary} is committed at revision {}",
                        evacuation.revision
                    );
                }
                Ok(evacuation)
            }
            other => Err(proposer::unexpected_answer_fault(&other)),
        }
    }

    fn check_domain(&self, domain: &id::Domain) -> Result<(), server::Fault> {
        let is_known = self.domains.contains(domain)
            || self
                .state
                .read(|fleet| fleet.has_domain(domain) || fleet.evacuations.contains(domain));
        if is_known {
            return Ok(());
        }
        let message = format!(
            "no failure domain is named {domain}; show lists the domain of each instance and endpoint"
        );
        Err(server::Fault::new(method::REFUSED, message))
    }
}
