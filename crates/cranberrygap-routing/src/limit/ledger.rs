//! Room at the endpoints with a limit, kept by their home entry.

use std::collections::BTreeMap;

use cranberrygap_model::duration;

use super::{Grant, Statement, bucket};

/// Time for which it is remembered that an endpoint named no limit any more. An older statement
/// of another entry then does not bring its limit back.
const RECOVERY_MEMORY: duration::Span = duration::Span::from_secs(60);

/// Endpoints of one home, by the hash of their name.
#[derive(Debug, Default)]
pub struct Ledger {
    endpoints: BTreeMap<u32, Account>,
}

#[derive(Debug)]
struct Account {
    statement: Statement,
    bucket: bucket::Bucket,
}

impl Ledger {
    /// Records what an endpoint stated, unless something newer is known.
    pub fn record(&mut self, now: duration::Instant, endpoint: u32, statement: Statement) {
        match self.endpoints.get_mut(&endpoint) {
            Some(account) if statement.at > account.statement.at => account.statement = statement,
            Some(_newer) => {}
            None => {
                let Some(limit) = statement.limit else {
                    return;
                };
                let bucket = bucket::Bucket::new(now, limit);
                self.endpoints
                    .insert(endpoint, Account { statement, bucket });
            }
        }
    }

    /// Forgets an endpoint, whose next process has named nothing yet.
    pub fn forget(&mut self, endpoint: u32) {
        self.endpoints.remove(&endpoint);
    }

    /// Forgets endpoints that recovered long ago.
    pub fn prune(&mut self, now: duration::Instant) {
        self.endpoints.retain(|_, account| {
            let statement = account.statement;
            statement.limit.is_some() || now.since(statement.at) < RECOVERY_MEMORY
        });
    }

    /// What an endpoint stated last, if it named a limit at all.
    #[must_use]
    pub fn statement(&self, endpoint: u32) -> Option<Statement> {
        let account = self.endpoints.get(&endpoint);
        account.map(|account| account.statement)
    }

    /// Takes room for one request of an entry that knows of `statement`.
    pub fn take(
        &mut self,
        now: duration::Instant,
        endpoint: u32,
        statement: Statement,
        max_wait: duration::Span,
    ) -> Grant {
        self.record(now, endpoint, statement);
        let Some(account) = self.endpoints.get_mut(&endpoint) else {
            return Grant::Unlimited;
        };
        let Some(limit) = account.statement.limit else {
            return Grant::Unlimited;
        };
        account.bucket.take(now, limit, max_wait).into()
    }
}
