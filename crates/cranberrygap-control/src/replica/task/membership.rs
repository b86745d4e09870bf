//! Proposals, membership changes and leadership transfer, submitted to the node.

use cranberrygap_agreement::{change, input, output, position, replica};
use cranberrygap_model::{address, id};

use super::{Phase, Task};
use crate::log;
use crate::replica::{Error, group_status, request};

impl Task {
    /// Passes an input to the node that it accepts or refuses, and returns which.
    pub(super) fn submit(
        &mut self,
        input: input::Input,
    ) -> Result<position::Position, output::Refusal> {
        let now = self.environment.clock.now();
        let mut outcome = Err(output::Refusal::NotLeader { leader: None });
        let Phase::Running(node) = &mut self.phase else {
            return outcome;
        };
        for output in node.step(now, input) {
            match output {
                output::Output::Accepted(position) => outcome = Ok(position),
                output::Output::Refused(refusal) => outcome = Err(refusal),
                other => self.execute(other),
            }
        }
        outcome
    }

    pub(super) fn to_log_error(&self, refusal: &output::Refusal) -> log::Error {
        match refusal {
            output::Refusal::Full => log::Error::Full,
            output::Refusal::TooLarge { size, limit } => log::Error::TooLarge {
                size: *size,
                limit: *limit,
            },
            output::Refusal::NotLeader { leader } => log::Error::NotLeader {
                leader: leader.and_then(|id| self.peer_of(id)),
            },
            _ => log::Error::NotLeader { leader: None },
        }
    }

    fn to_error(&self, refusal: output::Refusal) -> Error {
        match refusal {
            output::Refusal::NotLeader { leader } => Error::NotLeader {
                leader: leader.and_then(|id| self.peer_of(id)),
            },
            other => Error::Refused(other),
        }
    }

    pub(super) fn change_by_instance(
        &mut self,
        requested: request::Change,
        instance: &id::Instance,
        reply: request::Reply,
    ) {
        let outcome = self.submit_change(requested, instance);
        match outcome {
            Ok(position) => {
                spdlog::info!(
                    "agreement: {requested:?} {instance} proposed as entry {}",
                    position.index
                );
                self.waiters.add_change(position, reply);
            }
            Err(error) => drop(reply.send(Err(error))),
        }
        self.after_step();
    }

    fn submit_change(
        &mut self,
        requested: request::Change,
        instance: &id::Instance,
    ) -> Result<position::Position, Error> {
        let change = self.resolve_change(requested, instance)?;
        if let change::Change::Remove(id) = change {
            self.directory.remove_hello(id);
        }
        let outcome = self.submit(input::Input::Change(change));
        outcome.map_err(|refusal| self.to_error(refusal))
    }

    /// Proposes a membership change that names replicas, not instances.
    pub(super) fn change_by_id(&mut self, change: change::Change, reply: request::Reply) {
        spdlog::info!("agreement: {change:?} is proposed");
        if let change::Change::Remove(id) = change {
            self.directory.remove_hello(id);
        }
        match self.submit(input::Input::Change(change)) {
            Ok(position) => self.waiters.add_change(position, reply),
            Err(refusal) => drop(reply.send(Err(self.to_error(refusal)))),
        }
        self.after_step();
    }

    /// Returns the group's members and newcomers if this replica leads.
    pub(super) fn group_status(&self) -> Option<group_status::GroupStatus> {
        let Phase::Running(node) = &self.phase else {
            return None;
        };
        if !node.is_leader() {
            return None;
        }
        let now = self.environment.clock.now();
        Some(group_status::GroupStatus {
            leader: self.id,
            now,
            last_index: node.log().last().index,
            members: node.members().clone(),
            progress: node.progress(),
            newcomers: self.directory.newcomers(),
        })
    }

    /// Finds the replica that a change by instance name refers to.
    fn resolve_change(
        &self,
        requested: request::Change,
        instance: &id::Instance,
    ) -> Result<change::Change, Error> {
        let no_such_member = || Error::Refused(output::Refusal::NoSuchMember);
        match requested {
            request::Change::AddLearner => {
                let hello = self.directory.hello_of(instance);
                let hello = hello.ok_or_else(|| Error::NotHeard(instance.clone()))?;
                let (id, peer) = (hello.id, hello.peer.clone());
                Ok(change::Change::AddLearner { id, peer })
            }
            request::Change::Promote => {
                let learner = self.find_member(instance, false);
                learner
                    .map(change::Change::Promote)
                    .ok_or_else(no_such_member)
            }
            request::Change::Remove => {
                let member = self.longest_silent_member(instance);
                member
                    .map(change::Change::Remove)
                    .ok_or_else(no_such_member)
            }
        }
    }

    fn find_member(&self, instance: &id::Instance, voter: bool) -> Option<replica::Id> {
        match &self.phase {
            Phase::Running(node) => node.members().find(instance, voter),
            _ => None,
        }
    }

    /// Returns the member of this instance that answered longest ago, voters first.
    ///
    /// An instance that came back after losing its disk has two replicas in the group for a time.
    /// Removing the new one would leave the dead one.
    fn longest_silent_member(&self, instance: &id::Instance) -> Option<replica::Id> {
        let Phase::Running(node) = &self.phase else {
            return None;
        };
        let progress = node.progress();
        let candidates = node.members().0.iter();
        let candidates = candidates.filter(|(_, member)| member.peer.instance == *instance);
        let longest_silent = candidates.min_by_key(|(id, member)| {
            let own = **id == self.id;
            let answered = progress.get(id).and_then(|progress| progress.acknowledged);
            (own, !member.voter, answered)
        });
        longest_silent.map(|(id, _)| *id)
    }

    pub(super) fn begin_transfer(&mut self, reply: request::Reply) {
        match self.submit(input::Input::Transfer(None)) {
            Ok(_) => self.pending_transfer = Some(reply),
            Err(output::Refusal::NotLeader { .. }) => drop(reply.send(Ok(()))),
            Err(refusal) => drop(reply.send(Err(self.to_error(refusal)))),
        }
        self.after_step();
    }

    /// Returns the name and address of a member, or of another replica that was heard.
    ///
    /// A founder is reached by the address in this process's own settings, because the membership
    /// holds the address by which another founder reaches it. A later member may be missing in the
    /// settings.
    pub(super) fn peer_of(&self, id: replica::Id) -> Option<address::Peer> {
        let founder = self.formed.as_ref()?.founders.0.get(&id);
        let listed = founder.and_then(|member| {
            let instance = &member.peer.instance;
            let mut voters = self.environment.settings.voters.iter();
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
