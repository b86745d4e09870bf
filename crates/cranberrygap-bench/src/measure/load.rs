//! Open-loop load of streamed chats: requests start on time, however long others take.

use std::sync::Arc;
use std::time::{Duration, Instant};

use cranberrygap_model::address;
use futures_util::StreamExt as _;
use hdrhistogram::Histogram;
use rand::Rng as _;
use rand::SeedableRng as _;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Longest latency that is told apart, in microseconds: a minute.
const LONGEST: u64 = 60_000_000;
/// Digits of a latency that are kept.
const DIGITS: u8 = 3;
/// Time for a whole answer; one that takes longer has failed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// What ends a whole stream.
const END: &[u8] = b"data: [DONE]\n\n";
/// What each event begins with.
const EVENT: &[u8] = b"data: ";

/// What is sent, and how fast.
#[derive(Debug, Clone, bon::Builder)]
pub struct Load {
    /// Where to.
    pub address: address::Socket,
    /// Secret of the caller's key, when one is needed.
    pub key: Option<String>,
    /// The model that is asked.
    pub model: String,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are started.
    pub time: Duration,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Requests in flight; beyond that they are dropped and counted.
    pub most: usize,
}

/// What came back.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Time from sending to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Whole answers.
    pub finished: u64,
    /// Answers that were refused, cut or late.
    pub failed: u64,
    /// Requests that were not sent, since too many were in flight.
    pub dropped: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Time from the first request to the last answer.
    pub elapsed: Duration,
}

impl Default for Outcome {
    fn default() -> Self {
        Self {
            first_token: Histogram::new_with_max(LONGEST, DIGITS)
                .expect("the bounds of the histogram are constants that fit"),
            finished: 0,
            failed: 0,
            dropped: 0,
            tokens: 0,
            elapsed: Duration::ZERO,
        }
    }
}

impl Outcome {
    /// Adds what another run of the same load brought.
    pub fn add(&mut self, other: &Self) {
        self.first_token += &other.first_token;
        self.finished += other.finished;
        self.failed += other.failed;
        self.dropped += other.dropped;
        self.tokens += other.tokens;
        self.elapsed += other.elapsed;
    }

    /// A quantile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn first_token_millis(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// One answered request.
struct Answer {
    first_token: Duration,
    tokens: u64,
}

struct Target {
    client: reqwest::Client,
    url: String,
    key: Option<String>,
    body: Vec<u8>,
    tokens: u64,
}

/// Sends the load with arrivals drawn from the seed.
///
/// # Errors
///
/// When the HTTP client cannot be set up.
pub async fn run(load: &Load, seed: u64) -> reqwest::Result<Outcome> {
    let target = Arc::new(target(load)?);
    let places = Arc::new(Semaphore::new(load.most));
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut requests = JoinSet::new();
    let begin = Instant::now();
    let mut due = Duration::ZERO;
    while due < load.time {
        // Times between arrivals of a Poisson process.
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / load.rate);
        tokio::time::sleep_until((begin + due).into()).await;
        while let Some(answer) = requests.try_join_next() {
            note(&mut outcome, answer.ok().flatten());
        }
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            outcome.dropped += 1;
            continue;
        };
        let target = Arc::clone(&target);
        requests.spawn(async move {
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, target.ask()).await;
            drop(place);
            answer.ok().flatten()
        });
    }
    while let Some(answer) = requests.join_next().await {
        note(&mut outcome, answer.ok().flatten());
    }
    outcome.elapsed = begin.elapsed();
    Ok(outcome)
}

fn note(outcome: &mut Outcome, answer: Option<Answer>) {
    let Some(answer) = answer else {
        outcome.failed += 1;
        return;
    };
    let micros = u64::try_from(answer.first_token.as_micros()).unwrap_or(LONGEST);
    outcome.first_token.saturating_record(micros);
    outcome.finished += 1;
    outcome.tokens += answer.tokens;
}

fn target(load: &Load) -> reqwest::Result<Target> {
    let body = serde_json::json!({
        "model": load.model,
        "messages": [{"role": "user", "content": "Summarise the frame of enterprises."}],
        "max_tokens": load.tokens,
        "stream": true,
    });
    Ok(Target {
        client: reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .build()?,
        url: format!("http://{}/v1/chat/completions", load.address),
        key: load.key.clone(),
        body: body.to_string().into_bytes(),
        tokens: load.tokens,
    })
}

impl Target {
    /// None when the answer was refused, cut or not the length asked for.
    async fn ask(&self) -> Option<Answer> {
        let mut request = self
            .client
            .post(&self.url)
            .header("content-type", "application/json")
            .body(self.body.clone());
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        let sent = Instant::now();
        let answer = request.send().await.ok()?.error_for_status().ok()?;
        let mut stream = answer.bytes_stream();
        let mut first_token = None;
        let mut events = 0;
        let mut end = Vec::new();
        while let Some(bytes) = stream.next().await {
            let bytes = bytes.ok()?;
            first_token.get_or_insert_with(|| sent.elapsed());
            events += count(&bytes);
            keep_end(&mut end, &bytes);
        }
        // The tokens, the finish reason, the end, and perhaps the usage.
        let whole = end == END && events >= self.tokens + 2;
        whole.then_some(Answer {
            first_token: first_token?,
            tokens: self.tokens,
        })
    }
}

/// Events that begin in the bytes. An event whose first bytes are split over
/// two reads is missed; servers here write each event at once.
fn count(bytes: &[u8]) -> u64 {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines.filter(|line| line.starts_with(EVENT)).count() as u64
}

/// Keeps the last bytes of a stream, as many as its end has.
fn keep_end(end: &mut Vec<u8>, bytes: &[u8]) {
    end.extend_from_slice(bytes);
    let surplus = end.len().saturating_sub(END.len());
    end.drain(..surplus);
}
