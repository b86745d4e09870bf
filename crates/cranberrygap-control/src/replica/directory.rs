//! Directory of replicas that presented themselves or sent messages.

use std::collections::BTreeMap;
use std::time;

use cranberrygap_agreement::{formation, packet, reconciler, replica};
use cranberrygap_model::{address, duration, id};

/// Time between two presentations of a replica without a group. Short, since a new group serves no
/// requests before it is formed.
pub(super) const PRESENT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time between two presentations of a replica that is not a member yet. Until it is a voter again,
/// the group tolerates one loss less, and the first leader after a power loss may have been elected
/// just after the last presentation.
pub(super) const LEARNER_PRESENT_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Replicas that are remembered without being members. Bounds the memory that unknown senders can
/// fill.
const MAX_UNKNOWN_REPLICAS: usize = 64;

/// Replicas that presented themselves or sent messages, with their addresses.
#[derive(Debug, Default)]
pub(super) struct Directory {
    addresses: BTreeMap<replica::Id, address::Peer>,
    hellos: BTreeMap<id::Instance, (formation::Hello, time::Instant)>,
}

impl Directory {
    /// Records where a replica can be reached.
    pub(super) fn record_address(&mut self, id: replica::Id, peer: &address::Peer) {
        if self.addresses.len() < MAX_UNKNOWN_REPLICAS || self.addresses.contains_key(&id) {
            self.addresses.insert(id, peer.clone());
        }
    }

    /// Records that a replica presented itself.
    pub(super) fn record_hello(&mut self, hello: formation::Hello) {
        let instance = hello.peer.instance.clone();
        if self.hellos.len() < MAX_UNKNOWN_REPLICAS || self.hellos.contains_key(&instance) {
            self.hellos.insert(instance, (hello, time::Instant::now()));
        }
    }

    /// Removes the presentation of a replica that is removed from the group.
    ///
    /// A founder that presented itself while the group was formed may lose its disk. If its
    /// instance were added again before the new replica was heard, the dead replica would join as a
    /// learner that never catches up.
    pub(super) fn remove_hello(&mut self, id: replica::Id) {
        self.hellos.retain(|_, (hello, _)| hello.id != id);
    }

    pub(super) fn address(&self, id: replica::Id) -> Option<&address::Peer> {
        self.addresses.get(&id)
    }

    pub(super) fn hello_of(&self, instance: &id::Instance) -> Option<&formation::Hello> {
        self.hellos.get(instance).map(|(hello, _)| hello)
    }

    /// Returns the replicas that presented themselves, and how long ago.
    pub(super) fn newcomers(&self) -> Vec<reconciler::Newcomer> {
        let hellos = self.hellos.values();
        let newcomers = hellos.map(|(hello, at)| {
            let silence = u64::try_from(at.elapsed().as_micros()).unwrap_or(u64::MAX);
            reconciler::Newcomer {
                hello: hello.clone(),
                silence: duration::Span(silence),
            }
        });
        newcomers.collect()
    }

    pub(super) fn iter_hellos(&self) -> impl Iterator<Item = &formation::Hello> {
        self.hellos.values().map(|(hello, _)| hello)
    }
}

/// Returns the replica id that a packet's sender claims.
pub(super) fn sender_id(packet: &packet::Packet) -> Option<replica::Id> {
    match packet {
        packet::Packet::Hello(hello) => Some(hello.id),
        packet::Packet::Formed(_) => None,
        packet::Packet::Protocol(message) => Some(message.from),
    }
}
