//! Claims: the committed right to run one booking once.
//!
//! A claim is stored under workspace and idempotency key. How long it is kept, and
//! why an old key cannot run again:
//!
//! - A claim whose outcome is known is kept whole for the retention time.
//! - A key that is a UUID of version 7 carries the time at which it was made.
//!   When its claim is removed, keys made before that time are refused as
//!   expired from then on, whether they were seen or not.
//! - Of any other key a fingerprint is kept for ever, so it is refused as
//!   expired, too. At [`MAX_FINGERPRINTS`], new bookings with such keys are
//!   refused as not run; bookings with version 7 keys are still accepted.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::claim;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::answer;

mod key_time;
mod stored;

use stored::{Claim, Phase};

/// Most claims that are kept at once, running or with a stored outcome.
pub const MAX_CLAIMS: usize = 100_000;

/// Most fingerprints of old keys that do not carry their time, 16 bytes each.
pub const MAX_FINGERPRINTS: usize = 200_000;

/// Most bytes of stored answers over all claims.
///
/// Above it the oldest answers are evicted; a resend then learns that the booking may have run.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 64 << 20;

/// Largest stored answer of one booking, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Most running claims that a dump lists.
const MAX_DUMPED_CLAIMS: usize = 1_000;

/// Longest accepted idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Time between two sweeps for expired claims, in milliseconds; a sweep reads all claims.
const SWEEP_PERIOD_MILLIS: u64 = 30_000;

/// Time beyond its deadline after which a running booking counts as unknown, in milliseconds.
///
/// By then the entry that ran it should have reported the outcome.
const CLOSE_GRACE_MILLIS: u64 = 60_000;

/// Largest time by which a caller's clock may run ahead, in milliseconds.
///
/// A key from further ahead does not count as one that carries its time.
const MAX_CLOCK_AHEAD_MILLIS: u64 = 300_000;

/// All claims, by workspace and idempotency key.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    #[serde(rename = "held")]
    by_workspace: BTreeMap<id::Workspace, BTreeMap<SmolStr, Claim>>,
    fingerprints: BTreeSet<(u64, u64)>,
    /// Number of the last claim that was granted.
    #[serde(rename = "next")]
    last_claim: u64,
    count: usize,
    answer_bytes: usize,
    /// Time of the last sweep, in Unix milliseconds.
    #[serde(rename = "swept")]
    last_sweep: u64,
    /// Keys that carry a time before this one are expired.
    horizon: u64,
}

/// A step in the life of a claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Step {
    /// An entry asks to run the booking.
    Open(claim::Open),
    /// An entry reports how the booking ended.
    Close(claim::Close),
}

/// How long bookings may run and claims are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifetimes {
    /// Longest time that any booking may run.
    pub deadline: duration::Span,
    /// Time for which outcomes are kept.
    pub retention: duration::Span,
}

impl Claims {
    /// Applies one step at the Unix time `at`, in milliseconds.
    pub fn apply(&mut self, at: u64, lifetimes: Lifetimes, step: &Step) -> answer::Answer {
        self.sweep(at, lifetimes);
        match step {
            Step::Open(open) => self.open(at, open),
            Step::Close(close) => {
                self.close(at, close);
                answer::Answer::Done
            }
        }
    }

    fn open(&mut self, at: u64, open: &claim::Open) -> answer::Answer {
        if open.key.is_empty() || open.key.len() > MAX_KEY_BYTES {
            let reason = "the idempotency key must have 1 to 256 bytes";
            return answer::Answer::Refused(reason.into());
        }
        if let Some(stored) = self.get(&open.workspace, &open.key) {
            return answer::Answer::Claimed(stored.verdict(open));
        }
        match self.refusal(at, open) {
            Some(answer) => answer,
            None => answer::Answer::Claimed(self.grant(at, open)),
        }
    }

    fn refusal(&self, at: u64, open: &claim::Open) -> Option<answer::Answer> {
        let time = key_timestamp(&open.key, at);
        if time.is_some_and(|time| time < self.horizon) {
            return Some(answer::Answer::Claimed(claim::Verdict::Expired));
        }
        if self
            .fingerprints
            .contains(&fingerprint(&open.workspace, &open.key))
        {
            return Some(answer::Answer::Claimed(claim::Verdict::Expired));
        }
        if self.count >= MAX_CLAIMS {
            let reason = "too many bookings are kept; try again later";
            return Some(answer::Answer::Refused(reason.into()));
        }
        let fingerprints_full = time.is_none() && self.fingerprints.len() >= MAX_FINGERPRINTS;
        fingerprints_full.then(|| {
            let reason = "no room for idempotency keys without a time; use UUIDs of version 7";
            answer::Answer::Refused(reason.into())
        })
    }

    fn grant(&mut self, at: u64, open: &claim::Open) -> claim::Verdict {
        self.last_claim += 1;
        self.count += 1;
        let stored = Claim {
            number: self.last_claim,
            body: open.body.clone(),
            instance: open.instance.clone(),
            boot: open.boot,
            at,
            key_time: key_timestamp(&open.key, at),
            phase: Phase::Running,
        };
        let workspace = self.by_workspace.entry(open.workspace.clone()).or_default();
        workspace.insert(open.key.clone(), stored);
        claim::Verdict::Granted {
            claim: self.last_claim,
        }
    }

