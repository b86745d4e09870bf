//! Limits that endpoints name, and the room that their homes grant.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cranberrygap_model::{address, duration, rate};
use cranberrygap_routing::{cold, limit};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time;

use super::room::News;
use super::state::State;
use super::{Destination, Endpoints, Inner};

/// Age of a statement up to which the endpoint is spared. After that it gets a request again,
/// within its limit, since only a response tells whether it has recovered.
const SPARING_TIME: duration::Span = duration::Span::from_secs(2);

/// Longest wait for a home, which is some milliseconds away.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(8);

/// Times that a home is asked; a datagram may be lost.
const MAX_ASKS: u32 = 2;

/// Time for which a home that did not answer is not asked.
const SILENCE_TIME: duration::Span = duration::Span::from_millis(400);

/// A request for room at an endpoint, sent to its home.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub home: address::Socket,
    pub number: u32,
    pub endpoint: u32,
    pub wanted: Wanted,
}

/// What a claim asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Wanted {
    /// Room within the limit that the endpoint named, after a wait at most.
    Room(limit::Report, duration::Span),
    /// A place at an endpoint that bears so many rejections a second.
    Place(rate::Rejections),
    /// Room at a cold endpoint.
    Cold(cold::Claim),
}

/// Statements and claims that are not sent yet, and claims that wait for an answer.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    inner: Mutex<Waiting>,
    has_statements: Notify,
    has_claims: Notify,
    has_news: Notify,
}

#[derive(Debug, Default)]
struct Waiting {
    statements: Vec<(u32, limit::Report)>,
    claims: Vec<Claim>,
    news: Vec<(u32, News)>,
    last_number: u32,
    answers: BTreeMap<u32, oneshot::Sender<limit::Grant>>,
    silent_until: BTreeMap<address::Socket, duration::Instant>,
}

impl Outbox {
    fn push_statement(&self, endpoint: u32, report: limit::Report) {
        self.inner.lock().statements.push((endpoint, report));
        self.has_statements.notify_one();
    }

    /// Queues what the home of a brittle endpoint is told.
    pub(super) fn push_news(&self, endpoint: u32, news: News) {
        self.inner.lock().news.push((endpoint, news));
        self.has_news.notify_one();
    }

    /// Takes the news that is not sent yet.
    pub(super) fn take_news(&self) -> Vec<(u32, News)> {
        std::mem::take(&mut self.inner.lock().news)
    }

    /// Waits for news to tell the homes of their endpoints.
    pub(super) async fn next_news(&self) -> Vec<(u32, News)> {
        loop {
            let news = self.take_news();
            if !news.is_empty() {
                return news;
            }
            self.has_news.notified().await;
        }
    }

    /// Asks a home for room; `None` if it does not answer.
    pub(super) async fn claim(
        &self,
        now: duration::Instant,
        home: address::Socket,
        endpoint: u32,
        wanted: Wanted,
    ) -> Option<limit::Grant> {
        for _ask in 0..MAX_ASKS {
            let (number, answer) = {
                let mut inner = self.inner.lock();
                inner.silent_until.retain(|_, until| now < *until);
                inner.answers.retain(|_, answered| !answered.is_closed());
                if inner.silent_until.contains_key(&home) {
                    return None;
                }
                inner.last_number = inner.last_number.wrapping_add(1);
                let number = inner.last_number;
                let (answered, answer) = oneshot::channel();
                inner.answers.insert(number, answered);
                inner.claims.push(Claim {
                    home,
                    number,
                    endpoint,
                    wanted,
                });
                (number, answer)
            };
            self.has_claims.notify_one();
            if let Ok(Ok(grant)) = time::timeout(ANSWER_TIMEOUT, answer).await {
                return Some(grant);
            }
            self.inner.lock().answers.remove(&number);
        }
        let until = now.after(SILENCE_TIME);
        self.inner.lock().silent_until.insert(home, until);
        None
    }
}

impl Inner {
    /// What the home of an endpoint told of its limit.
    fn told_limit(&self, now: duration::Instant, endpoint: u32) -> Option<limit::Statement> {
        if self.homes.is_own(endpoint) {
            return self.limits.statement(endpoint);
        }
        self.learned.get(&endpoint)?.limit(now)
    }

    /// The limit that an endpoint has as far as known, with the time of the statement.
    fn limit(
        &self,
        now: duration::Instant,
        state: &State,
    ) -> Option<(rate::Limit, duration::Instant)> {
        state.limit.current(self.told_limit(now, state.name_hash))
    }

    /// Whether other endpoints are preferred to one that named a limit a moment ago.
    pub(super) fn is_spared(&self, now: duration::Instant, state: &State) -> bool {
        let limit = self.limit(now, state);
        limit.is_some_and(|(_, stated_at)| now.since(stated_at) < SPARING_TIME)
    }
}

