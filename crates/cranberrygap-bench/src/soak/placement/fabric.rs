//! The network and the log of the run: messages that are lost, late or doubled.

use std::collections::BTreeMap;

use cranberrygap_model::duration;
use cranberrygap_placement::{journal, ledger};
use cranberrygap_wire::endpoint;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A message on its way.
#[derive(Debug, Clone)]
pub enum Message {
    /// An order to its endpoint.
    Order(endpoint::Order),
    /// An answer to the leader with this fence.
    Verdict(u64, endpoint::Verdict),
    /// A question to a runner, by number, from the leader with this fence.
    Question(u64, usize, ledger::Ticket),
    /// A report to that leader.
    Report(u64, ledger::Ticket, endpoint::Report),
    /// A proposal of the leader with this fence.
    Proposal(u64, journal::Record),
}

/// Messages by the time of their arrival.
#[derive(Debug, Default)]
pub struct Fabric {
    queue: BTreeMap<(duration::Instant, u64), Message>,
    count: u64,
    /// Messages lost, delayed and doubled.
    pub faults: [u64; 3],
}

const USUAL: std::ops::Range<u64> = 500..50_000;
const LATE: std::ops::Range<u64> = 1_000_000..8_000_000;

/// One in so many messages is lost, one late and one doubled.
const ODDS: u32 = 12;

impl Fabric {
    /// Sends a message that may be lost, late or doubled.
    pub fn send(&mut self, rng: &mut ChaCha8Rng, now: duration::Instant, message: Message) {
        match rng.random_range(0..ODDS) {
            0 => self.faults[0] += 1,
            1 => {
                self.faults[1] += 1;
                let delay = rng.random_range(LATE);
                self.put(now, delay, message);
            }
            2 => {
                self.faults[2] += 1;
                let delay = rng.random_range(LATE);
                self.put(now, delay, message.clone());
                self.put(now, rng.random_range(USUAL), message);
            }
            _ => self.put(now, rng.random_range(USUAL), message),
        }
    }

    /// Hands a message over after a time, without fault.
    pub fn put(&mut self, now: duration::Instant, delay: u64, message: Message) {
        self.count += 1;
        let at = now.after(duration::Span(delay));
        self.queue.insert((at, self.count), message);
    }

    /// The next message that is due.
    pub fn take(&mut self, now: duration::Instant) -> Option<Message> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }

    /// Orders that are still on their way.
    pub fn orders(&self) -> impl Iterator<Item = &endpoint::Order> {
        self.queue.values().filter_map(|message| match message {
            Message::Order(order) => Some(order),
            _ => None,
        })
    }

    /// Takes out all proposals of a leader in the order in which they were made.
    pub fn take_proposals(&mut self) -> Vec<journal::Record> {
        let mut proposals = BTreeMap::new();
        self.queue.retain(|key, message| match message {
            Message::Proposal(_, record) => {
                proposals.insert(key.1, record.clone());
                false
            }
            _ => true,
        });
        proposals.into_values().collect()
    }
}
