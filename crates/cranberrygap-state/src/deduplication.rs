//! First answers by change id, so that a resent change gets its first answer.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::answer;
use crate::command;

/// Most answers that are kept: five days at the planned 1,600 changes a day.
///
/// A resend arrives within minutes.
const MAX_ANSWERS: usize = 8_192;

/// Answers to the latest changes, by change id.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Answers {
    answers: BTreeMap<id::Change, StoredAnswer>,
    order: VecDeque<id::Change>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct StoredAnswer {
    digest: SmolStr,
    answer: answer::Answer,
}

impl Answers {
    /// Returns the first answer to `change`, if it was received before.
    ///
    /// An operator whose answer was lost sends the change again, possibly over another
    /// connection. A second application would conflict with the first, and the operator
    /// would take an accepted change for a refused one.
    #[must_use]
    pub fn first_answer(
        &self,
        change: &id::Change,
        command: &command::Command,
    ) -> Option<answer::Answer> {
        let stored = self.answers.get(change)?;
        if stored.digest == digest(command) {
            return Some(stored.answer.clone());
        }
        let refusal = "this change id was used for another change";
        Some(answer::Answer::Refused(refusal.into()))
    }

    /// Returns whether a change was received before.
    #[must_use]
    pub fn contains(&self, change: &id::Change) -> bool {
        self.answers.contains_key(change)
    }

    /// Stores the answer to `change`.
    pub fn insert(
        &mut self,
        change: &id::Change,
        command: &command::Command,
        answer: &answer::Answer,
    ) {
        let stored = StoredAnswer {
            digest: digest(command),
            answer: answer.clone(),
        };
        if self.answers.insert(change.clone(), stored).is_none() {
            self.order.push_back(change.clone());
        }
        while self.order.len() > MAX_ANSWERS {
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
