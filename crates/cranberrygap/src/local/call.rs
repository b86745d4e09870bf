//! The calls that a newcomer makes first, as `curl` lines and through real sockets.

use std::time::Duration;

use cranberrygap_standin::engine::token;
use serde_json::{Value, json};

use crate::local;

/// Tokens of the chat.
const TOKENS: u64 = 12;
/// What the caller of the chat says.
const QUESTION: &str = "Summarise the frame of enterprises in Oslo.";
/// Path of the lookup.
const LOOKUP: &str = "/services/draws/lookup/42";
/// Path of the booking.
const BOOKING: &str = "/services/draws/draws";
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// One call of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// What it shows.
    pub title: &'static str,
    url: String,
    secret: String,
    idempotency_key: Option<&'static str>,
    body: Option<Value>,
}

/// What came back from a call.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// HTTP status; none when there was no whole answer.
    pub status: Option<reqwest::StatusCode>,
    /// The body, or why there was none.
    pub text: String,
}

/// A call with what is expected of its answer.
pub struct Checked {
    /// The call.
    pub call: Call,
    check: Check,
}

/// Says what an answer fell short of.
type Check = Box<dyn Fn(&Outcome) -> Result<(), String> + Send + Sync>;

impl std::fmt::Debug for Checked {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Checked")
            .field("call", &self.call)
            .finish_non_exhaustive()
    }
}

impl Checked {
    /// What the answer fell short of.
    ///
    /// # Errors
    ///
    /// A sentence that says what was expected.
    pub fn check(&self, outcome: &Outcome) -> Result<(), String> {
        if outcome.status != Some(reqwest::StatusCode::OK) {
            return Err(format!("status 200 was expected, not {:?}", outcome.status));
        }
        (self.check)(outcome)
    }
}

impl Call {
    /// The call as a line for a shell.
    #[must_use]
    pub fn curl(&self) -> String {
        let key = self
            .idempotency_key
            .map_or_else(String::new, |key| format!(" -H 'idempotency-key: {key}'"));
        let body = self.body.as_ref().map_or_else(String::new, |body| {
            format!(" -H 'content-type: application/json' -d '{body}'")
        });
        let Self { url, secret, .. } = self;
        format!("curl -sN {url} -H 'authorization: Bearer {secret}'{key}{body}")
    }

    /// Makes the call and reads the whole answer.
    pub async fn make(&self) -> Outcome {
        match self.send().await {
            Ok(outcome) => outcome,
            Err(cause) => Outcome {
                status: None,
                text: cause.to_string(),
            },
        }
    }

    /// Makes the call; the status of a whole answer.
    pub async fn status(&self) -> Option<reqwest::StatusCode> {
        self.make().await.status
    }

    async fn send(&self) -> reqwest::Result<Outcome> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let mut request = match &self.body {
            Some(body) => client.post(&self.url).json(body),
            None => client.get(&self.url),
        };
        if let Some(key) = self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let request = request.bearer_auth(&self.secret).timeout(TIMEOUT);
        let answer = request.send().await?;
        let status = Some(answer.status());
        let text = answer.text().await?;
        Ok(Outcome { status, text })
    }
}

/// Calls that succeed once the fleet serves, each with what is missing until then.
pub(super) fn probes(fleet: &local::Local) -> [(Call, &'static str); 2] {
    [
        (chat(fleet, 1), "no engine answers a chat"),
        (lookup(fleet), "the service answers no lookup"),
    ]
}

/// The calls that show what the system does, in their order.
#[must_use]
pub fn shown(fleet: &local::Local) -> Vec<Checked> {
    let streamed = Checked {
        call: chat(fleet, TOKENS),
        check: Box::new(check_chat),
    };
    let looked_up = Checked {
        call: lookup(fleet),
        check: Box::new(|outcome| expect_field(outcome, "id", &json!("42"))),
    };
    let booked = Checked {
        call: booking(fleet, "a booking"),
        check: Box::new(|outcome| expect_field(outcome, "runs", &json!(1))),
    };
    let resent = Checked {
        call: booking(
            fleet,
            "the same booking once more, which must not run again",
        ),
        check: Box::new(|outcome| expect_field(outcome, "runs", &json!(1))),
    };
    vec![streamed, looked_up, booked, resent]
}

fn chat(fleet: &local::Local, tokens: u64) -> Call {
    Call {
        title: "a streamed chat",
        url: format!("http://{}/v1/chat/completions", fleet.callers()),
        secret: fleet.secret().to_owned(),
        idempotency_key: None,
        body: Some(json!({
            "model": local::MODELS[0],
            "messages": [{"role": "user", "content": QUESTION}],
            "max_tokens": tokens,
            "stream": true,
        })),
    }
}

fn lookup(fleet: &local::Local) -> Call {
    Call {
        title: "a lookup",
        url: format!("http://{}{LOOKUP}", fleet.callers()),
        secret: fleet.secret().to_owned(),
        idempotency_key: None,
        body: None,
    }
}

fn booking(fleet: &local::Local, title: &'static str) -> Call {
    Call {
        title,
        url: format!("http://{}{BOOKING}", fleet.callers()),
        secret: fleet.secret().to_owned(),
        idempotency_key: Some("draw-2026-12"),
        body: Some(json!({"sample": 40, "frame": "enterprises"})),
    }
}

fn check_chat(outcome: &Outcome) -> Result<(), String> {
    let expected = token::Tokens::new(local::MODELS[0], &format!("user: {QUESTION}\n"));
    let expected = expected.text(0, TOKENS);
    let found = streamed_text(&outcome.text);
    if found != expected {
        return Err(format!("the tokens{expected} were expected, not{found}"));
    }
    if !outcome.text.trim_end().ends_with("data: [DONE]") {
        return Err("the stream did not end with [DONE]".to_owned());
    }
    Ok(())
}

fn expect_field(outcome: &Outcome, field: &str, expected: &Value) -> Result<(), String> {
    let answer: Value = serde_json::from_str(&outcome.text).unwrap_or_default();
    if answer[field] == *expected {
        return Ok(());
    }
    Err(format!("{field}: {expected} was expected"))
}

/// The text of a stream's tokens.
#[must_use]
pub fn streamed_text(stream: &str) -> String {
    let events = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let contents = events.filter_map(|event| {
        let event: Value = serde_json::from_str(event).ok()?;
        let content = event["choices"][0]["delta"]["content"].as_str()?;
        Some(content.to_owned())
    });
    contents.collect()
}
