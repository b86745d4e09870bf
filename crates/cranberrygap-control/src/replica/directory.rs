//! Forming or finding the group before the protocol can run.

use std::collections::BTreeMap;
use std::time;

use cranberrygap_agreement::{formation, packet, reconciler, replica};
use cranberrygap_model::{address, duration, id};

/// Time between two presentations of a replica without a group. Short, since a
/// new group serves nobody before it is formed.
pub(super) const PRESENT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time between two presentations of a replica that is not a member yet. Until it is a voter
/// again the group bears one loss less, and the first leader after a loss of power may have
/// been elected just after the last one.
pub(super) const LEARNER_PRESENT_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Replicas that are remembered without being members; bounds what strangers
/// can make this process keep.
const MAX_UNKNOWN_REPLICAS: usize = 64;

/// Replicas that presented themselves or sent something, and their addresses.
#[derive(Debug, Default)]
pub(super) struct Directory {
    addresses: BTreeMap<replica::Id, address::Peer>,
    hellos: BTreeMap<id::Instance, (formation::Hello, time::Instant)>,
}

impl Directory {
    /// Remembers where a replica can be reached.
    pub(super) fn record_address(&mut self, id: replica::Id, peer: &address::Peer) {
        if self.addresses.len() < MAX_UNKNOWN_REPLICAS || self.addresses.contains_key(&id) {
            self.addresses.insert(id, peer.clone());
        }
    }

    /// Remembers a replica that presented itself.
    pub(super) fn record_hello(&mut self, hello: formation::Hello) {
        let instance = hello.peer.instance.clone();
        if self.hellos.len() < MAX_UNKNOWN_REPLICAS || self.hellos.contains_key(&instance) {
            self.hellos.insert(instance, (hello, time::Instant::now()));
        }
    }

    /// Forgets that a replica presented itself, when it is taken out.
    ///
    /// A founder that presented itself while the group was formed may lose its
    /// disk. Added under its name before its new replica was heard, the dead one
    /// would come into the group as a learner that never catches up.
    pub(super) fn remove_hello(&mut self, id: replica::Id) {
        self.hellos.retain(|_, (hello, _)| hello.id != id);
    }

    pub(super) fn address(&self, id: replica::Id) -> Option<&address::Peer> {
        self.addresses.get(&id)
    }

    pub(super) fn hello_of(&self, instance: &id::Instance) -> Option<&formation::Hello> {
        self.hellos.get(instance).map(|(hello, _)| hello)
    }

    /// Who presented itself, and how long ago.
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

/// Who a packet's sender says it is.
pub(super) fn sender_id(packet: &packet::Packet) -> Option<replica::Id> {
    match packet {
        packet::Packet::Hello(hello) => Some(hello.id),
        packet::Packet::Formed(_) => None,
        packet::Packet::Protocol(message) => Some(message.from),
    }
}
