//! One-time formation of a group, and detection of lost disks.
//!
//! Each replica draws an id when its data folder is created and sends a hello to
//! the instances in its settings. The founder, the first of them by name, forms
//! the group once it has heard from all of them; the others adopt the group from
//! any replica that belongs to it. A replica whose id is not among the founders
//! of an existing group is new or lost its disk: it must be added as a learner.

use std::collections::BTreeMap;

use cranberrygap_model::{address, id, number};
use serde::{Deserialize, Serialize};

use crate::{entry, member, members, position, replica};

/// Sent by a replica that belongs to no group yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Id of the sender.
    pub id: replica::Id,
    /// Instance and address of the sender.
    pub peer: address::Peer,
}

/// A group and its first members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formed {
    /// Id of the group.
    pub group: replica::Group,
    /// First members of the group.
    pub founders: members::Members,
}

impl Formed {
    /// Returns the first entry of every log of the group.
    #[must_use]
    pub fn first_entry(&self) -> entry::Entry {
        entry::Entry {
            position: position::Position {
                term: number::Term(1),
                index: number::Index(1),
            },
            payload: entry::Payload::Members(self.founders.clone()),
        }
    }
}

/// Result of a step of formation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The group is not known yet.
    Waiting,
    /// The group exists and this replica is one of its founders.
    Founder(Formed),
    /// The group exists and this replica is not one of its founders.
    NonMember {
        /// The group and its founders.
        formed: Formed,
        /// Whether this instance was a founder with another data folder.
        lost_disk: bool,
    },
}

/// State of a replica that has no group yet.
#[derive(Debug, Clone)]
pub struct Formation {
    own: Hello,
    voters: Vec<address::Peer>,
    ids: BTreeMap<id::Instance, replica::Id>,
}

impl Formation {
    /// Starts formation with the instances that the settings name as voters.
    #[must_use]
    pub fn new(own: Hello, voters: Vec<address::Peer>) -> Self {
        let ids = BTreeMap::from([(own.peer.instance.clone(), own.id)]);
        Self { own, voters, ids }
    }

    /// Records the hello of another replica without a group.
    pub fn receive_hello(&mut self, hello: &Hello) {
        let instance = hello.peer.instance.clone();
        if instance != self.own.peer.instance {
            self.ids.insert(instance, hello.id);
        }
    }

    /// Returns the instances that have not been heard from.
    #[must_use]
    pub fn missing(&self) -> Vec<&address::Peer> {
        let is_missing = |peer: &&address::Peer| !self.ids.contains_key(&peer.instance);
        self.voters.iter().filter(is_missing).collect()
    }

    /// Forms the group if this replica is the founder and has heard from all instances.
    ///
    /// Hearing from all of them prevents a second group: replicas that lost their
    /// disks could otherwise form one while another replica still holds accepted
    /// changes. That replica tells them that the group exists.
    #[must_use]
    pub fn try_form(&self, group: replica::Group) -> Outcome {
        let founder = self.voters.iter().map(|peer| &peer.instance).min();
        if founder != Some(&self.own.peer.instance) || !self.missing().is_empty() {
            return Outcome::Waiting;
        }
        let founders = self.voters.iter().filter_map(|peer| {
            let id = self.ids.get(&peer.instance)?;
            let peer = peer.clone();
            Some((*id, member::Member { peer, voter: true }))
        });
        let founders = members::Members(founders.collect());
        Outcome::Founder(Formed { group, founders })
    }

    /// Adopts a group that another replica belongs to.
    #[must_use]
    pub fn receive_formed(&self, formed: &Formed) -> Outcome {
        if formed.founders.is_voter(self.own.id) {
            return Outcome::Founder(formed.clone());
        }
        let instance = &self.own.peer.instance;
        Outcome::NonMember {
            formed: formed.clone(),
            lost_disk: formed.founders.find(instance, true).is_some(),
        }
    }
}
