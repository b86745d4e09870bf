//! Idle connections to endpoints, kept for later requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrygap_link::traffic::Kind;
use cranberrygap_model::address;
use parking_lot::Mutex;

use crate::dial;
use crate::traffic;

use super::{endpoint_connection, head_limit};

/// Time that a connection stays idle before a request that may run only once. A device on
/// the way, or the endpoint, may close or forget an idle connection; a request sent over
/// such a connection is lost, and it is unknown whether it ran.
const ONCE_ONLY_MAX_IDLE: Duration = Duration::from_millis(1_500);

/// Time that a connection stays idle before any other request.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Time between two sweeps that close expired connections.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Idle connections for one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// Idle connections by address.
#[derive(Debug)]
pub(crate) struct Pool {
    dialer: Arc<dyn dial::Dial>,
    traffic: Arc<traffic::Traffic>,
    /// What the connections are counted as.
    kind: Kind,
    idle: Mutex<BTreeMap<address::Socket, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: endpoint_connection::Connection,
    idle_since: Instant,
}

impl Idle {
    fn is_usable(&self) -> bool {
        let max_idle = MAX_IDLE.min(self.connection.max_idle_time());
        self.connection.is_usable() && self.idle_since.elapsed() < max_idle
    }
}

impl Pool {
    /// A pool without connections; what they carry is counted as `kind`.
    pub(crate) fn new(
        dialer: Arc<dyn dial::Dial>,
        traffic: Arc<traffic::Traffic>,
        kind: Kind,
    ) -> Self {
        Self {
            dialer,
            traffic,
            kind,
            idle: Mutex::default(),
        }
    }

    /// The most recently used connection, or a new one.
    ///
    /// # Errors
    ///
    /// When no connection can be opened; nothing was sent then.
    pub(crate) async fn take(
        &self,
        address: address::Socket,
        once_only: bool,
    ) -> std::io::Result<endpoint_connection::Connection> {
        if let Some(connection) = self.take_idle(address, once_only) {
            return Ok(connection);
        }
        self.open(address).await
    }

    /// A new connection.
    ///
    /// # Errors
    ///
    /// When none can be opened; nothing was sent then.
    pub(crate) async fn open(
        &self,
        address: address::Socket,
    ) -> std::io::Result<endpoint_connection::Connection> {
        let counter = head_limit::Counter {
            flow: self.traffic.flow(self.kind, address),
            kind: self.kind,
        };
        endpoint_connection::Connection::open(&*self.dialer, address, counter).await
    }

    fn take_idle(
        &self,
        address: address::Socket,
        once_only: bool,
    ) -> Option<endpoint_connection::Connection> {
        let max_idle = if once_only {
            ONCE_ONLY_MAX_IDLE
        } else {
            MAX_IDLE
        };
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(Idle::is_usable);
        let is_fresh = connections.last()?.idle_since.elapsed() < max_idle;
        let mut connection = connections.pop_if(|_| is_fresh)?.connection;
        connection.mark_reused();
        Some(connection)
    }

    /// Keeps a connection whose last response is complete.
    pub(crate) fn put(&self, connection: endpoint_connection::Connection) {
        if !connection.is_usable() {
            return;
        }
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        let idle_since = Instant::now();
        connections.push(Idle {
            connection,
            idle_since,
        });
    }

    /// Closes expired connections.
    pub(crate) fn close_expired(&self) {
        self.idle.lock().retain(|_, connections| {
            connections.retain(Idle::is_usable);
            !connections.is_empty()
        });
    }
}
