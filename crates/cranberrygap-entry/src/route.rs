//! Which endpoint serves a request.

pub(crate) mod least_loaded;

use std::fmt;

use cranberrygap_model::{address, duration, id, number};
use cranberrygap_wire::endpoint;
use smallvec::SmallVec;

use crate::view;

/// Endpoints that a request was already sent to. Retries are few.
pub(crate) type Tried = SmallVec<[id::Endpoint; 3]>;

/// What is wanted.
#[derive(Debug)]
pub(crate) struct Query<'request> {
    /// The model, when a runner is wanted.
    pub model: Option<&'request id::Model>,
    /// The plain service, when one is wanted.
    pub service: Option<&'request id::Service>,
    /// Endpoints not to use again.
    pub tried: &'request Tried,
}

/// The endpoint that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Destination {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Where it listens.
    pub address: address::Socket,
    /// The boot that the choice was made for.
    pub boot: number::Boot,
}

/// A runner whose load may be asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Runner {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Where it listens.
    pub address: address::Socket,
    /// Whether this entry sent a request there of late.
    pub recently_used: bool,
}

/// Chooses endpoints and learns from what becomes of the requests.
pub(crate) trait Router: fmt::Debug + Send + Sync {
    /// An endpoint for the request, and counts the request as sent there.
    fn choose(&self, now: duration::Instant, wanted: &Query<'_>) -> Option<Destination>;
    /// A request that was sent has ended; `failed` tells that the endpoint broke it.
    fn record_ended(&self, now: duration::Instant, choice: &Destination, failed: bool);
    /// Takes over the endpoints of a new view.
    fn apply_view(&self, view: &view::Snapshot);
    /// Takes a report of an endpoint.
    fn apply_report(&self, now: duration::Instant, report: &endpoint::Report);
    /// The endpoint told this entry that it leaves.
    fn mark_leaving(&self, endpoint: &id::Endpoint);
    /// Number of ready runners that hold a model.
    fn ready_runner_count(&self, model: &id::Model) -> usize;
    /// All runners, and whether this entry used them of late.
    fn runners(&self, now: duration::Instant) -> Vec<Runner>;
    /// The whole state for a dump.
    fn dump(&self) -> serde_json::Value;
}
