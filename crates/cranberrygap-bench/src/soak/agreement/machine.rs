//! The state machine of the run: changes by compare-and-set on a revision.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Answers that are kept for a resend; resends come sooner than that.
const REMEMBERED: usize = 64;

/// A change under an expected revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Number of the change, the same when it is sent again.
    pub id: u64,
    /// Revision that it expects.
    pub expect: u64,
}

impl Change {
    /// The change as a payload.
    pub fn encode(self) -> Bytes {
        let text = serde_json::to_vec(&self).expect("a change is always encodable");
        Bytes::from(text)
    }

    /// The change in a payload.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It made this revision.
    Won(u64),
    /// That change made the present revision.
    Beaten(u64),
}

/// Revision, answers and a digest of all that was applied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Present revision.
    pub revision: u64,
    /// Change that made it.
    pub winner: u64,
    /// Digest of all changes in order.
    pub digest: u64,
    answers: BTreeMap<u64, Answer>,
    order: VecDeque<u64>,
}

impl Machine {
    /// Applies a change; one that was applied before gets its first answer.
    pub fn apply(&mut self, change: Change) -> Answer {
        self.digest = mix(self.digest, change.id);
        if let Some(answer) = self.answers.get(&change.id) {
            return *answer;
        }
        let answer = if change.expect == self.revision {
            self.revision += 1;
            self.winner = change.id;
            Answer::Won(self.revision)
        } else {
            Answer::Beaten(self.winner)
        };
        self.answers.insert(change.id, answer);
        self.order.push_back(change.id);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
        answer
    }

    /// The whole state as bytes.
    pub fn snapshot(&self) -> Bytes {
        let text = serde_json::to_vec(self).expect("a machine is always encodable");
        Bytes::from(text)
    }

    /// The state in a snapshot.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// A step of a simple multiplicative hash; only equality matters here.
fn mix(digest: u64, value: u64) -> u64 {
    const FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
    (digest ^ value).wrapping_mul(FACTOR).rotate_left(23)
}
