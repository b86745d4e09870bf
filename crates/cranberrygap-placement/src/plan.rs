//! Plans which models and adapters to load and unload on the fleet's endpoints.
//!
//! A round plans on a [`draft`], a copy of the ledger with indices in place of names. The
//! steps follow what users lose: models without a copy, models with one copy or copies in
//! one failure domain only, adapters, old versions, then more copies for high demand.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::endpoint;

use crate::catalogue;
use crate::ledger;

pub mod assign;
mod demand;
pub mod draft;
mod eviction;
mod repair;
mod retire;

/// Settings of placement.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct Settings {
    /// Demand per second that one accelerator serves within the latency targets. The cost
    /// of reading weights is not included.
    pub demand_per_accelerator: f64,
    /// Demand per second that a runner serves less for each GiB of active weights.
    #[builder(default = 0.0)]
    pub demand_per_gib: f64,
    /// Number of copies of each model wherever memory allows.
    #[builder(default = 2)]
    pub copies: usize,
    /// Share of a runner's capacity that is assigned; the rest is for bursts.
    #[builder(default = 0.8)]
    pub max_utilisation: f64,
    /// Share of a model's demand that must be unassigned before a copy is added.
    #[builder(default = 0.1)]
    pub min_overflow_share: f64,
    /// Maximum number of copies added for demand in one round.
    #[builder(default = 6)]
    pub max_added_copies: usize,
}

/// Result of one round.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Changes, the most urgent first.
    pub moves: Vec<Move>,
    /// Endpoints that should take each model's requests.
    pub preferred: assign::Preferred,
}

/// Reason of a change; the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Frees memory for a more urgent load.
    Eviction,
    /// The model has no copy.
    Unreachable,
    /// The model has one copy, or copies in one failure domain only.
    Risk,
    /// The adapter's base model is resident.
    Adapter,
    /// Demand exceeds what the model's copies can serve.
    Demand,
    /// A newer version serves in its place.
    Retired,
}

/// One wanted change.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The endpoint to change.
    pub endpoint: id::Endpoint,
    /// The change.
    pub action: endpoint::Action,
    /// The reason of the change.
    pub reason: Reason,
}

/// Plans one round.
///
/// `demand` is the expected demand per second by model and adapter, `previous` the
/// preference that the entries follow now.
#[must_use]
pub fn plan(
    ledger: &ledger::Ledger,
    catalogue: &catalogue::Catalogue,
    demand: &BTreeMap<id::Model, f64>,
    previous: &assign::Preferred,
    settings: &Settings,
) -> Plan {
    let mut draft = draft::Draft::new(ledger, catalogue, demand, settings);
    assign::assign_all(&mut draft, previous);
    let preferred = assign::preferred(&draft);
    repair::load_unreachable(&mut draft);
    repair::load_at_risk(&mut draft);
    repair::load_adapters(&mut draft);
    retire::unload_old_versions(&mut draft);
    demand::add_copies(&mut draft);
    let mut moves = draft.take_moves();
    moves.sort_by_key(|planned| planned.reason);
    Plan { moves, preferred }
}
