//! Addresses of control processes, from the settings and from the view.

use cranberrygap_model::{address, id};
use parking_lot::RwLock;

/// Control processes that this entry may contact.
///
/// The settings name the initial ones. All of them may be replaced while this process
/// runs, and the settings may change; the view lists the current members of the group.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    configured: RwLock<Vec<address::Peer>>,
    members: RwLock<Vec<address::Peer>>,
    /// Members in this entry's failure domain.
    near: RwLock<Vec<id::Instance>>,
}

impl Peers {
    pub(crate) fn new(configured: Vec<address::Peer>) -> Self {
        Self {
            configured: RwLock::new(configured),
            members: RwLock::default(),
            near: RwLock::default(),
        }
    }

    /// Replaces the peers from the settings.
    pub(crate) fn set_configured(&self, configured: Vec<address::Peer>) {
        *self.configured.write() = configured;
    }

    /// Replaces the peers from the view.
    pub(crate) fn set_members(&self, members: Vec<address::Peer>) {
        if *self.members.read() != members {
            *self.members.write() = members;
        }
    }

    /// Replaces the names of the members in this entry's failure domain.
    pub(crate) fn set_near(&self, near: Vec<id::Instance>) {
        if *self.near.read() != near {
            *self.near.write() = near;
        }
    }

    /// Whether a control process is known to be in this entry's failure domain.
    pub(crate) fn is_near(&self, instance: &id::Instance) -> bool {
        self.near.read().contains(instance)
    }

    /// All peers without duplicates, those from the settings first.
    pub(crate) fn list(&self) -> Vec<address::Peer> {
        let mut all = self.configured.read().clone();
        for peer in self.members.read().iter() {
            if !all.iter().any(|other| other.instance == peer.instance) {
                all.push(peer.clone());
            }
        }
        all
    }

    /// Address of a control process: the one in this entry's settings if there is one,
    /// otherwise the one that the control processes use among themselves.
    pub(crate) fn address_of(&self, peer: &address::Peer) -> address::Socket {
        let configured = self.configured.read();
        let own = configured.iter().find(|own| own.instance == peer.instance);
        own.unwrap_or(peer).address
    }
}
