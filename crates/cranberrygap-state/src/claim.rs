//! Claims: the committed right to run one booking once.
//!
//! A claim is kept under workspace and idempotency key. How long, and why an
//! old key cannot run again:
//!
//! - A claim whose outcome is known is kept whole for the retention time.
//! - A key that is a UUID of version 7 carries the time at which it was made.
//!   When its claim is dropped, keys made before that time are refused as
//!   expired from then on, whether they were seen or not.
//! - Of any other key a fingerprint is kept for ever, so it is refused as
//!   expired too. When there are [`MOST_FINGERPRINTS`], new bookings with such
//!   keys are refused as not run; bookings with version 7 keys go on.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::claim;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::answer;

mod held;
mod key_time;

use held::{Held, Phase};

/// Claims that are held at once, running or with a stored outcome.
pub const MOST_CLAIMS: usize = 100_000;

/// Fingerprints of old keys that do not carry their time, 16 bytes each.
pub const MOST_FINGERPRINTS: usize = 200_000;

/// Bytes of stored answers over all claims. Above it the oldest answers are
/// given up; a resend then learns that the booking may have run.
pub const MOST_ANSWER_BYTES: usize = 64 << 20;

/// Largest stored answer of one booking.
pub const LARGEST_ANSWER: usize = 64 << 10;

/// Running claims that a dump lists.
const LONGEST_DUMP: usize = 1_000;

/// Longest idempotency key that is taken, in bytes.
pub const LONGEST_KEY: usize = 256;

/// Time between looks for claims to drop; a look reads all of them.
const SWEEP_PERIOD: u64 = 30_000;

/// Time beyond its deadline after which a running booking counts as unknown.
/// The entry that ran it would long have told its outcome.
const GRACE: u64 = 60_000;

/// Largest difference by which a caller's clock may run ahead. A key from
/// further ahead does not count as one that carries its time.
const CLOCK_AHEAD: u64 = 300_000;

/// All claims.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    held: BTreeMap<id::Workspace, BTreeMap<SmolStr, Held>>,
    fingerprints: BTreeSet<(u64, u64)>,
    next: u64,
    count: usize,
    answer_bytes: usize,
    swept: u64,
    /// Keys that carry a time before this one are expired.
    horizon: u64,
}

/// A step in a booking's life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "content", rename_all = "snake_case")]
pub enum Step {
    /// An entry asks to run it.
    Open(claim::Open),
    /// An entry tells how it ended.
    Close(claim::Close),
}

/// How long claims run and are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lifetimes {
    /// Longest time that any booking runs.
    pub deadline: duration::Span,
    /// Time that outcomes are kept.
    pub retention: duration::Span,
}

impl Claims {
    /// Takes one step at the time `at`.
    pub fn apply(&mut self, at: u64, terms: Lifetimes, step: &Step) -> answer::Answer {
        self.sweep(at, terms);
        match step {
            Step::Open(open) => self.open(at, open),
            Step::Close(close) => {
                self.close(at, close);
                answer::Answer::Done
            }
        }
    }

    fn open(&mut self, at: u64, open: &claim::Open) -> answer::Answer {
        if open.key.is_empty() || open.key.len() > LONGEST_KEY {
            let reason = "the idempotency key must have 1 to 256 bytes";
            return answer::Answer::Refused(reason.into());
        }
        if let Some(held) = self.get(&open.workspace, &open.key) {
            return answer::Answer::Claimed(held.verdict(open));
        }
        match self.objection(at, open) {
            Some(answer) => answer,
            None => answer::Answer::Claimed(self.grant(at, open)),
        }
    }

    fn objection(&self, at: u64, open: &claim::Open) -> Option<answer::Answer> {
        let time = timed(&open.key, at);
        if time.is_some_and(|time| time < self.horizon) {
            return Some(answer::Answer::Claimed(claim::Verdict::Expired));
        }
        if self
            .fingerprints
            .contains(&fingerprint(&open.workspace, &open.key))
        {
            return Some(answer::Answer::Claimed(claim::Verdict::Expired));
        }
        if self.count >= MOST_CLAIMS {
            let reason = "too many bookings are kept; try again later";
            return Some(answer::Answer::Refused(reason.into()));
        }
        let full = time.is_none() && self.fingerprints.len() >= MOST_FINGERPRINTS;
        full.then(|| {
            let reason = "no room for idempotency keys without a time; use UUIDs of version 7";
            answer::Answer::Refused(reason.into())
        })
    }

