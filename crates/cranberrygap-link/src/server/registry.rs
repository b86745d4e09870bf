//! A listener's secrets, methods, streams and open connections.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use smol_str::SmolStr;

use super::connection::Connection;
use super::{Meter, Method, Stream};
use crate::credential;
use crate::traffic;

/// Unauthenticated connections may take one in this many of all connections.
const UNAUTHENTICATED_DIVISOR: usize = 16;

/// State shared by all connections of one listener.
pub(super) struct Registry {
    secrets: Mutex<BTreeMap<credential::Role, Vec<credential::Secret>>>,
    methods: BTreeMap<SmolStr, Method>,
    streams: BTreeMap<SmolStr, Stream>,
    connections: Mutex<BTreeMap<u32, Arc<Connection>>>,
    max_connections: usize,
    meter: Option<Meter>,
    traffic: Option<Arc<traffic::Meter>>,
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
            traffic: None,
        }
    }

    /// Sets the callback for the processor time of calls.
    pub(super) fn with_meter(self, meter: Option<Meter>) -> Self {
        Self { meter, ..self }
    }

    /// Sets the meter of what connections carry.
    pub(super) fn with_traffic(self, traffic: Option<Arc<traffic::Meter>>) -> Self {
        Self { traffic, ..self }
    }

    pub(super) const fn traffic(&self) -> Option<&Arc<traffic::Meter>> {
        self.traffic.as_ref()
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

    /// Returns the secrets currently accepted for `role`.
    pub(super) fn secrets(&self, role: credential::Role) -> Vec<credential::Secret> {
        self.secrets.lock().get(&role).cloned().unwrap_or_default()
    }

    /// Replaces the secrets of a role and closes the connections that authenticated with a
    /// removed one. Otherwise whoever holds a leaked secret would keep access for as long as
    /// the connection stays open.
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

    /// Adds a connection; returns false if the listener is at its limit.
    ///
    /// Clients that open connections and never authenticate could otherwise use up the
    /// limit and lock out the fleet. At the limit of unauthenticated connections, the
    /// oldest of them is closed for the new one. A process of the fleet authenticates within
    /// milliseconds.
    pub(super) fn insert(&self, id: u32, connection: Arc<Connection>) -> bool {
        let mut connections = self.connections.lock();
        let unauthenticated = connections
            .iter()
            .filter(|(_, held)| held.is_unauthenticated());
        let unauthenticated: Vec<u32> = unauthenticated.map(|(id, _)| *id).collect();
        if unauthenticated.len() >= self.max_unauthenticated() {
            let oldest = unauthenticated
                .first()
                .and_then(|id| connections.remove(id));
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
