//! Processor time of each kind of work, in microseconds of a whole core.

use super::day::Day;
use super::processor::Work;
use super::way::Message;

/// A renewal of shares: each end's writing and reading, by the link and by each workspace.
const CALL_WRITE: u64 = 25;
const CALL_READ: u64 = 25;
const DEMAND_WRITE: u64 = 1;
const DEMAND_READ: u64 = 1;
const GRANT_WRITE: u64 = 1;
const GRANT_READ: u64 = 1;
const GRANT: u64 = 1;

/// A message between replicas, and a command applied.
const PROTOCOL: u64 = 30;
const APPLY: u64 = 35;
const RECORD: u64 = 2;

/// A request of a caller until its tokens are asked for.
pub const REQUEST_READ: u64 = 200;
/// The rest of it.
pub const REQUEST_SERVED: u64 = 750;

/// Work of the leader that comes again and again.
#[derive(Debug, Clone, Copy)]
pub struct Duty {
    /// Of which kind.
    pub work: Work,
    /// How often.
    pub a_second: f64,
    /// Time of each.
    pub micros: u64,
}

/// Time to write a message.
#[must_use]
pub fn writing(message: &Message) -> u64 {
    match message {
        Message::Renewal(_, renew) => CALL_WRITE + DEMAND_WRITE * renew.demands.len() as u64,
        Message::Granted(granted) => CALL_WRITE + GRANT_WRITE * granted.grants.len() as u64,
    }
}

/// Time to read a message.
#[must_use]
pub fn reading(message: &Message) -> u64 {
    match message {
        Message::Renewal(_, renew) => CALL_READ + DEMAND_READ * renew.demands.len() as u64,
        Message::Granted(granted) => CALL_READ + GRANT_READ * granted.grants.len() as u64,
    }
}

/// Time to decide on so many demands.
#[must_use]
pub const fn granting(demands: u64) -> u64 {
    GRANT * demands
}

/// Time of the leader to commit so many records among so many replicas: one message to each
/// of the others, one back, and the command applied.
#[must_use]
pub const fn committing(controls: u64, records: u64) -> u64 {
    (controls - 1) * 2 * PROTOCOL + APPLY + RECORD * records
}

/// What the leader does beside renewals.
#[must_use]
pub fn duties(day: Day) -> [Duty; 6] {
    let entries = day.entries as f64;
    let others = (day.controls - 1) as f64;
    let steps = 20.0;
    let duty = |work, a_second, micros| Duty {
        work,
        a_second,
        micros,
    };
    [
        duty(Work::Confirmation, entries * 2.5, 30),
        duty(Work::Frame, 100.0, 20),
        duty(Work::Protocol, others * 2.0 * (4.0 + steps), PROTOCOL),
        duty(Work::Apply, steps, APPLY),
        duty(Work::Placement, 11.0, 500),
        duty(Work::Want, 20.0, 60),
    ]
}