    fn grant(&mut self, at: u64, open: &claim::Open) -> claim::Verdict {
        self.next += 1;
        self.count += 1;
        let held = Held {
            claim: self.next,
            body: open.body.clone(),
            instance: open.instance.clone(),
            boot: open.boot,
            at,
            timed: timed(&open.key, at),
            phase: Phase::Running,
        };
        let workspace = self.held.entry(open.workspace.clone()).or_default();
        workspace.insert(open.key.clone(), held);
        claim::Verdict::Granted { claim: self.next }
    }

    fn close(&mut self, at: u64, close: &claim::Close) {
        let Some(workspace) = self.held.get_mut(&close.workspace) else {
            return;
        };
        let Some(held) = workspace.get_mut(&close.key) else {
            return;
        };
        // A close that was held up on its way must not settle a later claim of
        // the same key, which another entry got after the first had not run.
        if held.claim != close.claim || held.is_answered() {
            return;
        }
        if matches!(close.outcome, claim::Outcome::NotRun) && held.is_running() {
            workspace.remove(&close.key);
            self.count -= 1;
            return;
        }
        held.finish(at, &close.outcome);
        self.answer_bytes += held.answer_bytes();
        self.shed_answers();
    }

    /// Gives up stored answers, oldest first, until they fit.
    fn shed_answers(&mut self) {
        while self.answer_bytes > MOST_ANSWER_BYTES {
            let all = self.held.values_mut().flat_map(BTreeMap::values_mut);
            let answered = all.filter(|held| held.answer_bytes() > 0);
            let Some(oldest) = answered.min_by_key(|held| held.at) else {
                return;
            };
            self.answer_bytes -= oldest.answer_bytes();
            oldest.give_up();
        }
    }

    /// The process that ran these bookings ended; how they ended is not known.
    pub fn mark_unknown(&mut self, at: u64, instance: &id::Instance, boot: number::Boot) {
        for held in self.held.values_mut().flat_map(BTreeMap::values_mut) {
            if held.is_running() && held.instance == *instance && held.boot == boot {
                held.finish(at, &claim::Outcome::Unknown);
            }
        }
    }

    fn sweep(&mut self, at: u64, terms: Lifetimes) {
        if at < self.swept + SWEEP_PERIOD {
            return;
        }
        self.swept = at;
        let overdue = at.saturating_sub(terms.deadline.0 / 1_000 + GRACE);
        let expired = at.saturating_sub(terms.retention.0 / 1_000);
        for held in self.held.values_mut().flat_map(BTreeMap::values_mut) {
            if held.is_running() && held.at < overdue {
                held.finish(at, &claim::Outcome::Unknown);
            }
        }
        // Once moved on, the horizon stays, also when an operator lengthens the
        // retention: claims before it may be gone.
        self.horizon = self.horizon.max(expired);
        self.drop_expired(expired);
    }

    fn drop_expired(&mut self, expired: u64) {
        let horizon = self.horizon;
        let mut dropped = Vec::new();
        for (workspace, claims) in &self.held {
            for (key, held) in claims {
                let old = !held.is_running() && held.at < expired;
                if old && held.timed.is_none_or(|time| time < horizon) {
                    dropped.push((workspace.clone(), key.clone()));
                }
            }
        }
        for (workspace, key) in dropped {
            self.drop_one(&workspace, &key);
        }
        self.held.retain(|_, claims| !claims.is_empty());
    }

    fn drop_one(&mut self, workspace: &id::Workspace, key: &SmolStr) {
        let claims = self.held.get_mut(workspace);
        let Some(held) = claims.and_then(|claims| claims.remove(key)) else {
            return;
        };
        self.count -= 1;
        self.answer_bytes -= held.answer_bytes();
        if held.timed.is_none() {
            self.fingerprints.insert(fingerprint(workspace, key));
        }
    }

    fn get(&self, workspace: &id::Workspace, key: &str) -> Option<&Held> {
        self.held.get(workspace)?.get(key)
    }

    /// Counts, and the claims that run, without anything of callers.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let all = self.held.iter();
        let all =
            all.flat_map(|(workspace, held)| held.values().map(move |held| (workspace, held)));
        let running = all.filter(|(_, held)| held.is_running());
        let running: Vec<serde_json::Value> = running
            .take(LONGEST_DUMP)
            .map(|(workspace, held)| held.dump(workspace))
            .collect();
        serde_json::json!({
            "count": self.count,
            "answer_bytes": self.answer_bytes,
            "fingerprints": self.fingerprints.len(),
            "horizon": self.horizon,
            "running": running,
        })
    }

    /// Claims that are held, running or with an outcome.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Fingerprints of old keys.
    #[must_use]
    pub fn fingerprints(&self) -> usize {
        self.fingerprints.len()
    }
}

fn timed(key: &str, at: u64) -> Option<u64> {
    key_time::of(key).filter(|time| *time <= at + CLOCK_AHEAD)
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
