//! HTTP clients towards endpoints.

use std::time::Duration;

/// Longest wait for a TCP connection. Endpoints are about a millisecond away.
const CONNECT: Duration = Duration::from_millis(500);

/// Time that an unused connection stays open. Something between the ends may
/// forget an idle connection without telling either; a short idle life makes a
/// request rarely meet such a one.
const IDLE: Duration = Duration::from_secs(5);

/// Time without acknowledgement after which the kernel ends a connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Time without traffic after which the kernel asks whether the other end is
/// still there, so that a silent connection ends also while nothing is sent.
const KEEPALIVE: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;

/// The clients of one entry.
#[derive(Debug, Clone)]
pub(crate) struct Clients {
    pooled: reqwest::Client,
    unpooled: reqwest::Client,
}

impl Clients {
    /// Clients with the bounds above.
    pub(crate) fn new() -> reqwest::Result<Self> {
        let pooled = builder().pool_idle_timeout(IDLE).build()?;
        let unpooled = builder().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, unpooled })
    }

    /// For requests that may be sent again: keeps connections.
    pub(crate) fn pooled(&self) -> &reqwest::Client {
        &self.pooled
    }

    /// For bookings: each goes over a connection of its own, so that a silently
    /// dead one cannot turn a booking into one of unknown outcome.
    pub(crate) fn unpooled(&self) -> &reqwest::Client {
        &self.unpooled
    }
}

fn builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT)
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED)
        .tcp_keepalive(KEEPALIVE)
        .tcp_keepalive_interval(KEEPALIVE)
        .tcp_keepalive_retries(KEEPALIVE_RETRIES)
        .http1_only()
}
