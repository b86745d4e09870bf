//! Processor time of each kind of work, in microseconds of a whole core.

use super::day::Day;
use super::processor::Work;
use super::way::Message;

/// Reading or writing one end's half of a call, and each workspace in it, in tenths: the leader
/// takes 65 us for a renewal of 16 workspaces and 23 us for one of none (`measure capacity`).
const HALF_CALL: u64 = 12;
const WORKSPACE_TENTHS: u64 = 13;

/// Deciding on one workspace of a renewal, in tenths (`measure leader`).
const GRANT_TENTHS: u64 = 14;

const TENTHS: u64 = 10;

/// A confirmation with its announcements: reading and answering by a leader's lines, and half
/// of a call for nothing for the socket.
const CONFIRMATION: u64 = 42;

/// Reckoned: a message between replicas, a call with a payload, and a record of shares.
const PROTOCOL: u64 = 30;
const RECORD: u64 = 2;

/// From a leader's lines with 69 entries, by its part of a core: a command applied, a round of
/// placement, a look for silence.
const APPLY: u64 = 36;
const PLACEMENT: f64 = 1_480.0;
const SILENCE: u64 = 28;

/// Reckoned: an adapter that an entry asks for.
const WANT: u64 = 60;

/// How often these come, from the same lines; those of endpoints grow with the fleet.
const CONFIRMATIONS_OF_AN_ENTRY: f64 = 1.65;
const STEPS: f64 = 48.0;
const WANTS: f64 = 22.0;
const ROUNDS: f64 = 11.0;
const LOOKS: f64 = 10.0;
const HEARTBEATS: f64 = 4.0;
const MEASURED_AT: f64 = 69.0;

/// Commits a second that those steps cause; what comes together shares one, so they do not
/// grow with the fleet.
const COMMITS: f64 = 22.0;

/// Reckoned: what no kind of work tells, from sockets to reports of runners and orders. A
/// leader that used all of its 0.075 of a core had about a third of it left unexplained.
const REST: u64 = 125;
const RESTS: f64 = 200.0;

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

/// Time to write a message, or to read it. A datagram between entries takes no more than half
/// of a call, which has an envelope and the frames of a link besides.
#[must_use]
pub fn carrying(message: &Message) -> u64 {
    let workspaces = match message {
        Message::Renewal(_, renew) | Message::Question(_, renew) => renew.demands.len(),
        Message::Granted(granted) | Message::Handed(granted) | Message::Lent(_, granted) => {
            granted.grants.len()
        }
        Message::Lenders(lenders) => lenders.len(),
    };
    HALF_CALL + WORKSPACE_TENTHS * workspaces as u64 / TENTHS
}

/// Time to decide on so many demands.
#[must_use]
pub const fn granting(demands: u64) -> u64 {
    GRANT_TENTHS * demands / TENTHS
}

/// Time of the leader to commit so many records among so many replicas: one message to each
/// of the others, one back, and the command applied.
#[must_use]
pub const fn committing(controls: u64, records: u64) -> u64 {
    (controls - 1) * 2 * PROTOCOL + APPLY + RECORD * records
}

/// What the leader does beside renewals. Frames are not among it: while there are other
/// control processes it sends followers to them.
#[must_use]
pub fn duties(day: Day) -> [Duty; 7] {
    let entries = day.entries as f64;
    let others = (day.controls - 1) as f64;
    let fleet = entries / MEASURED_AT;
    let steps = STEPS * fleet;
    let messages = others * 2.0 * (HEARTBEATS + COMMITS);
    let duty = |work, a_second, micros| Duty {
        work,
        a_second,
        micros,
    };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the float is not negative and small"
    )]
    let placement = (PLACEMENT * fleet) as u64;
    [
        duty(
            Work::Confirmation,
            entries * CONFIRMATIONS_OF_AN_ENTRY,
            CONFIRMATION,
        ),
        duty(Work::Protocol, messages, PROTOCOL),
        duty(Work::Apply, steps, APPLY),
        duty(Work::Placement, ROUNDS, placement),
        duty(Work::Silence, LOOKS, SILENCE),
        duty(Work::Want, WANTS * fleet, WANT),
        duty(Work::Rest, RESTS * fleet, REST),
    ]
}