impl Endpoints {
    /// Records what a response says of its endpoint's limit; returns whether that is new.
    pub(crate) fn record_limit(
        &self,
        now: duration::Instant,
        destination: &Destination,
        sent_at: duration::Instant,
        limit: Option<rate::Limit>,
    ) -> bool {
        let mut inner = self.inner.lock();
        let state = inner.states.get(&destination.endpoint);
        let Some(state) = state.filter(|state| state.boot == destination.boot) else {
            return false;
        };
        let endpoint = state.name_hash;
        let told = inner.told_limit(now, endpoint);
        let Some(state) = inner.states.get_mut(&destination.endpoint) else {
            return false;
        };
        let before = state.limit.current(told).map(|(limit, _)| limit);
        let Some(report) = state.limit.record(now, sent_at, limit, told) else {
            return false;
        };
        if inner.homes.is_own(endpoint) {
            inner.limits.record(now, endpoint, report.to_statement(now));
        } else {
            self.limit_outbox.push_statement(endpoint, report);
        }
        before != limit
    }

    /// Takes room for one request at an endpoint, which its home keeps if it has a limit.
    pub(crate) async fn take_room(
        &self,
        now: duration::Instant,
        destination: &Destination,
        max_wait: duration::Span,
    ) -> limit::Grant {
        let (endpoint, home, limit, report) = {
            let mut inner = self.inner.lock();
            let state = inner.states.get(&destination.endpoint);
            let state = state.filter(|state| state.boot == destination.boot);
            let known = state.and_then(|state| Some((state.name_hash, inner.limit(now, state)?)));
            let Some((endpoint, (limit, at))) = known else {
                return limit::Grant::Unlimited;
            };
            let statement = limit::Statement {
                limit: Some(limit),
                at,
            };
            let Some(home) = inner.homes.address(endpoint) else {
                return inner.limits.take(now, endpoint, statement, max_wait);
            };
            (endpoint, home, limit, statement.to_report(now))
        };
        let wanted = Wanted::Room(report, max_wait);
        let granted = self.limit_outbox.claim(now, home, endpoint, wanted).await;
        let mut inner = self.inner.lock();
        let entries = inner.homes.entry_count();
        let Some(state) = inner.states.get_mut(&destination.endpoint) else {
            return granted.unwrap_or(limit::Grant::Unlimited);
        };
        match granted {
            Some(limit::Grant::Unlimited) => {
                state.limit.record_unlimited(now);
                limit::Grant::Unlimited
            }
            Some(grant) => grant,
            None => state.limit.take_part(now, limit, entries, max_wait),
        }
    }

    /// Waits for statements to tell the homes of their endpoints.
    pub(crate) async fn next_statements(&self) -> Vec<(u32, limit::Report)> {
        loop {
            let statements = std::mem::take(&mut self.limit_outbox.inner.lock().statements);
            if !statements.is_empty() {
                return statements;
            }
            self.limit_outbox.has_statements.notified().await;
        }
    }

    /// Waits for claims to send to the homes of their endpoints.
    pub(crate) async fn next_claims(&self) -> Vec<Claim> {
        loop {
            let claims = std::mem::take(&mut self.limit_outbox.inner.lock().claims);
            if !claims.is_empty() {
                return claims;
            }
            self.limit_outbox.has_claims.notified().await;
        }
    }

    /// Applies what endpoints of this home stated to another entry.
    pub(crate) fn apply_statements(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        statements: &[(u32, limit::Report)],
    ) {
        let mut inner = self.inner.lock();
        if !inner.homes.is_entry(from) {
            return;
        }
        for (endpoint, report) in statements {
            inner
                .limits
                .record(now, *endpoint, report.to_statement(now));
        }
        inner.limits.prune(now);
    }

    /// Answers another entry's claim; `None` for one that the view does not know.
    pub(crate) fn grant(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        endpoint: u32,
        report: limit::Report,
        max_wait: duration::Span,
    ) -> Option<limit::Grant> {
        let mut inner = self.inner.lock();
        if !inner.homes.is_entry(from) {
            return None;
        }
        let statement = report.to_statement(now);
        Some(inner.limits.take(now, endpoint, statement, max_wait))
    }

    /// Passes a home's answer on to the request that waits for it.
    pub(crate) fn apply_grant(&self, number: u32, grant: limit::Grant) {
        let answered = self.limit_outbox.inner.lock().answers.remove(&number);
        if let Some(answered) = answered {
            // Fails if the request that asked has ended.
            let _ended = answered.send(grant);
        }
    }
}
