//! Forming or finding the group before the protocol can run.

use std::collections::BTreeMap;
use std::time;

use cranberrygap_agreement::{formation, packet, reconciler, replica};
use cranberrygap_model::{address, duration, id};

/// Time between two presentations of a replica without a group. Short, since a
/// new group serves nobody before it is formed.
pub(super) const PRESENT: time::Duration = time::Duration::from_millis(200);

/// Time between two presentations of a replica that is not a member yet. Until it is a voter
/// again the group bears one loss less, and the first leader after a loss of power may have
/// been elected just after the last one.
pub(super) const PRESENT_LEARNER: time::Duration = time::Duration::from_millis(300);

/// Replicas that are remembered without being members; bounds what strangers
/// can make this process keep.
const STRANGERS: usize = 64;

/// Replicas that presented themselves or sent something, and their addresses.
#[derive(Debug, Default)]
pub(super) struct Directory {
    addresses: BTreeMap<replica::Id, address::Peer>,
    presented: BTreeMap<id::Instance, (formation::Hello, time::Instant)>,
}

impl Directory {
    /// Remembers where a replica can be reached.
    pub(super) fn note(&mut self, id: replica::Id, peer: &address::Peer) {
        if self.addresses.len() < STRANGERS || self.addresses.contains_key(&id) {
            self.addresses.insert(id, peer.clone());
        }
    }

    /// Remembers a replica that presented itself.
    pub(super) fn present(&mut self, hello: formation::Hello) {
        let instance = hello.peer.instance.clone();
        if self.presented.len() < STRANGERS || self.presented.contains_key(&instance) {
            self.presented
                .insert(instance, (hello, time::Instant::now()));
        }
    }

    /// Forgets that a replica presented itself, when it is taken out.
    ///
    /// A founder that presented itself while the group was formed may lose its
    /// disk. Added under its name before its new replica was heard, the dead one
    /// would come into the group as a learner that never catches up.
    pub(super) fn forget(&mut self, id: replica::Id) {
        self.presented.retain(|_, (hello, _)| hello.id != id);
    }

    pub(super) fn address(&self, id: replica::Id) -> Option<&address::Peer> {
        self.addresses.get(&id)
    }

    pub(super) fn presented(&self, instance: &id::Instance) -> Option<&formation::Hello> {
        self.presented.get(instance).map(|(hello, _)| hello)
    }

    /// Who presented itself, and how long ago.
    pub(super) fn newcomers(&self) -> Vec<reconciler::Newcomer> {
        let all = self.presented.values();
        let newcomers = all.map(|(hello, at)| {
            let silent = u64::try_from(at.elapsed().as_micros()).unwrap_or(u64::MAX);
            reconciler::Newcomer {
                hello: hello.clone(),
                silence: duration::Span(silent),
            }
        });
        newcomers.collect()
    }

    pub(super) fn all_presented(&self) -> impl Iterator<Item = &formation::Hello> {
        self.presented.values().map(|(hello, _)| hello)
    }
}

/// Who a packet's sender says it is.
pub(super) fn sender(packet: &packet::Packet) -> Option<replica::Id> {
    match packet {
        packet::Packet::Hello(hello) => Some(hello.id),
        packet::Packet::Formed(_) => None,
        packet::Packet::Protocol(message) => Some(message.from),
    }
}
