//! Confirmations of entries, for which they get their leases.

use std::sync::Arc;

use cranberrygap_link::server;
use cranberrygap_model::duration;
use cranberrygap_state::{command, endpoint, member};
use cranberrygap_wire::{method, view};
use futures_util::future;

use crate::detector;
use crate::leadership;
use crate::metric;
use crate::proposer;
use crate::replicated;

/// Announcements that one confirmation may bring.
const MOST_ANNOUNCEMENTS: usize = 4_096;

/// Takes confirmations while this process leads.
#[derive(Debug)]
pub struct Confirmations {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    detector: Arc<detector::Detector>,
    metrics: metric::Recorder,
}

impl Confirmations {
    /// Confirmations that change `state` through `proposer`.
    #[must_use]
    pub const fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        detector: Arc<detector::Detector>,
        metrics: metric::Recorder,
    ) -> Self {
        Self {
            state,
            proposer,
            detector,
            metrics,
        }
    }

    /// Takes a confirmation: everything new goes into the log, then the entry
    /// gets its lease.
    ///
    /// What it heard is noted before: commits may take longer than the silence after
    /// which endpoints and entries are taken for dead.
    ///
    /// # Errors
    ///
    /// When this process does not lead, or the log takes nothing.
    pub async fn take(&self, confirm: &view::Confirm) -> Result<view::Confirmed, server::Fault> {
        self.proposer.check_leads()?;
        let note = || {
            self.detector
                .with_office(|now, leadership| hear(now, leadership, confirm))
        };
        self.metrics.work(metric::Work::Lease, note);
        self.note_member(confirm).await?;
        self.note_announcements(confirm).await?;
        // Committing may have taken long; only who leads now may grant.
        let status = self.proposer.check_leads()?;
        let grant = || {
            self.detector
                .with_office(|now, leadership| leadership.grant_lease(now, confirm))
        };
        let lease = self.metrics.work(metric::Work::Lease, grant);
        let Some(lease) = lease else {
            return Err(server::Fault::new(
                method::NO_QUORUM,
                "the leader's lease ran out",
            ));
        };
        Ok(view::Confirmed {
            revision: self.state.binding(),
            term: status.term,
            lease,
        })
    }

    /// An entry must be known before it gets a lease: a new leader takes from
    /// the state who may hold one.
    async fn note_member(&self, confirm: &view::Confirm) -> Result<(), server::Fault> {
        let member = view::Member {
            instance: confirm.instance.clone(),
            domain: confirm.domain.clone(),
            role: view::Role::Entry,
            address: confirm.address,
            endpoints: confirm.endpoints,
            lending: confirm.lending,
            phase: confirm.phase,
        };
        let boot = confirm.boot;
        if !self
            .state
            .read(|fleet| fleet.members.would_change(&member, boot))
        {
            return Ok(());
        }
        let step = member::Step::Seen { member, boot };
        let proposed = self.proposer.propose(command::Command::Member(step));
        proposed.await.map(drop)
    }

    async fn note_announcements(&self, confirm: &view::Confirm) -> Result<(), server::Fault> {
        if confirm.announcements.len() > MOST_ANNOUNCEMENTS {
            let sentence = "too many announcements at once";
            return Err(server::Fault::new(method::REFUSED, sentence));
        }
        let steps = confirm.announcements.iter().cloned();
        let commands =
            steps.map(|step| command::Command::Endpoint(endpoint::Step::Announced(Box::new(step))));
        let proposals = commands.map(|command| self.proposer.propose(command));
        future::try_join_all(proposals).await.map(drop)
    }
}

fn hear(now: duration::Instant, leadership: &mut leadership::Leadership, confirm: &view::Confirm) {
    for announcement in &confirm.announcements {
        let seen = view::Seen {
            endpoint: announcement.endpoint.clone(),
            boot: announcement.boot,
            sequence: announcement.sequence,
        };
        leadership.hear(now, &seen);
    }
    for seen in &confirm.seen {
        leadership.hear(now, seen);
    }
    leadership.hear_entry(now, confirm);
}
