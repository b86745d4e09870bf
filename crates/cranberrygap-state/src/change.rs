//! First answers by change id, so that a resend gets the first answer.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::answer;
use crate::command;

/// Answers that are kept: five days at the planned 1,600 changes a day. A
/// resend comes within minutes.
const MOST_ANSWERS: usize = 8_192;

/// Answers of the latest changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Memory {
    answers: BTreeMap<id::Change, First>,
    order: VecDeque<id::Change>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct First {
    digest: SmolStr,
    answer: answer::Answer,
}

impl Memory {
    /// The first answer to `change`, if it was taken before.
    ///
    /// An operator whose answer was lost sends the change again, maybe over
    /// another connection. Applied twice it would conflict with itself, and the
    /// operator would take an accepted change for a refused one.
    #[must_use]
    pub fn recall(
        &self,
        change: &id::Change,
        command: &command::Command,
    ) -> Option<answer::Answer> {
        let first = self.answers.get(change)?;
        if first.digest == digest(command) {
            return Some(first.answer.clone());
        }
        let refusal = "this change id was used for another change";
        Some(answer::Answer::Refused(refusal.into()))
    }

    /// Whether a change was taken before.
    #[must_use]
    pub fn contains(&self, change: &id::Change) -> bool {
        self.answers.contains_key(change)
    }

    /// Keeps the answer to `change`.
    pub fn keep(
        &mut self,
        change: &id::Change,
        command: &command::Command,
        answer: &answer::Answer,
    ) {
        let first = First {
            digest: digest(command),
            answer: answer.clone(),
        };
        if self.answers.insert(change.clone(), first).is_none() {
            self.order.push_back(change.clone());
        }
        while self.order.len() > MOST_ANSWERS {
            if let Some(oldest) = self.order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }
}

fn digest(command: &command::Command) -> SmolStr {
    let text = serde_json::to_vec(command).expect("commands have text keys only");
    SmolStr::new(blake3::hash(&text).to_hex().as_str())
}
