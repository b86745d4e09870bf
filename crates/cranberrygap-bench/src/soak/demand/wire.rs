//! Time, processors and the network between processes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cranberrygap_model::duration;
use rand::Rng;
use rand::rngs::SmallRng;

use super::cost;
use super::day::Day;
use super::processor::{Processor, Work};
use super::trouble::Turn;
use super::way::{Message, Place};

/// Time on the way between two processes, in microseconds.
const NEAR: u64 = 200;
const FAR: u64 = 500;

const HUNDRED: u32 = 100;

/// What happens at a time.
#[derive(Debug)]
pub enum Event {
    /// A caller sends a request.
    Arrive,
    /// An entry has read a request of a workspace that costs so much, sent at a time.
    Read(usize, usize, u64, u64),
    /// An entry's holder may have something to decide or to ask.
    Look(usize),
    /// A request of an entry ends, by its number.
    End(usize, u64),
    /// A message has come.
    Come(Place, Message),
    /// A message was read.
    Taken(Place, Message),
    /// A way asked to be woken.
    Wake(Place, u64),
    /// The leader has other work to do.
    Duty(Work),
    /// Something goes wrong, or no longer.
    Trouble(Turn),
}

#[derive(Debug)]
struct Scheduled {
    at: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Time, processors and the network between processes.
#[derive(Debug)]
pub struct Wire {
    now: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
    numbers: u64,
    /// Where everything that is drawn comes from.
    pub random: SmallRng,
    leader: Processor,
    entries: Vec<Processor>,
    /// Time by which what the leader sends is late.
    pub(super) late: u64,
    /// Datagrams of a hundred that are lost.
    pub(super) lost: u32,
}

impl Wire {
    /// The processes of a day, with nothing to do.
    #[must_use]
    pub fn new(random: SmallRng, day: Day) -> Self {
        Self {
            now: 0,
            events: BinaryHeap::new(),
            numbers: 0,
            random,
            leader: Processor::new(day.control_core),
            entries: vec![Processor::new(day.entry_core); day.entries],
            late: 0,
            lost: 0,
        }
    }

    /// Microseconds since the start.
    #[must_use]
    pub const fn now(&self) -> u64 {
        self.now
    }

    /// The same as processes count it.
    #[must_use]
    pub const fn clock(&self) -> duration::Instant {
        duration::Instant(1 + self.now)
    }

    /// The processor of a process.
    #[must_use]
    pub fn processor(&self, place: Place) -> &Processor {
        match place {
            Place::Leader => &self.leader,
            Place::Entry(number) => &self.entries[number],
        }
    }

    /// Has a process do work; gives when it is done.
    pub fn spend(&mut self, place: Place, work: Work, micros: u64) -> u64 {
        let processor = match place {
            Place::Leader => &mut self.leader,
            Place::Entry(number) => &mut self.entries[number],
        };
        processor.take(self.now, work, micros)
    }

    /// Writes a message at one process and reads it at another.
    pub fn send(&mut self, from: Place, to: Place, message: Message) {
        let written = self.spend(from, Work::Renewal, cost::carrying(&message));
        let mut way = self.random.random_range(NEAR..FAR);
        if from == Place::Leader {
            way += self.late;
        }
        if message.is_datagram() && self.random.random_ratio(self.lost, HUNDRED) {
            return;
        }
        self.schedule(written + way, Event::Come(to, message));
    }

    /// Has a process read a message that somebody writes who is not played.
    pub fn tell(&mut self, to: Place, message: Message) {
        let way = self.random.random_range(NEAR..FAR);
        self.schedule(self.now + way, Event::Come(to, message));
    }

    /// Wakes the way at a process.
    pub fn later(&mut self, at: u64, place: Place, token: u64) {
        self.schedule(at, Event::Wake(place, token));
    }

    pub(super) fn schedule(&mut self, at: u64, event: Event) {
        self.numbers += 1;
        let (at, number) = (at.max(self.now), self.numbers);
        self.events.push(Reverse(Scheduled { at, number, event }));
    }

    /// The next event before `end`.
    pub(super) fn next(&mut self, end: u64) -> Option<Event> {
        let Reverse(first) = self.events.peek()?;
        if first.at >= end {
            return None;
        }
        let Reverse(first) = self.events.pop()?;
        self.now = first.at;
        Some(first.event)
    }

    /// A message has come: it is read next.
    pub(super) fn come(&mut self, to: Place, message: Message) {
        let read = self.spend(to, Work::Renewal, cost::carrying(&message));
        self.schedule(read, Event::Taken(to, message));
    }
}
