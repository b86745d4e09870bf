//! Questions to the homes of endpoints about their load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cranberrygap_model::{address, duration, id};
use cranberrygap_routing::prompt::home;
use futures_util::future;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::{Endpoints, Inner};

/// Age at which a load is asked for again. Requests that wait for an engine look for one more
/// often than others send to it.
const REFRESH_AGE: duration::Span = duration::Span::from_millis(50);

/// Longest wait for answers, after which the entry chooses by what it knows.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(8);

/// Time for which a home that did not answer is not waited for.
const SILENCE_TIME: duration::Span = duration::Span::from_millis(400);

/// A question to one home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Question {
    pub home: address::Socket,
    pub number: u32,
    pub endpoints: Vec<u32>,
}

/// Questions that are not sent yet, and those that wait for an answer.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    inner: Mutex<Waiting>,
    added: Notify,
}

#[derive(Debug, Default)]
struct Waiting {
    last_number: u32,
    unsent: Vec<Question>,
    answers: BTreeMap<u32, oneshot::Sender<()>>,
    silent_until: BTreeMap<address::Socket, duration::Instant>,
}

impl Outbox {
    /// Asks homes and waits a moment for their answers.
    pub(super) async fn ask(
        &self,
        now: duration::Instant,
        questions: BTreeMap<address::Socket, Vec<u32>>,
    ) {
        if questions.is_empty() {
            return;
        }
        let mut waits = Vec::with_capacity(questions.len());
        let mut numbers = Vec::with_capacity(questions.len());
        {
            let mut inner = self.inner.lock();
            inner.silent_until.retain(|_, until| now < *until);
            // A caller that leaves takes its request with it, whose question may stay unanswered.
            inner.answers.retain(|_, answered| !answered.is_closed());
            for (home, endpoints) in questions {
                inner.last_number = inner.last_number.wrapping_add(1);
                let number = inner.last_number;
                if !inner.silent_until.contains_key(&home) {
                    let (answered, answer) = oneshot::channel();
                    inner.answers.insert(number, answered);
                    waits.push(answer);
                    numbers.push((number, home));
                }
                inner.unsent.push(Question {
                    home,
                    number,
                    endpoints,
                });
            }
        }
        self.added.notify_one();
        // Whether all have answered is read from what is left below.
        let _timed_out = tokio::time::timeout(ANSWER_TIMEOUT, future::join_all(waits)).await;
        let mut inner = self.inner.lock();
        for (number, home) in numbers {
            if inner.answers.remove(&number).is_some() {
                inner.silent_until.insert(home, now.after(SILENCE_TIME));
            }
        }
    }

    fn record_answer(&self, number: u32, home: address::Socket) {
        let mut inner = self.inner.lock();
        inner.silent_until.remove(&home);
        if let Some(answered) = inner.answers.remove(&number) {
            // Fails if the request that asked has ended.
            let _ended = answered.send(());
        }
    }
}

impl Inner {
    /// Endpoints whose load this entry should ask for, by home.
    pub(super) fn questions_about<'names>(
        &self,
        now: duration::Instant,
        names: impl Iterator<Item = &'names id::Endpoint>,
    ) -> BTreeMap<address::Socket, Vec<u32>> {
        let mut questions: BTreeMap<address::Socket, Vec<u32>> = BTreeMap::new();
        for state in names.filter_map(|name| self.states.get(name)) {
            let learned = self.learned.get(&state.name_hash);
            let is_old = learned.is_none_or(|learned| learned.is_older_than(now, REFRESH_AGE));
            if is_old && let Some(home) = self.homes.address(state.name_hash) {
                questions.entry(home).or_default().push(state.name_hash);
            }
        }
        questions
    }
}

impl Endpoints {
    /// Waits for questions to send.
    pub(crate) async fn next_questions(&self) -> Vec<Question> {
        loop {
            let unsent = std::mem::take(&mut self.questions.inner.lock().unsent);
            if !unsent.is_empty() {
                return unsent;
            }
            self.questions.added.notified().await;
        }
    }

    /// Applies a home's answer.
    pub(crate) fn apply_answer(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        number: u32,
        loads: &[(u32, home::Load)],
    ) {
        let from = address::Socket(from);
        let mut inner = self.inner.lock();
        inner
            .learned
            .retain(|_, learned| !learned.is_older_than(now, home::MAX_BACKLOG_AGE));
        for (endpoint, load) in loads {
            if inner.homes.address(*endpoint) == Some(from) {
                let learned = home::Learned::new(now, *load);
                inner.learned.insert(*endpoint, learned);
            }
        }
        drop(inner);
        self.questions.record_answer(number, from);
    }
}
