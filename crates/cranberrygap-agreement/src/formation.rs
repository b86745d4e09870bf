//! How a group is formed, once, and how a lost disk is noticed.
//!
//! Each replica draws an id when its folder is created and presents itself to
//! the instances in its settings. The founder, the first of them by name, forms
//! the group when it has heard from all of them; the others take the group over
//! from any replica that has it. A replica whose id is not among the founders of
//! an existing group lost its disk or is new: it must be added as a learner.

use std::collections::BTreeMap;

use cranberrygap_model::{address, id, number};
use serde::{Deserialize, Serialize};

use crate::{entry, member, members, position, replica};

/// A replica without a group presents itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its id.
    pub id: replica::Id,
    /// Instance and address.
    pub peer: address::Peer,
}

/// A group and its first members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formed {
    /// The group.
    pub group: replica::Group,
    /// Its first members.
    pub founders: members::Members,
}

impl Formed {
    /// The first entry of every log of the group.
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

/// What a replica without a group has come to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing yet.
    Waiting,
    /// The group exists and this replica is one of its founders.
    Founder(Formed),
    /// The group exists and does not know this folder.
    NonMember {
        /// The group.
        formed: Formed,
        /// Whether this instance was a founder with another folder.
        lost_disk: bool,
    },
}

/// A replica that has no group yet.
#[derive(Debug, Clone)]
pub struct Formation {
    own: Hello,
    voters: Vec<address::Peer>,
    heard: BTreeMap<id::Instance, replica::Id>,
}

impl Formation {
    /// A replica with the instances that its settings name as voters.
    #[must_use]
    pub fn new(own: Hello, voters: Vec<address::Peer>) -> Self {
        let heard = BTreeMap::from([(own.peer.instance.clone(), own.id)]);
        Self { own, voters, heard }
    }

    /// Takes what another replica without a group says of itself.
    pub fn receive_hello(&mut self, hello: &Hello) {
        let instance = hello.peer.instance.clone();
        if instance != self.own.peer.instance {
            self.heard.insert(instance, hello.id);
        }
    }

    /// Instances that have not been heard from.
    #[must_use]
    pub fn missing(&self) -> Vec<&address::Peer> {
        let unheard = |peer: &&address::Peer| !self.heard.contains_key(&peer.instance);
        self.voters.iter().filter(unheard).collect()
    }

    /// Forms the group if this replica is the founder and has heard from all.
    ///
    /// A replica that lost its disk might found a second group with others that
    /// lost theirs, while a third one still holds what was accepted. Since all
    /// must be heard, the third one tells them that the group exists.
    #[must_use]
    pub fn try_form(&self, group: replica::Group) -> Outcome {
        let first = self.voters.iter().map(|peer| &peer.instance).min();
        if first != Some(&self.own.peer.instance) || !self.missing().is_empty() {
            return Outcome::Waiting;
        }
        let founders = self.voters.iter().filter_map(|peer| {
            let id = self.heard.get(&peer.instance)?;
            let peer = peer.clone();
            Some((*id, member::Member { peer, voter: true }))
        });
        let founders = members::Members(founders.collect());
        Outcome::Founder(Formed { group, founders })
    }

    /// Takes what a replica with a group says of it.
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