    fn close(&mut self, at: u64, close: &claim::Close) {
        let Some(workspace) = self.by_workspace.get_mut(&close.workspace) else {
            return;
        };
        let Some(stored) = workspace.get_mut(&close.key) else {
            return;
        };
        // A delayed close must not end a later claim of the same key, which
        // another entry was granted after the first booking had not run.
        if stored.number != close.claim || stored.is_answered() {
            return;
        }
        if matches!(close.outcome, claim::Outcome::NotRun) && stored.is_running() {
            workspace.remove(&close.key);
            self.count -= 1;
            return;
        }
        stored.finish(at, &close.outcome);
        self.answer_bytes += stored.answer_bytes();
        self.evict_answers();
    }

    /// Evicts stored answers, oldest first, until they fit into the limit.
    fn evict_answers(&mut self) {
        while self.answer_bytes > MAX_TOTAL_ANSWER_BYTES {
            let all = self
                .by_workspace
                .values_mut()
                .flat_map(BTreeMap::values_mut);
            let answered = all.filter(|stored| stored.answer_bytes() > 0);
            let Some(oldest) = answered.min_by_key(|stored| stored.at) else {
                return;
            };
            self.answer_bytes -= oldest.answer_bytes();
            oldest.evict_answer();
        }
    }

    /// Marks the outcome of a process's running bookings as unknown, because the process ended.
    pub fn mark_unknown(&mut self, at: u64, instance: &id::Instance, boot: number::Boot) {
        for stored in self
            .by_workspace
            .values_mut()
            .flat_map(BTreeMap::values_mut)
        {
            if stored.is_running() && stored.instance == *instance && stored.boot == boot {
                stored.finish(at, &claim::Outcome::Unknown);
            }
        }
    }

    fn sweep(&mut self, at: u64, lifetimes: Lifetimes) {
        if at < self.last_sweep + SWEEP_PERIOD_MILLIS {
            return;
        }
        self.last_sweep = at;
        let overdue = at.saturating_sub(lifetimes.deadline.0 / 1_000 + CLOSE_GRACE_MILLIS);
        let expired = at.saturating_sub(lifetimes.retention.0 / 1_000);
        for stored in self
            .by_workspace
            .values_mut()
            .flat_map(BTreeMap::values_mut)
        {
            if stored.is_running() && stored.at < overdue {
                stored.finish(at, &claim::Outcome::Unknown);
            }
        }
        // The horizon never moves back, even if an operator lengthens the
        // retention: claims before it may already be removed.
        self.horizon = self.horizon.max(expired);
        self.remove_expired(expired);
    }

    fn remove_expired(&mut self, expired: u64) {
        let horizon = self.horizon;
        let mut expired_keys = Vec::new();
        for (workspace, claims) in &self.by_workspace {
            for (key, stored) in claims {
                let is_expired = !stored.is_running() && stored.at < expired;
                if is_expired && stored.key_time.is_none_or(|time| time < horizon) {
                    expired_keys.push((workspace.clone(), key.clone()));
                }
            }
        }
        for (workspace, key) in expired_keys {
            self.remove_claim(&workspace, &key);
        }
        self.by_workspace.retain(|_, claims| !claims.is_empty());
    }

    fn remove_claim(&mut self, workspace: &id::Workspace, key: &SmolStr) {
        let claims = self.by_workspace.get_mut(workspace);
        let Some(stored) = claims.and_then(|claims| claims.remove(key)) else {
            return;
        };
        self.count -= 1;
        self.answer_bytes -= stored.answer_bytes();
        if stored.key_time.is_none() {
            self.fingerprints.insert(fingerprint(workspace, key));
        }
    }

    fn get(&self, workspace: &id::Workspace, key: &str) -> Option<&Claim> {
        self.by_workspace.get(workspace)?.get(key)
    }

    /// Returns counts and the running claims, without any content of callers.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let all = self.by_workspace.iter();
        let all = all
            .flat_map(|(workspace, stored)| stored.values().map(move |stored| (workspace, stored)));
        let running = all.filter(|(_, stored)| stored.is_running());
        let running: Vec<serde_json::Value> = running
            .take(MAX_DUMPED_CLAIMS)
            .map(|(workspace, stored)| stored.dump(workspace))
            .collect();
        serde_json::json!({
            "count": self.count,
            "answer_bytes": self.answer_bytes,
            "fingerprints": self.fingerprints.len(),
            "horizon": self.horizon,
            "running": running,
        })
    }

    /// Returns the number of claims that are kept, running or with an outcome.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of fingerprints of old keys.
    #[must_use]
    pub fn fingerprints(&self) -> usize {
        self.fingerprints.len()
    }
}

fn key_timestamp(key: &str, at: u64) -> Option<u64> {
    key_time::timestamp_millis(key).filter(|time| *time <= at + MAX_CLOCK_AHEAD_MILLIS)
}

fn fingerprint(workspace: &id::Workspace, key: &str) -> (u64, u64) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(workspace.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    let mut reader = hasher.finalize_xof();
    let mut halves = [[0; 8]; 2];
    for half in &mut halves {
        reader.fill(half);
    }
    let [high, low] = halves.map(u64::from_le_bytes);
    (high, low)
}
