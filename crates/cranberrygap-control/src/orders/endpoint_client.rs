//! How endpoints take orders and report; another platform is another adapter.

use std::time::Duration;

use cranberrygap_model::address;
use cranberrygap_wire::endpoint;
use futures_util::future::BoxFuture;

/// Longest time for one call. An endpoint that is silent for longer is asked
/// again, and the answer to the abandoned question is not used.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer that is taken, in bytes; thousands of resident models fit.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Why an endpoint did not answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    #[error("invalid response: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the response has more than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
}

/// Endpoints as a leader reaches them.
pub(crate) trait EndpointClient: Send + Sync + std::fmt::Debug {
    /// Sends an order. The endpoint must run each id at most once, and give
    /// the first verdict again when the same order comes again.
    fn send_order<'a>(
        &'a self,
        address: address::Socket,
        order: &'a endpoint::Order,
    ) -> BoxFuture<'a, Result<endpoint::Verdict, Error>>;

    /// Asks for a report that is made after the question came.
    fn fetch_report(
        &self,
        address: address::Socket,
    ) -> BoxFuture<'_, Result<endpoint::Report, Error>>;
}

/// Endpoints that speak HTTP and JSON.
#[derive(Debug)]
pub(crate) struct Http {
    client: reqwest::Client,
}

impl Http {
    /// An adapter with its own connections.
    ///
    /// # Errors
    ///
    /// When the client cannot be set up.
    pub(crate) fn new() -> Result<Self, reqwest::Error> {
        // Fresh connections: a pooled one may be silently dead, and an order
        // would be lost without a word.
        let client = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .pool_max_idle_per_host(0)
            .no_proxy()
            .build()?;
        Ok(Self { client })
    }
}

impl EndpointClient for Http {
    fn send_order<'a>(
        &'a self,
        address: address::Socket,
        order: &'a endpoint::Order,
    ) -> BoxFuture<'a, Result<endpoint::Verdict, Error>> {
        Box::pin(async move {
            let url = format!("http://{address}/orders");
            let response = self.client.post(url).json(order).send().await?;
            Ok(serde_json::from_slice(&read_body(response).await?)?)
        })
    }

    fn fetch_report(
        &self,
        address: address::Socket,
    ) -> BoxFuture<'_, Result<endpoint::Report, Error>> {
        Box::pin(async move {
            // No cache event is younger than this, so none is sent along.
            let since = u64::MAX;
            let url = format!("http://{address}/report?since={since}");
            let response = self.client.get(url).send().await?;
            Ok(serde_json::from_slice(&read_body(response).await?)?)
        })
    }
}

async fn read_body(response: reqwest::Response) -> Result<Vec<u8>, Error> {
    let mut response = response.error_for_status()?;
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(Error::TooLarge);
        }
    }
    Ok(body)
}
