//! The control processes that keep origins of streams beside the entries.

use cranberrygap_model::{address, id};
use cranberrygap_routing::origin;

use crate::view;

/// Control processes, and the one that this entry tells.
#[derive(Debug)]
pub(super) struct Controls {
    own: id::Instance,
    all: Vec<address::Socket>,
    /// The one that is told.
    home: Option<address::Socket>,
}

impl Controls {
    /// Creates the control processes of the entry `own` before its first view.
    pub(super) const fn new(own: id::Instance) -> Self {
        Self {
            own,
            all: Vec::new(),
            home: None,
        }
    }

    /// Applies a view; returns whether another process is told from now on.
    pub(super) fn apply_view(&mut self, view: &view::Snapshot) -> bool {
        let members = view.control_members().map(|member| origin::Entry {
            instance: member.instance.clone(),
            domain: member.domain.clone(),
            address: member.address,
        });
        let members: Vec<origin::Entry> = members.collect();
        let home = origin::control_home(&self.own, &members).map(|home| home.address);
        self.all = members.iter().map(|member| member.address).collect();
        std::mem::replace(&mut self.home, home) != home
    }

    /// The control process that is told.
    pub(super) const fn home(&self) -> Option<address::Socket> {
        self.home
    }

    /// All control processes.
    pub(super) fn all(&self) -> &[address::Socket] {
        &self.all
    }
}
