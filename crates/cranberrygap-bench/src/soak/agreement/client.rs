//! Clients that race under equal revisions and send again after a lost answer.

use std::collections::VecDeque;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::machine;

/// Changes that may come between a change and its resend; well below what the
/// state machine remembers.
const SOON: u64 = 24;

/// What the clients know.
#[derive(Debug, Default)]
pub struct Client {
    next: u64,
    revision: u64,
    unanswered: VecDeque<machine::Change>,
}

impl Client {
    /// The next changes to propose together, and how many are sent again.
    pub fn changes(&mut self, rng: &mut ChaCha8Rng) -> (Vec<machine::Change>, u64) {
        let mut changes = Vec::new();
        let mut again = 0;
        let soon = |change: &machine::Change, next: u64| next - change.id < SOON;
        self.unanswered.retain(|change| soon(change, self.next));
        if rng.random_bool(0.3)
            && let Some(change) = self.unanswered.pop_front()
        {
            again += 1;
            changes.push(change);
        }
        for _ in 0..rng.random_range(1..=3) {
            self.next += 1;
            let (id, expect) = (self.next, self.revision);
            changes.push(machine::Change { id, expect });
        }
        (changes, again)
    }

    /// An answer arrived.
    pub fn answered(&mut self, answer: machine::Answer) {
        if let machine::Answer::Won(revision) = answer {
            self.revision = self.revision.max(revision);
        }
    }

    /// A reader told the clients the present revision.
    pub fn read(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// No answer arrived.
    pub fn unanswered(&mut self, change: machine::Change) {
        self.unanswered.push_back(change);
    }
}
