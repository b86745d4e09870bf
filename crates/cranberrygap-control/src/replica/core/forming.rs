//! Forming or finding the group, and what the handle may read.

use std::time;

use cranberrygap_agreement::{formation as forming, hard, input, node, packet, replica, write};
use cranberrygap_model::{address, number};
use serde_json::{Value, json};

use super::{Core, Phase};
use crate::replica::{dump, random, writer};

/// What a replica says of itself.
pub(super) fn hello(id: replica::Id, peer: &address::Peer) -> forming::Hello {
    let peer = peer.clone();
    forming::Hello { id, peer }
}

impl Core {
    /// Presents this replica to the voters if it is no member of a group.
    pub(super) fn present(&mut self) {
        self.presented = time::Instant::now();
        let member = match &self.phase {
            Phase::Forming(_) => false,
            Phase::Running(node) => node.members().0.contains_key(&self.own),
            Phase::Joining(_) | Phase::Failed => true,
        };
        if member {
            return;
        }
        let packet = packet::Packet::Hello(hello(self.own, &self.parts.settings.own));
        for peer in &self.parts.settings.voters {
            if peer.instance != self.parts.settings.own.instance {
                self.send_packet(peer, &packet);
            }
        }
    }

    /// Forms the group if this replica is the one to do it.
    pub(super) fn try_found(&mut self) {
        let Phase::Forming(forming) = &self.phase else {
            return;
        };
        if !self.parts.settings.founds {
            return;
        }
        let Ok(group) = random() else {
            return;
        };
        let outcome = forming.try_form(replica::Group(group));
        self.conclude(outcome);
    }

    /// Takes what a replica without a group says of itself.
    pub(super) fn hello(&mut self, from: &address::Peer, hello: forming::Hello) {
        if let Phase::Forming(forming) = &mut self.phase {
            forming.receive_hello(&hello);
            self.try_found();
            return;
        }
        if matches!(self.phase, Phase::Running(_)) {
            if *from == hello.peer {
                self.pass_on(&hello);
            }
            self.directory.present(hello);
            if let Some(formed) = self.formed.clone() {
                self.send_packet(from, &packet::Packet::Formed(formed));
            }
        }
    }

    /// Tells the leader of a replica that presents itself here.
    ///
    /// A replica knows the processes that its settings name, and the leader, who alone can
    /// take it in, need not be one of them.
    fn pass_on(&self, hello: &forming::Hello) {
        let Phase::Running(node) = &self.phase else {
            return;
        };
        let leader = node.leader().filter(|leader| *leader != self.own);
        if let Some(leader) = leader.and_then(|leader| self.peer(leader)) {
            self.send_packet(&leader, &packet::Packet::Hello(hello.clone()));
        }
    }

    /// Takes what a replica with a group says of it.
    pub(super) fn learn(&mut self, formed: &forming::Formed) {
        if let Phase::Forming(forming) = &self.phase {
            let outcome = forming.receive_formed(formed);
            self.conclude(outcome);
        }
    }

    fn conclude(&mut self, outcome: forming::Outcome) {
        let own = &self.parts.settings.own;
        match outcome {
            forming::Outcome::Waiting => {}
            forming::Outcome::Founder(formed) => {
                spdlog::info!("agreement: a founder of group {}", formed.group);
                self.join(formed, true);
            }
            forming::Outcome::NonMember { formed, lost_disk } => {
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
                    self.own,
                    own.instance,
                    formed.group
                );
                self.join(formed, false);
            }
        }
    }

    fn join(&mut self, formed: forming::Formed, founder: bool) {
        let hard = hard::State {
            term: number::Term(1),
            vote: None,
        };
        let entries = if founder {
            vec![formed.first_entry()]
        } else {
            Vec::new()
        };
        let start = node::Start::builder()
            .id(self.own)
            .group(formed.group)
            .timing(self.parts.settings.timing)
            .limits(self.parts.settings.limits)
            .seed(self.parts.seed)
            .hard(hard)
            .entries(entries.clone())
            .fresh(true)
            .build();
        let node = node::Node::new(start, self.parts.clock.now());
        let first = write::Write {
            hard: Some(hard),
            entries,
            ..write::Write::default()
        };
        self.formed = Some(formed.clone());
        self.phase = Phase::Joining(Box::new(node));
        self.write(writer::Job::Join(formed, Some(first)));
    }

    /// The group is durable; takes part from now on.
    pub(super) fn joined(&mut self) {
        match std::mem::replace(&mut self.phase, Phase::Failed) {
            Phase::Joining(node) => self.phase = Phase::Running(node),
            other => self.phase = other,
        }
        self.step(input::Input::Tick);
    }

    /// Shows the handle where the replica stands.
    pub(super) fn publish(&mut self) {
        let Phase::Running(node) = &self.phase else {
            self.parts.published.write().lease_end = None;
            return;
        };
        let leader = node.leader().and_then(|id| self.peer(id));
        let own = node.is_leader();
        let settled = node.may_grant(self.parts.clock.now());
        let mut published = self.parts.published.write();
        published.term = node.hard().term;
        published.leader = leader;
        published.own = own;
        published.committed = node.committed();
        published.applied = node.applied();
        published.lease_end = node.lease_end().filter(|_| settled);
    }

    pub(super) fn dump(&self) -> Value {
        let now = self.parts.clock.now();
        let presented = self
            .directory
            .all_presented()
            .map(|hello| json!({ "replica": hello.id.to_string(), "peer": hello.peer }));
        let presented: Vec<Value> = presented.collect();
        let (phase, state) = match &self.phase {
            Phase::Forming(forming) => ("forming", json!({ "missing": forming.missing() })),
            Phase::Joining(node) => ("joining", dump::node(node, now)),
            Phase::Running(node) => ("running", dump::node(node, now)),
            Phase::Failed => (
                "failed",
                json!({ "cause": self.parts.published.read().failure }),
            ),
        };
        json!({
            "own": self.parts.settings.own,
            "replica": self.own.to_string(),
            "group": self.formed.as_ref().map(|formed| formed.group.to_string()),
            "phase": phase,
            "state": state,
            "presented": presented,
            "waiting_proposals": self.waiters.len(),
            "folder": self.parts.settings.folder.display().to_string(),
        })
    }
}
