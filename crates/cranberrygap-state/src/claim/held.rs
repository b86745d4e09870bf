//! One claim.

use cranberrygap_model::{id, number};
use cranberrygap_wire::claim;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::LARGEST_ANSWER;

/// One claim and how far it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Held {
    pub(super) claim: u64,
    pub(super) body: SmolStr,
    pub(super) instance: id::Instance,
    pub(super) boot: number::Boot,
    /// When it was opened; when it ended once it has.
    pub(super) at: u64,
    /// The time that the key carries.
    pub(super) timed: Option<u64>,
    pub(super) phase: Phase,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub(super) enum Phase {
    Running,
    Ended(claim::Outcome),
}

impl Held {
    /// What a further request with the same key learns.
    pub(super) fn verdict(&self, open: &claim::Open) -> claim::Verdict {
        if self.body != open.body {
            return claim::Verdict::Conflict;
        }
        match &self.phase {
            // Also to the entry that was granted the claim: its first answer may
            // be under way still, and with two grants the booking would run twice.
            Phase::Running => claim::Verdict::Running,
            Phase::Ended(outcome) => claim::Verdict::Stored {
                outcome: outcome.clone(),
            },
        }
    }

    pub(super) const fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running)
    }

    pub(super) const fn is_answered(&self) -> bool {
        matches!(self.phase, Phase::Ended(claim::Outcome::Answered(_)))
    }

    /// Notes how it ended. "Not run" after "unknown" stays unknown: somebody may
    /// have been told so already.
    pub(super) fn finish(&mut self, at: u64, outcome: &claim::Outcome) {
        let outcome = match outcome {
            claim::Outcome::Answered(response) if response.body.len() <= LARGEST_ANSWER => {
                outcome.clone()
            }
            _ => claim::Outcome::Unknown,
        };
        self.at = at;
        self.phase = Phase::Ended(outcome);
    }

    pub(super) fn dump(&self, workspace: &id::Workspace) -> serde_json::Value {
        serde_json::json!({
            "claim": self.claim, "workspace": workspace,
            "instance": self.instance, "boot": self.boot, "at": self.at,
        })
    }

    /// Gives up the stored answer to make room.
    pub(super) fn give_up(&mut self) {
        self.phase = Phase::Ended(claim::Outcome::Unknown);
    }

    pub(super) fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Ended(claim::Outcome::Answered(response)) => response.body.len(),
            _ => 0,
        }
    }
}
