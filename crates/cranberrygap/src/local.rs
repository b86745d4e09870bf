//! A whole fleet in one process: for newcomers, tests and measurements.
//!
//! One control process and one entry run on a temporary data folder, with
//! stand-ins for model engines, a booking service and the weight store.

use std::fs;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use cadence::{NopMetricSink, StatsdClient};
use cranberrygap_control::process as control;
use cranberrygap_entry::process as entry;
use cranberrygap_link::{client, credential};
use cranberrygap_model::{address, duration, size};
use cranberrygap_standin::{booking, engine, loopback, store};
use cranberrygap_state::key;
use cranberrygap_wire::{endpoint, method, operator, settings};
use tokio::runtime;

pub mod call;
pub mod page;

/// Models that the engines hold.
pub const MODELS: [&str; 2] = ["frames-7b", "codes-3b"];
/// The plain service.
pub const SERVICE: &str = "draws";
/// Workspace of the key.
const WORKSPACE: &str = "newcomer";
/// Size of each model.
const MODEL_SIZE: size::Bytes = size::Bytes(8 << 30);
/// Longest wait for the parts to find each other.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time between looks at whether they have.
const READY_POLL: Duration = Duration::from_millis(20);
/// Longest wait for an answer of the control process.
const ANSWER: duration::Span = duration::Span::from_secs(5);

/// How the fleet is laid out.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// Where callers connect.
    #[builder(default = loopback::unique())]
    pub callers: address::Socket,
    /// Model engines.
    #[builder(default = 2)]
    pub engines: usize,
    /// Time of a token.
    #[builder(default = Duration::from_millis(15))]
    pub token_time: Duration,
    /// Time that each further request in an engine's batch adds to a token.
    #[builder(default = Duration::from_micros(20))]
    pub token_time_each: Duration,
    /// Tokens of an answer whose request does not say fewer.
    #[builder(default = 64)]
    pub answer_length: u64,
    /// Requests that an entry and an engine have in progress at most.
    #[builder(default = 2048)]
    pub requests: u32,
    /// Whether the engines keep the requests that they see.
    #[builder(default = true)]
    pub keeps_record: bool,
    /// Where each kind of process runs; the current runtime when left out.
    pub runtimes: Option<Runtimes>,
}

/// Runtimes by kind of process, so that their processor time can be told apart.
#[derive(Debug, Clone)]
pub struct Runtimes {
    /// For the control process.
    pub control: runtime::Handle,
    /// For the entry.
    pub entry: runtime::Handle,
    /// For the stand-ins.
    pub endpoints: runtime::Handle,
}

