//! What a control process's work costs, and the processor that it has for it.

use cranberrygap_policy::{leader_calls, limits};
use cranberrygap_wire::view;

use super::packet::Packet;

/// Processor time on a whole core, in microseconds: a confirmation and its answer, a frame of
/// the view and its size, a message between replicas, a command applied, a renewal of shares
/// of sixteen workspaces.
const CONFIRM: u64 = 30;
const FRAME: u64 = 20;
const BYTES_IN_A_MICRO: u64 = 100;
const PROTOCOL: u64 = 30;
const APPLY: u64 = 35;
const RENEWAL: u64 = 80;

/// Bytes of a snapshot of the view at the sizes that are run.
const SNAPSHOT_BYTES: u64 = 80_000;

/// Part of a core, in thousandths, that each control process has.
#[derive(Debug, Clone, Copy)]
pub struct Budget(pub u64);

impl Budget {
    /// Time that work of so much processor time takes.
    pub const fn time(self, processor: u64) -> u64 {
        const WHOLE: u64 = 1_000;
        processor * WHOLE / self.0
    }
}

/// Processor time for taking a packet and whatever answers it at once.
pub fn taking(packet: &Packet) -> u64 {
    match packet {
        Packet::Protocol(_) | Packet::Hello(_) => PROTOCOL,
        Packet::Confirm { .. } | Packet::Subscribe { .. } => CONFIRM,
        Packet::Confirmed { .. } | Packet::Frame { .. } | Packet::Refused { .. } => 0,
    }
}

/// Processor time for sending a packet that answers nothing.
pub fn sending(packet: &Packet) -> u64 {
    match packet {
        Packet::Protocol(_) | Packet::Hello(_) => PROTOCOL,
        Packet::Frame { frame, .. } => match **frame {
            view::Frame::Snapshot { .. } => FRAME + SNAPSHOT_BYTES / BYTES_IN_A_MICRO,
            view::Frame::Delta { .. } | view::Frame::Heartbeat { .. } => FRAME,
        },
        _ => 0,
    }
}

/// Processor time for applying so many commands.
pub const fn applying(commands: u64) -> u64 {
    commands * APPLY
}

/// Processor time of the leader for the renewals of so many entries within `span` microseconds.
pub fn renewing(entries: usize, span: u64) -> u64 {
    let period = limits::RENEWAL_INTERVAL.max(leader_calls::min_interval(entries));
    entries as u64 * RENEWAL * span / period.0
}
