//! Callers that wait for the commit of an entry.

use std::collections::BTreeMap;

use bytes::Bytes;
use cranberrygap_agreement::position;
use cranberrygap_model::number;

use super::request;
use crate::log;

/// Caller that is answered when an entry commits.
#[derive(Debug)]
enum Waiter {
    Proposal(request::ProposalReply),
    Change(request::Reply),
}

/// Waiters by the index of their entry.
#[derive(Debug, Default)]
pub(super) struct Waiters(BTreeMap<number::Index, (number::Term, Waiter)>);

impl Waiters {
    pub(super) fn add_proposal(
        &mut self,
        position: position::Position,
        reply: request::ProposalReply,
    ) {
        self.0
            .insert(position.index, (position.term, Waiter::Proposal(reply)));
    }

    pub(super) fn add_change(&mut self, position: position::Position, reply: request::Reply) {
        self.0
            .insert(position.index, (position.term, Waiter::Change(reply)));
    }

    /// Answers the caller that waits for the entry at `at`.
    pub(super) fn complete(&mut self, position: position::Position, answer: &Bytes) {
        let Some((term, waiter)) = self.0.remove(&position.index) else {
            return;
        };
        if term != position.term {
            fail(waiter);
            return;
        }
        match waiter {
            Waiter::Proposal(reply) => {
                let index = position.index;
                let answer = answer.clone();
                drop(reply.send(Ok(log::Committed { index, answer })));
            }
            Waiter::Change(reply) => drop(reply.send(Ok(()))),
        }
    }

    /// Answers all callers that the outcome is not known.
    ///
    /// A leader that lost its leadership cannot tell whether its successor commits what it
    /// proposed. An immediate answer lets the callers ask the successor.
    pub(super) fn fail_all(&mut self) {
        let waiting = std::mem::take(&mut self.0);
        for (_, waiter) in waiting.into_values() {
            fail(waiter);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}

fn fail(waiter: Waiter) {
    match waiter {
        Waiter::Proposal(reply) => drop(reply.send(Err(log::Error::Unknown))),
        Waiter::Change(reply) => drop(reply.send(Err(super::Error::Unknown))),
    }
}
