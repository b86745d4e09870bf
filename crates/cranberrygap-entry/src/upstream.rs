//! HTTP clients for requests to engines.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cranberrygap_response::defect::Defect;
use futures_util::Stream;
use http::{HeaderMap, StatusCode};

use crate::framing;

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

/// Why the body of a response was not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    /// The connection broke.
    #[error("the response broke off: {0}")]
    Broken(#[from] reqwest::Error),
    /// It is larger than it may be.
    #[error("the response has more than {0} bytes")]
    TooLarge(usize),
}

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// None arrived.
    #[error("no response arrived: {0}")]
    Http(#[from] reqwest::Error),
    /// One arrived whose head cannot be trusted.
    #[error(transparent)]
    Malformed(#[from] Defect),
}

/// A response with a sound head, whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Response {
    http: reqwest::Response,
    framing: framing::Framing,
}

/// Sends a request and waits for the head of its response.
///
/// # Errors
///
/// [`Error`] if none arrives that can be trusted.
pub(crate) async fn send(request: reqwest::RequestBuilder) -> Result<Response, Error> {
    let http = request.send().await?;
    let framing = framing::Framing::new(http.status(), http.headers(), http.content_length())?;
    Ok(Response { http, framing })
}

impl Response {
    pub(crate) fn status(&self) -> StatusCode {
        self.http.status()
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        self.http.headers()
    }

    /// How the end of the body is known.
    pub(crate) const fn framing(&self) -> framing::Framing {
        self.framing
    }

    /// Reads the body, which may have so many bytes at most.
    pub(crate) async fn read_body(mut self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.http.chunk().await? {
            if whole.len() + chunk.len() > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    /// The body as it arrives.
    pub(crate) fn into_stream(self) -> impl Stream<Item = reqwest::Result<Bytes>> + Send {
        self.http.bytes_stream()
    }
}

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

    /// Client that opens a connection for each request, for retries: after a failure, the
    /// pooled connections may be dead as well.
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
