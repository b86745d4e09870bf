//! A weight store with its rate and its slots.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_model::{address, id, size};
use cranberrygap_wire::endpoint;
use parking_lot::Mutex;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Request, Response, Router, handler};

use crate::listener;

/// Steps in which a load that runs alone is counted; more are more exact.
const STEPS: f64 = 20.0;

/// What the store holds and how fast it is.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// Where it listens.
    pub address: address::Socket,
    /// What can be loaded.
    #[builder(default)]
    pub models: Vec<endpoint::Weights>,
    /// Loads of models in flight at full speed; beyond that all get slower.
    #[builder(default = 11.0)]
    pub model_slots: f64,
    /// Time of a model's load at full speed.
    #[builder(default = Duration::from_millis(3667))]
    pub model_time: Duration,
    /// Loads of adapters in flight at full speed.
    #[builder(default = 90.0)]
    pub adapter_slots: f64,
    /// Time of an adapter's load at full speed.
    #[builder(default = Duration::from_millis(6))]
    pub adapter_time: Duration,
}

/// How the store was used.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// Loads of models in flight now.
    pub models: usize,
    /// Most loads of models in flight at any time.
    pub most_models: usize,
    /// Loads of adapters in flight now.
    pub adapters: usize,
    /// Finished loads by name.
    pub finished: BTreeMap<id::Model, u64>,
}

#[derive(Debug)]
struct Core {
    settings: Settings,
    usage: Mutex<Usage>,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    core: Arc<Core>,
    listener: listener::Listener,
}

impl Store {
    /// Starts the store.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let address = settings.address;
        let core = Arc::new(Core {
            settings,
            usage: Mutex::default(),
        });
        let router = Router::new()
            .push(Router::with_path("models").get(List(Arc::clone(&core))))
            .push(Router::with_path("weights/{**model}").get(Load(Arc::clone(&core))));
        let listener = listener::Listener::bind(address, router)?;
        Ok(Self { core, listener })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> address::Socket {
        self.listener.address()
    }

    /// How it was used so far.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.core.usage.lock().clone()
    }

    /// Ends the store and its connections.
    pub async fn stop(self) {
        self.listener.abort().await;
    }
}

/// A model of the listing.
#[must_use]
pub fn model(name: id::Model, size: size::Bytes) -> endpoint::Weights {
    endpoint::Weights {
        base: None,
        model: name,
        size,
        version_of: None,
    }
}

/// An adapter of the listing.
#[must_use]
pub fn adapter(name: id::Model, base: id::Model, size: size::Bytes) -> endpoint::Weights {
    endpoint::Weights {
        base: Some(base),
        model: name,
        size,
        version_of: None,
    }
}

struct List(Arc<Core>);

#[handler]
impl List {
    fn handle(&self, res: &mut Response) {
        res.render(Json(endpoint::Listing {
            models: self.0.settings.models.clone(),
        }));
    }
}

struct Load(Arc<Core>);

#[handler]
impl Load {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let name: String = req.param("model").unwrap_or_default();
        let mut models = self.0.settings.models.iter();
        let Some(weights) = models.find(|weights| weights.model.as_str() == name) else {
            res.status_code(StatusCode::NOT_FOUND);
            return;
        };
        self.0.transfer(weights.base.is_some()).await;
        let mut usage = self.0.usage.lock();
        *usage.finished.entry(weights.model.clone()).or_default() += 1;
        res.render(Json(weights.clone()));
    }
}

/// Counts a transfer for as long as it lives, also when its client leaves.
struct Transfer<'a> {
    core: &'a Core,
    adapter: bool,
}

impl<'a> Transfer<'a> {
    fn begin(core: &'a Core, adapter: bool) -> Self {
        let mut usage = core.usage.lock();
        if adapter {
            usage.adapters += 1;
        } else {
            usage.models += 1;
            usage.most_models = usage.most_models.max(usage.models);
        }
        Self { core, adapter }
    }

    /// Share of the full speed that each transfer of this kind has now.
    fn speed(&self) -> f64 {
        let settings = &self.core.settings;
        let usage = self.core.usage.lock();
        let (slots, running) = if self.adapter {
            (settings.adapter_slots, usage.adapters)
        } else {
            (settings.model_slots, usage.models)
        };
        (slots / running.max(1) as f64).min(1.0)
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let mut usage = self.core.usage.lock();
        if self.adapter {
            usage.adapters -= 1;
        } else {
            usage.models -= 1;
        }
    }
}

impl Core {
    async fn transfer(&self, adapter: bool) {
        let transfer = Transfer::begin(self, adapter);
        let time = if adapter {
            self.settings.adapter_time
        } else {
            self.settings.model_time
        };
        let mut done = 0.0;
        while done < 1.0 {
            tokio::time::sleep(time.div_f64(STEPS)).await;
            done += transfer.speed() / STEPS;
        }
    }
}
