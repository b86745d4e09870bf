//! Reconciles the group's membership while this process leads, if the settings ask for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_agreement::{limits, reconciler, replica as agreed};
use cranberrygap_model::{duration, id, number};
use cranberrygap_state::{command, member};
use cranberrygap_wire::view;

use crate::proposer;
use crate::replica;
use crate::replicated;

/// Time between two reconciliations; a small part of the silence that replaces a voter.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);

/// Reconciler of the group's membership.
///
/// It adds newcomers as learners, promotes learners that have caught up, and removes members that
/// are gone.
#[derive(Debug)]
pub(crate) struct Reconciler {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    replica: Arc<replica::Replica>,
    domain: id::Domain,
    policy: reconciler::Policy,
    learner_lag: u64,
    /// When each member was first seen in this term. A member that was just added has not answered
    /// yet and does not count as silent.
    first_seen: BTreeMap<agreed::Id, duration::Instant>,
}

impl Reconciler {
    pub(crate) fn new(
        state: Arc<replicated::State>,
        proposer: proposer::Proposer,
        replica: Arc<replica::Replica>,
        domain: id::Domain,
        losses: u32,
    ) -> Self {
        Self {
            state,
            proposer,
            replica,
            domain,
            policy: reconciler::Policy::tolerating(losses),
            learner_lag: limits::Limits::default().learner_lag,
            first_seen: BTreeMap::new(),
        }
    }

    /// Reconciles the membership until the process stops.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(RECONCILE_INTERVAL).await;
            match self.replica.group_status().await {
                Some(status) if self.proposer.status().leads => self.reconcile(&status).await,
                _ => self.first_seen.clear(),
            }
        }
    }

    async fn reconcile(&mut self, status: &replica::GroupStatus) {
        for id in status.members.0.keys() {
            self.first_seen.entry(*id).or_insert(status.now);
        }
        self.first_seen
            .retain(|id, _| status.members.0.contains_key(id));
        let change = reconciler::next_change(
            &self.policy,
            status.leader,
            &status.members,
            |id| self.member_status(status, id),
            &status.newcomers,
        );
        if let Some(change) = change {
            let description = format!("{change:?}");
            match self.replica.change_membership(change).await {
                Ok(()) => spdlog::info!("group: {description} is in force"),
                // The next reconciliation tries again; most refusals are temporary.
                Err(cause) => spdlog::info!("group: {description} is deferred: {cause}"),
            }
            return;
        }
        self.publish_members(status).await;
    }

    fn member_status(&self, status: &replica::GroupStatus, id: agreed::Id) -> reconciler::Contact {
        let first_seen = self.first_seen.get(&id).copied().unwrap_or(status.now);
        let progress = status.progress.get(&id);
        reconciler::Contact::new(
            status.now,
            first_seen,
            progress,
            status.last_index,
            self.learner_lag,
        )
    }

    /// Commits the addresses of the control processes, for entries.
    ///
    /// The entries' settings name the first control processes only. Once all of those are replaced,
    /// an entry that lost its connection could reach none.
    async fn publish_members(&self, status: &replica::GroupStatus) {
        let members = status.members.0.iter();
        let current: Vec<(view::Member, number::Boot)> = members
            .map(|(id, member)| (self.control_member(&member.peer), boot_of(*id)))
            .collect();
        let steps = self.state.read(|fleet| {
            let changed = current
                .iter()
                .filter(|(member, boot)| fleet.members.would_change(member, *boot));
            let changed = changed.map(|(member, boot)| member::Step::Seen {
                member: member.clone(),
                boot: *boot,
            });
            let is_gone = |recorded: &view::Member| {
                let is_control = recorded.role == view::Role::Control;
                let in_group = current
                    .iter()
                    .any(|(member, _)| member.instance == recorded.instance);
                is_control && recorded.phase != view::Phase::Left && !in_group
            };
            let gone_steps = fleet
                .members
                .boots()
                .filter(|(recorded, _)| is_gone(recorded));
            let gone_steps = gone_steps.map(|(recorded, boot)| member::Step::Gone {
                instance: recorded.instance.clone(),
                boot,
            });
            changed.chain(gone_steps).collect::<Vec<_>>()
        });
        for step in steps {
            let proposed = self.proposer.propose(command::Command::Member(step)).await;
            if let Err(fault) = proposed {
                spdlog::info!("group: could not commit a member: {}", fault.message);
                return;
            }
        }
    }

    fn control_member(&self, peer: &cranberrygap_model::address::Peer) -> view::Member {
        view::Member {
            instance: peer.instance.clone(),
            domain: self.domain.clone(),
            role: view::Role::Control,
            address: peer.address,
            phase: view::Phase::Active,
            endpoints: None,
            lending: None,
        }
    }
}

/// Returns the boot that stands for a replica's id, which changes only with the data folder. It
/// stays below 2^53, so that every JSON reader keeps it exactly.
const fn boot_of(id: agreed::Id) -> number::Boot {
    const BOOT_SHIFT: u32 = 11;
    number::Boot(id.0 >> BOOT_SHIFT)
}
