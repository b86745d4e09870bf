//! The static limiter: each member entry holds an equal part of every bucket.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, token};
use cranberrygap_wire::{configuration, view as wire_view};
use parking_lot::Mutex;

use crate::view;

use super::Limiter;

/// Longest wait that callers are told when their bucket never fills enough.
const LONGEST_WAIT: duration::Span = duration::Span::from_secs(60);

/// Equal parts of rate and burst for each entry that has not left.
#[derive(Debug, Default)]
pub(crate) struct Split {
    buckets: Mutex<BTreeMap<id::Workspace, Bucket>>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: duration::Instant,
}

impl Bucket {
    fn fill(&mut self, now: duration::Instant) {
        let gained = self.rate * now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = self.filled.max(now);
    }

    fn wait_for(&self, tokens: f64) -> duration::Span {
        let short = (tokens - self.tokens) / self.rate;
        if tokens > self.burst || !short.is_finite() {
            return LONGEST_WAIT;
        }
        let micros = (short * 1e6).clamp(1.0, LONGEST_WAIT.0 as f64);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the longest wait just above"
        )]
        duration::Span(micros as u64)
    }
}

impl Limiter for Split {
    fn reserve(
        &self,
        now: duration::Instant,
        workspace: &id::Workspace,
        tokens: token::Count,
    ) -> Result<(), duration::Span> {
        let mut buckets = self.buckets.lock();
        let bucket = buckets.get_mut(workspace).ok_or(LONGEST_WAIT)?;
        bucket.fill(now);
        let wanted = tokens.0 as f64;
        if bucket.tokens < wanted {
            return Err(bucket.wait_for(wanted));
        }
        bucket.tokens -= wanted;
        Ok(())
    }

    fn refund(&self, now: duration::Instant, workspace: &id::Workspace, tokens: token::Count) {
        let mut buckets = self.buckets.lock();
        let Some(bucket) = buckets.get_mut(workspace) else {
            return;
        };
        bucket.fill(now);
        bucket.tokens = (bucket.tokens + tokens.0 as f64).min(bucket.burst);
    }

    fn follow(&self, now: duration::Instant, view: &view::Snapshot) {
        let holds_part = |member: &&wire_view::Member| {
            member.role == wire_view::Role::Entry && member.phase != wire_view::Phase::Left
        };
        let entries = view.members().values().filter(holds_part).count().max(1) as f64;
        let mut buckets = self.buckets.lock();
        for workspace in view.workspaces() {
            let target = configuration::Target::Workspace;
            let exception = view.exception(target, workspace.as_str());
            let rate = exception
                .and_then(|e| e.rate)
                .unwrap_or(view.defaults().rate);
            let burst = exception
                .and_then(|e| e.burst)
                .unwrap_or(view.defaults().burst);
            let empty = Bucket {
                rate: 0.0,
                burst: 0.0,
                tokens: 0.0,
                filled: now,
            };
            let bucket = buckets.entry(workspace.clone()).or_insert(empty);
            bucket.fill(now);
            bucket.rate = rate.0 / entries;
            bucket.burst = burst as f64 / entries;
            bucket.tokens = bucket.tokens.min(bucket.burst);
        }
    }

    fn dump(&self) -> serde_json::Value {
        let buckets = self.buckets.lock();
        let shown = buckets.iter().map(|(workspace, bucket)| {
            let state = serde_json::json!({
                "rate": bucket.rate, "burst": bucket.burst, "tokens": bucket.tokens,
            });
            (workspace.to_string(), state)
        });
        shown.collect::<serde_json::Map<_, _>>().into()
    }
}
