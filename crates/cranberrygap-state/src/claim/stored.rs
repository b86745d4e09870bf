//! One stored claim.

use cranberrygap_model::{id, number};
use cranberrygap_wire::claim;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::MAX_ANSWER_BYTES;

/// One claim and its progress.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Claim {
    /// Number that identifies the claim.
    #[serde(rename = "claim")]
    pub(super) number: u64,
    pub(super) body: SmolStr,
    pub(super) instance: id::Instance,
    pub(super) boot: number::Boot,
    /// Time at which the claim was opened or, once the booking has ended, at which it ended.
    pub(super) at: u64,
    /// Time that the idempotency key carries, in Unix milliseconds.
    #[serde(rename = "timed")]
    pub(super) key_time: Option<u64>,
    pub(super) phase: Phase,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub(super) enum Phase {
    Running,
    Ended(claim::Outcome),
}

impl Claim {
    /// Returns the answer to a further request with the same key.
    pub(super) fn verdict(&self, open: &claim::Open) -> claim::Verdict {
        if self.body != open.body {
            return claim::Verdict::Conflict;
        }
        match &self.phase {
            // Holds for the entry that was granted the claim, too: its first answer
            // may still be on its way, and two grants would run the booking twice.
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

    /// Records how the booking ended; "not run" after "unknown" stays unknown.
    ///
    /// A caller may already have been told that the outcome is unknown.
    pub(super) fn finish(&mut self, at: u64, outcome: &claim::Outcome) {
        let outcome = match outcome {
            claim::Outcome::Answered(response) if response.body.len() <= MAX_ANSWER_BYTES => {
                outcome.clone()
            }
            _ => claim::Outcome::Unknown,
        };
        self.at = at;
        self.phase = Phase::Ended(outcome);
    }

    pub(super) fn dump(&self, workspace: &id::Workspace) -> serde_json::Value {
        serde_json::json!({
            "claim": self.number, "workspace": workspace,
            "instance": self.instance, "boot": self.boot, "at": self.at,
        })
    }

    /// Evicts the stored answer to free memory.
    pub(super) fn evict_answer(&mut self) {
        self.phase = Phase::Ended(claim::Outcome::Unknown);
    }

    pub(super) fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Ended(claim::Outcome::Answered(response)) => response.body.len(),
            _ => 0,
        }
    }
}
