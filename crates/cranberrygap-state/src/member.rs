//! Entries and control processes that belong to the fleet.

use std::collections::BTreeMap;

use cranberrygap_model::{id, number};
use cranberrygap_wire::view;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Members that are taken; ten times the planned number.
const MOST_MEMBERS: usize = 4_096;

/// Earlier boots that are remembered for each member, see the endpoints.
const FORMER_BOOTS: usize = 8;

/// All members.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Members {
    members: BTreeMap<id::Instance, Known>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Known {
    member: view::Member,
    boot: number::Boot,
    /// An operator took it out of service; ends with the next boot.
    drained: bool,
    former: SmallVec<[number::Boot; 2]>,
}

/// News of a member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Step {
    /// It told of itself.
    Seen {
        /// What it told.
        member: view::Member,
        /// Its boot.
        boot: number::Boot,
    },
    /// Its lease ran out long ago, or it left.
    Gone {
        /// Its name.
        instance: id::Instance,
        /// The boot that is gone.
        boot: number::Boot,
    },
}

/// What became of a member.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// What entries learn.
    pub changes: Vec<view::Change>,
    /// A process that ended: its boot will not be heard of again.
    pub ended: Option<(id::Instance, number::Boot)>,
}

impl Members {
    /// Takes news of a member; old news changes nothing.
    pub fn apply(&mut self, step: &Step) -> Outcome {
        match step {
            Step::Seen { member, boot } => self.see(member, *boot),
            Step::Gone { instance, boot } => self.lose(instance, *boot),
        }
    }

    fn see(&mut self, member: &view::Member, boot: number::Boot) -> Outcome {
        let Some(known) = self.members.get_mut(&member.instance) else {
            return self.add(member, boot);
        };
        if known.former.contains(&boot) {
            return Outcome::default();
        }
        let mut outcome = Outcome::default();
        if known.boot != boot {
            outcome.ended = Some((member.instance.clone(), known.boot));
            known.former.push(known.boot);
            if known.former.len() > FORMER_BOOTS {
                known.former.remove(0);
            }
            known.boot = boot;
            known.drained = false;
        }
        let mut member = member.clone();
        if known.drained && member.phase == view::Phase::Active {
            member.phase = view::Phase::Draining;
        }
        if member != known.member {
            known.member = member.clone();
            outcome.changes.push(view::Change::MemberChanged { member });
        }
        outcome
    }

    fn add(&mut self, member: &view::Member, boot: number::Boot) -> Outcome {
        if self.members.len() >= MOST_MEMBERS && !self.drop_one_that_left() {
            return Outcome::default();
        }
        let known = Known {
            member: member.clone(),
            boot,
            drained: false,
            former: SmallVec::new(),
        };
        self.members.insert(member.instance.clone(), known);
        let member = member.clone();
        Outcome {
            changes: vec![view::Change::MemberChanged { member }],
            ended: None,
        }
    }

    /// Makes room; entries may keep the dropped one as left, which is harmless.
    fn drop_one_that_left(&mut self) -> bool {
        let left = |known: &Known| known.member.phase == view::Phase::Left;
        let mut members = self.members.iter();
        let found = members.find(|(_, known)| left(known));
        let Some(name) = found.map(|(name, _)| name.clone()) else {
            return false;
        };
        self.members.remove(&name).is_some()
    }

    fn lose(&mut self, instance: &id::Instance, boot: number::Boot) -> Outcome {
        let known = self.members.get_mut(instance);
        let Some(known) = known.filter(|known| known.boot == boot) else {
            return Outcome::default();
        };
        if known.member.phase == view::Phase::Left {
            return Outcome::default();
        }
        known.member.phase = view::Phase::Left;
        let member = known.member.clone();
        Outcome {
            changes: vec![view::Change::MemberChanged { member }],
            ended: Some((instance.clone(), boot)),
        }
    }

    /// Takes a member out of service until its next boot.
    pub fn drain(&mut self, name: &str) -> Option<(view::Role, Vec<view::Change>)> {
        let known = self.members.get_mut(name)?;
        known.drained = true;
        if known.member.phase == view::Phase::Active {
            known.member.phase = view::Phase::Draining;
        }
        let member = known.member.clone();
        let role = member.role;
        Some((role, vec![view::Change::MemberChanged { member }]))
    }

    /// Whether news of a member would change something.
    #[must_use]
    pub fn would_change(&self, member: &view::Member, boot: number::Boot) -> bool {
        let mut trial = Self::default();
        if let Some(known) = self.members.get(&member.instance) {
            trial.members.insert(member.instance.clone(), known.clone());
        }
        let outcome = trial.see(member, boot);
        !outcome.changes.is_empty() || outcome.ended.is_some()
    }

    /// All members by name.
    pub fn iter(&self) -> impl Iterator<Item = &view::Member> {
        self.members.values().map(|known| &known.member)
    }

    /// Whether a process has ended for certain: another one of its instance came after it.
    #[must_use]
    pub fn has_ended(&self, instance: &id::Instance, boot: number::Boot) -> bool {
        let known = self.members.get(instance);
        known.is_some_and(|known| known.former.contains(&boot))
    }

    /// All members with their boots.
    pub fn boots(&self) -> impl Iterator<Item = (&view::Member, number::Boot)> {
        self.members
            .values()
            .map(|known| (&known.member, known.boot))
    }
}
