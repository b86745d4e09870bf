//! The fleet's configuration: defaults and exceptions, replaced by compare-and-set.

use std::collections::VecDeque;

use cranberrygap_model::{id, number};
use cranberrygap_wire::{configuration, operator, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::answer;

mod facts;
mod reader;
mod validation;

pub use facts::Facts;
pub use reader::read;

/// Most accepted configurations that are kept for reading.
const MAX_PAGES: usize = 256;

/// Most bytes of kept configurations.
const MAX_PAGES_BYTES: usize = 2 << 20;

/// Largest text of one configuration, in bytes.
///
/// The text and its parsed form are one command, which must fit into one proposal.
pub const MAX_TEXT_BYTES: usize = 128 << 10;

/// The configuration in force and earlier ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    current: configuration::Configuration,
    pages: VecDeque<operator::Page>,
}

/// A new configuration, which the leader has already parsed and validated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Operator that asks, and the reason.
    pub author: operator::Author,
    /// Revision that this configuration replaces.
    pub expect: number::Revision,
    /// Text as the operator wrote it.
    pub text: SmolStr,
    /// Parsed text; its revision is set when it is applied.
    pub configuration: configuration::Configuration,
}

impl Default for State {
    fn default() -> Self {
        Self {
            current: configuration::Configuration {
                revision: number::Revision(0),
                defaults: configuration::Defaults::default(),
                exceptions: Vec::new(),
            },
            pages: VecDeque::new(),
        }
    }
}

impl State {
    /// Accepts a configuration if it replaces the current revision.
    ///
    /// Two operators may both read revision N, and both apply a change. Without the
    /// comparison the later one would silently undo the earlier one.
    pub fn apply(
        &mut self,
        revision: number::Revision,
        at: u64,
        step: &Step,
    ) -> (answer::Answer, Vec<view::Change>) {
        if step.expect != self.revision() {
            let applied = self.conflict();
            return (answer::Answer::Applied(applied), Vec::new());
        }
        let mut configuration = step.configuration.clone();
        configuration.revision = revision;
        self.current = configuration.clone();
        self.pages.push_back(operator::Page {
            revision,
            at,
            author: step.author.clone(),
            text: step.text.clone(),
        });
        self.evict_oldest();
        let applied = operator::Applied::Accepted { revision };
        let changes = vec![view::Change::Configured { configuration }];
        (answer::Answer::Applied(applied), changes)
    }

    fn conflict(&self) -> operator::Applied {
        let winner = self.pages.back().map(|page| page.author.clone());
        let no_author = || operator::Author {
            change: "none"
                .parse::<id::Change>()
                .expect("a plain word is a name"),
            by: SmolStr::default(),
            why: SmolStr::default(),
        };
        let winner = winner.unwrap_or_else(no_author);
        operator::Applied::Conflict {
            current: self.revision(),
            by: winner.by,
            change: winner.change,
        }
    }

    fn evict_oldest(&mut self) {
        while self.pages.len() > 1 && self.is_full() {
            self.pages.pop_front();
        }
    }

    fn is_full(&self) -> bool {
        let bytes: usize = self.pages.iter().map(|page| page.text.len()).sum();
        self.pages.len() > MAX_PAGES || bytes > MAX_PAGES_BYTES
    }

    /// Returns the revision of the current configuration; 0 before the first.
    #[must_use]
    pub const fn revision(&self) -> number::Revision {
        self.current.revision
    }

    /// Returns the current configuration.
    #[must_use]
    pub const fn current(&self) -> &configuration::Configuration {
        &self.current
    }

    /// Returns an accepted configuration that is still kept; the latest for `None`.
    #[must_use]
    pub fn page(&self, revision: Option<number::Revision>) -> Option<&operator::Page> {
        let Some(revision) = revision else {
            return self.pages.back();
        };
        self.pages.iter().find(|page| page.revision == revision)
    }

    /// Returns the revisions that are kept, oldest first.
    pub fn revisions(&self) -> impl Iterator<Item = number::Revision> + '_ {
        self.pages.iter().map(|page| page.revision)
    }
}
