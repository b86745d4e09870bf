//! What should change in the fleet's memory.
//!
//! A round plans on a [`draft`], a copy of the ledger with numbers for names.
//! Its order is that of what users lose: models without any copy, models with
//! one copy or copies in one failure domain only, adapters, old versions, then
//! more copies where demand presses.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::endpoint;

use crate::catalogue;
use crate::ledger;

pub mod assign;
mod demand;
pub mod draft;
mod repair;
mod retire;
mod room;

/// How placement weighs things.
#[derive(Debug, Clone, Copy, PartialEq, bon::Builder)]
pub struct Settings {
    /// Demand a second that one accelerator serves within the latency targets,
    /// were there no weights to read.
    pub demand_per_accelerator: f64,
    /// Demand a second that a runner serves less for each GiB of active weights.
    #[builder(default = 0.0)]
    pub demand_per_gib: f64,
    /// Copies that each model has wherever memory allows.
    #[builder(default = 2)]
    pub copies: usize,
    /// Part of a runner's capacity that is assigned; the rest is for bursts.
    #[builder(default = 0.8)]
    pub max_utilisation: f64,
    /// Part of a model's demand that must be left over before a copy is added.
    #[builder(default = 0.1)]
    pub min_overflow_share: f64,
    /// Copies that are added for demand in one round at most.
    #[builder(default = 6)]
    pub max_added_copies: usize,
}

/// What one round wants.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// Changes, the most urgent first.
    pub moves: Vec<Move>,
    /// Endpoints that should take each model's requests.
    pub preferred: assign::Preferred,
}

/// Why a change is wanted; the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Makes room for a more urgent load.
    Room,
    /// The model has no copy.
    Unreachable,
    /// The model has one copy, or copies in one failure domain only.
    Risk,
    /// The adapter's base model is there.
    Adapter,
    /// Demand presses on the model's copies.
    Demand,
    /// A newer version serves in its place.
    Retired,
}

/// One wanted change.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// Where.
    pub endpoint: id::Endpoint,
    /// What.
    pub action: endpoint::Action,
    /// Why.
    pub reason: Reason,
}

/// Plans one round.
///
/// `demand` is the expected demand a second by model and adapter, `previous`
/// the preference that the entries follow now.
#[must_use]
pub fn plan(
    ledger: &ledger::Ledger,
    catalogue: &catalogue::Catalogue,
    demand: &BTreeMap<id::Model, f64>,
    previous: &assign::Preferred,
    settings: &Settings,
) -> Plan {
    let mut draft = draft::Draft::new(ledger, catalogue, demand, settings);
    assign::all(&mut draft, previous);
    let preferred = assign::preferred(&draft);
    repair::unreachable(&mut draft);
    repair::risk(&mut draft);
    repair::adapters(&mut draft);
    retire::old_versions(&mut draft);
    demand::spread(&mut draft);
    let mut moves = draft.take_moves();
    moves.sort_by_key(|wish| wish.reason);
    Plan { moves, preferred }
}
