//! What callers send to an entry and what they get.

use std::time::Duration;

use cranberrygap_model::address;
use serde_json::{Value, json};

/// Longest wait for an answer; the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(40);

/// A caller with its key.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::Client,
    secret: String,
}

impl Caller {
    /// A caller that shows this secret.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT);
        Self {
            client: client.build().unwrap(),
            secret: secret.to_owned(),
        }
    }

    /// Posts a JSON body.
    pub async fn post(
        &self,
        entry: address::Socket,
        path: &str,
        body: &Value,
    ) -> reqwest::Result<reqwest::Response> {
        let request = self.client.post(format!("http://{entry}{path}"));
        request.bearer_auth(&self.secret).json(body).send().await
    }

    /// Gets a path.
    pub async fn get(
        &self,
        entry: address::Socket,
        path: &str,
    ) -> reqwest::Result<reqwest::Response> {
        let request = self.client.get(format!("http://{entry}{path}"));
        request.bearer_auth(&self.secret).send().await
    }

    /// Asks a model.
    pub async fn chat(
        &self,
        entry: address::Socket,
        model: &str,
        prompt: &str,
        stream: bool,
    ) -> reqwest::Result<reqwest::Response> {
        self.post(entry, "/v1/chat/completions", &chat(model, prompt, stream))
            .await
    }

    /// Books a draw under an idempotency key.
    pub async fn draw(
        &self,
        entry: address::Socket,
        key: &str,
        sample: u64,
    ) -> reqwest::Result<reqwest::Response> {
        let body = json!({"sample": sample});
        self.book(entry, "/services/draws/draws", key, &body).await
    }

    /// Posts a JSON body under an idempotency key.
    pub async fn book(
        &self,
        entry: address::Socket,
        path: &str,
        key: &str,
        body: &Value,
    ) -> reqwest::Result<reqwest::Response> {
        let request = self.client.post(format!("http://{entry}{path}"));
        let request = request.bearer_auth(&self.secret);
        let request = request.header("idempotency-key", key);
        request.json(body).send().await
    }
}

/// Tokens of a chat's answer.
pub const TOKENS: u64 = 8;

/// Body of a chat.
#[must_use]
pub fn chat(model: &str, prompt: &str, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": stream,
    })
}
