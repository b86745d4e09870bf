//! What one entry knows of an endpoint's limit by itself.

use cranberrygap_model::{duration, rate};

use super::{Grant, Report, Statement, part};

/// An entry's knowledge of the limit of one boot of an endpoint.
#[derive(Debug, Default)]
pub struct Known {
    /// What the endpoint stated last in a response to this entry.
    statement: Statement,
    /// This entry's part of the limit while the home does not answer.
    part: part::Part,
}

impl Known {
    /// The statement that counts, if it names a limit: the newer one of this entry's and the one
    /// that the home told.
    #[must_use]
    pub fn current(&self, told: Option<Statement>) -> Option<(rate::Limit, duration::Instant)> {
        let newer = told.filter(|told| told.at > self.statement.at);
        let statement = newer.unwrap_or(self.statement);
        statement.limit.map(|limit| (limit, statement.at))
    }

    /// The limit that the endpoint named to this entry, if it did.
    #[must_use]
    pub const fn named(&self) -> Option<rate::Limit> {
        self.statement.limit
    }

    /// Records the limit in a response whose request was sent at `sent_at`; returns what to tell
    /// the home.
    ///
    /// A response without a limit ends one only if its request was sent after the limit was
    /// stated. Others may have been made before it.
    pub fn record(
        &mut self,
        now: duration::Instant,
        sent_at: duration::Instant,
        limit: Option<rate::Limit>,
        told: Option<Statement>,
    ) -> Option<Report> {
        let stated_at = self.current(told).map(|(_, stated_at)| stated_at);
        if limit.is_none() && stated_at.is_none_or(|stated_at| sent_at <= stated_at) {
            return None;
        }
        self.statement = Statement { limit, at: now };
        Some(self.statement.to_report(now))
    }

    /// Records the home's word that the endpoint has no limit any more.
    pub const fn record_unlimited(&mut self, now: duration::Instant) {
        self.statement = Statement {
            limit: None,
            at: now,
        };
    }

    /// Takes room for one request out of this entry's part of the limit.
    pub fn take_part(
        &mut self,
        now: duration::Instant,
        limit: rate::Limit,
        entries: usize,
        max_wait: duration::Span,
    ) -> Grant {
        self.part.take(now, limit, entries, max_wait)
    }
}
