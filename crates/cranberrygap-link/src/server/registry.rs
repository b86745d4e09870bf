//! What a listener knows: secrets, methods and open connections.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use smol_str::SmolStr;

use super::connection::Connection;
use super::{Meter, Method, Stream};
use crate::credential;

/// Part of all places that connections without a proof may take: one in so many.
const UNAUTHENTICATED_DIVISOR: usize = 16;

/// Shared by all connections of one listener.
pub(super) struct Registry {
    secrets: Mutex<BTreeMap<credential::Role, Vec<credential::Secret>>>,
    methods: BTreeMap<SmolStr, Method>,
    streams: BTreeMap<SmolStr, Stream>,
    connections: Mutex<BTreeMap<u32, Arc<Connection>>>,
    max_connections: usize,
    meter: Option<Meter>,
}

impl Registry {
    pub(super) const fn new(
        secrets: BTreeMap<credential::Role, Vec<credential::Secret>>,
        methods: BTreeMap<SmolStr, Method>,
        streams: BTreeMap<SmolStr, Stream>,
        max_connections: usize,
    ) -> Self {
        Self {
            secrets: Mutex::new(secrets),
            methods,
            streams,
            connections: Mutex::new(BTreeMap::new()),
            max_connections,
            meter: None,
        }
    }

    /// Tells of the processor time of calls.
    pub(super) fn with_meter(self, meter: Option<Meter>) -> Self {
        Self { meter, ..self }
    }

    pub(super) const fn meter(&self) -> Option<&Meter> {
        self.meter.as_ref()
    }

    pub(super) fn method(&self, name: &str) -> Option<&Method> {
        self.methods.get(name)
    }

    pub(super) fn stream(&self, name: &str) -> Option<&Stream> {
        self.streams.get(name)
    }

    /// Secrets that prove `role` at this moment.
    pub(super) fn secrets(&self, role: credential::Role) -> Vec<credential::Secret> {
        self.secrets.lock().get(&role).cloned().unwrap_or_default()
    }

    /// Changes the secrets of a role and ends connections that rest on one that
    /// is no longer taken; else a leaked secret would go on for as long as its
    /// finder keeps a connection open.
    pub(super) fn replace_secrets(&self, role: credential::Role, secrets: Vec<credential::Secret>) {
        let open: Vec<Arc<Connection>> = self.connections.lock().values().cloned().collect();
        for connection in open {
            if connection.uses_revoked_secret(role, &secrets) {
                connection.close();
            }
        }
        self.secrets.lock().insert(role, secrets);
    }

    pub(super) fn connection(&self, id: u32) -> Option<Arc<Connection>> {
        self.connections.lock().get(&id).cloned()
    }

    /// Notes a connection unless there are too many.
    ///
    /// Strangers that open connections and say nothing could take all places.
    /// One would see that no process of the fleet gets in. So the oldest that
    /// has not proven itself makes room for the next one; a process of the fleet
    /// needs its place unproven for milliseconds only.
    pub(super) fn insert(&self, id: u32, connection: Arc<Connection>) -> bool {
        let mut connections = self.connections.lock();
        let unproven = connections
            .iter()
            .filter(|(_, held)| held.is_unauthenticated());
        let unproven: Vec<u32> = unproven.map(|(id, _)| *id).collect();
        if unproven.len() >= self.max_unauthenticated() {
            let oldest = unproven.first().and_then(|id| connections.remove(id));
            if let Some(oldest) = oldest {
                oldest.close();
            }
        }
        if connections.len() >= self.max_connections {
            return false;
        }
        connections.insert(id, connection);
        true
    }

    fn max_unauthenticated(&self) -> usize {
        (self.max_connections / UNAUTHENTICATED_DIVISOR).max(1)
    }

    pub(super) fn remove(&self, id: u32) {
        self.connections.lock().remove(&id);
    }

    pub(super) fn close_all(&self) {
        for connection in self.connections.lock().values() {
            connection.close();
        }
    }

    pub(super) fn count(&self) -> usize {
        self.connections.lock().len()
    }
}
