//! Speeds of engines: what this entry observes, and what the homes tell.

use std::net::SocketAddr;

use cranberrygap_model::{duration, id};
use cranberrygap_routing::prompt::speed;
use parking_lot::Mutex;
use serde::Serialize;

use super::state::State;
use super::{Destination, Endpoints, Inner};

/// Most observations that wait for the next report to the homes. More come from a burst of
/// broken clocks, not from streams: an entry ends a few streams in this time.
const MAX_PENDING: usize = 256;

/// What a stream of one model showed of an engine.
pub(crate) type Observed = (u32, u32, speed::Observation);

/// Observations that the homes were not told yet.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pending: Mutex<Vec<Observed>>,
}

/// Speed of an engine, for a dump.
#[derive(Debug, Serialize)]
pub(super) struct Dump {
    spread_percent: u16,
    models: Vec<ModelDump>,
}

/// Speed of an engine with one model, for a dump, beside that of its peers.
#[derive(Debug, Serialize)]
struct ModelDump {
    model: String,
    prefill_nanos: u32,
    peers_prefill_nanos: Option<f64>,
    event_micros: u32,
    peers_event_micros: Option<f64>,
}

impl Endpoints {
    /// Records what a stream showed of the speed of its engine.
    pub(crate) fn observe_speed(
        &self,
        now: duration::Instant,
        destination: &Destination,
        model: &id::Model,
        observation: speed::Observation,
    ) {
        let mut inner = self.inner.lock();
        let state = inner.states.get(&destination.endpoint);
        let Some(state) = state.filter(|state| state.boot == destination.boot) else {
            return;
        };
        let engine = state.name_hash;
        let model = speed::model_key(model);
        if inner.homes.is_own(engine) {
            inner.observe_speed(now, engine, model, observation);
            return;
        }
        drop(inner);
        let mut pending = self.speed_outbox.pending.lock();
        if pending.len() < MAX_PENDING {
            pending.push((engine, model, observation));
        }
    }

    /// Takes the observations that the homes of their engines were not told yet.
    pub(crate) fn take_speeds(&self) -> Vec<Observed> {
        std::mem::take(&mut *self.speed_outbox.pending.lock())
    }

    /// Applies what another entry observed of engines of this home.
    pub(crate) fn apply_observations(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        observed: &[Observed],
    ) {
        let mut inner = self.inner.lock();
        if !inner.homes.is_entry(from) {
            return;
        }
        for (engine, model, observation) in observed {
            inner.observe_speed(now, *engine, *model, *observation);
        }
    }

    /// Speeds of engines of this home that an entry that asks for their load does not know yet.
    pub(crate) fn speeds_for(
        &self,
        now: duration::Instant,
        asker: SocketAddr,
        engines: &[u32],
    ) -> Vec<(u32, speed::Report)> {
        let mut inner = self.inner.lock();
        if !inner.homes.is_entry(asker) {
            return Vec::new();
        }
        let speeds = &mut inner.speeds;
        let told = engines.iter().filter_map(|engine| {
            let report = speeds.tell(now, *engine, asker)?;
            Some((*engine, report))
        });
        told.collect()
    }

    /// Applies the speeds that the home of engines tells.
    pub(crate) fn apply_speeds(
        &self,
        now: duration::Instant,
        from: SocketAddr,
        reports: Vec<(u32, speed::Report)>,
    ) {
        let mut inner = self.inner.lock();
        for (engine, report) in reports {
            let home = inner.homes.address(engine);
            if home.is_some_and(|home| home.0 == from) {
                inner.known_speeds.record(now, engine, report);
            }
        }
    }
}

impl Inner {
    fn observe_speed(
        &mut self,
        now: duration::Instant,
        engine: u32,
        model: u32,
        observation: speed::Observation,
    ) {
        if self.speeds.observe(now, engine, model, observation) {
            let name = self.name_of(engine);
            spdlog::warn!(
                "gateway: a stream shows an impossible speed of {name}, {observation:?}; it counts within bounds"
            );
        }
        if let Some(report) = self.speeds.report(now, engine) {
            self.known_speeds.record(now, engine, report);
        }
    }

    fn name_of(&self, engine: u32) -> String {
        let mut states = self.states.values();
        let state = states.find(|state| state.name_hash == engine);
        state.map_or_else(
            || format!("engine {engine:08x}"),
            |state| state.endpoint.to_string(),
        )
    }

    /// Speed of an engine with a model.
    pub(super) fn speed(
        &self,
        now: duration::Instant,
        state: &State,
        model: u32,
        peers: &speed::known::Peers,
    ) -> speed::Speed {
        self.known_speeds.speed(now, state.name_hash, model, peers)
    }

    /// What is known of the speed of an engine, for a dump.
    pub(super) fn dump_speed(&self, state: &State) -> Option<Dump> {
        let (_, report) = self.known_speeds.report(state.name_hash)?;
        let models = report.models.iter().map(|told| {
            let peers = self.known_speeds.peers(told.model);
            let mut names = state.models.iter();
            let name = names.find(|name| {
                let model = name.parse::<id::Model>();
                model.is_ok_and(|model| speed::model_key(&model) == told.model)
            });
            ModelDump {
                model: name.map_or_else(|| format!("{:08x}", told.model), ToString::to_string),
                prefill_nanos: told.prefill_nanos,
                peers_prefill_nanos: peers.prefill_micros.map(|micros| micros * 1_000.0),
                event_micros: told.event_micros,
                peers_event_micros: peers.event_micros,
            }
        });
        Some(Dump {
            spread_percent: report.spread_percent,
            models: models.collect(),
        })
    }
}
