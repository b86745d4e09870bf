//! HTTP clients for requests to endpoints.

use std::time::Duration;

/// Longest wait for a TCP connection. Endpoints are about a millisecond away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an idle connection stays in the pool. A device between the two ends may drop
/// an idle connection without an error; with a short timeout, requests rarely get such a
/// connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without acknowledgement, of data or of keepalive probes, after which the kernel closes a
/// connection. With it, a number of probes has no effect.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without traffic after which the kernel sends a keepalive probe, and the time between
/// two probes. The probes detect a dead connection while nothing is sent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// HTTP clients of one entry.
#[derive(Debug, Clone)]
pub(crate) struct Clients {
    pooled: reqwest::Client,
    unpooled: reqwest::Client,
}

impl Clients {
    /// Builds the clients with the timeouts of this module.
    pub(crate) fn new() -> reqwest::Result<Self> {
        let pooled = builder().pool_idle_timeout(IDLE_TIMEOUT).build()?;
        let unpooled = builder().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, unpooled })
    }

    /// Client that reuses connections, for requests that may be sent again.
    pub(crate) fn pooled(&self) -> &reqwest::Client {
        &self.pooled
    }

    /// Client that opens a connection for each request, for bookings, retries and
    /// liveness checks.
    ///
    /// A reused connection may be dead without an error, and the outcome of a booking sent
    /// over it would be unknown.
    pub(crate) fn unpooled(&self) -> &reqwest::Client {
        &self.unpooled
    }
}

fn builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .http1_only()
}
