//! Client that reads the weight store's list.

use std::time::Duration;

use cranberrygap_model::address;
use cranberrygap_response::defect::Defect;
use cranberrygap_wire::endpoint;

use crate::body;

/// Timeout of one request.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest list that is read, in bytes; 4,096 models stay below it.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Client of a weight store.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    http: reqwest::Client,
    url: String,
}

/// Reason why the list could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("the store does not answer: {0}")]
    Http(#[from] reqwest::Error),
    #[error("the store's list is not believed: {0}")]
    Head(#[from] Defect),
    #[error("the store's list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the store's list has more than {MAX_LIST_BYTES} bytes")]
    TooLarge,
}

impl Store {
    pub(crate) fn new(address: address::Socket) -> Result<Self, Error> {
        // A pooled connection may be dead without notice, and the list is read only once a second,
        // so each request opens a new one.
        let http = reqwest::Client::builder()
            .timeout(LIST_TIMEOUT)
            .pool_max_idle_per_host(0)
            .no_proxy()
            .build()?;
        let url = format!("http://{address}/models");
        Ok(Self { http, url })
    }

    pub(crate) async fn list_models(&self) -> Result<Vec<endpoint::Weights>, Error> {
        let response = self.http.get(&self.url).send().await?;
        let body = body::read::<Error>(response, MAX_LIST_BYTES).await?;
        let body = body.ok_or(Error::TooLarge)?;
        let listing: endpoint::Listing = serde_json::from_slice(&body)?;
        Ok(listing.models)
    }
}
