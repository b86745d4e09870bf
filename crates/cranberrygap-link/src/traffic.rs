//! Bytes that a process sends and receives, by kind and by where the peer is.
//!
//! Traffic between failure domains is slower and is paid for. The two ends of a link tell each
//! other their failure domains in the handshake, so each connection knows once and for all
//! whether it crosses a border. Counting takes two relaxed additions for each message.

mod flow;
mod kind;
mod meter;
mod place;
mod total;

pub use flow::Flow;
pub use kind::Kind;
pub use meter::Meter;
pub use place::Place;
pub use total::{Direction, Total};

/// Typical size of what a link adds to a message's body: the JSON-RPC call or notification, the
/// envelope with its seal, and the WebSocket frame.
pub const ENVELOPE_BYTES: usize = 170;
