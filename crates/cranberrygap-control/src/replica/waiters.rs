//! Proposals that wait for their commit.

use std::collections::BTreeMap;

use bytes::Bytes;
use cranberrygap_agreement::position;
use cranberrygap_model::number;

use super::request;
use crate::log;

/// Who is told when an entry commits.
#[derive(Debug)]
enum Waiter {
    Proposal(request::Committed),
    Change(request::Done),
}

/// Waiters by the index that their entry got.
#[derive(Debug, Default)]
pub(super) struct Waiters(BTreeMap<number::Index, (number::Term, Waiter)>);

impl Waiters {
    pub(super) fn proposal(&mut self, at: position::Position, answer: request::Committed) {
        self.0.insert(at.index, (at.term, Waiter::Proposal(answer)));
    }

    pub(super) fn change(&mut self, at: position::Position, answer: request::Done) {
        self.0.insert(at.index, (at.term, Waiter::Change(answer)));
    }

    /// Tells who waits for the entry at `at`.
    pub(super) fn settle(&mut self, at: position::Position, answer: &Bytes) {
        let Some((term, waiter)) = self.0.remove(&at.index) else {
            return;
        };
        if term != at.term {
            unknown(waiter);
            return;
        }
        match waiter {
            Waiter::Proposal(sender) => {
                let index = at.index;
                let answer = answer.clone();
                drop(sender.send(Ok(log::Committed { index, answer })));
            }
            Waiter::Change(sender) => drop(sender.send(Ok(()))),
        }
    }

    /// Tells all that the outcome is not known.
    ///
    /// A leader that lost its leadership cannot tell whether its successor commits
    /// what it proposed. The callers are told at once, so that they can ask the
    /// successor.
    pub(super) fn give_up(&mut self) {
        let waiting = std::mem::take(&mut self.0);
        for (_, waiter) in waiting.into_values() {
            unknown(waiter);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}

fn unknown(waiter: Waiter) {
    match waiter {
        Waiter::Proposal(sender) => drop(sender.send(Err(log::Error::Unknown))),
        Waiter::Change(sender) => drop(sender.send(Err(super::Error::Unknown))),
    }
}
