//! Client for endpoints: sends orders and fetches reports.
//!
//! Another protocol needs another implementation.

use std::time::Duration;

use cranberrygap_model::address;
use cranberrygap_response::defect::Defect;
use cranberrygap_wire::endpoint;
use futures_util::future::BoxFuture;

use crate::body;

/// Timeout of one call. An endpoint that takes longer is asked again, and its late answer is
/// ignored.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest response that is read, in bytes; a report of thousands of resident models fits.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Reason why a call to an endpoint failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    #[error("invalid response: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error(transparent)]
    Head(#[from] Defect),
    #[error("the response has more than {MAX_RESPONSE_BYTES} bytes")]
    TooLarge,
}

/// Client through which the leader calls endpoints.
pub(crate) trait EndpointClient: Send + Sync + std::fmt::Debug {
    /// Sends an order. The endpoint must execute each order id at most once, and repeat its first
    /// verdict when it receives the same order again.
    fn send_order<'a>(
        &'a self,
        address: address::Socket,
        order: &'a endpoint::Order,
    ) -> BoxFuture<'a, Result<endpoint::Verdict, Error>>;

    /// Fetches a report that the endpoint makes after it received the request.
    fn fetch_report(
        &self,
        address: address::Socket,
    ) -> BoxFuture<'_, Result<endpoint::Report, Error>>;
}

/// Client for endpoints that speak HTTP and JSON.
#[derive(Debug)]
pub(crate) struct Http {
    client: reqwest::Client,
}

impl Http {
    /// Creates a client with its own connections.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub(crate) fn new() -> Result<Self, reqwest::Error> {
        // A pooled connection may be dead without notice, and an order sent over it would be lost
        // without an error, so each call opens a new one.
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
            // No cache event is newer than this, so the report contains none.
            let since = u64::MAX;
            let url = format!("http://{address}/report?since={since}");
            let response = self.client.get(url).send().await?;
            Ok(serde_json::from_slice(&read_body(response).await?)?)
        })
    }
}

async fn read_body(response: reqwest::Response) -> Result<Vec<u8>, Error> {
    let body = body::read::<Error>(response, MAX_RESPONSE_BYTES).await?;
    body.ok_or(Error::TooLarge)
}
