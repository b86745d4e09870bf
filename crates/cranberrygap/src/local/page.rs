//! Settings of a local fleet's processes.

use std::path::{Path, PathBuf};

use cranberrygap_link::credential;
use cranberrygap_model::address;
use cranberrygap_standin::loopback;
use cranberrygap_wire::settings;

use crate::local;

/// The configuration of a local fleet.
pub const CONFIGURATION: &str = "\
[defaults]
rate = 100000000/s
burst = 100000000
capacity = 100000000/s

[exception service draws]
reason = lookups of the frame only read
idempotent = GET /lookup/*
";

/// Where the processes of a local fleet are and which secrets they share.
#[derive(Debug, Clone)]
pub struct Page {
    callers: address::Socket,
    endpoints: address::Socket,
    entry_admin: address::Socket,
    peers: address::Socket,
    control_admin: address::Socket,
    /// Where the weight store listens.
    pub store: address::Socket,
    requests: u32,
    data: PathBuf,
    fleet: String,
}

impl Page {
    /// Addresses that nobody else uses, and the secret that they share.
    #[must_use]
    pub fn new(wanted: &local::Settings, folder: &Path, fleet: String) -> Self {
        Self {
            callers: wanted.callers,
            endpoints: loopback::unique(),
            entry_admin: loopback::unique(),
            peers: loopback::unique(),
            control_admin: loopback::unique(),
            store: loopback::unique(),
            requests: wanted.requests,
            data: folder.join("data"),
            fleet,
        }
    }

    /// The secret that the processes share.
    ///
    /// # Panics
    ///
    /// Never; the token was drawn long enough.
    #[must_use]
    pub fn fleet(&self) -> credential::Secret {
        credential::Secret::new(self.fleet.as_bytes()).expect("a drawn token is long enough")
    }

    /// Settings of the control process.
    #[must_use]
    pub fn control(&self) -> settings::Control {
        settings::Control {
            control: identity("control-1"),
            group: settings::ControlGroup {
                domains: Vec::new(),
                first: true,
                tend: false,
                losses: 1,
                data: self.data.to_string_lossy().into(),
                join: false,
                voters: vec![self.peer()],
            },
            listen: settings::ControlListen {
                public: None,
                port: 0,
                admin: self.control_admin,
                peers: self.peers,
            },
            log: None,
            metrics: None,
            secrets: unread(),
            store: None,
        }
    }

    /// Settings of the entry.
    #[must_use]
    pub fn entry(&self) -> settings::Entry {
        settings::Entry {
            control: settings::EntryControl {
                port: 0,
                peers: vec![self.peer()],
            },
            entry: identity("entry-1"),
            limits: Some(settings::EntryLimits {
                connections: self.requests,
                requests: self.requests,
                ..settings::EntryLimits::default()
            }),
            listen: settings::EntryListen {
                gateway: None,
                directory: None,
                outgoing: None,
                ready: None,
                gossip: None,
                lending: None,
                admin: self.entry_admin,
                advertise: None,
                callers: self.callers,
                endpoints: self.endpoints,
            },
            log: None,
            metrics: None,
            secrets: unread(),
        }
    }

    fn peer(&self) -> address::Peer {
        address::Peer {
            instance: local::name("control-1"),
            address: self.peers,
        }
    }
}

fn identity(instance: &str) -> settings::Identity {
    settings::Identity {
        domain: local::name("domain-1"),
        instance: local::name(instance),
    }
}

/// The secrets are passed in and not read from files.
fn unread() -> settings::Secrets {
    settings::Secrets {
        endpoint: None,
        fleet: Some("passed in".into()),
        trusted_network: false,
        operator: None,
    }
}
