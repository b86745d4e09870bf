//! Gateway: serves the routes of the traffic plan, for any method, path and body.
//!
//! A request is read whole, checked against the plan in force and sent to one endpoint at
//! a time, over connections that this entry owns; the response is forwarded as it arrives.
//! A [`dialect::Dialect`] reads and writes the headers of callers and endpoints.

mod activity;
mod buffer;
mod caller_connection;
mod delivery;
pub mod dialect;
mod drain;
pub(crate) mod endpoint_connection;
mod endpoints;
mod failure;
mod forward;
mod gossip;
mod head_limit;
mod in_flight;
mod listener;
mod log_limit;
mod origins;
mod peers;
pub(crate) mod pool;
mod read_ahead;
mod readers;
mod request;
mod request_log;
mod response;
pub mod retry_after;
pub mod statement;
mod stream;

pub(crate) use endpoints::Endpoints;
pub(crate) use gossip::Gossip;
pub(crate) use listener::Listener;
pub(crate) use origins::Origins;

use std::fmt;
use std::sync::Arc;

use cranberrygap_link::traffic::Kind;
use cranberrygap_model::size;
use cranberrygap_response::defect::Defect;

use crate::core;
use crate::dial;
use crate::metric;

/// Least memory of an entry, in bytes, whose third holds a single response of any size.
pub const MIN_MEMORY: size::Bytes = size::Bytes(3 * buffer::MAX_RESPONSE_BYTES as u64);

/// State shared by all requests of a gateway.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) core: Arc<core::Core>,
    pub(crate) dialect: Arc<dyn dialect::Dialect>,
    pub(crate) pool: pool::Pool,
    pub(crate) peers: peers::Peers,
    /// Memory that is held for callers.
    readers: Arc<readers::Readers>,
    /// Limits the lines about requests.
    pub(crate) log_limiter: log_limit::Limiter,
    /// Limits the lines about what endpoints say of themselves.
    pub(crate) endpoint_log_limiter: log_limit::Limiter,
}

impl Gateway {
    pub(crate) fn new(core: Arc<core::Core>, dialect: Arc<dyn dialect::Dialect>) -> Arc<Self> {
        let traffic = &core.traffic;
        let dialer = Arc::clone(&core.dialer);
        let pool = pool::Pool::new(dialer, Arc::clone(traffic), Kind::Endpoints);
        let between_entries =
            pool::Pool::new(Arc::new(dial::Tcp), Arc::clone(traffic), Kind::Forwards);
        let limits = core.settings.limits.as_ref();
        let memory = limits.and_then(|limits| limits.memory);
        let readers = readers::Readers::new(core.clock, memory);
        Arc::new(Self {
            core,
            dialect,
            pool,
            peers: peers::Peers::new(between_entries),
            readers: Arc::new(readers),
            log_limiter: log_limit::Limiter::default(),
            endpoint_log_limiter: log_limit::Limiter::default(),
        })
    }

    /// Records that an endpoint or another entry sent a response that is not believed.
    fn record_defect(&self, sender: &dyn fmt::Display, defect: Defect) {
        self.core
            .count(metric::MALFORMED_RESPONSES, defect.as_str());
        let now = self.core.now();
        if let Some(dropped) = self.endpoint_log_limiter.take_line(now) {
            spdlog::warn!(
                "gateway: a response of {sender} is not believed: {defect}",
                kv: { lines_dropped = dropped }
            );
        }
    }
}
