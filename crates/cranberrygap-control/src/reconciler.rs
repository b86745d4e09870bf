//! Keeps the group in shape while this process leads, where settings ask for it.

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

/// Time between two looks; a small part of the patience with silent voters.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);

/// Takes newcomers in, lets ready learners vote and takes out who is gone.
#[derive(Debug)]
pub(crate) struct Reconciler {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    replica: Arc<replica::Replica>,
    domain: id::Domain,
    policy: reconciler::Policy,
    learner_lag: u64,
    /// When each member was first seen in this term. One that was just
    /// added has not answered yet and is not silent for that.
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

    /// Looks after the group until the process stops.
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
                // It is looked at again; most refusals end by themselves.
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

    /// Tells entries, by the replicated state, where the control processes are.
    ///
    /// Their settings name the first ones. Once all of those are replaced, an entry
    /// that lost its connection would find nobody.
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
            let description = self.proposer.propose(command::Command::Member(step)).await;
            if let Err(fault) = description {
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

/// A replica's id stands for the boot: it changes only with the data folder. Boots
/// stay below 2^53, so that every JSON reader keeps them exactly.
const fn boot_of(id: agreed::Id) -> number::Boot {
    const BOOT_SHIFT: u32 = 11;
    number::Boot(id.0 >> BOOT_SHIFT)
}
