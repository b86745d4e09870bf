//! What processes send each other.

use cranberrygap_agreement::{formation, message};
use cranberrygap_wire::view;

/// A packet, to a control process or to an entry.
#[derive(Debug, Clone)]
pub enum Packet {
    /// Between replicas.
    Protocol(Box<message::Message>),
    /// A replica that is not a member presents itself.
    Hello(formation::Hello),
    /// An entry's heartbeat; `call` comes back with the answer.
    Confirm { call: u64, confirm: view::Confirm },
    /// An entry wants to follow the view.
    Subscribe { call: u64, wanted: view::Subscribe },
    /// The leader's answer, or where the leader may be.
    Confirmed {
        call: u64,
        answer: Result<view::Confirmed, Option<usize>>,
    },
    /// A frame of the subscription that began with `call`.
    Frame { call: u64, frame: Box<view::Frame> },
    /// The subscription was refused.
    Refused { call: u64 },
}

/// A process: control processes come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A control process by its number.
    Control(usize),
    /// An entry by its number.
    Entry(usize),
}
