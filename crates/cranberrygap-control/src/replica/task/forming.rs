//! Forming or joining the group, and the status published to the handle.

use std::time;

use cranberrygap_agreement::{formation, hard, input, node, packet, replica, write};
use cranberrygap_model::{address, number};
use serde_json::{Value, json};

use super::{Phase, Task};
use crate::replica::{dump, random, writer};

/// Returns the message with which a replica presents itself.
pub(super) fn new_hello(id: replica::Id, peer: &address::Peer) -> formation::Hello {
    let peer = peer.clone();
    formation::Hello { id, peer }
}

impl Task {
    /// Presents this replica to the voters unless it is a member of a group.
    pub(super) fn present(&mut self) {
        self.last_presented = time::Instant::now();
        let is_member = match &self.phase {
            Phase::Forming(_) => false,
            Phase::Running(node) => node.members().0.contains_key(&self.id),
            Phase::Joining(_) | Phase::Failed => true,
        };
        if is_member {
            return;
        }
        let packet = packet::Packet::Hello(new_hello(self.id, &self.environment.settings.own));
        for peer in &self.environment.settings.voters {
            if peer.instance != self.environment.settings.own.instance {
                self.send_packet(peer, &packet);
            }
        }
    }

    /// Forms the group if this replica is its founder.
    pub(super) fn try_form_group(&mut self) {
        let Phase::Forming(formation) = &self.phase else {
            return;
        };
        if !self.environment.settings.founds {
            return;
        }
        let Ok(group) = random() else {
            return;
        };
        let outcome = formation.try_form(replica::Group(group));
        self.handle_outcome(outcome);
    }

    /// Handles the message with which a replica presents itself.
    pub(super) fn handle_hello(&mut self, from: &address::Peer, hello: formation::Hello) {
        if let Phase::Forming(formation) = &mut self.phase {
            formation.receive_hello(&hello);
            self.try_form_group();
            return;
        }
        if matches!(self.phase, Phase::Running(_)) {
            if *from == hello.peer {
                self.forward_hello(&hello);
            }
            self.directory.record_hello(hello);
            if let Some(formed) = self.formed.clone() {
                self.send_packet(from, &packet::Packet::Formed(formed));
            }
        }
    }

    /// Forwards a newcomer's message to the leader.
    ///
    /// A replica presents itself to the processes named in its settings. Only the leader can add it
    /// to the group, and that may be another process.
    fn forward_hello(&self, hello: &formation::Hello) {
        let Phase::Running(node) = &self.phase else {
            return;
        };
        let leader = node.leader().filter(|leader| *leader != self.id);
        if let Some(leader) = leader.and_then(|leader| self.peer_of(leader)) {
            self.send_packet(&leader, &packet::Packet::Hello(hello.clone()));
        }
    }

    /// Handles the description of a group from a replica that belongs to it.
    pub(super) fn handle_formed(&mut self, formed: &formation::Formed) {
        if let Phase::Forming(formation) = &self.phase {
            let outcome = formation.receive_formed(formed);
            self.handle_outcome(outcome);
        }
    }

    fn handle_outcome(&mut self, outcome: formation::Outcome) {
        let own = &self.environment.settings.own;
        match outcome {
            formation::Outcome::Waiting => {}
            formation::Outcome::Founder(formed) => {
                spdlog::info!("agreement: joins group {} as a founder", formed.group);
                self.join_group(formed, true);
            }
            formation::Outcome::NonMember { formed, lost_disk } => {
                if lost_disk {
                    spdlog::error!(
                        "agreement: the folder is new, but {} was a voter of group {} with another \
                         one; it does not start as that voter",
                        own.instance,
                        formed.group
                    );
                }
                spdlog::info!(
                    "agreement: replica {} of {} waits to be added to group {} as a learner",
                    self.id,
                    own.instance,
                    formed.group
                );
                self.join_group(formed, false);
            }
        }
    }

    fn join_group(&mut self, formed: formation::Formed, is_founder: bool) {
        let hard = hard::State {
            term: number::Term(1),
            vote: None,
        };
        let entries = if is_founder {
            vec![formed.first_entry()]
        } else {
            Vec::new()
        };
        let start = node::Start::builder()
            .id(self.id)
            .group(formed.group)
            .timing(self.environment.settings.timing)
            .limits(self.environment.settings.limits)
            .seed(self.environment.seed)
            .hard(hard)
            .entries(entries.clone())
            .fresh(true)
            .build();
        let node = node::Node::new(start, self.environment.clock.now());
        let first = write::Write {
            hard: Some(hard),
            entries,
            ..write::Write::default()
        };
        self.formed = Some(formed.clone());
        self.phase = Phase::Joining(Box::new(node));
        self.write(writer::Job::Join(formed, Some(first)));
    }

    /// Starts taking part in the protocol once the group is durable.
    pub(super) fn finish_join(&mut self) {
        match std::mem::replace(&mut self.phase, Phase::Failed) {
            Phase::Joining(node) => self.phase = Phase::Running(node),
            other => self.phase = other,
        }
        self.step(input::Input::Tick);
    }

    /// Publishes the replica's status for the handle.
    pub(super) fn publish_status(&mut self) {
        let Phase::Running(node) = &self.phase else {
            self.environment.published.write().lease_end = None;
            return;
        };
        let leader = node.leader().and_then(|id| self.peer_of(id));
        let leads = node.is_leader();
        let may_grant = node.may_grant(self.environment.clock.now());
        let mut published = self.environment.published.write();
        published.term = node.hard().term;
        published.leader = leader;
        published.leader_is_self = leads;
        published.committed = node.committed();
        published.applied = node.applied();
        published.lease_end = node.lease_end().filter(|_| may_grant);
    }

    pub(super) fn dump(&self) -> Value {
        let now = self.environment.clock.now();
        let hellos = self
            .directory
            .iter_hellos()
            .map(|hello| json!({ "replica": hello.id.to_string(), "peer": hello.peer }));
        let hellos: Vec<Value> = hellos.collect();
        let (phase, state) = match &self.phase {
            Phase::Forming(formation) => ("forming", json!({ "missing": formation.missing() })),
            Phase::Joining(node) => ("joining", dump::dump_node(node, now)),
            Phase::Running(node) => ("running", dump::dump_node(node, now)),
            Phase::Failed => (
                "failed",
                json!({ "cause": self.environment.published.read().failure }),
            ),
        };
        json!({
            "own": self.environment.settings.own,
            "replica": self.id.to_string(),
            "group": self.formed.as_ref().map(|formed| formed.group.to_string()),
            "phase": phase,
            "state": state,
            "presented": hellos,
            "waiting_proposals": self.waiters.len(),
            "folder": self.environment.settings.folder.display().to_string(),
        })
    }
}
