//! A model engine that speaks the OpenAI protocol and makes up its tokens.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, duration, id, size, software};
use cranberrygap_wire::endpoint;
use parking_lot::Mutex;
use salvo::Router;
use tokio::task::JoinHandle;

use crate::{announcer, listener, record};

pub mod answer;
pub mod batch;
pub mod cache;
pub mod call;
pub mod fault;
pub mod handler;
pub mod memory;
pub mod orders;
pub mod state;
pub mod token;

/// Time between looks at whether the last request has ended.
const STOP_POLL: Duration = Duration::from_millis(5);

/// What the engine is called, how fast it is and what it holds.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// Name of the endpoint.
    pub endpoint: id::Endpoint,
    /// Failure domain.
    pub domain: id::Domain,
    /// Where it listens.
    pub address: address::Socket,
    /// Memory for weights and KV cache.
    #[builder(default = size::Bytes(64 << 30))]
    pub memory: size::Bytes,
    /// Part of the memory that is the prefix cache's.
    #[builder(default = size::Bytes(1 << 30))]
    pub cache: size::Bytes,
    /// Models in memory at each start.
    #[builder(default)]
    pub preloaded: Vec<endpoint::Resident>,
    /// Version of the software that it runs and announces. Tokens of two versions differ.
    pub software: Option<software::Version>,
    /// Accelerators that it announces.
    #[builder(default = 8)]
    pub accelerators: u32,
    /// Whether orders with an old fencing number are refused.
    #[builder(default = true)]
    pub checks_fence: bool,
    /// Requests that run at once; further ones wait.
    #[builder(default = 256)]
    pub slots: usize,
    /// Time of a token when one request runs.
    #[builder(default = Duration::from_millis(2))]
    pub token_time: Duration,
    /// Time that each further request in the batch adds to a token.
    #[builder(default = Duration::from_micros(20))]
    pub token_time_each: Duration,
    /// Time to read a prompt token that is not in the prefix cache.
    #[builder(default = Duration::from_micros(20))]
    pub prefill_time: Duration,
    /// Tokens of an answer whose request does not say fewer.
    #[builder(default = 64)]
    pub answer_length: u64,
    /// Store from which models are loaded; none: a load takes `load_time`.
    pub store: Option<address::Socket>,
    /// Time of a load without a store.
    #[builder(default = Duration::from_millis(200))]
    pub load_time: Duration,
    /// Age that a report's figures may have.
    #[builder(default)]
    pub report_lag: Duration,
    /// Every so many cache events one is lost; 0: none.
    #[builder(default)]
    pub lost_event_every: u64,
    /// Whether it keeps the requests that it sees.
    #[builder(default = true)]
    pub keeps_record: bool,
    /// Entries' listeners for announcements; none: it does not announce itself.
    #[builder(default)]
    pub announce_to: Vec<address::Socket>,
    /// Token shown when announcing.
    pub token: Option<String>,
    /// Time between announcements until an entry says otherwise.
    #[builder(default = duration::Span::from_secs(1))]
    pub heartbeat: duration::Span,
    /// Text in a prompt that crashes the engine.
    pub crash_marker: Option<String>,
    /// Time from a crash to the next start.
    #[builder(default = Duration::from_millis(500))]
    pub restart_time: Duration,
}

/// What has happened to requests so far, over all starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that got a place in the batch.
    pub started: u64,
    /// Requests answered to their end.
    pub finished: u64,
    /// Requests whose client left before their end.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
}

