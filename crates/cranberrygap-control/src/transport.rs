//! Transport of the agreement protocol's messages between control processes.

use bytes::Bytes;
use cranberrygap_model::address;

/// Transport that sends without waiting and may lose, delay or duplicate messages.
pub trait Transport: Send + Sync + std::fmt::Debug {
    /// Sends `message` to `peer`; failures are not reported, the protocol resends.
    fn send(&self, peer: &address::Peer, message: Bytes);
}
