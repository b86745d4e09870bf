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
const PERIOD: Duration = Duration::from_millis(200);

/// Takes newcomers in, lets ready learners vote and takes out who is gone.
#[derive(Debug)]
pub(crate) struct Steward {
    state: Arc<replicated::State>,
    proposer: proposer::Proposer,
    replica: Arc<replica::Replica>,
    domain: id::Domain,
    patience: reconciler::Policy,
    lag: u64,
    /// When each member was first seen in this term. One that was just
    /// added has not answered yet and is not silent for that.
    since: BTreeMap<agreed::Id, duration::Instant>,
}

impl Steward {
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
            patience: reconciler::Policy::tolerating(losses),
            lag: limits::Limits::default().learner_lag,
            since: BTreeMap::new(),
        }
    }

    /// Looks after the group until the process stops.
    pub(crate) async fn watch(mut self) {
        loop {
            tokio::time::sleep(PERIOD).await;
            match self.replica.standing().await {
                Some(standing) if self.proposer.status().leads => self.look(&standing).await,
                _ => self.since.clear(),
            }
        }
    }

    async fn look(&mut self, standing: &replica::Standing) {
        for id in standing.members.0.keys() {
            self.since.entry(*id).or_insert(standing.now);
        }
        self.since
            .retain(|id, _| standing.members.0.contains_key(id));
        let change = reconciler::next_change(
            &self.patience,
            standing.own,
            &standing.members,
            |id| self.contact(standing, id),
            &standing.newcomers,
        );
        if let Some(change) = change {
            let told = format!("{change:?}");
            match self.replica.alter(change).await {
                Ok(()) => spdlog::info!("group: {told} is in force"),
                // It is looked at again; most refusals end by themselves.
                Err(cause) => spdlog::info!("group: {told} waits: {cause}"),
            }
            return;
        }
        self.tell(standing).await;
    }

    fn contact(&self, standing: &replica::Standing, id: agreed::Id) -> reconciler::Contact {
        let seen = self.since.get(&id).copied().unwrap_or(standing.now);
        let progress = standing.progress.get(&id);
        reconciler::Contact::new(standing.now, seen, progress, standing.last, self.lag)
    }

    /// Tells entries, by the replicated state, where the control processes are.
    ///
    /// Their settings name the first ones. Once all of those are replaced, an entry
    /// that lost its connection would find nobody.
    async fn tell(&self, standing: &replica::Standing) {
        let members = standing.members.0.iter();
        let current: Vec<(view::Member, number::Boot)> = members
            .map(|(id, member)| (self.shown(&member.peer), boot(*id)))
            .collect();
        let news = self.state.read(|fleet| {
            let fresh = current
                .iter()
                .filter(|(shown, boot)| fleet.members.would_change(shown, *boot));
            let fresh = fresh.map(|(shown, boot)| member::Step::Seen {
                member: shown.clone(),
                boot: *boot,
            });
            let is_gone = |known: &view::Member| {
                let control = known.role == view::Role::Control;
                let listed = current
                    .iter()
                    .any(|(shown, _)| shown.instance == known.instance);
                control && known.phase != view::Phase::Left && !listed
            };
            let gone = fleet.members.boots().filter(|(known, _)| is_gone(known));
            let gone = gone.map(|(known, boot)| member::Step::Gone {
                instance: known.instance.clone(),
                boot,
            });
            fresh.chain(gone).collect::<Vec<_>>()
        });
        for step in news {
            let told = self.proposer.propose(command::Command::Member(step)).await;
            if let Err(fault) = told {
                spdlog::info!("group: could not tell of a member: {}", fault.message);
                return;
            }
        }
    }

    fn shown(&self, peer: &cranberrygap_model::address::Peer) -> view::Member {
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
const fn boot(id: agreed::Id) -> number::Boot {
    const BOOT_SHIFT: u32 = 11;
    number::Boot(id.0 >> BOOT_SHIFT)
}