/// A running engine.
#[derive(Debug)]
pub struct Handle {
    state: Arc<state::State>,
    announcer: Arc<Mutex<Option<announcer::Announcer>>>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let state = Arc::new(state::State::new(settings));
        let announcer = Arc::new(Mutex::new(None));
        let listener = up(&state, &announcer)?;
        let task = tokio::spawn(supervise(
            Arc::clone(&state),
            Arc::clone(&announcer),
            listener,
        ));
        Ok(Self {
            state,
            announcer,
            task,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> address::Socket {
        self.state.settings.address
    }

    /// Name of the endpoint.
    #[must_use]
    pub fn endpoint(&self) -> id::Endpoint {
        self.state.settings.endpoint.clone()
    }

    /// What goes wrong from now on.
    pub fn set_fault(&self, fault: fault::Fault) {
        *self.state.fault.lock() = fault;
    }

    /// Runs other software from now on, as after a start that nobody has heard of yet; what it
    /// announces stays.
    pub fn replace_software(&self, software: Option<software::Version>) {
        *self.state.software.lock() = software;
    }

    /// What goes wrong with orders from now on.
    pub fn set_order_fault(&self, fault: fault::OrderFault) {
        *self.state.order_fault.lock() = fault;
    }

    /// Crashes: drops all connections and comes back with a new boot.
    pub fn crash(&self) {
        self.state.crash.notify_one();
    }

    /// What has happened to requests so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        *self.state.counts.lock()
    }

    /// Requests in the batch.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.batch.running()
    }

    /// What is in memory, in load, and what would have been overcommitted.
    #[must_use]
    pub fn memory(&self) -> memory::Memory {
        self.state.memory.lock().clone()
    }

    /// Orders that came in, with the verdicts, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<orders::Taken> {
        self.state.orders.lock().taken().to_vec()
    }

    /// Requests that it saw.
    #[must_use]
    pub fn record(&self) -> &record::Record {
        &self.state.record
    }

    /// Says that it leaves; goes on answering.
    pub async fn leave(&self) {
        *self.state.phase.lock() = endpoint::Phase::Leaving;
        let announced = self
            .announcer
            .lock()
            .as_ref()
            .map(announcer::Announcer::announced);
        if let Some(announced) = announced {
            announced.await;
        }
    }

    /// Says that it leaves, finishes what runs and ends.
    pub async fn stop(self) {
        self.leave().await;
        while self.running() > 0 {
            tokio::time::sleep(STOP_POLL).await;
        }
        self.kill().await;
    }

    /// Ends at once and does not come back.
    pub async fn kill(mut self) {
        self.announcer.lock().take();
        self.task.abort();
        let _cancelled = (&mut self.task).await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.announcer.lock().take();
        self.task.abort();
    }
}

fn up(
    state: &Arc<state::State>,
    announcer: &Mutex<Option<announcer::Announcer>>,
) -> io::Result<listener::Listener> {
    let router = Router::new()
        .push(Router::with_path("v1/chat/completions").post(handler::Chat(Arc::clone(state))))
        .push(Router::with_path("v1/completions").post(handler::Completion(Arc::clone(state))))
        .push(Router::with_path("report").get(handler::Report(Arc::clone(state))))
        .push(Router::with_path("orders").post(handler::Order(Arc::clone(state))));
    let settings = &state.settings;
    let listener = listener::Listener::bind(settings.address, router)?;
    if !settings.announce_to.is_empty() {
        let source: Arc<dyn announcer::Source> = Arc::<state::State>::clone(state);
        *announcer.lock() = Some(announcer::Announcer::start(
            source,
            settings.announce_to.clone(),
            settings.token.clone(),
            settings.heartbeat,
        ));
    }
    Ok(listener)
}

async fn supervise(
    state: Arc<state::State>,
    announcer: Arc<Mutex<Option<announcer::Announcer>>>,
    mut listener: listener::Listener,
) {
    loop {
        state.crash.notified().await;
        announcer.lock().take();
        listener.abort().await;
        state.counts.lock().crashes += 1;
        tokio::time::sleep(state.settings.restart_time).await;
        state.restart();
        // The address may still be held for a moment by the old connections.
        listener = loop {
            match up(&state, &announcer) {
                Ok(listener) => break listener,
                Err(_held) => tokio::time::sleep(STOP_POLL).await,
            }
        };
    }
}