/// Why a local fleet did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The temporary folder or a stand-in's address could not be used.
    #[error("cannot set up the local fleet: {0}")]
    Setup(#[from] io::Error),
    /// The control process did not start.
    #[error("the control process did not start: {0}")]
    Control(#[from] control::Error),
    /// The entry did not start.
    #[error("the entry did not start: {0}")]
    Entry(#[from] entry::Error),
    /// The control process did not do what was asked.
    #[error("the control process refused: {0}")]
    Refused(String),
    /// The parts did not find each other in time.
    #[error("not ready after {} s: {waiting_for}", READY_LIMIT.as_secs())]
    NotReady {
        /// What was still missing.
        waiting_for: &'static str,
    },
    /// A part ended while it started, which is a bug.
    #[error("a part of the local fleet ended while it started: {0}")]
    Ended(#[from] tokio::task::JoinError),
}

/// A running local fleet.
#[derive(Debug)]
pub struct Local {
    control: control::Process,
    entry: entry::Process,
    engines: Vec<engine::Handle>,
    service: booking::Handle,
    store: store::Store,
    secret: key::Secret,
    folder: tempfile::TempDir,
}

impl Local {
    /// Starts the fleet; returns when it answers.
    ///
    /// # Errors
    ///
    /// When a part does not start or they do not find each other.
    pub async fn start(wanted: Settings) -> Result<Self, Error> {
        let here = runtime::Handle::current();
        let runtimes = wanted.runtimes.clone().unwrap_or(Runtimes {
            control: here.clone(),
            entry: here.clone(),
            endpoints: here,
        });
        let folder = tempfile::tempdir()?;
        let page = page::Page::new(&wanted, folder.path(), draw_token()?);
        let store = start_store(&page, &runtimes).await?;
        let control = start_control(&page, store.address(), &runtimes).await?;
        let entry = start_entry(&page, &runtimes).await?;
        let engines = start_engines(&wanted, entry.endpoints_address(), &runtimes).await?;
        let service = start_service(entry.endpoints_address(), &runtimes).await?;
        let secret = key::Secret::new(draw()?);
        let local = Self {
            control,
            entry,
            engines,
            service,
            store,
            secret,
            folder,
        };
        local.configure().await?;
        local.ready().await?;
        Ok(local)
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> address::Socket {
        self.entry.callers()
    }

    /// Where operators of this instance connect; no token is needed.
    #[must_use]
    pub fn admin(&self) -> address::Socket {
        self.control.admin_address()
    }

    /// Secret of the callers' key.
    #[must_use]
    pub fn secret(&self) -> &str {
        self.secret.reveal()
    }

    /// The model engines.
    #[must_use]
    pub fn engines(&self) -> &[engine::Handle] {
        &self.engines
    }

    /// The booking service.
    #[must_use]
    pub fn service(&self) -> &booking::Handle {
        &self.service
    }

    /// The weight store.
    #[must_use]
    pub fn store(&self) -> &store::Store {
        &self.store
    }

    /// Folder of the control process's data, which goes with the fleet.
    #[must_use]
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Ends all parts; requests that run are finished.
    pub async fn stop(self) {
        self.service.stop().await;
        for engine in self.engines {
            engine.stop().await;
        }
        self.control.stop().await;
        self.store.stop().await;
    }

    /// Applies a configuration and issues the key.
    async fn configure(&self) -> Result<(), Error> {
        let apply = operator::Apply {
            author: author("local-configuration"),
            expect: cranberrygap_model::number::Revision(0),
            text: page::CONFIGURATION.into(),
        };
        let applied: operator::Applied = self.ask(method::APPLY, &apply).await?;
        if !matches!(applied, operator::Applied::Accepted { .. }) {
            return Err(Error::Refused(format!("{applied:?}")));
        }
        let issue = operator::Issue {
            author: author("local-key"),
            hash: self.secret.hash(),
            key: self.secret.key().clone(),
            workspace: name(WORKSPACE),
        };
        let _issued: operator::Issued = self.ask(method::KEY_ISSUE, &issue).await?;
        Ok(())
    }

    /// Asks the control process until it leads and answers.
    async fn ask<P, R>(&self, method: &'static str, params: &P) -> Result<R, Error>
    where
        P: serde::Serialize + Sync,
        R: serde::de::DeserializeOwned,
    {
        let secret = credential::Secret::loopback();
        let begin = tokio::time::Instant::now();
        loop {
            let role = credential::Role::Operator;
            let link = client::Client::connect(self.admin(), role, &secret).await;
            let answer = match link {
                Ok(link) => link.call(method, params, ANSWER).await,
                Err(cause) => Err(cause),
            };
            match answer {
                Ok(answer) => return Ok(answer),
                Err(cause) if begin.elapsed() > READY_LIMIT => {
                    return Err(Error::Refused(cause.to_string()));
                }
                Err(_not_yet) => tokio::time::sleep(READY_POLL).await,
            }
        }
    }

    /// Waits until the entry serves the model and the service.
    async fn ready(&self) -> Result<(), Error> {
        let begin = tokio::time::Instant::now();
        for (call, waiting_for) in call::probes(self) {
            while call.status().await != Some(reqwest::StatusCode::OK) {
                if begin.elapsed() > READY_LIMIT {
                    return Err(Error::NotReady { waiting_for });
                }
                tokio::time::sleep(READY_POLL).await;
            }
        }
        Ok(())
    }
}

async fn start_store(page: &page::Page, runtimes: &Runtimes) -> Result<store::Store, Error> {
    let models = MODELS.map(|model| store::model(name(model), MODEL_SIZE));
    let settings = store::Settings::builder()
        .address(page.store)
        .models(models.to_vec())
        .build();
    let starting = async move { store::Store::start(settings) };
    Ok(runtimes.endpoints.spawn(starting).await??)
}

async fn start_control(
    page: &page::Page,
    store: address::Socket,
    runtimes: &Runtimes,
) -> Result<control::Process, Error> {
    let mut settings = page.control();
    settings.store = Some(settings::Store {
        address: Some(store),
    });
    fs::create_dir_all(settings.group.data.as_str())?;
    let secrets = control::Secrets {
        fleet: vec![page.fleet()],
        operators: vec![credential::Secret::loopback()],
    };
    let starting = async move { control::Process::start(settings, secrets).await };
    Ok(runtimes.control.spawn(starting).await??)
}

async fn start_entry(page: &page::Page, runtimes: &Runtimes) -> Result<entry::Process, Error> {
    let settings = page.entry();
    let secrets = entry::Secrets {
        fleet: page.fleet(),
        operators: vec![credential::Secret::loopback()],
        endpoint: None,
    };
    let metrics = Arc::new(StatsdClient::from_sink("cranberrygap", NopMetricSink));
    let starting = async move { entry::Process::start(settings, secrets, metrics).await };
    Ok(runtimes.entry.spawn(starting).await??)
}

async fn start_engines(
    wanted: &Settings,
    announce_to: address::Socket,
    runtimes: &Runtimes,
) -> Result<Vec<engine::Handle>, Error> {
    let mut engines = Vec::new();
    for number in 1..=wanted.engines {
        let preloaded = MODELS.map(|model| endpoint::Resident {
            model: name(model),
            size: MODEL_SIZE,
        });
        let settings = engine::Settings::builder()
            .endpoint(name(&format!("runner-{number}")))
            .domain(name(&format!("domain-{number}")))
            .address(loopback::unique())
            .preloaded(preloaded.to_vec())
            .token_time(wanted.token_time)
            .token_time_each(wanted.token_time_each)
            .keeps_record(wanted.keeps_record)
            .answer_length(wanted.answer_length)
            .slots(wanted.requests as usize)
            .announce_to(vec![announce_to])
            .build();
        let starting = async move { engine::Handle::start(settings) };
        engines.push(runtimes.endpoints.spawn(starting).await??);
    }
    Ok(engines)
}

async fn start_service(
    announce_to: address::Socket,
    runtimes: &Runtimes,
) -> Result<booking::Handle, Error> {
    let settings = booking::Settings::builder()
        .endpoint(name("draws-1"))
        .service(name(SERVICE))
        .domain(name("domain-1"))
        .address(loopback::unique())
        .announce_to(vec![announce_to])
        .build();
    let starting = async move { booking::Handle::start(settings) };
    Ok(runtimes.endpoints.spawn(starting).await??)
}

/// A name that this module wrote and that is therefore valid.
fn name<T: std::str::FromStr>(text: &str) -> T {
    let name = text.parse().ok();
    name.expect("a name that this module wrote is valid")
}

fn author(change: &str) -> operator::Author {
    operator::Author {
        by: "local".into(),
        change: name(change),
        why: "a local fleet was started".into(),
    }
}

fn draw() -> Result<[u8; key::RANDOM_BYTES], Error> {
    let mut random = [0; key::RANDOM_BYTES];
    getrandom::fill(&mut random).map_err(io::Error::other)?;
    Ok(random)
}

fn draw_token() -> Result<String, Error> {
    Ok(key::Secret::new(draw()?).reveal().to_owned())
}
