//! Carries messages of the agreement protocol between control processes.

use bytes::Bytes;
use cranberrygap_model::address;

/// Sends without waiting and may lose, delay or double messages.
pub trait Transport: Send + Sync + std::fmt::Debug {
    /// Sends `message` to `peer`; failures are silent, the protocol resends.
    fn send(&self, peer: &address::Peer, message: Bytes);
}
