//! Entries and control processes that belong to the fleet.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number};
use cranberrygap_wire::view;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Most members that are kept: ten times the planned number.
const MAX_MEMBERS: usize = 4_096;

/// Most earlier boots that are remembered for each member, for the same reason as for endpoints.
const MAX_FORMER_BOOTS: usize = 8;

/// All members, by instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Members {
    members: BTreeMap<id::Instance, Registration>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Registration {
    member: view::Member,
    boot: number::Boot,
    /// Whether an operator took the member out of service; reset by the next boot.
    drained: bool,
    #[serde(rename = "former")]
    former_boots: SmallVec<[number::Boot; 2]>,
}

/// A change of a member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Step {
    /// The member announced itself.
    Seen {
        /// Announced content.
        member: view::Member,
        /// Boot of the process.
        boot: number::Boot,
    },
    /// The member's lease ran out long ago, or it left.
    Gone {
        /// Instance of the member.
        instance: id::Instance,
        /// Boot of the process that is gone.
        boot: number::Boot,
    },
}

/// Result of a change of a member.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Changes of the view.
    pub changes: Vec<view::Change>,
    /// Process that ended, if any: its boot will not be heard from again.
    pub ended: Option<(id::Instance, number::Boot)>,
}

impl Members {
    /// Applies a change of a member; a stale one changes nothing.
    pub fn apply(&mut self, step: &Step) -> Outcome {
        match step {
            Step::Seen { member, boot } => self.observe(member, *boot),
            Step::Gone { instance, boot } => self.mark_left(instance, *boot),
        }
    }

    fn observe(&mut self, member: &view::Member, boot: number::Boot) -> Outcome {
        let Some(registration) = self.members.get_mut(&member.instance) else {
            return self.add(member, boot);
        };
        if registration.former_boots.contains(&boot) {
            return Outcome::default();
        }
        let mut outcome = Outcome::default();
        if registration.boot != boot {
            outcome.ended = Some((member.instance.clone(), registration.boot));
            registration.former_boots.push(registration.boot);
            if registration.former_boots.len() > MAX_FORMER_BOOTS {
                registration.former_boots.remove(0);
            }
            registration.boot = boot;
            registration.drained = false;
        }
        let mut member = member.clone();
        if registration.drained && member.phase == view::Phase::Active {
            member.phase = view::Phase::Draining;
        }
        if member != registration.member {
            registration.member = member.clone();
            outcome.changes.push(view::Change::MemberChanged { member });
        }
        outcome
    }

    fn add(&mut self, member: &view::Member, boot: number::Boot) -> Outcome {
        if self.members.len() >= MAX_MEMBERS && !self.evict_left_member() {
            return Outcome::default();
        }
        let registration = Registration {
            member: member.clone(),
            boot,
            drained: false,
            former_boots: SmallVec::new(),
        };
        self.members.insert(member.instance.clone(), registration);
        let member = member.clone();
        Outcome {
            changes: vec![view::Change::MemberChanged { member }],
            ended: None,
        }
    }

    /// Evicts a member that left; entries may keep it as left, which is harmless.
    fn evict_left_member(&mut self) -> bool {
        let has_left = |registration: &Registration| registration.member.phase == view::Phase::Left;
        let mut members = self.members.iter();
        let found = members.find(|(_, registration)| has_left(registration));
        let Some(name) = found.map(|(name, _)| name.clone()) else {
            return false;
        };
        self.members.remove(&name).is_some()
    }

    fn mark_left(&mut self, instance: &id::Instance, boot: number::Boot) -> Outcome {
        let registration = self.members.get_mut(instance);
        let Some(registration) = registration.filter(|registration| registration.boot == boot)
        else {
            return Outcome::default();
        };
        if registration.member.phase == view::Phase::Left {
            return Outcome::default();
        }
        registration.member.phase = view::Phase::Left;
        let member = registration.member.clone();
        Outcome {
            changes: vec![view::Change::MemberChanged { member }],
            ended: Some((instance.clone(), boot)),
        }
    }

    /// Takes a member out of service until its next boot.
    pub fn drain(&mut self, name: &str) -> Option<(view::Role, Vec<view::Change>)> {
        let registration = self.members.get_mut(name)?;
        registration.drained = true;
        if registration.member.phase == view::Phase::Active {
            registration.member.phase = view::Phase::Draining;
        }
        let member = registration.member.clone();
        let role = member.role;
        Some((role, vec![view::Change::MemberChanged { member }]))
    }

    /// Returns whether an announcement of a member would change the state.
    #[must_use]
    pub fn would_change(&self, member: &view::Member, boot: number::Boot) -> bool {
        let mut scratch = Self::default();
        if let Some(registration) = self.members.get(&member.instance) {
            scratch
                .members
                .insert(member.instance.clone(), registration.clone());
        }
        let outcome = scratch.observe(member, boot);
        !outcome.changes.is_empty() || outcome.ended.is_some()
    }

    /// Returns all members by name.
    pub fn iter(&self) -> impl Iterator<Item = &view::Member> {
        self.members
            .values()
            .map(|registration| &registration.member)
    }

    /// Returns whether a process has certainly ended.
    ///
    /// It has if a later process of its instance was heard.
    #[must_use]
    pub fn has_ended(&self, instance: &id::Instance, boot: number::Boot) -> bool {
        let registration = self.members.get(instance);
        registration.is_some_and(|registration| registration.former_boots.contains(&boot))
    }

    /// Returns all members with their boots.
    pub fn boots(&self) -> impl Iterator<Item = (&view::Member, number::Boot)> {
        self.members
            .values()
            .map(|registration| (&registration.member, registration.boot))
    }
}
