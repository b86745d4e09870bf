//! Proposals, changes of the membership and hand-over, asked of the node.

use cranberrygap_agreement::{change, input, output, position, replica};
use cranberrygap_model::{address, id};

use super::{Core, Phase};
use crate::log;
use crate::replica::{Error, request, standing};

impl Core {
    /// Gives the node an input that it takes or refuses.
    pub(super) fn ask(
        &mut self,
        input: input::Input,
    ) -> Result<position::Position, output::Refusal> {
        let now = self.parts.clock.now();
        let mut outcome = Err(output::Refusal::NotLeader { leader: None });
        let Phase::Running(node) = &mut self.phase else {
            return outcome;
        };
        for output in node.step(now, input) {
            match output {
                output::Output::Accepted(at) => outcome = Ok(at),
                output::Output::Refused(refusal) => outcome = Err(refusal),
                other => self.carry_out(other),
            }
        }
        outcome
    }

    pub(super) fn log_error(&self, refusal: &output::Refusal) -> log::Error {
        match refusal {
            output::Refusal::Full => log::Error::Full,
            output::Refusal::TooLarge { limit } => log::Error::TooLarge { limit: *limit },
            output::Refusal::NotLeader { leader } => log::Error::NotLeader {
                leader: leader.and_then(|id| self.peer(id)),
            },
            _ => log::Error::NotLeader { leader: None },
        }
    }

    fn error(&self, refusal: output::Refusal) -> Error {
        match refusal {
            output::Refusal::NotLeader { leader } => Error::NotLeader {
                leader: leader.and_then(|id| self.peer(id)),
            },
            other => Error::Refused(other),
        }
    }

    pub(super) fn change(
        &mut self,
        wanted: request::Change,
        instance: &id::Instance,
        answer: request::Done,
    ) {
        let outcome = self.begin_change(wanted, instance);
        match outcome {
            Ok(at) => {
                spdlog::info!(
                    "agreement: {wanted:?} {instance} proposed as entry {}",
                    at.index
                );
                self.waiters.change(at, answer);
            }
            Err(error) => drop(answer.send(Err(error))),
        }
        self.after_step();
    }

    fn begin_change(
        &mut self,
        wanted: request::Change,
        instance: &id::Instance,
    ) -> Result<position::Position, Error> {
        let change = self.resolve(wanted, instance)?;
        if let change::Change::Remove(id) = change {
            self.directory.forget(id);
        }
        let outcome = self.ask(input::Input::Change(change));
        outcome.map_err(|refusal| self.error(refusal))
    }

    /// Carries out a change that names replicas, not instances.
    pub(super) fn alter(&mut self, change: change::Change, answer: request::Done) {
        spdlog::info!("agreement: {change:?} is proposed");
        if let change::Change::Remove(id) = change {
            self.directory.forget(id);
        }
        match self.ask(input::Input::Change(change)) {
            Ok(at) => self.waiters.change(at, answer),
            Err(refusal) => drop(answer.send(Err(self.error(refusal)))),
        }
        self.after_step();
    }

    /// What a leader knows of the members and of who would be one.
    pub(super) fn standing(&self) -> Option<standing::Standing> {
        let Phase::Running(node) = &self.phase else {
            return None;
        };
        if !node.is_leader() {
            return None;
        }
        let now = self.parts.clock.now();
        Some(standing::Standing {
            own: self.own,
            now,
            last: node.log().last().index,
            members: node.members().clone(),
            progress: node.progress(),
            newcomers: self.directory.newcomers(),
        })
    }

    /// Finds the replica that is meant by an instance's name.
    fn resolve(
        &self,
        wanted: request::Change,
        instance: &id::Instance,
    ) -> Result<change::Change, Error> {
        let missing = || Error::Refused(output::Refusal::NoSuchMember);
        match wanted {
            request::Change::AddLearner => {
                let hello = self.directory.presented(instance);
                let hello = hello.ok_or_else(|| Error::NotHeard(instance.clone()))?;
                let (id, peer) = (hello.id, hello.peer.clone());
                Ok(change::Change::AddLearner { id, peer })
            }
            request::Change::Promote => {
                let learner = self.member(instance, false);
                learner.map(change::Change::Promote).ok_or_else(missing)
            }
            request::Change::Remove => {
                let found = self.most_silent(instance);
                found.map(change::Change::Remove).ok_or_else(missing)
            }
        }
    }

    fn member(&self, instance: &id::Instance, voter: bool) -> Option<replica::Id> {
        match &self.phase {
            Phase::Running(node) => node.members().find(instance, voter),
            _ => None,
        }
    }

    /// The member of that name that answered longest ago, voters first.
    ///
    /// An instance that came back after the loss of its disk has two replicas in
    /// the group for a time. Taking the new one out would leave the dead one.
    fn most_silent(&self, instance: &id::Instance) -> Option<replica::Id> {
        let Phase::Running(node) = &self.phase else {
            return None;
        };
        let progress = node.progress();
        let named = node.members().0.iter();
        let named = named.filter(|(_, member)| member.peer.instance == *instance);
        let chosen = named.min_by_key(|(id, member)| {
            let own = **id == self.own;
            let answered = progress.get(id).and_then(|found| found.acknowledged);
            (own, !member.voter, answered)
        });
        chosen.map(|(id, _)| *id)
    }

    pub(super) fn begin_transfer(&mut self, answer: request::Done) {
        match self.ask(input::Input::Transfer(None)) {
            Ok(_) => self.transfer = Some(answer),
            Err(output::Refusal::NotLeader { .. }) => drop(answer.send(Ok(()))),
            Err(refusal) => drop(answer.send(Err(self.error(refusal)))),
        }
        self.after_step();
    }

    /// Name and address of a member, or of a replica that was heard.
    ///
    /// A founder is reached by the address in this process's own settings: the
    /// membership holds the one by which another founder reaches it. A later
    /// member may be newer than the settings.
    pub(super) fn peer(&self, id: replica::Id) -> Option<address::Peer> {
        let founder = self.formed.as_ref()?.founders.0.get(&id);
        let listed = founder.and_then(|member| {
            let instance = &member.peer.instance;
            let mut voters = self.parts.settings.voters.iter();
            voters.find(|voter| voter.instance == *instance)
        });
        let member = match &self.phase {
            Phase::Running(node) => node.members().0.get(&id),
            _ => None,
        };
        let peer = listed.or_else(|| member.map(|member| &member.peer));
        peer.or_else(|| self.directory.address(id)).cloned()
    }
}
