//! The invariants, checked while the protocol runs.

use std::collections::BTreeMap;

use cranberrygap_agreement::{entry, members, node, position, replica};
use cranberrygap_model::number;

use super::{machine, tally};

/// An entry known to be committed.
#[derive(Debug, Clone)]
struct Committed {
    entry: entry::Entry,
    /// Term of the replica that first knew it, which is the leader's.
    term: number::Term,
}

/// What the checks remember of the whole run.
#[derive(Debug, Default)]
pub struct Check {
    leaders: BTreeMap<number::Term, replica::Id>,
    committed: Vec<Committed>,
    digests: BTreeMap<number::Index, u64>,
    winners: BTreeMap<u64, u64>,
    answers: BTreeMap<u64, machine::Answer>,
    acknowledged: BTreeMap<u64, position::Position>,
    members: members::Members,
}

type Verdict = Result<(), String>;

impl Check {
    /// Latest committed membership.
    pub fn members(&self) -> &members::Members {
        &self.members
    }

    /// Last committed index.
    pub fn last(&self) -> number::Index {
        number::Index(self.committed.len() as u64)
    }

    /// Looks at a replica after it took an input; `known` was committed before.
    pub fn observe(
        &mut self,
        node: &node::Node,
        known: number::Index,
        tally: &mut tally::Tally,
    ) -> Verdict {
        self.extend(node, known, tally)?;
        if node.is_leader() {
            self.elected(node, tally)?;
        }
        Ok(())
    }

    /// At most one leader in a term, and it holds all that was committed before.
    fn elected(&mut self, node: &node::Node, tally: &mut tally::Tally) -> Verdict {
        let term = node.hard().term;
        match self.leaders.get(&term) {
            Some(known) if *known == node.id() => return Ok(()),
            Some(known) => {
                let both = format!("{known} and {}", node.id());
                return Err(format!("election safety: {both} lead in term {term}"));
            }
            None => {}
        }
        tally.elections += 1;
        self.leaders.insert(term, node.id());
        let base = node.log().base().index;
        for (at, committed) in self.committed.iter().enumerate() {
            let index = number::Index(at as u64 + 1);
            if index <= base || committed.term >= term {
                continue;
            }
            if node.log().get(index) != Some(&committed.entry) {
                return Err(format!(
                    "leader completeness: {} leads in term {term} without committed entry {index}",
                    node.id()
                ));
            }
        }
        Ok(())
    }

    /// What one replica takes for committed, all others take for the same.
    fn extend(
        &mut self,
        node: &node::Node,
        known: number::Index,
        tally: &mut tally::Tally,
    ) -> Verdict {
        let term = node.hard().term;
        for entry in node.log().slice(known.next(), node.committed()) {
            let index = entry.position.index;
            let place = place(index);
            if let Some(found) = self.committed.get(place) {
                if found.entry != *entry {
                    return Err(format!(
                        "state-machine safety: {} commits another entry at {index}",
                        node.id()
                    ));
                }
                continue;
            }
            if place != self.committed.len() {
                return Err(format!("{} commits {index} after a gap", node.id()));
            }
            tally.commits += 1;
            if let entry::Payload::Members(members) = &entry.payload {
                tally.membership_changes += 1;
                self.members = members.clone();
            }
            let entry = entry.clone();
            self.committed.push(Committed { entry, term });
        }
        Ok(())
    }

    /// All state machines are the same after the same entry.
    pub fn applied(&mut self, at: number::Index, machine: &machine::Machine) -> Verdict {
        let digest = machine.digest ^ machine.revision;
        let known = *self.digests.entry(at).or_insert(digest);
        if known != digest {
            return Err(format!(
                "state-machine safety: states differ after entry {at}"
            ));
        }
        Ok(())
    }

    /// A client got an answer: it stays, and each revision has one winner.
    pub fn acknowledged(
        &mut self,
        at: position::Position,
        change: machine::Change,
        answer: machine::Answer,
        tally: &mut tally::Tally,
    ) -> Verdict {
        tally.acknowledged += 1;
        if let machine::Answer::Beaten(_) = answer {
            tally.beaten += 1;
        }
        let first = *self.answers.entry(change.id).or_insert(answer);
        if first != answer {
            return Err(format!("change {} got two different answers", change.id));
        }
        if let machine::Answer::Won(revision) = answer {
            let winner = *self.winners.entry(revision).or_insert(change.id);
            if winner != change.id {
                let both = format!("{winner} and {}", change.id);
                return Err(format!("one winner: {both} both made revision {revision}"));
            }
        }
        self.acknowledged.entry(change.id).or_insert(at);
        Ok(())
    }

    /// Every acknowledged change is in the committed log where it was.
    pub fn nothing_lost(&self) -> Verdict {
        for (id, at) in &self.acknowledged {
            let found = self.committed.get(place(at.index));
            let entry = found.map(|found| &found.entry);
            let there = entry.is_some_and(|entry| entry.position == *at && holds(entry, *id));
            if !there {
                return Err(format!(
                    "accepted change {id} at entry {} is lost",
                    at.index
                ));
            }
        }
        Ok(())
    }

    /// Two logs that agree at an entry agree in all before it.
    pub fn logs_match(left: &node::Node, right: &node::Node) -> Verdict {
        let first = left.log().base().index.max(right.log().base().index).next();
        let last = left.log().last().index.min(right.log().last().index);
        let common = (first.0..=last.0)
            .rev()
            .map(number::Index)
            .find(|index| left.log().position(*index) == right.log().position(*index));
        let Some(common) = common else {
            return Ok(());
        };
        if left.log().slice(first, common) == right.log().slice(first, common) {
            return Ok(());
        }
        let both = format!("{} and {}", left.id(), right.id());
        Err(format!(
            "log matching: {both} agree at {common} but not before"
        ))
    }
}

fn place(index: number::Index) -> usize {
    usize::try_from(index.0 - 1).unwrap_or(usize::MAX)
}

fn holds(entry: &entry::Entry, id: u64) -> bool {
    match &entry.payload {
        entry::Payload::Data(data) => {
            machine::Change::decode(data).is_some_and(|change| change.id == id)
        }
        _ => false,
    }
}
