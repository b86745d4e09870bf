//! How endpoints take orders and report; another platform is another adapter.

use std::time::Duration;

use cranberrygap_model::address;
use cranberrygap_wire::endpoint;
use futures_util::future::BoxFuture;

/// Longest time for one call. An endpoint that is silent for longer is asked
/// again, and the answer to the abandoned question is not used.
const DEADLINE: Duration = Duration::from_secs(2);

/// Largest answer that is taken, in bytes; thousands of resident models fit.
const LARGEST_ANSWER: usize = 1 << 20;

/// Why an endpoint did not answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    #[error("the answer is not in the expected form: {0}")]
    Form(#[from] serde_json::Error),
    #[error("the answer has more than {LARGEST_ANSWER} bytes")]
    TooLarge,
}

/// Endpoints as a leader reaches them.
pub(crate) trait Platform: Send + Sync + std::fmt::Debug {
    /// Sends an order. The endpoint must run each id at most once, and give
    /// the first verdict again when the same order comes again.
    fn order<'a>(
        &'a self,
        address: address::Socket,
        order: &'a endpoint::Order,
    ) -> BoxFuture<'a, Result<endpoint::Verdict, Error>>;

    /// Asks for a report that is made after the question came.
    fn report(&self, address: address::Socket) -> BoxFuture<'_, Result<endpoint::Report, Error>>;
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
            .timeout(DEADLINE)
            .pool_max_idle_per_host(0)
            .no_proxy()
            .build()?;
        Ok(Self { client })
    }
}

impl Platform for Http {
    fn order<'a>(
        &'a self,
        address: address::Socket,
        order: &'a endpoint::Order,
    ) -> BoxFuture<'a, Result<endpoint::Verdict, Error>> {
        Box::pin(async move {
            let url = format!("http://{address}/orders");
            let answer = self.client.post(url).json(order).send().await?;
            Ok(serde_json::from_slice(&body(answer).await?)?)
        })
    }

    fn report(&self, address: address::Socket) -> BoxFuture<'_, Result<endpoint::Report, Error>> {
        Box::pin(async move {
            // No cache event is younger than this, so none is sent along.
            let since = u64::MAX;
            let url = format!("http://{address}/report?since={since}");
            let answer = self.client.get(url).send().await?;
            Ok(serde_json::from_slice(&body(answer).await?)?)
        })
    }
}

async fn body(answer: reqwest::Response) -> Result<Vec<u8>, Error> {
    let mut answer = answer.error_for_status()?;
    let mut body = Vec::new();
    while let Some(part) = answer.chunk().await? {
        body.extend_from_slice(&part);
        if body.len() > LARGEST_ANSWER {
            return Err(Error::TooLarge);
        }
    }
    Ok(body)
}
