//! What is on its way, by the time of its arrival.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id};
use cranberrygap_placement::residency::{order, runner};
use cranberrygap_wire::{endpoint, view};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A message on its way. Numbers of leaders and of runners tell whom it is for.
#[derive(Debug, Clone)]
pub enum Message {
    /// An order of a leader by the plan of this number; without an answer if that is lost
    /// or nobody waits any more.
    Order(u64, usize, order::Order, bool),
    /// The answer to an order of a leader.
    Answer(u64, id::Endpoint, u64, order::Verdict),
    /// A leader has waited for long enough for an answer.
    GivenUp(u64, id::Endpoint, u64),
    /// A leader's question for a report.
    Question(u64, id::Endpoint),
    /// The report to that leader.
    Report(u64, id::Endpoint, order::Report),
    /// A heartbeat on its way into the log.
    Announcement(Box<endpoint::Announcement>),
    /// What a leader tells the entries, on its way into the log.
    Telling(u64, view::Residency),
    /// A request of a caller reaches a runner, for an adapter.
    Request(id::Endpoint, runner::Adapter),
    /// An entry wants an adapter; true if its runner lacked it.
    Want(id::Endpoint, runner::Adapter, bool),
    /// An entry tells that an adapter is in use.
    Used(runner::Adapter),
}

/// Messages and how they are disturbed.
#[derive(Debug, Default)]
pub struct Calls {
    queue: BTreeMap<(duration::Instant, u64), Message>,
    count: u64,
    /// Whether calls may fail now.
    pub troubled: bool,
}

/// What becomes of a call to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It arrives and its answer comes.
    Whole,
    /// It never arrives.
    Lost,
    /// It arrives at once, and its answer is lost.
    Unanswered,
    /// It arrives seconds later, when nobody waits for its answer.
    Late,
}

const MILLISECOND: u64 = 1_000;

/// Longest time for which a leader waits for an answer.
pub const DEADLINE: duration::Span = duration::Span::from_millis(1_000);

impl Calls {
    /// Draws what becomes of a call.
    pub fn fate(&self, rng: &mut ChaCha8Rng) -> Fate {
        if !self.troubled {
            return Fate::Whole;
        }
        match rng.random_range(0..10) {
            0 => Fate::Lost,
            1 => Fate::Unanswered,
            2 => Fate::Late,
            _ => Fate::Whole,
        }
    }

    /// Time of one way, now and then close to the deadline of a call.
    pub fn way(&self, rng: &mut ChaCha8Rng) -> duration::Span {
        let slow = self.troubled && rng.random_ratio(1, 12);
        let range = if slow { 100..900 } else { 1..20 };
        span(rng, range)
    }

    /// Time until an announcement or a leader's word is in the log.
    pub fn commit(&self, rng: &mut ChaCha8Rng) -> duration::Span {
        let slow = self.troubled && rng.random_ratio(1, 5);
        let range = if slow { 200..5_000 } else { 5..100 };
        span(rng, range)
    }

    /// Time until a late order lands.
    pub fn late(rng: &mut ChaCha8Rng) -> duration::Span {
        span(rng, 2_000..12_000)
    }

    /// Sends something that arrives after `delay`.
    pub fn put(&mut self, now: duration::Instant, delay: duration::Span, message: Message) {
        self.count += 1;
        self.queue.insert((now.after(delay), self.count), message);
    }

    /// The next message that has arrived.
    pub fn take(&mut self, now: duration::Instant) -> Option<Message> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}

/// A time between so many milliseconds.
pub fn span(rng: &mut ChaCha8Rng, millis: std::ops::Range<u64>) -> duration::Span {
    duration::Span(rng.random_range(millis.start * MILLISECOND..millis.end * MILLISECOND))
}
