//! Where control processes are, by the settings and by the view.

use cranberrygap_model::address;
use parking_lot::RwLock;

/// Control processes that may be asked.
///
/// The settings name the first ones. Those may all be replaced while this process
/// runs, or the settings may change; the view tells who belongs to the group now.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    configured: RwLock<Vec<address::Peer>>,
    members: RwLock<Vec<address::Peer>>,
}

impl Peers {
    pub(crate) fn new(told: Vec<address::Peer>) -> Self {
        Self {
            configured: RwLock::new(told),
            members: RwLock::default(),
        }
    }

    /// Takes over changed settings.
    pub(crate) fn set_configured(&self, told: Vec<address::Peer>) {
        *self.configured.write() = told;
    }

    /// Takes over who belongs to the group.
    pub(crate) fn set_members(&self, seen: Vec<address::Peer>) {
        if *self.members.read() != seen {
            *self.members.write() = seen;
        }
    }

    /// All that may be asked, each once.
    pub(crate) fn list(&self) -> Vec<address::Peer> {
        let mut all = self.configured.read().clone();
        for peer in self.members.read().iter() {
            if !all.iter().any(|known| known.instance == peer.instance) {
                all.push(peer.clone());
            }
        }
        all
    }

    /// Where this process reaches a control process: by its own settings, or else
    /// as the control processes reach it.
    pub(crate) fn address_of(&self, peer: &address::Peer) -> address::Socket {
        let told = self.configured.read();
        let known = told.iter().find(|known| known.instance == peer.instance);
        known.unwrap_or(peer).address
    }
}
