//! Routing: chooses the endpoint that serves a request.

pub(crate) mod least_loaded;

use std::fmt;

use cranberrygap_model::{address, duration, id, number, software};
use cranberrygap_routing::origin;
use cranberrygap_wire::endpoint;
use smallvec::SmallVec;

use crate::view;

/// Endpoints that a request was already sent to. Few requests are sent more than once or
/// twice.
pub(crate) type Tried = SmallVec<[id::Endpoint; 3]>;

/// What a request needs from an endpoint.
#[derive(Debug)]
pub(crate) struct Query<'request> {
    /// The model, if the request needs a runner.
    pub model: Option<&'request id::Model>,
    /// The service, if the request needs a plain service.
    pub service: Option<&'request id::Service>,
    /// Endpoints to leave out.
    pub tried: &'request Tried,
    /// Software versions at which the request may run.
    pub requirement: origin::Requirement<'request>,
}

/// The endpoint that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Destination {
    /// Name of the endpoint.
    pub endpoint: id::Endpoint,
    /// Address at which the endpoint listens.
    pub address: address::Socket,
    /// Boot of the endpoint at the time of the choice.
    pub boot: number::Boot,
    /// Version of the software that this boot runs.
    pub software: Option<software::Version>,
}

/// A runner that can be asked for its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Runner {
    /// Name of the runner.
    pub endpoint: id::Endpoint,
    /// Address at which the runner listens.
    pub address: address::Socket,
    /// Whether this entry sent a request there recently.
    pub recently_used: bool,
}

/// Chooses endpoints and records the outcome of the requests sent to them.
pub(crate) trait Router: fmt::Debug + Send + Sync {
    /// Chooses an endpoint for the request and counts the request as sent there.
    fn choose(&self, now: duration::Instant, query: &Query<'_>) -> Option<Destination>;
    /// Records that a request ended; `failed` tells that the endpoint broke it.
    fn record_ended(&self, now: duration::Instant, destination: &Destination, failed: bool);
    /// Applies the endpoints of a new view.
    fn apply_view(&self, view: &view::Snapshot);
    /// Applies a load report of an endpoint.
    fn apply_report(&self, now: duration::Instant, report: &endpoint::Report);
    /// Marks an endpoint that announced to this entry that it leaves.
    fn mark_leaving(&self, endpoint: &id::Endpoint);
    /// Number of ready runners that hold a model.
    fn ready_runner_count(&self, model: &id::Model) -> usize;
    /// All runners, and whether this entry used them recently.
    fn runners(&self, now: duration::Instant) -> Vec<Runner>;
    /// The whole state, for a dump.
    fn dump(&self) -> serde_json::Value;
}
