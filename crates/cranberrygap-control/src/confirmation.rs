//! Handles the entries' confirmations, which renew their leases.

use std::sync::Arc;

use cranberrygap_link::server;
use cranberrygap_model::duration;
use cranberrygap_state::{command, endpoint, member};
use cranberrygap_wire::{endpoint as announced, method, view};
use futures_util::future;

use crate::detector;
use crate::leadership;
use crate::metric;
use crate::objections;
use crate::proposer;
use crate::replicated;

/// Most announcements that one confirmation may carry.
const MAX_ANNOUNCEMENTS: usize = 4_096;

/// Handler of confirmations while this process leads.
#[derive(Debug)]
pub struct Handler {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    detector: Arc<detector::Detector>,
    metrics: metric::Recorder,
    objections: objections::Recorder,
}

impl Handler {
    /// Creates a handler that changes `state` through `proposer`.
    #[must_use]
    pub fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        detector: Arc<detector::Detector>,
        metrics: metric::Recorder,
    ) -> Self {
        let objections = objections::Recorder::new(Arc::clone(&state), metrics.clone());
        Self {
            state,
            proposer,
            detector,
            metrics,
            objections,
        }
    }

    /// Commits everything new in a confirmation, then grants the entry its lease.
    ///
    /// Heartbeats in it are recorded before that, since the commits may take longer than the
    /// silence after which endpoints and entries count as dead.
    ///
    /// # Errors
    ///
    /// When this process does not lead, or the log rejects a command.
    pub async fn handle(&self, confirm: &view::Confirm) -> Result<view::Confirmed, server::Fault> {
        self.proposer.check_leads()?;
        let record = || {
            self.detector
                .with_leadership(|now, leadership| record_liveness(now, leadership, confirm))
        };
        self.metrics.measure(metric::Work::Lease, record);
        self.commit_member(confirm).await?;
        self.commit_announcements(confirm.announcements.clone())
            .await?;
        // The commits may have taken long, and only the current leader may grant.
        let status = self.proposer.check_leads()?;
        let grant = || {
            self.detector
                .with_leadership(|now, leadership| leadership.grant_lease(now, confirm))
        };
        let lease = self.metrics.measure(metric::Work::Lease, grant);
        let Some(lease) = lease else {
            return Err(server::Fault::new(
                method::NO_QUORUM,
                "the leader's lease expired",
            ));
        };
        Ok(view::Confirmed {
            revision: self.state.binding_revision(),
            term: status.term,
            lease,
        })
    }

    /// Records what another control process heard from endpoints, and commits what is new.
    ///
    /// # Errors
    ///
    /// When this process does not lead, or the log rejects a command.
    pub async fn record_heard(&self, heard: view::Heard) -> Result<(), server::Fault> {
        self.proposer.check_leads()?;
        let record = || {
            self.detector.with_leadership(|now, leadership| {
                record_heartbeats(now, leadership, &heard.seen, &heard.announcements);
            })
        };
        self.metrics.measure(metric::Work::Lease, record);
        let changed = heard.announcements.into_iter();
        let changed = changed.filter(|announcement| {
            self.state
                .read(|fleet| fleet.endpoints.would_change(announcement))
        });
        self.commit_announcements(changed.collect()).await?;
        // Only the current leader may say that it has recorded something.
        self.proposer.check_leads().map(drop)
    }

    /// Commits an entry that is new or changed. An entry must be in the state before it gets a
    /// lease, since a new leader reads from the state which entries may hold one.
    async fn commit_member(&self, confirm: &view::Confirm) -> Result<(), server::Fault> {
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

    async fn commit_announcements(
        &self,
        announcements: Vec<announced::Announcement>,
    ) -> Result<(), server::Fault> {
        if announcements.len() > MAX_ANNOUNCEMENTS {
            let message = "too many announcements at once";
            return Err(server::Fault::new(method::REFUSED, message));
        }
        let commands = announcements
            .into_iter()
            .filter(|announcement| !self.objections.is_stale(announcement))
            .map(|step| command::Command::Endpoint(endpoint::Step::Announced(Box::new(step))));
        let proposals = commands.map(|command| self.proposer.propose(command));
        future::try_join_all(proposals).await.map(drop)
    }
}

fn record_heartbeats(
    now: duration::Instant,
    leadership: &mut leadership::Leadership,
    seen: &[view::Seen],
    announcements: &[announced::Announcement],
) {
    for announcement in announcements {
        leadership.record_heartbeat(now, &leadership::to_seen(announcement));
    }
    for seen in seen {
        leadership.record_heartbeat(now, seen);
    }
}

fn record_liveness(
    now: duration::Instant,
    leadership: &mut leadership::Leadership,
    confirm: &view::Confirm,
) {
    record_heartbeats(now, leadership, &confirm.seen, &confirm.announcements);
    leadership.record_confirmation(now, confirm);
}
